#include "snipeweir/relay/RequestBody.h"

#include <algorithm>

namespace snipeweir {

bool RequestBody::reserve(size_t bytes)
{
    if (m_reservation.growTo(bytes))
        return true;
    m_reservation.memory().countRejection();
    return false;
}

boost::asio::mutable_buffer RequestBody::prepare()
{
    const size_t used = m_size % BodyMemory::blockBytes;
    const bool isLastFull = m_size == m_reservation.blocks().size() * BodyMemory::blockBytes;
    if (!isLastFull)
        return { m_reservation.blocks().back() + used, BodyMemory::blockBytes - used };
    char* block = m_reservation.takeBlock();
    return { block, block ? BodyMemory::blockBytes : 0 };
}

std::vector<boost::asio::const_buffer> RequestBody::buffers(size_t offset, size_t maxBuffers) const
{
    std::vector<boost::asio::const_buffer> buffers;
    while (offset < m_size && buffers.size() < maxBuffers) {
        const size_t within = offset % BodyMemory::blockBytes;
        const size_t count = std::min(BodyMemory::blockBytes - within, m_size - offset);
        buffers.emplace_back(m_reservation.blocks()[offset / BodyMemory::blockBytes] + within, count);
        offset += count;
    }
    return buffers;
}

}
