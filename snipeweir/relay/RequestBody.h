#pragma once

#include "snipeweir/relay/BodyMemory.h"

#include <boost/asio/buffer.hpp>

namespace snipeweir {

/// Body of one request in blocks of a BodyMemory, shared by all attempts to send it. For one thread.
class RequestBody {
public:
    explicit RequestBody(BodyMemory& memory)
        : m_reservation(memory)
    {
    }

    /// Reserves the memory for a total size in bytes.
    /// @return Whether the memory is available.
    bool reserve(size_t bytes);

    /// @return Free part of the last block, or a new block of the reserved ones; empty if the reservation is used up.
    boost::asio::mutable_buffer prepare();

    /// Appends bytes that were written to the buffer that prepare() returned.
    void commit(size_t bytes) { m_size += bytes; }

    size_t size() const { return m_size; }

    /// @param offset Number of bytes to leave out.
    /// @param maxBuffers Maximum number of buffers.
    /// @return The bytes from the offset on, in the order of the body; empty at its end.
    std::vector<boost::asio::const_buffer> buffers(size_t offset, size_t maxBuffers) const;

private:
    BodyMemory::Reservation m_reservation;
    size_t m_size = 0;
};

}
