#pragma once

#include <cassert>
#include <cstddef>
#include <string>
#include <utility>

namespace snipeweir {

/// Limits the total memory of all request bodies: a VM has a few hundred megabytes, and a single body may take 64 MB.
/// For one thread; must outlive its reservations.
class BodyMemory {
public:
    explicit BodyMemory(size_t limit)
        : m_limit(limit)
    {
    }

    /// Reserved part of the memory, released by the destructor.
    class Reservation {
    public:
        explicit Reservation(BodyMemory& memory)
            : m_memory(&memory)
        {
        }
        Reservation(Reservation&& other) noexcept
            : m_memory(other.m_memory)
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        Reservation& operator=(Reservation&&) = delete;
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;
        ~Reservation() { m_memory->m_used -= m_bytes; }

        /// Grows the reservation to a total size; a smaller size than the current one leaves it unchanged.
        /// @return False if the limit would be exceeded; the reservation is then unchanged.
        bool growTo(size_t bytes)
        {
            if (bytes <= m_bytes)
                return true;
            if (bytes - m_bytes > m_memory->m_limit - m_memory->m_used)
                return false;
            m_memory->m_used += bytes - m_bytes;
            m_bytes = bytes;
            return true;
        }

    private:
        BodyMemory* m_memory;
        size_t m_bytes = 0;
    };

    size_t used() const { return m_used; }

private:
    size_t m_limit;
    size_t m_used = 0;
};

/// Body of one request, shared by all attempts to send it.
struct RequestBody {
    std::string text;
    BodyMemory::Reservation reservation;
};

}
