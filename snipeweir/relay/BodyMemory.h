#pragma once

#include "snipeweir/core/Result.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace snipeweir {

/// Memory of all request bodies of this process, in blocks of fixed size from one mapping. Released blocks are reused
/// or returned to the system, so that the resident memory never exceeds the limit, whatever the sizes of the bodies
/// are; a heap would keep fragments. Responses reserve a part of the limit for what they hold on the heap. For one
/// thread; must outlive its reservations.
class BodyMemory {
public:
    /// Size of a block in bytes. A smaller block would need more system calls for large bodies, a larger one would
    /// waste memory on small bodies.
    static constexpr size_t blockBytes = 16U << 10U;

    struct Counters {
        /// Bodies rejected because no memory was available.
        uint64_t rejections = 0;
        /// Times that a response got no more memory.
        uint64_t responseDenials = 0;
    };

    enum class Use {
        RequestBody,
        /// A response or its head; together they may take a quarter of the limit, so that responses without end leave
        /// room for requests.
        Response,
    };

    /// @param limit Maximum memory of all bodies and responses in bytes, rounded down to whole blocks.
    /// @return The memory, or ErrorCode::Unavailable if the addresses could not be mapped.
    static Result<std::unique_ptr<BodyMemory>> create(size_t limit);

    /// @param memoryMb Memory of the VM in megabytes.
    /// @return Memory left for bodies in bytes.
    static size_t limitFor(uint32_t memoryMb);

    ~BodyMemory();
    BodyMemory(const BodyMemory&) = delete;
    BodyMemory& operator=(const BodyMemory&) = delete;

    /// Number of blocks that one body or response may take, released by the destructor.
    class Reservation {
    public:
        explicit Reservation(BodyMemory& memory, Use use = Use::RequestBody)
            : m_memory(&memory)
            , m_use(use)
        {
        }
        Reservation(Reservation&&) noexcept;
        Reservation& operator=(Reservation&&) = delete;
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;
        /// Releases the reservation with all blocks that were taken from it.
        ~Reservation();

        /// Grows the reservation to a total size in bytes; a smaller size than the current one leaves it unchanged.
        /// @return False if the limit would be exceeded; the reservation is then unchanged.
        bool growTo(size_t bytes);

        /// Releases what is reserved beyond a total size in bytes. Only for reservations of which no block was taken.
        void shrinkTo(size_t bytes);

        /// Takes one of the reserved blocks. Its content is undefined.
        /// @return The block; null if all reserved blocks have been taken.
        char* takeBlock();

        /// @return The blocks that were taken, in the order in which they were taken.
        const std::vector<char*>& blocks() const { return m_blocks; }

        BodyMemory& memory() const { return *m_memory; }

    private:
        BodyMemory* m_memory;
        Use m_use;
        size_t m_reservedBlocks = 0;
        std::vector<char*> m_blocks;
    };

    /// @return Reserved memory in bytes.
    size_t used() const { return m_usedBlocks * blockBytes; }
    /// @return Memory reserved for responses in bytes; a part of used().
    size_t usedByResponses() const { return m_responseBlocks * blockBytes; }
    size_t limit() const { return m_blockCount * blockBytes; }

    /// Returns the memory that responses have released to the heap, which may keep it, since the last call.
    size_t takeReleasedByResponses() { return std::exchange(m_releasedResponseBlocks, 0) * blockBytes; }

    void countRejection() { ++m_counters.rejections; }
    const Counters& counters() const { return m_counters; }

private:
    BodyMemory(char* base, size_t blockCount);

    /// @return Whether the blocks were available.
    bool reserve(Use, size_t blocks);
    void release(Use, size_t blocks);
    char* takeBlock();
    void returnBlock(char*);

    char* m_base;
    size_t m_blockCount;
    size_t m_usedBlocks = 0;
    size_t m_responseBlocks = 0;
    size_t m_releasedResponseBlocks = 0;
    /// Number of blocks at the start of the mapping that have been taken at least once.
    size_t m_touchedBlocks = 0;
    /// Free blocks that are resident.
    std::vector<char*> m_residentBlocks;
    /// Free blocks whose memory was returned to the system.
    std::vector<char*> m_returnedBlocks;
    Counters m_counters;
};

}
