#include "snipeweir/distribution/DocumentFetch.h"

#include "snipeweir/distribution/DocumentStore.h"

#include <algorithm>

namespace snipeweir {

namespace {

    // zstd makes incompressible text slightly larger, so allow 1/64 more than the largest text.
    constexpr uint64_t maxFrameBytes = DocumentStore::maxDocumentBytes + DocumentStore::maxDocumentBytes / 64;

}

DocumentFetch::DocumentFetch(DocumentName name, DocumentVersion wanted, SteadyTime now)
    : m_name(name)
    , m_wanted(wanted)
    , m_lastProgressAt(now)
{
}

void DocumentFetch::addSource(const Address& source)
{
    if (m_sources.size() < maxSources && std::find(m_sources.begin(), m_sources.end(), source) == m_sources.end())
        m_sources.push_back(source);
}

bool DocumentFetch::accepts(const FrameHeader& header) const
{
    return header.name == m_name && header.target == m_wanted && header.textBytes <= DocumentStore::maxDocumentBytes
        && header.frameBytes > 0 && header.frameBytes <= maxFrameBytes;
}

bool DocumentFetch::addChunk(const FramePart& part, SteadyTime now)
{
    if (!accepts(part.header))
        return false;

    // The first chunk determines which frame is reassembled.
    if (!(part.header == m_header)) {
        if (!m_mayReplaceFrame)
            return false;
        m_header = part.header;
        m_frame.assign(m_header.frameBytes, '\0');
        m_received.assign((m_header.frameBytes + documentChunkBytes - 1) / documentChunkBytes, false);
        m_receivedCount = 0;
        m_outstandingCount = std::min<size_t>(windowChunks, m_received.size());
        m_lastRequestedIndex = m_outstandingCount - 1;
    }
    m_mayReplaceFrame = false;

    // Store the chunk if its index and size fit the frame.
    if (part.index >= m_received.size() || m_received[part.index])
        return false;
    const size_t offset = part.index * documentChunkBytes;
    if (part.bytes.size() != std::min<size_t>(documentChunkBytes, m_frame.size() - offset))
        return false;
    m_frame.replace(offset, part.bytes.size(), part.bytes);
    m_received[part.index] = true;
    ++m_receivedCount;
    m_outstandingCount -= std::min<size_t>(m_outstandingCount, 1);

    // Chunks are sent in order. Once the last requested one arrives, treat missing chunks as lost instead of waiting
    // for the timeout.
    if (part.index == m_lastRequestedIndex)
        m_outstandingCount = 0;
    m_lastProgressAt = now;
    m_failures = 0;
    return true;
}

std::vector<ChunkRange> DocumentFetch::nextRanges()
{
    // The number of chunks is unknown until the first one arrives, so request a whole window.
    if (m_received.empty())
        return { ChunkRange { 0, windowChunks } };
    std::vector<ChunkRange> ranges;
    m_outstandingCount = 0;
    for (uint64_t index = 0; index < m_received.size() && m_outstandingCount < windowChunks; ++index) {
        if (m_received[index])
            continue;
        if (!ranges.empty() && ranges.back().first + ranges.back().count == index)
            ++ranges.back().count;
        else if (ranges.size() < DocumentPull::maxRanges)
            ranges.push_back({ index, 1 });
        else
            break;
        ++m_outstandingCount;
        m_lastRequestedIndex = index;
    }
    return ranges;
}

void DocumentFetch::recordFailure(SteadyTime now)
{
    ++m_failures;
    m_lastProgressAt = now;
    if (m_failures < 2)
        return;
    m_sourceIndex = (m_sourceIndex + 1) % m_sources.size();
    m_mayReplaceFrame = true;
}

}
