#include "snipeweir/relay/BodyMemory.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/mman.h>
#include <utility>

namespace snipeweir {

namespace {

    /// Memory of the node without bodies: program, view of the fleet, connections and responses.
    constexpr size_t nodeBytes = 40U << 20U;
    /// Unread bytes that the kernel may hold: 192 full receive buffers of Connection::receiveBufferBytes, for which the
    /// kernel reserves twice that size.
    constexpr size_t unreadBytes = 24U << 20U;
    /// Smallest limit, on a VM that is too small for the node itself.
    constexpr size_t minLimit = 8U << 20U;
    /// Number of free blocks that stay resident, so that small bodies cause no page faults and system calls.
    constexpr size_t maxResidentFreeBlocks = 64;
    /// Part of the blocks that responses may reserve.
    constexpr size_t responseShare = 4;

    size_t blocksFor(size_t bytes)
    {
        return bytes / BodyMemory::blockBytes + (bytes % BodyMemory::blockBytes > 0 ? 1 : 0);
    }

}

size_t BodyMemory::limitFor(uint32_t memoryMb)
{
    const size_t memory = static_cast<size_t>(memoryMb) << 20U;
    return std::max(minLimit, memory - std::min(memory, nodeBytes + unreadBytes));
}

Result<std::unique_ptr<BodyMemory>> BodyMemory::create(size_t limit)
{
    const size_t blockCount = std::max<size_t>(1, limit / blockBytes);
    void* base = ::mmap(
        nullptr, blockCount * blockBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (base == MAP_FAILED) // NOLINT(cppcoreguidelines-pro-type-cstyle-cast,performance-no-int-to-ptr)
        return fail(
            ErrorCode::Unavailable, std::string("Cannot map the memory for request bodies: ") + std::strerror(errno));
    // A huge page would make 2 MB resident for one small body.
    ::madvise(base, blockCount * blockBytes, MADV_NOHUGEPAGE);
    return std::unique_ptr<BodyMemory>(new BodyMemory(static_cast<char*>(base), blockCount));
}

BodyMemory::BodyMemory(char* base, size_t blockCount)
    : m_base(base)
    , m_blockCount(blockCount)
{
}

BodyMemory::~BodyMemory() { ::munmap(m_base, m_blockCount * blockBytes); }

bool BodyMemory::reserve(Use use, size_t blocks)
{
    const bool isResponse = use == Use::Response;
    if (blocks > m_blockCount - m_usedBlocks
        || (isResponse && blocks > m_blockCount / responseShare - m_responseBlocks)) {
        m_counters.responseDenials += isResponse ? 1 : 0;
        return false;
    }
    m_usedBlocks += blocks;
    m_responseBlocks += isResponse ? blocks : 0;
    return true;
}

void BodyMemory::release(Use use, size_t blocks)
{
    m_usedBlocks -= blocks;
    if (use != Use::Response)
        return;
    m_responseBlocks -= blocks;
    m_releasedResponseBlocks += blocks;
}

char* BodyMemory::takeBlock()
{
    for (auto* blocks : { &m_residentBlocks, &m_returnedBlocks }) {
        if (blocks->empty())
            continue;
        char* block = blocks->back();
        blocks->pop_back();
        return block;
    }
    return m_base + blockBytes * m_touchedBlocks++;
}

void BodyMemory::returnBlock(char* block)
{
    if (m_residentBlocks.size() < maxResidentFreeBlocks) {
        m_residentBlocks.push_back(block);
        return;
    }
    // Fails where pages are larger than a block; the block then stays resident, within the limit.
    ::madvise(block, blockBytes, MADV_DONTNEED);
    m_returnedBlocks.push_back(block);
}

BodyMemory::Reservation::Reservation(Reservation&& other) noexcept
    : m_memory(other.m_memory)
    , m_use(other.m_use)
    , m_reservedBlocks(std::exchange(other.m_reservedBlocks, 0))
    , m_blocks(std::exchange(other.m_blocks, {}))
{
}

BodyMemory::Reservation::~Reservation()
{
    for (char* block : m_blocks)
        m_memory->returnBlock(block);
    m_memory->release(m_use, m_reservedBlocks);
}

bool BodyMemory::Reservation::growTo(size_t bytes)
{
    const size_t blocks = blocksFor(bytes);
    if (blocks <= m_reservedBlocks)
        return true;
    if (!m_memory->reserve(m_use, blocks - m_reservedBlocks))
        return false;
    m_reservedBlocks = blocks;
    return true;
}

void BodyMemory::Reservation::shrinkTo(size_t bytes)
{
    const size_t blocks = std::min(m_reservedBlocks, blocksFor(bytes));
    m_memory->release(m_use, m_reservedBlocks - blocks);
    m_reservedBlocks = blocks;
}

char* BodyMemory::Reservation::takeBlock()
{
    if (m_blocks.size() == m_reservedBlocks)
        return nullptr;
    m_blocks.push_back(m_memory->takeBlock());
    return m_blocks.back();
}

}
