#pragma once

#include <cassert>
#include <cstddef>
#include <string>
#include <utility>

namespace snipeweir {

/// Bounds the memory that the bodies of all requests hold together: a VM has a few hundred megabytes, a single body may
/// have 64. For one thread; outlives its holds.
class BodyMemory {
public:
    explicit BodyMemory(size_t limit)
        : m_limit(limit)
    {
    }

    /// Part of the memory, given back at the end of its life.
    class Hold {
    public:
        explicit Hold(BodyMemory& memory)
            : m_memory(&memory)
        {
        }
        Hold(Hold&& other) noexcept
            : m_memory(other.m_memory)
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        Hold& operator=(Hold&&) = delete;
        Hold(const Hold&) = delete;
        Hold& operator=(const Hold&) = delete;
        ~Hold() { m_memory->m_used -= m_bytes; }

        /// @return Whether there is room; false changes nothing.
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

/// Body of one request, shared by its sends.
struct RequestBody {
    std::string text;
    BodyMemory::Hold hold;
};

}
