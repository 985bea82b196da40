#include "snipeweir/membership/MemberRecord.h"

#include <tuple>

namespace snipeweir {

namespace {

    constexpr size_t maxNameBytes = 64;
    constexpr size_t maxIpBytes = 45;
    constexpr size_t maxRecords = 64;
    constexpr uint64_t stateCount = 4;
    constexpr uint64_t maxPort = 65535;
    constexpr uint64_t maxCounter = 0xffffffff;

    auto incarnationOrder(const MemberRecord& record)
    {
        return std::tuple(record.start, record.peer.incarnation.value);
    }

}

std::optional<std::string> readName(CborReader& reader)
{
    const auto text = reader.readText();
    if (!text || text->size() > maxNameBytes)
        return std::nullopt;
    return std::string(*text);
}

bool MemberRecord::isLaterIncarnationThan(const MemberRecord& other) const
{
    return incarnationOrder(*this) > incarnationOrder(other);
}

bool MemberRecord::supersedes(const MemberRecord& other) const
{
    return std::tuple(start, peer.incarnation.value, counter, state)
        > std::tuple(other.start, other.peer.incarnation.value, other.counter, other.state);
}

std::string MemberRecord::encoded() const
{
    CborWriter writer;
    writer.writeText(peer.vm.text())
        .writeText(peer.dataCentre.text())
        .writeText(peer.region.text())
        .writeText(service.text())
        .writeText(peer.controlAddress.ip)
        .writeUnsigned(peer.controlAddress.port)
        .writeUnsigned(peer.incarnation.value)
        .writeUnsigned(start)
        .writeUnsigned(counter * stateCount + static_cast<uint64_t>(state));
    return writer.take();
}

std::optional<MemberRecord> MemberRecord::decode(CborReader& reader)
{
    const auto vm = readName(reader);
    const auto dataCentre = readName(reader);
    const auto region = readName(reader);
    const auto service = readName(reader);
    const auto ip = reader.readText();
    const auto port = reader.readUnsigned();
    const auto incarnation = reader.readUnsigned();
    const auto start = reader.readUnsigned();
    const auto counterAndState = reader.readUnsigned();
    if (!vm || vm->empty() || !dataCentre || dataCentre->empty() || !region || !service || !ip || ip->empty()
        || ip->size() > maxIpBytes || !port || *port > maxPort || !incarnation || !start || !counterAndState
        || *counterAndState / stateCount > maxCounter)
        return std::nullopt;
    MemberRecord record;
    record.peer = { VmId(*vm), DataCentreName(*dataCentre), RegionName(*region),
        { std::string(*ip), static_cast<uint16_t>(*port) }, Incarnation { *incarnation } };
    record.service = ServiceName(*service);
    record.start = *start;
    record.counter = static_cast<uint32_t>(*counterAndState / stateCount);
    record.state = static_cast<MemberState>(*counterAndState % stateCount);
    return record;
}

std::string LinkReport::encoded() const
{
    CborWriter writer;
    writer.writeText(dataCentre.text()).writeText(reporter.text()).writeUnsigned(version).writeUnsigned(isLost ? 1 : 0);
    return writer.take();
}

std::optional<LinkReport> LinkReport::decode(CborReader& reader)
{
    const auto dataCentre = readName(reader);
    const auto reporter = readName(reader);
    const auto version = reader.readUnsigned();
    const auto isLost = reader.readUnsigned();
    if (!dataCentre || !reporter || !version || !isLost)
        return std::nullopt;
    return LinkReport { DataCentreName(*dataCentre), VmId(*reporter), *version, *isLost != 0 };
}

std::optional<RumourList> RumourList::decode(CborReader& reader)
{
    RumourList list;
    const auto members = reader.readArrayStart(maxRecords);
    for (size_t i = 0; members && i < *members; ++i) {
        auto record = MemberRecord::decode(reader);
        if (!record)
            return std::nullopt;
        list.members.push_back(std::move(*record));
    }
    const auto links = reader.readArrayStart(maxRecords);
    for (size_t i = 0; links && i < *links; ++i) {
        auto report = LinkReport::decode(reader);
        if (!report)
            return std::nullopt;
        list.links.push_back(std::move(*report));
    }
    if (!members || !links)
        return std::nullopt;
    return list;
}

}
