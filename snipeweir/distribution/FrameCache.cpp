#include "snipeweir/distribution/FrameCache.h"

#include "snipeweir/distribution/DocumentCodec.h"

namespace snipeweir {

namespace {

    // Burst capacity of the compression limit, in seconds at its rate.
    constexpr double burstSeconds = 2;

}

FrameCache::FrameCache(DocumentName name, const DocumentStore& store, double compressionsPerSecond, SteadyTime now)
    : m_name(name)
    , m_store(store)
    , m_compressionLimit(
          compressionsPerSecond, burstSeconds * compressionsPerSecond, burstSeconds * compressionsPerSecond, now)
{
}

const FrameCache::Frame& FrameCache::insert(Frame frame)
{
    m_frames.push_front(std::move(frame));
    if (m_frames.size() > maxFrames)
        m_frames.pop_back();
    return m_frames.front();
}

const FrameCache::Frame* FrameCache::findByTarget(const DocumentVersion& target) const
{
    for (const auto& frame : m_frames) {
        if (frame.header.target == target)
            return &frame;
    }
    return nullptr;
}

const FrameCache::Frame* FrameCache::findOrCompress(const Document& target, const DocumentVersion& base, SteadyTime now)
{
    // Send the full text if the base is no longer in the store.
    const Document* held = base.revision.value != 0 ? m_store.find(m_name, base.revision, base.hash) : nullptr;
    FrameHeader header;
    header.name = m_name;
    header.target = versionOf(target);
    header.base = held ? base : DocumentVersion {};
    for (const auto& frame : m_frames) {
        if (frame.header.target == header.target && frame.header.base == header.base)
            return &frame;
    }
    if (!m_compressionLimit.take(1, now))
        return nullptr;
    std::string bytes;
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            bytes, compressDocument(*target.text, held ? std::string_view(*held->text) : std::string_view()));
        return {};
    });
    if (error)
        return nullptr;
    header.textBytes = target.text->size();
    header.frameBytes = bytes.size();
    header.frameHash = documentHash(bytes);
    return &insert({ header, std::move(bytes) });
}

}
