#include "snipeweir/fleet/BackendRegistry.h"

#include "snipeweir/core/Cbor.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace snipeweir {

namespace {

    /// Prefixes of the keys of items that are not to be used, in documents.
    constexpr std::string_view copyPrefix = "copy/";
    constexpr std::string_view removedPrefix = "gone/";
    /// Prefix of the keys of items in use that the source has lost, in documents.
    constexpr std::string_view keptPrefix = "kept/";

}

BackendRegistry::BackendRegistry(const Clock& clock, Settings settings, Decode decode)
    : m_clock(clock)
    , m_settings(settings)
    , m_decode(std::move(decode))
{
}

bool BackendRegistry::hidesWrites(const SourceItems& list) const
{
    if (list.version.era != m_version.era)
        return false;
    std::set<std::string_view> keys;
    for (const SourceItem& item : list.items) {
        keys.insert(item.key);
        const auto known = m_records.find(item.key);
        if (known == m_records.end())
            continue;
        const bool isWritten
            = item.revision == Revision {} ? item.value != known->second.value : item.revision > m_version.revision;
        if (isWritten)
            return true;
    }
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto& known) {
        const State state = known.second.state;
        return state != State::Removed && state != State::Kept && !keys.contains(known.first);
    });
}

void BackendRegistry::takeList(const SourceItems& list)
{
    if (list.version < m_version)
        return;
    setVersion(list.version);
    std::set<std::string_view> keys;
    for (const SourceItem& item : list.items) {
        keys.insert(item.key);
        write(item, list.version.era);
    }
    setOthersMissing(keys);
}

void BackendRegistry::setVersion(const SourceVersion& version)
{
    if (version.era != m_version.era)
        m_firstVersionOfEra = version;
    m_version = version;
}

template <typename Keys> void BackendRegistry::setOthersMissing(const Keys& keys)
{
    for (auto& [key, record] : m_records) {
        if (record.state != State::Removed && !keys.contains(key))
            setMissing(key, record);
    }
    std::erase_if(
        m_records, [](const auto& known) { return known.second.state == State::Removed && !known.second.mark; });
}

void BackendRegistry::takeChanges(const SourceChanges& changes)
{
    const uint64_t era = changes.version.era;
    if (era != m_version.era)
        return;
    for (const SourceChanges::Event& event : changes.events) {
        if (event.item.revision <= m_version.revision && event.item.revision != Revision {})
            continue;
        if (event.isRemoved)
            remove(event.item.key, { event.item.revision, era });
        else
            write(event.item, era);
    }
    m_version = std::max(m_version, changes.version);
}

void BackendRegistry::write(const SourceItem& item, uint64_t era)
{
    const auto [found, isNew] = m_records.try_emplace(item.key);
    Record& record = found->second;
    // Pages of a full read may contain later writes than its revision, which the changes since then contain again.
    const SourceVersion version(item.revision, era);
    if (item.revision != Revision {} && version <= record.version)
        return;
    record.version = std::max(record.version, version);
    if (!isNew && record.state != State::Removed && record.state != State::Kept && record.value == item.value)
        return;
    const DecodedBackend decoded = m_decode(item);
    if (!decoded.entry) {
        markMalformed(record, item, decoded.fault);
        return;
    }
    const BackendEntry& entry = *decoded.entry;
    const bool isInSource = isUsed(record) || record.state == State::Copy;
    const bool isWrittenAgain = record.state == State::Kept && markOf(entry) == *record.mark;
    const bool isNewer = !record.mark || markOf(entry) > *record.mark || isWrittenAgain;
    const bool isRemovedCopy = !record.mark && isCopyOfRemoved(entry);
    if (isNewer && (isInSource || !hasEnded(record, entry)) && !isRemovedCopy) {
        accept(record, item, entry);
    } else if (isInSource) {
        writeOlder(record, item, entry);
    } else {
        record.entry = entry;
        record.mark = std::max(record.mark.value_or(Mark()), markOf(entry));
        setReappeared(item.key, record, item.value);
    }
}

void BackendRegistry::writeOlder(Record& record, const SourceItem& item, const BackendEntry& entry)
{
    if (record.state == State::Kept)
        setPresent(record, State::InUse);
    const Mark mark = markOf(entry);
    if (mark.startedAtMs == record.mark->startedAtMs && entry.isDraining) {
        record.hasDrained = true;
        record.entry = entry;
        record.value = item.value;
        return;
    }
    // Older writes with increasing sequence numbers come from a running server whose entry was overwritten by another
    // writer with a higher number.
    if (!isLive(record) && record.olderMark && record.olderMark->startedAtMs == mark.startedAtMs
        && mark > *record.olderMark) {
        accept(record, item, entry);
        record.movedAt = m_clock.now();
        return;
    }
    record.olderMark = mark;
}

void BackendRegistry::accept(Record& record, const SourceItem& item, const BackendEntry& entry)
{
    const bool isSameIncarnation = record.mark && record.mark->startedAtMs == entry.startedAtMs;
    const bool hadDrained = isSameIncarnation && record.hasDrained;
    record.movedAt = isSameIncarnation ? m_clock.now() : SteadyTime {};
    record.moves = isSameIncarnation ? record.moves + 1 : 0;
    record.mark = markOf(entry);
    record.highest = std::max(record.highest, *record.mark);
    record.olderMark.reset();
    record.hasDrained = hadDrained || entry.isDraining;
    setPresent(record, State::InUse);
    // An incarnation that has drained keeps its last draining entry.
    if (hadDrained && !entry.isDraining)
        return;
    record.value = item.value;
    record.entry = entry;
}

void BackendRegistry::acceptUnseen(Record& record, const SourceItem& item, const BackendEntry& entry)
{
    const SteadyTime movedAt = record.movedAt;
    accept(record, item, entry);
    record.movedAt = movedAt;
}

bool BackendRegistry::hasEnded(const Record& record, const BackendEntry& entry)
{
    return record.mark && record.hasDrained && !entry.isDraining && record.mark->startedAtMs == entry.startedAtMs;
}

void BackendRegistry::markMalformed(Record& record, const SourceItem& item, std::string fault)
{
    setPresent(record, State::Malformed);
    record.value = item.value;
    record.fault = std::move(fault);
}

void BackendRegistry::remove(const std::string& key, const SourceVersion& version)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.state == State::Removed
        || (version.revision != Revision {} && version <= found->second.version))
        return;
    if (!found->second.mark) {
        m_records.erase(found);
        return;
    }
    setMissing(key, found->second);
    found->second.version = version;
}

void BackendRegistry::setMissing(const std::string& key, Record& record)
{
    const bool wasWrittenInEra = record.version > m_firstVersionOfEra;
    if (isUsed(record) && !record.hasDrained && !wasWrittenInEra && isKeepingMissing())
        record.state = State::Kept;
    else
        setRemoved(key, record);
}

bool BackendRegistry::expireKept(SteadyTime asOf)
{
    if (asOf < m_keepUntil)
        return false;
    bool isChanged = false;
    for (auto& [key, record] : m_records) {
        if (record.state != State::Kept)
            continue;
        setRemoved(key, record);
        isChanged = true;
    }
    return isChanged;
}

std::vector<std::string> BackendRegistry::keptInstances() const
{
    std::vector<std::string> instances;
    for (const auto& [key, record] : m_records) {
        if (record.state == State::Kept)
            instances.push_back(record.entry.instance);
    }
    return instances;
}

std::optional<SteadyTime> BackendRegistry::nextExpiry() const
{
    return keptInstances().empty() ? std::nullopt : std::optional(m_keepUntil);
}

void BackendRegistry::setPresent(Record& record, State state)
{
    m_gone.erase(std::exchange(record.goneNumber, 0));
    record.isRemovalConfirmed = false;
    record.state = state;
}

void BackendRegistry::setRemoved(const std::string& key, Record& record)
{
    record.state = State::Removed;
    record.value.clear();
    registerGone(key, record);
}

void BackendRegistry::setReappeared(const std::string& key, Record& record, const std::string& value)
{
    record.state = State::Reappeared;
    record.value = value;
    registerGone(key, record);
}

void BackendRegistry::registerGone(const std::string& key, Record& record)
{
    record.olderMark.reset();
    record.movedAt = {};
    if (!record.mark || record.goneNumber != 0)
        return;
    if (record.highest > *record.mark) {
        record.hasDrained = record.hasDrained && record.highest.startedAtMs == record.mark->startedAtMs;
        record.mark = record.highest;
    }
    record.goneNumber = ++m_lastGoneNumber;
    m_gone.emplace(record.goneNumber, key);
    if (m_gone.size() <= m_settings.maxRemoved)
        return;
    // Entries that reappeared are still in the source, which bounds their number.
    const auto oldest = std::find_if(m_gone.begin(), m_gone.end(),
        [this](const auto& gone) { return m_records.at(gone.second).state == State::Removed; });
    if (oldest == m_gone.end())
        return;
    Record& forgotten = m_records.at(oldest->second);
    forgotten.mark.reset();
    forgotten.goneNumber = 0;
    m_gone.erase(oldest);
}

void BackendRegistry::takeDocument(const SourceVersion& version, const std::vector<SourceItem>& items)
{
    if (version < m_version)
        return;
    const bool isNewEra = version.era != m_version.era;
    setVersion(version);
    std::set<std::string> keys;
    for (const SourceItem& item : items) {
        std::string key = item.key;
        if (key.starts_with(removedPrefix)) {
            key.erase(0, removedPrefix.size());
            const auto gone = decodeGoneItem(item.value);
            // This node may have seen a later write that the source lost.
            const auto known = m_records.find(key);
            if (isNewEra && gone && known != m_records.end() && isUsed(known->second)
                && *known->second.mark > gone->mark)
                continue;
            if (gone)
                takeRemovedItem(key, *gone);
        } else if (key.starts_with(copyPrefix)) {
            key.erase(0, copyPrefix.size());
            takeCopiedItem(key, item);
        } else if (key.starts_with(keptPrefix)) {
            key.erase(0, keptPrefix.size());
            takeKeptItem(key, item);
        } else {
            takeUsedItem(item);
        }
        keys.insert(std::move(key));
    }
    setOthersMissing(keys);
}

void BackendRegistry::takeLost(const std::vector<SourceItem>& items)
{
    for (const SourceItem& item : items) {
        if (item.key.starts_with(removedPrefix))
            takeLostRemoval(item.key.substr(removedPrefix.size()), decodeGoneItem(item.value));
        else if (item.key.starts_with(keptPrefix))
            takeLostEntry(item.key.substr(keptPrefix.size()), item, isKeepingMissing());
        else if (!item.key.starts_with(copyPrefix))
            takeLostEntry(item.key, item, false);
    }
}

void BackendRegistry::takeLostEntry(const std::string& key, const SourceItem& item, bool isKept)
{
    const SourceItem original { key, item.value };
    const DecodedBackend decoded = m_decode(original);
    const auto found = m_records.find(key);
    if (!decoded.entry || (found == m_records.end() && !isKept))
        return;
    Record& record = m_records[key];
    const bool isKnown = record.mark && markOf(*decoded.entry) <= *record.mark;
    if (isKnown || (isGone(record) && (!isKept || hasEnded(record, *decoded.entry))))
        return;
    const bool isMissing = found == m_records.end() || isGone(record) || record.state == State::Kept;
    acceptUnseen(record, original, *decoded.entry);
    if (isMissing)
        record.state = State::Kept;
}

void BackendRegistry::takeLostRemoval(const std::string& key, const std::optional<GoneItem>& item)
{
    const auto found = m_records.find(key);
    const bool isKnown = found != m_records.end();
    if (!item || (isKnown && found->second.mark && *found->second.mark > item->mark))
        return;
    GoneItem removed = *item;
    removed.isInSource = isKnown && found->second.state != State::Removed && found->second.state != State::Kept;
    takeRemovedItem(key, removed);
}

void BackendRegistry::takeUsedItem(const SourceItem& item)
{
    Record& record = m_records[item.key];
    if (record.state == State::InUse && record.value == item.value)
        return;
    const DecodedBackend decoded = m_decode(item);
    if (!decoded.entry) {
        markMalformed(record, item, decoded.fault);
        return;
    }
    const Mark mark = markOf(*decoded.entry);
    if (isGone(record) && record.mark && (mark <= *record.mark || hasEnded(record, *decoded.entry))) {
        setReappeared(item.key, record, item.value);
        return;
    }
    // A sender that knows nothing of the time before the source was restored may have an earlier write.
    if (isUsed(record) && isKeepingMissing() && mark < *record.mark) {
        record.state = State::InUse;
        return;
    }
    // The sender may have seen the writes between two documents, so its choice counts.
    acceptUnseen(record, item, *decoded.entry);
}

void BackendRegistry::takeCopiedItem(const std::string& key, const SourceItem& item)
{
    Record& record = m_records[key];
    const SourceItem original { key, item.value };
    const DecodedBackend decoded = m_decode(original);
    if (!decoded.entry) {
        markMalformed(record, original, decoded.fault);
        return;
    }
    const bool isStillGone = isGone(record) && record.mark && markOf(*decoded.entry) <= *record.mark;
    record.entry = *decoded.entry;
    record.mark = std::max(record.mark.value_or(Mark()), markOf(*decoded.entry));
    record.hasDrained = record.hasDrained || decoded.entry->isDraining;
    if (isStillGone) {
        setReappeared(key, record, item.value);
        return;
    }
    setPresent(record, State::Copy);
    record.value = item.value;
}

SourceItem BackendRegistry::goneItem(const std::string& key, const Record& record)
{
    CborWriter writer;
    writer.writeUnsigned(record.mark->startedAtMs).writeUnsigned(record.mark->sequence);
    writer.writeText(record.entry.address.ip).writeUnsigned(record.entry.address.port);
    writer.writeUnsigned(record.state == State::Reappeared ? 1 : 0).writeUnsigned(record.hasDrained ? 1 : 0);
    writer.writeUnsigned(record.isRemovalConfirmed ? 1 : 0);
    return { std::string(removedPrefix) + key, writer.take() };
}

void BackendRegistry::takeKeptItem(const std::string& key, const SourceItem& item)
{
    const SourceItem original { key, item.value };
    const DecodedBackend decoded = m_decode(original);
    if (!decoded.entry)
        return;
    Record& record = m_records[key];
    const bool isNewer = !record.mark || markOf(*decoded.entry) > *record.mark;
    // A list may contain later writes than its version.
    const bool wasReadLater = record.state == State::InUse && record.version > m_version;
    if (wasReadLater || (isGone(record) && (!isNewer || hasEnded(record, *decoded.entry))))
        return;
    if (isNewer)
        acceptUnseen(record, original, *decoded.entry);
    setPresent(record, State::Kept);
}

std::optional<BackendRegistry::GoneItem> BackendRegistry::decodeGoneItem(const std::string& value)
{
    CborReader reader(value);
    const auto startedAtMs = reader.readUnsigned();
    const auto sequence = reader.readUnsigned();
    const auto ip = reader.readText();
    const auto port = reader.readUnsigned();
    const auto isInSource = reader.readUnsigned();
    const auto hasDrained = reader.readUnsigned();
    const auto isRemovalConfirmed = reader.readUnsigned();
    if (!reader.isComplete())
        return std::nullopt;
    return GoneItem { { *startedAtMs, *sequence }, { std::string(*ip), static_cast<uint16_t>(*port) }, *isInSource != 0,
        *hasDrained != 0, *isRemovalConfirmed != 0 };
}

void BackendRegistry::takeRemovedItem(const std::string& key, const GoneItem& item)
{
    Record& record = m_records[key];
    if (!record.mark || item.mark >= *record.mark) {
        record.mark = item.mark;
        record.hasDrained = item.hasDrained;
        record.entry.address = item.address;
    }
    if (item.isInSource) {
        setReappeared(key, record, {});
    } else if (record.state != State::Removed) {
        setRemoved(key, record);
    }
    record.isRemovalConfirmed = record.isRemovalConfirmed || item.isRemovalConfirmed;
}

std::vector<SourceItem> BackendRegistry::document(const std::function<bool(const std::string& instance)>& isKept) const
{
    std::vector<SourceItem> items;
    for (const auto& [key, record] : m_records) {
        if (record.state == State::InUse || record.state == State::Malformed)
            items.push_back({ key, record.value });
        else if (record.state == State::Copy)
            items.push_back({ std::string(copyPrefix) + key, record.value });
        else if (record.state == State::Kept)
            items.push_back({ std::string(keptPrefix) + key, record.value });
    }
    const size_t omitted = m_gone.size() - std::min(m_gone.size(), m_settings.maxRemovedInDocument);
    size_t index = 0;
    for (const auto& [number, key] : m_gone) {
        const Record& record = m_records.at(key);
        if (index++ < omitted && record.state != State::Reappeared)
            continue;
        Record gone = record;
        gone.isRemovalConfirmed = record.isRemovalConfirmed || (record.wasListed && !isKept(record.entry.instance));
        items.push_back(goneItem(key, gone));
    }
    return items;
}

void BackendRegistry::confirm(const Address& address, const std::string& instance)
{
    m_confirmedAddress = address;
    m_confirmedInstance = instance;
}

bool BackendRegistry::isConfirmed(const Record& record) const
{
    return !m_confirmedInstance.empty() && record.entry.address == m_confirmedAddress
        && record.entry.instance == m_confirmedInstance;
}

bool BackendRegistry::isLive(const Record& record) const
{
    return record.movedAt != SteadyTime {} && m_clock.now() - record.movedAt <= m_settings.liveTime;
}

bool BackendRegistry::isCopyOfRemoved(const BackendEntry& entry) const
{
    if (entry.startedAtMs == 0)
        return false;
    return std::any_of(m_gone.begin(), m_gone.end(), [&](const auto& gone) {
        const Record& removed = m_records.at(gone.second);
        return removed.entry.address == entry.address && removed.mark->startedAtMs == entry.startedAtMs
            && removed.mark->sequence >= entry.sequence;
    });
}

bool BackendRegistry::precedes(const Record& first, const Record& second) const
{
    const auto rank = [this](const Record& record) {
        return std::tuple(isConfirmed(record), isLive(record), *record.mark, record.moves, record.isHolder);
    };
    return rank(first) > rank(second);
}

void BackendRegistry::resolveAddresses()
{
    std::map<Address, Record*> holders;
    std::set<const Record*> displaced;
    for (auto& [key, record] : m_records) {
        if (record.state == State::Copy && isConfirmed(record))
            record.state = State::InUse;
        if (!isUsed(record) || !isKnownService(record.entry.service))
            continue;
        const auto [found, isFirst] = holders.emplace(record.entry.address, &record);
        if (isFirst)
            continue;
        Record* loser = &record;
        if (precedes(record, *found->second))
            std::swap(loser, found->second);
        displaced.insert(loser);
        // A kept entry isn't in the source, so it can't be a copy there, nor does it make one of an entry that is.
        if (loser->state != State::Kept && found->second->state != State::Kept)
            loser->state = State::Copy;
    }
    for (auto& [key, record] : m_records) {
        record.isHolder = isUsed(record) && !displaced.contains(&record);
        record.wasListed = record.wasListed || record.isHolder;
    }
}

BackendList BackendRegistry::list()
{
    resolveAddresses();
    BackendList list { m_version, {} };
    for (const auto& [key, record] : m_records) {
        if (record.isRemovalConfirmed)
            list.removed.insert(record.entry.instance);
        if (record.isHolder)
            list.entries.push_back(record.entry);
        else if (record.state == State::Malformed)
            list.skipped.push_back({ key, record.fault, std::hash<std::string>()(record.value) });
        // Other writers may write a copy again and again, so its value does not count as a change.
        else if (record.state == State::Copy)
            list.skipped.push_back({ key, "another entry holds its address", record.mark->startedAtMs });
        else if (record.state == State::Reappeared)
            list.skipped.push_back({ key, "not newer than before its removal", record.mark->startedAtMs });
    }
    return list;
}

}
