#include "snipeweir/membership/Synchronizer.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr size_t maxDataCentres = 64;
    constexpr uint64_t scopeListed = 0;
    constexpr uint64_t scopeAll = 1;
    constexpr uint64_t scopeReply = 2;
    constexpr uint64_t kindBuckets = 0;
    constexpr uint64_t kindRecords = 1;
    constexpr uint64_t kindRequest = 2;
    constexpr uint64_t flagAuthoritative = 1;
    constexpr uint64_t flagReplyWanted = 2;
    constexpr size_t bytesPerBucket = 4;
    constexpr size_t maxRecordsPerBatch = 60;
    // Bytes of a records message besides its records: kind, data centre, mask, flags and array headers.
    constexpr size_t batchHeaderBytes = 96;
    constexpr size_t maxBatchBytes = maxPayloadBytes - batchHeaderBytes;

}

struct Synchronizer::Batch {
    uint64_t mask = 0;
    size_t bytes = 0;
    std::vector<std::string> records;
};

Synchronizer::Synchronizer(const MembershipSettings& settings, MemberTable& table, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_table(table)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_budget(settings.syncBytesPerSecond, settings.syncBurstBytes, clock.now())
{
}

void Synchronizer::startRepair(const Address& to, const std::vector<DataCentreName>& dataCentres, Scope scope)
{
    const size_t count = std::min(dataCentres.size(), maxDataCentres);
    CborWriter writer;
    writer.writeUnsigned(scope == Scope::All ? scopeAll : scopeListed).writeArrayStart(count);
    for (size_t i = 0; i < count; ++i)
        writer.writeText(dataCentres[i].text()).writeUnsigned(m_table.hashOf(dataCentres[i]));
    m_hooks.send(to, ControlMessageType::DataCentreDigest, writer.take());
}

bool Synchronizer::onDigest(const Address& from, const Member& sender, std::string_view payload)
{
    CborReader reader(payload);
    const auto scope = reader.readUnsigned();
    const auto count = reader.readArrayStart(maxDataCentres);
    std::map<DataCentreName, uint64_t> theirs;
    for (size_t i = 0; count && i < *count; ++i) {
        const auto name = readName(reader);
        const auto hash = reader.readUnsigned();
        if (!name || !hash)
            return false;
        theirs.emplace(*name, *hash);
    }
    if (!scope || !count || !reader.isComplete())
        return false;

    // Find the data centres that differ. Those whose members are all dead count as unknown.
    std::vector<DataCentreName> differing;
    for (const auto& [name, hash] : theirs) {
        if (m_table.hashOf(name) != hash)
            differing.push_back(name);
    }
    if (*scope == scopeReply) {
        constexpr size_t maxRepairs = 3;
        for (size_t i = 0; i < std::min(differing.size(), maxRepairs); ++i)
            sendBuckets(from, differing[i]);
        return theirs.empty();
    }
    if (*scope == scopeAll) {
        for (const auto& [name, dataCentre] : m_table.dataCentres()) {
            const bool isOwn = name == sender.record.peer.dataCentre;
            if (!isOwn && dataCentre.hash != 0 && !theirs.contains(name) && differing.size() < maxDataCentres)
                differing.push_back(name);
        }
    }
    CborWriter writer;
    writer.writeUnsigned(scopeReply).writeArrayStart(differing.size());
    for (const DataCentreName& name : differing)
        writer.writeText(name.text()).writeUnsigned(m_table.hashOf(name));
    m_hooks.send(from, ControlMessageType::DataCentreDigest, writer.take());
    return false;
}

void Synchronizer::sendBuckets(const Address& to, const DataCentreName& dataCentre)
{
    std::string blob;
    for (const uint32_t hash : m_table.bucketHashes(dataCentre)) {
        for (size_t byte = 0; byte < bytesPerBucket; ++byte)
            blob.push_back(static_cast<char>((hash >> (8 * byte)) & 0xff));
    }
    CborWriter writer;
    writer.writeUnsigned(kindBuckets).writeText(dataCentre.text()).writeBytes(blob);
    m_hooks.send(to, ControlMessageType::DataCentreDifference, writer.take());
}

void Synchronizer::onDifference(const Address& from, const Member& sender, std::string_view payload)
{
    CborReader reader(payload);
    const auto kind = reader.readUnsigned();
    const auto name = readName(reader);
    if (!kind || !name || name->empty())
        return;
    const DataCentreName dataCentre(*name);
    if (*kind == kindBuckets) {
        const auto blob = reader.readBytes();
        if (blob && reader.isComplete() && blob->size() == bucketCount * bytesPerBucket)
            onBuckets(from, sender, dataCentre, *blob);
    } else if (*kind == kindRequest) {
        const auto mask = reader.readUnsigned();
        if (mask && reader.isComplete())
            sendRecords(from, sender, dataCentre, *mask, Reply::Unwanted, nullptr);
    } else if (*kind == kindRecords) {
        onRecords(from, sender, dataCentre, reader);
    }
}

void Synchronizer::onBuckets(
    const Address& from, const Member& sender, const DataCentreName& dataCentre, std::string_view blob)
{
    const BucketHashes own = m_table.bucketHashes(dataCentre);
    uint64_t mask = 0;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        uint32_t theirs = 0;
        for (size_t byte = 0; byte < bytesPerBucket; ++byte)
            theirs |= static_cast<uint32_t>(static_cast<uint8_t>(blob[bucket * bytesPerBucket + byte])) << (8 * byte);
        if (theirs != own.at(bucket))
            mask |= 1ULL << bucket;
    }
    if (mask == 0)
        return;

    // If both nodes or neither belong to the data centre, both send their records; otherwise only the node in it does.
    const bool isSenderInDataCentre = sender.record.peer.dataCentre == dataCentre;
    const bool isSelfInDataCentre = m_table.self().record.peer.dataCentre == dataCentre;
    if (isSenderInDataCentre && !isSelfInDataCentre) {
        CborWriter writer;
        writer.writeUnsigned(kindRequest).writeText(dataCentre.text()).writeUnsigned(mask);
        m_hooks.send(from, ControlMessageType::DataCentreDifference, writer.take());
        return;
    }
    sendRecords(from, sender, dataCentre, mask,
        isSelfInDataCentre == isSenderInDataCentre ? Reply::Wanted : Reply::Unwanted, nullptr);
}

void Synchronizer::sendRecords(const Address& to, const Member& receiver, const DataCentreName& dataCentre,
    uint64_t mask, Reply reply, const std::map<VmId, MemberRecord>* known)
{
    const auto found = m_table.dataCentres().find(dataCentre);
    if (found == m_table.dataCentres().end())
        return;
    // Collect the records by bucket.
    std::array<std::vector<std::string>, bucketCount> buckets;
    for (const auto& [vm, member] : found->second.members) {
        if ((mask >> member.bucket & 1U) == 0)
            continue;
        const MemberRecord& record = member.record;
        if (known) {
            const auto theirs = known->find(vm);
            if (theirs != known->end() && !record.supersedes(theirs->second))
                continue;
        }
        buckets.at(member.bucket).push_back(record.encoded());
    }

    // Pack whole buckets into datagrams, so that the receiver can tell which members are absent.
    Batch batch;
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if ((mask >> bucket & 1U) == 0)
            continue;
        size_t bytes = 0;
        for (const std::string& text : buckets.at(bucket))
            bytes += text.size();
        const size_t count = buckets.at(bucket).size();
        if (bytes > maxBatchBytes || count > maxRecordsPerBatch) {
            // A bucket that does not fit is sent in parts, which say nothing about absent members.
            Batch part;
            for (std::string& text : buckets.at(bucket)) {
                if (part.bytes + text.size() > maxBatchBytes || part.records.size() >= maxRecordsPerBatch) {
                    if (!sendBatch(to, receiver, dataCentre, part, Reply::Unwanted, false))
                        return;
                }
                part.bytes += text.size();
                part.records.push_back(std::move(text));
            }
            if (!sendBatch(to, receiver, dataCentre, part, reply, false))
                return;
            continue;
        }
        if (batch.bytes + bytes > maxBatchBytes || batch.records.size() + count > maxRecordsPerBatch) {
            if (!sendBatch(to, receiver, dataCentre, batch, reply, !known))
                return;
        }
        batch.mask |= 1ULL << bucket;
        batch.bytes += bytes;
        for (std::string& text : buckets.at(bucket))
            batch.records.push_back(std::move(text));
    }
    if (batch.mask != 0 && (!known || !batch.records.empty()))
        sendBatch(to, receiver, dataCentre, batch, reply, !known);
}

bool Synchronizer::sendBatch(const Address& to, const Member& receiver, const DataCentreName& dataCentre, Batch& batch,
    Reply reply, bool isWhole)
{
    const bool isOwn = m_table.self().record.peer.dataCentre == dataCentre;
    const bool isAuthoritative
        = isWhole && isOwn && receiver.record.peer.dataCentre != dataCentre && m_hooks.isViewComplete();
    CborWriter writer;
    writer.writeUnsigned(kindRecords).writeText(dataCentre.text()).writeUnsigned(batch.mask);
    writer.writeUnsigned((isAuthoritative ? flagAuthoritative : 0) | (reply == Reply::Wanted ? flagReplyWanted : 0));
    writer.writeArrayStart(batch.records.size());
    std::string payload = writer.take();
    for (const std::string& text : batch.records)
        payload += text;
    payload += CborWriter().writeArrayStart(0).take();
    batch = Batch();
    if (!m_budget.take(payload.size(), m_clock.now()))
        return false;
    m_hooks.send(to, ControlMessageType::DataCentreDifference, std::move(payload));
    return true;
}

void Synchronizer::onRecords(
    const Address& from, const Member& sender, const DataCentreName& dataCentre, CborReader& reader)
{
    const auto mask = reader.readUnsigned();
    const auto flags = reader.readUnsigned();
    const auto list = RumourList::decode(reader);
    if (!mask || !flags || !list || !reader.isComplete())
        return;
    const bool isSenderInDataCentre = sender.record.peer.dataCentre == dataCentre;
    const bool isSelfInDataCentre = m_table.self().record.peer.dataCentre == dataCentre;
    if (isSelfInDataCentre && !isSenderInDataCentre)
        return;

    std::map<VmId, MemberRecord> theirs;
    for (const MemberRecord& record : list->members) {
        if (record.peer.dataCentre == dataCentre)
            theirs.emplace(record.peer.vm, record);
    }

    // A member that its own data centre no longer knows died while the link was lost. This is checked before the
    // records are applied, so that it affects only members known earlier.
    if ((*flags & flagAuthoritative) != 0 && isSenderInDataCentre && !isSelfInDataCentre) {
        std::vector<MemberRecord> absent;
        if (const auto found = m_table.dataCentres().find(dataCentre); found != m_table.dataCentres().end()) {
            for (const auto& [vm, member] : found->second.members) {
                if ((*mask >> member.bucket & 1U) != 0 && member.record.state != MemberState::Dead
                    && !theirs.contains(vm))
                    absent.push_back(member.record);
            }
        }
        for (MemberRecord& record : absent) {
            record.state = MemberState::Dead;
            m_table.merge(record, RecordOrigin::Sync, "absent_in_its_data_centre", sender.record.peer.vm.text());
        }
    }
    const Member senderCopy = sender;
    for (const auto& [vm, record] : theirs)
        m_hooks.applyRecord(record, senderCopy);

    if ((*flags & flagReplyWanted) != 0)
        sendRecords(from, senderCopy, dataCentre, *mask, Reply::Unwanted, &theirs);

    // Send the member's data centre the records that supersede its own: of a member that is dead here, so that the
    // member can refute it, or of one that refuted its death while the link was lost, so that its data centre pings it
    // again.
    if (!isSenderInDataCentre || isSelfInDataCentre)
        return;
    std::string notifications;
    size_t notificationsCount = 0;
    for (const auto& [vm, record] : theirs) {
        const Member* member = m_table.find(vm);
        if (!member || !member->record.supersedes(record) || notificationsCount >= 8)
            continue;
        const bool isDeadHere = member->record.state == MemberState::Dead;
        if (isDeadHere == (record.state == MemberState::Dead))
            continue;
        notifications += member->record.encoded();
        ++notificationsCount;
    }
    if (notificationsCount > 0)
        m_hooks.send(from, ControlMessageType::Rumours,
            CborWriter().writeArrayStart(notificationsCount).take() + notifications
                + CborWriter().writeArrayStart(0).take());
}

}
