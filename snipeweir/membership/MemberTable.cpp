#include "snipeweir/membership/MemberTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <xxhash.h>

namespace snipeweir {

namespace {

    uint64_t hashText(const std::string& text, uint64_t seed = 0) { return XXH64(text.data(), text.size(), seed); }

    // Suspicion and counter are left out: they change often and matter only inside the data centre. Dead members are
    // left out because nodes forget them at different times.
    uint64_t hashRecord(const MemberRecord& record)
    {
        if (record.state == MemberState::Dead)
            return 0;
        const std::array<uint64_t, 3> fields { record.peer.incarnation.value, record.start,
            record.state == MemberState::Leaving ? 1ULL : 0ULL };
        return XXH64(fields.data(), sizeof(fields), hashText(record.peer.vm.text()));
    }

    uint8_t bucketOf(const VmId& vm) { return static_cast<uint8_t>(hashText(vm.text(), 1) % bucketCount); }

}

MemberTable::MemberTable(
    const MembershipSettings& settings, const MemberRecord& self, StateChart chart, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_selfVm(self.peer.vm)
    , m_ownDataCentreName(self.peer.dataCentre)
    , m_chart(std::move(chart))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_changedAt(clock.now())
{
    m_ownDataCentre = &m_dataCentres[m_ownDataCentreName];
    insert(self);
}

const Member* MemberTable::findInOwnDataCentre(const VmId& vm) const
{
    const auto found = m_ownDataCentre->members.find(vm);
    return found == m_ownDataCentre->members.end() ? nullptr : &found->second;
}

Member* MemberTable::findMutable(const VmId& vm)
{
    // The own data centre is searched first because most messages come from it.
    if (const auto found = m_ownDataCentre->members.find(vm); found != m_ownDataCentre->members.end())
        return &found->second;
    for (auto& [name, dataCentre] : m_dataCentres) {
        if (const auto found = dataCentre.members.find(vm); found != dataCentre.members.end())
            return &found->second;
    }
    return nullptr;
}

const Member* MemberTable::find(const VmId& vm) const { return const_cast<MemberTable*>(this)->findMutable(vm); }

const Member& MemberTable::self() const
{
    const Member* member = findInOwnDataCentre(m_selfVm);
    assert(member);
    return *member;
}

std::vector<const char*> MemberTable::transitionEvents(const Member& member, const MemberRecord& record) const
{
    std::vector<const char*> events;
    MemberState state = member.record.state;
    if (record.isLaterIncarnationThan(member.record)) {
        events.push_back("replaced");
        state = MemberState::Alive;
    }
    // A record with a higher counter than that of the dead member means that the member has refuted its death.
    if (state == MemberState::Dead && record.state != MemberState::Dead) {
        events.push_back("refuted");
        state = MemberState::Alive;
    }
    if (state == record.state)
        return events;
    switch (record.state) {
    case MemberState::Alive:
        events.push_back("refuted");
        break;
    case MemberState::Suspected:
        events.push_back("no_answer");
        break;
    case MemberState::Leaving:
        events.push_back("leave");
        break;
    case MemberState::Dead:
        events.push_back("declared_dead");
        break;
    }
    return events;
}

bool MemberTable::isTransitionAllowed(const Member& member, const MemberRecord& record) const
{
    std::string state(memberStateName(member.record.state));
    for (const char* event : transitionEvents(member, record)) {
        const auto next = m_chart.next(state, event);
        if (!next)
            return false;
        state = *next;
    }
    return state == memberStateName(record.state);
}

RecordChange MemberTable::merge(
    const MemberRecord& record, RecordOrigin origin, const std::string& cause, const std::string& source)
{
    Member* member = findMutable(record.peer.vm);
    if (member && !record.supersedes(member->record))
        return RecordChange::None;
    if (member && member->record.peer.dataCentre != record.peer.dataCentre) {
        erase(record.peer.vm);
        member = nullptr;
    }

    // Unknown member. One that is already dead is stored only to recognise late rumours.
    if (!member) {
        if (m_membersCount >= m_settings.maxMembersCount)
            return RecordChange::None;
        member = insert(record);
        if (record.state == MemberState::Dead)
            return RecordChange::None;
        if (origin != RecordOrigin::Sync)
            emitEvent(*member, "member_joined", cause, source, {});
        resolveAddressConflict(record, source);
        m_hooks.onChange(*member, RecordChange::Added, origin);
        return RecordChange::Added;
    }

    if (!isTransitionAllowed(*member, record))
        return RecordChange::None;
    const MemberState before = member->record.state;
    const bool isReplaced = record.isLaterIncarnationThan(member->record);
    const bool isReturn = isReplaced || (before == MemberState::Dead && record.state != MemberState::Dead);
    const auto age = m_clock.now() - member->changedAt;
    const uint64_t hashBefore = member->hash;
    update(*member, record);
    if (isReturn)
        recordFlap(*member);
    const bool isStateChange = member->hash != hashBefore;
    const RecordChange change = isStateChange ? RecordChange::State : RecordChange::Counter;
    if (isReplaced)
        emitEvent(*member, "member_replaced", cause, source, age);
    else if (before != record.state)
        emitEvent(*member, "member_" + std::string(memberStateName(record.state)), cause, source, age);
    if (isStateChange && record.state != MemberState::Dead)
        resolveAddressConflict(record, source);
    m_hooks.onChange(*member, change, origin);
    return change;
}

// A VM that starts at the address of another one replaces it. The later start wins, and the other VM is declared dead.
void MemberTable::resolveAddressConflict(const MemberRecord& record, const std::string& source)
{
    const std::string address = record.peer.controlAddress.text();
    const auto occupant = m_vmByAddress.find(address);
    if (occupant == m_vmByAddress.end() || occupant->second == record.peer.vm) {
        m_vmByAddress.insert_or_assign(address, record.peer.vm);
        return;
    }
    const Member* other = find(occupant->second);
    const bool isAddressInUse = other && other->record.state != MemberState::Dead
        && other->record.peer.controlAddress == record.peer.controlAddress;
    if (!isAddressInUse) {
        occupant->second = record.peer.vm;
        return;
    }
    MemberRecord displaced = record;
    if (record.isLaterIncarnationThan(other->record)) {
        displaced = other->record;
        occupant->second = record.peer.vm;
    }
    if (displaced.peer.vm == m_selfVm)
        return;
    displaced.state = MemberState::Dead;
    merge(displaced, RecordOrigin::Own, "address_taken_over", source);
}

Member* MemberTable::insert(const MemberRecord& record)
{
    DataCentre& dataCentre = m_dataCentres[record.peer.dataCentre];
    Member member;
    member.record = record;
    member.changedAt = m_clock.now();
    member.bucket = bucketOf(record.peer.vm);
    Member& stored = dataCentre.members.insert_or_assign(record.peer.vm, std::move(member)).first->second;
    ++dataCentre.counts.at(static_cast<size_t>(record.state));
    ++m_membersCount;
    stored.hash = 0;
    // The member is already counted in its state; update() subtracts it from that count and adds it again.
    update(stored, record);
    return &stored;
}

void MemberTable::update(Member& member, const MemberRecord& record)
{
    const SteadyTime now = m_clock.now();
    DataCentre& dataCentre = m_dataCentres[record.peer.dataCentre];
    --dataCentre.counts.at(static_cast<size_t>(member.record.state));
    ++dataCentre.counts.at(static_cast<size_t>(record.state));
    const uint64_t hash = hashRecord(record);
    dataCentre.hash ^= member.hash ^ hash;
    member.hash = hash;
    if (member.record.peer.controlAddress != record.peer.controlAddress)
        m_vmByAddress.erase(member.record.peer.controlAddress.text());
    member.record = record;
    member.changedAt = now;
    dataCentre.isBridgeListStale = true;
    if (&dataCentre == m_ownDataCentre)
        m_isPeerListStale = true;
    m_changedAt = now;
    ++m_version;
    if (record.state != MemberState::Dead)
        return;
    m_tombstones.push_back({ record.peer.vm, now });
    if (m_tombstones.size() <= m_settings.maxTombstonesCount)
        return;
    const Tombstone oldest = m_tombstones.front();
    m_tombstones.pop_front();
    const Member* dead = find(oldest.vm);
    if (dead && dead != &member && dead->record.state == MemberState::Dead && dead->changedAt == oldest.diedAt)
        erase(oldest.vm);
}

void MemberTable::erase(const VmId& vm)
{
    const Member* member = find(vm);
    assert(member && vm != m_selfVm);
    DataCentre& dataCentre = m_dataCentres[member->record.peer.dataCentre];
    dataCentre.hash ^= member->hash;
    --dataCentre.counts.at(static_cast<size_t>(member->record.state));
    --m_membersCount;
    dataCentre.isBridgeListStale = true;
    m_isPeerListStale = true;
    ++m_version;
    const std::string address = member->record.peer.controlAddress.text();
    if (const auto occupant = m_vmByAddress.find(address); occupant != m_vmByAddress.end() && occupant->second == vm)
        m_vmByAddress.erase(occupant);
    dataCentre.members.erase(vm);
}

void MemberTable::tick()
{
    const SteadyTime now = m_clock.now();
    while (!m_tombstones.empty() && now - m_tombstones.front().diedAt > m_settings.tombstoneLifetime) {
        const Tombstone oldest = m_tombstones.front();
        m_tombstones.pop_front();
        const Member* dead = find(oldest.vm);
        if (dead && dead->record.state == MemberState::Dead && dead->changedAt == oldest.diedAt)
            erase(oldest.vm);
    }
}

void MemberTable::clearSuspicion(const VmId& vm)
{
    Member* member = findMutable(vm);
    if (!member || member->record.state != MemberState::Suspected
        || m_chart.next("suspected", "answered") != std::string("alive"))
        return;
    const auto age = m_clock.now() - member->changedAt;
    MemberRecord record = member->record;
    record.state = MemberState::Alive;
    update(*member, record);
    emitEvent(*member, "member_alive", "answered", m_selfVm.text(), age);
}

void MemberTable::recordMessage(const VmId& vm)
{
    if (Member* member = findMutable(vm))
        member->lastMessageAt = m_clock.now();
}

void MemberTable::setEvidence(const VmId& vm, OwnEvidence evidence)
{
    Member* member = findMutable(vm);
    if (!member)
        return;
    if (member->evidence != evidence)
        ++m_version;
    member->evidence = evidence;
    member->evidenceAt = m_clock.now();
}

const std::vector<Peer>& MemberTable::localPeers() const
{
    if (!m_isPeerListStale)
        return m_localPeers;
    m_localPeers.clear();
    for (const auto& [vm, member] : m_ownDataCentre->members) {
        if (member.isLive() && vm != m_selfVm)
            m_localPeers.push_back(member.record.peer);
    }
    m_isPeerListStale = false;
    return m_localPeers;
}

const std::vector<Peer>& MemberTable::bridgesOf(const DataCentreName& name) const
{
    static const std::vector<Peer> none;
    const auto found = m_dataCentres.find(name);
    if (found == m_dataCentres.end())
        return none;
    DataCentre& dataCentre = found->second;
    if (!dataCentre.isBridgeListStale)
        return dataCentre.bridges;

    // Rendezvous hashing: every node computes the same scores without an election.
    std::vector<std::pair<uint64_t, const Peer*>> scores;
    for (const auto& [vm, member] : dataCentre.members) {
        if (member.isLive())
            scores.emplace_back(hashText(vm.text(), hashText(name.text())), &member.record.peer);
    }
    const size_t count = std::min<size_t>(m_settings.bridgesCount, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<ptrdiff_t>(count), scores.end(),
        [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first > right.first : left.second->vm < right.second->vm;
        });
    dataCentre.bridges.clear();
    for (size_t i = 0; i < count; ++i)
        dataCentre.bridges.push_back(*scores[i].second);
    dataCentre.isBridgeListStale = false;
    return dataCentre.bridges;
}

uint64_t MemberTable::hashOf(const DataCentreName& name) const
{
    const auto found = m_dataCentres.find(name);
    return found == m_dataCentres.end() ? 0 : found->second.hash;
}

uint64_t MemberTable::remoteHash() const
{
    uint64_t hash = 0;
    for (const auto& [name, dataCentre] : m_dataCentres) {
        if (name != m_ownDataCentreName)
            hash ^= dataCentre.hash;
    }
    return hash;
}

BucketHashes MemberTable::bucketHashes(const DataCentreName& name) const
{
    BucketHashes hashes {};
    const auto found = m_dataCentres.find(name);
    if (found == m_dataCentres.end())
        return hashes;
    for (const auto& [vm, member] : found->second.members)
        hashes.at(member.bucket) ^= static_cast<uint32_t>(member.hash);
    return hashes;
}

double MemberTable::flapPenalty(const Member& member) const
{
    const double halvings = std::chrono::duration<double>(m_clock.now() - member.flapPenaltyAt)
        / std::chrono::duration<double>(m_settings.flapHalfLife);
    return member.flapPenalty * std::exp2(-halvings);
}

bool MemberTable::isFlapping(const Member& member) const
{
    return member.isMarkedFlapping && flapPenalty(member) >= m_settings.flapReuseThreshold;
}

void MemberTable::recordFlap(Member& member)
{
    const bool wasFlapping = isFlapping(member);
    member.flapPenalty = flapPenalty(member) + 1;
    member.flapPenaltyAt = m_clock.now();
    member.isMarkedFlapping = wasFlapping || member.flapPenalty >= m_settings.flapSuppressThreshold;
    if (member.isMarkedFlapping && !wasFlapping)
        emitEvent(member, "member_flapping", "repeated_returns", m_selfVm.text(), {});
}

void MemberTable::emitEvent(const Member& member, std::string kind, const std::string& cause, const std::string& source,
    std::chrono::nanoseconds age)
{
    m_hooks.onEvent({ m_clock.wallTime(), std::move(kind), member.record.peer.vm.text(), cause, source,
        std::chrono::duration_cast<std::chrono::milliseconds>(age) });
}

}
