#pragma once

#include "snipeweir/core/TokenBucket.h"
#include "snipeweir/distribution/DocumentMessages.h"
#include "snipeweir/distribution/DocumentStore.h"

#include <deque>

namespace snipeweir {

/// Cache of recently received or compressed zstd frames of one document, so that a frame is compressed once and then
/// forwarded unchanged. The number of frames and the compressions per second are limited. Owned by the control thread.
class FrameCache {
public:
    struct Frame {
        FrameHeader header;
        std::string bytes;
    };

    /// Maximum number of frames. With incompressible texts of 1 MB they take up to 4 MB.
    static constexpr size_t maxFrames = 4;

    /// @param name Document that the frames belong to.
    /// @param store Provides the base texts; outlives the cache.
    /// @param compressionsPerSecond Maximum compression rate, which limits CPU time.
    /// @param now Current time.
    FrameCache(DocumentName name, const DocumentStore& store, double compressionsPerSecond, SteadyTime now);

    /// Adds a frame and evicts the oldest one if the cache is full.
    /// @return The frame; valid until the next change of the cache.
    const Frame& insert(Frame);

    /// @return A frame that produces the target from any base; null if there is none.
    const Frame* findByTarget(const DocumentVersion& target) const;

    /// Returns the cached frame from the base to the target, or compresses one.
    /// @param target Document that the frame produces.
    /// @param base Version that the receiver holds. If the store no longer has it, the frame contains the full text.
    /// @param now Current time.
    /// @return The frame, valid until the next change of the cache; null if the compression rate limit is reached or
    /// compression fails.
    const Frame* findOrCompress(const Document& target, const DocumentVersion& base, SteadyTime now);

private:
    const DocumentName m_name;
    const DocumentStore& m_store;
    TokenBucket m_compressionLimit;
    std::deque<Frame> m_frames;
};

}
