#include "snipeweir/distribution/DocumentMessages.h"

#include "snipeweir/core/Cbor.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr uint64_t caughtUpFlag = 1;

    // An age is encoded as its number of 100 ms steps plus one; zero means none. Ages are capped at one hour.
    constexpr std::chrono::milliseconds ageStep { 100 };
    constexpr uint64_t maxAgeSteps = 36'000;

    void writeVersion(CborWriter& writer, const DocumentVersion& version)
    {
        writer.writeUnsigned(version.revision.value).writeUnsigned(version.hash);
    }

    DocumentVersion readVersion(CborReader& reader)
    {
        DocumentVersion version;
        version.revision.value = reader.readUnsigned().value_or(0);
        version.hash = reader.readUnsigned().value_or(0);
        return version;
    }

    std::optional<DocumentName> readName(CborReader& reader)
    {
        const auto number = reader.readUnsigned();
        if (!number || *number >= documentCount)
            return std::nullopt;
        return static_cast<DocumentName>(*number);
    }

    void writeSummary(CborWriter& writer, const RevisionSummary& summary)
    {
        for (const auto& version : summary.versions)
            writeVersion(writer, version);
        uint64_t age = 0;
        if (summary.platformContactAge)
            age = 1 + std::min(maxAgeSteps, static_cast<uint64_t>(*summary.platformContactAge / ageStep));
        writer.writeUnsigned(age).writeUnsigned(summary.isCaughtUp ? caughtUpFlag : 0);
    }

    RevisionSummary readSummary(CborReader& reader)
    {
        RevisionSummary summary;
        for (auto& version : summary.versions)
            version = readVersion(reader);
        const uint64_t age = reader.readUnsigned().value_or(0);
        if (age > 0)
            summary.platformContactAge = ageStep * static_cast<int64_t>(std::min(maxAgeSteps, age - 1));
        summary.isCaughtUp = (reader.readUnsigned().value_or(0) & caughtUpFlag) != 0;
        return summary;
    }

    template <typename T> std::optional<T> valueIfComplete(const CborReader& reader, T value)
    {
        if (!reader.isComplete())
            return std::nullopt;
        return value;
    }

}

std::string RevisionSummary::encode() const
{
    CborWriter writer;
    writeSummary(writer, *this);
    return writer.take();
}

std::optional<RevisionSummary> RevisionSummary::decode(std::string_view payload)
{
    CborReader reader(payload);
    const RevisionSummary summary = readSummary(reader);
    return valueIfComplete(reader, summary);
}

std::string RevisionExchange::encode() const
{
    CborWriter writer;
    writeSummary(writer, summary);
    writer.writeUnsigned(roundId).writeUnsigned(wantsReply ? 1 : 0);
    return writer.take();
}

std::optional<RevisionExchange> RevisionExchange::decode(std::string_view payload)
{
    CborReader reader(payload);
    RevisionExchange exchange;
    exchange.summary = readSummary(reader);
    exchange.roundId = reader.readUnsigned().value_or(0);
    exchange.wantsReply = reader.readUnsigned().value_or(0) != 0;
    return valueIfComplete(reader, exchange);
}

std::string FramePart::encode() const
{
    CborWriter writer;
    writer.writeUnsigned(indexOf(header.name));
    writeVersion(writer, header.target);
    writeVersion(writer, header.base);
    writer.writeUnsigned(header.textBytes).writeUnsigned(header.frameBytes).writeUnsigned(header.frameHash);
    writer.writeUnsigned(index).writeBytes(bytes);
    return writer.take();
}

std::optional<FramePart> FramePart::decode(std::string_view payload)
{
    CborReader reader(payload);
    FramePart part;
    const auto name = readName(reader);
    if (!name)
        return std::nullopt;
    part.header.name = *name;
    part.header.target = readVersion(reader);
    part.header.base = readVersion(reader);
    part.header.textBytes = reader.readUnsigned().value_or(0);
    part.header.frameBytes = reader.readUnsigned().value_or(0);
    part.header.frameHash = reader.readUnsigned().value_or(0);
    part.index = reader.readUnsigned().value_or(0);
    part.bytes = reader.readBytes().value_or(std::string_view());
    return valueIfComplete(reader, part);
}

std::string DocumentPull::encode() const
{
    CborWriter writer;
    writer.writeUnsigned(indexOf(name));
    writeVersion(writer, wanted);
    writeVersion(writer, held);
    writer.writeArrayStart(ranges.size());
    for (const auto& range : ranges)
        writer.writeUnsigned(range.first).writeUnsigned(range.count);
    return writer.take();
}

std::optional<DocumentPull> DocumentPull::decode(std::string_view payload)
{
    CborReader reader(payload);
    DocumentPull pull;
    const auto name = readName(reader);
    if (!name)
        return std::nullopt;
    pull.name = *name;
    pull.wanted = readVersion(reader);
    pull.held = readVersion(reader);
    const size_t count = reader.readArrayStart(maxRanges).value_or(0);
    for (size_t i = 0; i < count; ++i) {
        ChunkRange range;
        range.first = reader.readUnsigned().value_or(0);
        range.count = reader.readUnsigned().value_or(0);
        pull.ranges.push_back(range);
    }
    return valueIfComplete(reader, pull);
}

}
