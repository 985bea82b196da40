#include "snipeweir/membership/JoinProtocol.h"

#include "snipeweir/membership/Gossip.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr uint32_t requestsPerAttempt = 3;
    constexpr uint32_t fastAttempts = 10;
    constexpr uint32_t slowIntervalFactor = 5;
    constexpr uint64_t joinsPerInterval = 8;
    constexpr size_t maxSeeds = 64;
    constexpr size_t maxReplyRecords = 10;

}

JoinProtocol::JoinProtocol(const MembershipSettings& settings, const MemberTable& table, const Bridges& bridges,
    const MemberViewBuilder& sources, Random& random, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_table(table)
    , m_bridges(bridges)
    , m_viewBuilder(sources)
    , m_random(random)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_nextAttemptAt(clock.now())
{
}

void JoinProtocol::start(const std::vector<Address>& seeds)
{
    m_seeds = seeds;
    std::erase(m_seeds, m_table.self().record.peer.controlAddress);
    m_attempts = 0;
    m_nextAttemptAt = m_clock.now();
}

void JoinProtocol::markJoined(const VmId& source)
{
    if (m_isJoined)
        return;
    m_isJoined = true;
    m_hooks.onJoined(source);
}

// Addresses of the own data centre's members that are listed but unknown, and of those considered dead: after a
// partition both sides consider each other dead, and nobody would contact the other side otherwise.
std::vector<Address> JoinProtocol::missingMembers() const
{
    std::vector<Address> addresses;
    for (const VmListEntry& entry : m_viewBuilder.vmList()) {
        if (entry.dataCentre == m_table.self().record.peer.dataCentre && !m_table.findInOwnDataCentre(entry.vm))
            addresses.push_back(entry.control);
    }
    if (m_table.ownDataCentre().counts.at(static_cast<size_t>(MemberState::Dead)) == 0)
        return addresses;
    for (const auto& [vm, member] : m_table.ownDataCentre().members) {
        if (member.record.state == MemberState::Dead)
            addresses.push_back(member.record.peer.controlAddress);
    }
    return addresses;
}

void JoinProtocol::tick()
{
    const SteadyTime now = m_clock.now();
    if (now < m_nextAttemptAt)
        return;
    std::vector<Address> candidates = missingMembers();
    if (m_isJoined) {
        // Each member sends with a probability at which all together send about joinsPerInterval requests per interval.
        m_nextAttemptAt = now + m_settings.joinInterval;
        if (!candidates.empty() && m_random.below(m_table.localPeers().size() + 1) < joinsPerInterval)
            sendJoin(candidates[m_random.below(candidates.size())]);
        return;
    }
    m_nextAttemptAt = now + (m_attempts < fastAttempts ? 1 : slowIntervalFactor) * m_settings.joinInterval;
    ++m_attempts;
    candidates.insert(candidates.end(), m_seeds.begin(), m_seeds.end());
    for (uint32_t i = 0; i < requestsPerAttempt && !candidates.empty(); ++i) {
        const size_t pick = m_random.below(candidates.size());
        sendJoin(candidates[pick]);
        candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(pick));
    }
}

void JoinProtocol::sendJoin(const Address& to)
{
    m_hooks.send(to, ControlMessageType::Join, encodeRumours({ m_table.self().record.encoded() }, {}));
}

void JoinProtocol::onJoin(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto list = RumourList::decode(reader);
    if (!list || !reader.isComplete() || list->members.size() != 1)
        return;
    const MemberRecord& joiner = list->members.front();
    if (joiner.peer.vm != message.sender || joiner.peer.incarnation != message.senderIncarnation)
        return;
    m_hooks.applyRecord(joiner, message.sender);

    // The reply holds this node's record, the known record of the joiner if it supersedes the received one, and the
    // records of some members to contact.
    const Peer& self = m_table.self().record.peer;
    std::vector<std::string> records { m_table.self().record.encoded() };
    const Member* known = m_table.find(joiner.peer.vm);
    if (known && known->record.supersedes(joiner))
        records.push_back(known->record.encoded());
    const auto add = [&](const Peer& peer) {
        const Member* member = m_table.find(peer.vm);
        if (member && peer.vm != joiner.peer.vm && peer.vm != self.vm && records.size() < maxReplyRecords)
            records.push_back(member->record.encoded());
    };
    std::vector<std::string> links;
    if (joiner.peer.dataCentre == self.dataCentre) {
        const std::vector<Peer>& peers = m_table.localPeers();
        for (size_t i = 0; i < std::min(peers.size(), maxReplyRecords); ++i)
            add(peers[m_random.below(peers.size())]);
        for (const LinkReport& each : m_bridges.lostLinkReports()) {
            if (links.size() < maxReplyRecords)
                links.push_back(each.encoded());
        }
    } else {
        for (const Peer& peer : m_table.bridgesOf(self.dataCentre))
            add(peer);
        for (const Peer& peer : m_table.bridgesOf(joiner.peer.dataCentre))
            add(peer);
    }
    m_hooks.send(from, ControlMessageType::JoinReply, encodeRumours(records, links));
}

void JoinProtocol::onJoinReply(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto list = RumourList::decode(reader);
    if (!list || !reader.isComplete() || list->members.empty() || list->members.front().peer.vm != message.sender)
        return;
    const DataCentreName& senderDataCentre = list->members.front().peer.dataCentre;
    const bool isLocal = senderDataCentre == m_table.self().record.peer.dataCentre;
    if (isLocal)
        markJoined(message.sender);
    if (m_isJoined) {
        m_hooks.applyRumours(from, *list, message.sender, senderDataCentre);
        return;
    }
    // A seed in another data centre supplies the first addresses in the own one.
    for (const MemberRecord& record : list->members)
        m_hooks.applyRecord(record, message.sender);
    for (const Peer& peer : m_table.localPeers()) {
        if (m_seeds.size() < maxSeeds
            && std::find(m_seeds.begin(), m_seeds.end(), peer.controlAddress) == m_seeds.end())
            m_seeds.push_back(peer.controlAddress);
    }
}

}
