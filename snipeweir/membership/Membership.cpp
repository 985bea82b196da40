#include "snipeweir/membership/Membership.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr size_t maxNameBytes = 64;
    // A node whose VM had an earlier incarnation with a later wall clock raises its start above that one's. The bound
    // stops two processes with the same VM name from raising it against each other without end.
    constexpr uint32_t maxStartRaises = 3;
    // A difference is repaired only if the table has not changed for this long, because rumours usually resolve it.
    constexpr std::chrono::milliseconds minStableTime { 300 };
    constexpr std::chrono::seconds minUptimeForCompleteView { 5 };
    constexpr std::chrono::seconds maxAgreementAge { 15 };

    uint64_t wallTimeMs(const Clock& clock)
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallTime().time_since_epoch()).count());
    }

    bool isValidName(const std::string& text) { return !text.empty() && text.size() <= maxNameBytes; }

}

Result<std::unique_ptr<Membership>> Membership::create(MembershipSettings settings, Peer self, ServiceName service,
    StateChart memberChart, const Clock& clock, uint64_t seed, MembershipHooks hooks)
{
    if (!isValidName(self.vm.text()) || !isValidName(self.dataCentre.text()) || self.region.text().size() > maxNameBytes
        || service.text().size() > maxNameBytes)
        return fail(ErrorCode::InvalidArgument,
            "VM and data centre names must have 1 to 64 bytes, region and service names at most 64.");
    for (const MemberState state :
        { MemberState::Alive, MemberState::Suspected, MemberState::Leaving, MemberState::Dead }) {
        const auto states = memberChart.states();
        if (std::find(states.begin(), states.end(), memberStateName(state)) == states.end())
            return fail(ErrorCode::InvalidArgument,
                "The member chart lacks the state " + std::string(memberStateName(state)) + ".");
    }
    if (settings.pingInterval.count() <= 0 || settings.directPingTimeout >= settings.pingTimeout
        || settings.pingTimeout > settings.pingInterval || settings.bridgesCount == 0)
        return fail(ErrorCode::InvalidArgument,
            "Membership needs directPingTimeout < pingTimeout <= pingInterval, a positive pingInterval and at least "
            "one bridge.");
    if (!hooks.send)
        return fail(ErrorCode::InvalidArgument, "MembershipHooks::send is not set.");
    if (!hooks.onEvent)
        hooks.onEvent = [](const Event&) {};
    MemberRecord record;
    record.peer = std::move(self);
    record.service = std::move(service);
    record.start = wallTimeMs(clock);
    return std::unique_ptr<Membership>(
        new Membership(settings, record, std::move(memberChart), clock, seed, std::move(hooks)));
}

Membership::Membership(MembershipSettings settings, const MemberRecord& self, StateChart chart, const Clock& clock,
    uint64_t seed, MembershipHooks hooks)
    : m_settings(settings)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_startedAt(clock.now())
    , m_table(m_settings, self, std::move(chart), clock,
          { [this](
                const Member& member, RecordChange change, RecordOrigin origin) { onChange(member, change, origin); },
              m_hooks.onEvent })
    , m_gossip(m_settings, m_table, m_random, clock, m_hooks.send)
    , m_detector(m_settings, m_table, m_random, clock,
          { [this](const Peer& target, uint64_t nonce) { sendPing(target, nonce); },
              [this](const Peer& relay, const Peer& target, uint64_t nonce) { sendPingRequest(relay, target, nonce); },
              [this](const Address& requester, uint64_t nonce) { sendRelayedAck(requester, nonce); },
              [this](const VmId& vm) { suspect(vm); },
              [this](const VmId& vm, const char* cause) { declareDead(vm, cause); },
              [this](const VmId& vm) { return m_viewBuilder.isGoneFromVmList(vm); } })
    , m_synchronizer(m_settings, m_table, clock,
          { m_hooks.send,
              [this](const MemberRecord& record, const Member& sender) {
                  applyRecord(record, RecordOrigin::Sync, sender.record.peer.vm.text());
              },
              [this] { return isViewComplete(); } })
    , m_bridges(m_settings, m_table, m_synchronizer, m_random, clock,
          { m_hooks.send, [this](const Address& to) { m_joinProtocol.sendJoin(to); },
              [this](const LinkReport& report) { m_gossip.spread(report, Gossip::Urgency::Push); }, m_hooks.onEvent })
    , m_viewBuilder(m_settings, m_table, m_bridges, clock)
    , m_joinProtocol(m_settings, m_table, m_bridges, m_viewBuilder, m_random, clock,
          { m_hooks.send,
              [this](const MemberRecord& record, const VmId& source) {
                  applyRecord(record, RecordOrigin::Rumour, source.text());
              },
              [this](const Address& from, const RumourList& list, const VmId& sender,
                  const DataCentreName& senderDataCentre) { applyRumours(from, list, sender, senderDataCentre); },
              [this](const VmId& source) {
                  m_nextLocalRepairAt = m_nextRemoteRepairAt = m_clock.now();
                  emitEvent("self_joined", "join_answered", source.text());
              } })
    , m_lastTickAt(m_startedAt)
    , m_nextLocalRepairAt(m_startedAt)
    , m_nextRemoteRepairAt(m_startedAt)
    , m_localAgreedAt(m_startedAt)
    , m_remoteAgreedAt(m_startedAt)
{
}

// Timers.

void Membership::tick()
{
    const SteadyTime now = m_clock.now();
    if (now - m_lastTickAt > m_settings.maxTickGap)
        onPaused();
    m_lastTickAt = now;
    m_table.tick();
    m_detector.tick();
    m_bridges.tick(m_viewBuilder.vmList());
    m_joinProtocol.tick();
    m_gossip.flushPushes(m_settings.pushFanoutCount, {});
}

void Membership::join(const std::vector<Address>& seeds) { m_joinProtocol.start(seeds); }

void Membership::leave()
{
    MemberRecord record = m_table.self().record;
    if (record.state == MemberState::Leaving)
        return;
    ++record.counter;
    record.state = MemberState::Leaving;
    m_table.merge(record, RecordOrigin::Own, "own_decision", self().vm.text());
    m_gossip.flushPushes(m_settings.leaveFanoutCount, {});
    // Sent to the bridges directly, so that they forward it to the other data centres without waiting for a push.
    for (const Peer& bridge : m_table.bridgesOf(self().dataCentre))
        m_gossip.sendRecord(bridge.controlAddress, m_table.self().record);
}

void Membership::onVmList(const std::vector<VmListEntry>& list)
{
    m_viewBuilder.setVmList(list);
    ++m_vmListVersion;
}

void Membership::onCallEvidence(const VmId& vm, OwnEvidence evidence)
{
    if (!m_table.find(vm)) {
        m_viewBuilder.setListedOnlyEvidence(vm, evidence);
        ++m_vmListVersion;
        return;
    }
    m_table.setEvidence(vm, evidence);
    if (evidence == OwnEvidence::Unreachable && m_table.findInOwnDataCentre(vm))
        m_detector.probeNext(vm);
}

void Membership::onPaused()
{
    m_lastTickAt = m_clock.now();
    m_detector.onPaused();
    emitEvent("self_paused", "clock_gap", self().vm.text());
}

std::vector<MemberView> Membership::members() const { return m_viewBuilder.views(m_localAgreedAt, m_remoteAgreedAt); }

// Sending.

PingMessage Membership::pingMessage(uint64_t nonce) const
{
    PingMessage message;
    message.nonce = nonce;
    message.localHash = static_cast<uint32_t>(m_table.hashOf(self().dataCentre));
    message.remoteHash = static_cast<uint32_t>(m_table.remoteHash());
    if (m_hooks.pingAttachment)
        message.attachment = m_hooks.pingAttachment();
    if (message.attachment.size() > m_settings.maxAttachmentBytes)
        message.attachment.clear();
    return message;
}

void Membership::sendPing(const Peer& target, uint64_t nonce)
{
    PingMessage message = pingMessage(nonce);
    message.targetHash = targetHashOf(target.vm);
    // The ping includes the target's record if it is not alive here, so that the target can refute it.
    const Member* member = m_table.findInOwnDataCentre(target.vm);
    const bool isNotAlive = member && member->record.state != MemberState::Alive;
    m_hooks.send(target.controlAddress, ControlMessageType::Ping,
        message.encoded(m_gossip.takePiggyback(isNotAlive ? &member->record : nullptr)));
}

void Membership::sendPingRequest(const Peer& relay, const Peer& target, uint64_t nonce)
{
    CborWriter writer;
    writer.writeUnsigned(nonce).writeText(target.vm.text());
    m_hooks.send(relay.controlAddress, ControlMessageType::PingRequest, writer.take());
}

void Membership::sendRelayedAck(const Address& requester, uint64_t nonce)
{
    PingMessage message = pingMessage(nonce);
    message.targetHash = targetHashOf(self().vm);
    message.isRelayed = true;
    m_hooks.send(requester, ControlMessageType::PingAck, message.encoded(m_gossip.takePiggyback(nullptr)));
}

// Receiving.

void Membership::receive(const Address& from, const ControlMessage& message)
{
    recordSender(message);
    switch (message.type) {
    case ControlMessageType::Ping:
        onPing(from, message);
        break;
    case ControlMessageType::PingAck:
        onPingAck(from, message);
        break;
    case ControlMessageType::PingRequest:
        onPingRequest(from, message);
        break;
    case ControlMessageType::Rumours:
        onRumours(from, message);
        break;
    case ControlMessageType::DataCentreDigest:
        if (const Member* sender = knownSender(message)) {
            const bool isRemote = sender->record.peer.dataCentre != self().dataCentre;
            if (m_synchronizer.onDigest(from, *sender, message.payload) && !isRemote)
                m_localAgreedAt = m_clock.now();
        }
        break;
    case ControlMessageType::DataCentreDifference:
        if (const Member* sender = knownSender(message))
            m_synchronizer.onDifference(from, *sender, message.payload);
        break;
    case ControlMessageType::Join:
        m_joinProtocol.onJoin(from, message);
        break;
    case ControlMessageType::JoinReply:
        m_joinProtocol.onJoinReply(from, message);
        break;
    default:
        return;
    }
    m_gossip.flushPushes(m_settings.pushFanoutCount, message.sender);
}

const Member* Membership::knownSender(const ControlMessage& message) const
{
    const Member* member = m_table.find(message.sender);
    return member && member->record.peer.incarnation == message.senderIncarnation ? member : nullptr;
}

void Membership::recordSender(const ControlMessage& message)
{
    const Member* sender = knownSender(message);
    if (!sender)
        return;
    m_table.recordMessage(message.sender);
    if (sender->record.peer.dataCentre != self().dataCentre)
        m_bridges.onRemoteMessage(sender->record.peer.dataCentre);
}

void Membership::onPing(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto ping = PingMessage::decode(reader, m_settings.maxAttachmentBytes);
    const auto rumours = ping ? RumourList::decode(reader) : std::nullopt;
    if (!rumours || !reader.isComplete())
        return;
    // The ping is meant for a VM that had this address before: tell the sender which VM has it now.
    if (ping->targetHash != targetHashOf(self().vm)) {
        m_gossip.sendRecord(from, m_table.self().record);
        return;
    }
    const Member* sender = knownSender(message);
    const DataCentreName senderDataCentre = sender ? sender->record.peer.dataCentre : DataCentreName();
    applyRumours(from, *rumours, message.sender, senderDataCentre);

    // Send the ack. It includes the sender's record if that is not alive here, so that the sender can refute it.
    PingMessage ack = pingMessage(ping->nonce);
    ack.targetHash = targetHashOf(self().vm);
    sender = knownSender(message);
    ack.isSenderUnknown = !sender;
    const Member* known = m_table.find(message.sender);
    const bool isNotAlive = known && (!sender || known->record.state != MemberState::Alive);
    m_hooks.send(
        from, ControlMessageType::PingAck, ack.encoded(m_gossip.takePiggyback(isNotAlive ? &known->record : nullptr)));
    if (!sender)
        return;
    if (m_hooks.onPingAttachment && !ping->attachment.empty())
        m_hooks.onPingAttachment(sender->record.peer, ping->attachment);
    compareHashes(from, *sender, *ping);
}

void Membership::onPingAck(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto ack = PingMessage::decode(reader, m_settings.maxAttachmentBytes);
    const auto rumours = ack ? RumourList::decode(reader) : std::nullopt;
    if (!rumours || !reader.isComplete())
        return;
    const Member* sender = knownSender(message);
    applyRumours(from, *rumours, message.sender, sender ? sender->record.peer.dataCentre : DataCentreName());
    m_detector.onAck(ack->nonce, message.sender, ack->isRelayed);
    if (ack->isSenderUnknown)
        m_joinProtocol.sendJoin(from);
    // A restarted node also acknowledges pings to its earlier incarnation: request its new record.
    sender = knownSender(message);
    if (!sender) {
        m_joinProtocol.sendJoin(from);
        return;
    }
    if (m_hooks.onPingAttachment && !ack->attachment.empty())
        m_hooks.onPingAttachment(sender->record.peer, ack->attachment);
    compareHashes(from, *sender, *ack);
}

void Membership::onPingRequest(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto nonce = reader.readUnsigned();
    const auto vm = readName(reader);
    if (!nonce || !vm || !reader.isComplete() || !knownSender(message))
        return;
    const Member* target = m_table.findInOwnDataCentre(VmId(*vm));
    if (target && target != &m_table.self())
        m_detector.onPingRequest(from, *nonce, target->record.peer);
}

void Membership::onRumours(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto rumours = RumourList::decode(reader);
    if (!rumours || !reader.isComplete())
        return;
    const Member* sender = knownSender(message);
    applyRumours(from, *rumours, message.sender, sender ? sender->record.peer.dataCentre : DataCentreName());
}

void Membership::applyRumours(
    const Address& from, const RumourList& list, const VmId& sender, const DataCentreName& senderDataCentre)
{
    const bool isLocal = senderDataCentre == self().dataCentre;
    const uint32_t counterBefore = m_table.self().record.counter;
    for (const MemberRecord& record : list.members) {
        const DataCentreName& memberDataCentre = record.peer.dataCentre;
        const bool isAboutSender = record.peer.vm == sender;
        // Apply a member's record of itself, a data centre's records of its own members, any record from the own data
        // centre, and any record about this node.
        if (isAboutSender || isLocal || (!senderDataCentre.isEmpty() && memberDataCentre == senderDataCentre)
            || record.peer.vm == self().vm) {
            applyRecord(record, RecordOrigin::Rumour, sender.text());
            // Tell a sender that it is considered dead here, so that it can refute it.
            const Member* known = isAboutSender ? m_table.find(sender) : nullptr;
            if (known && known->record.state == MemberState::Dead && record.state != MemberState::Dead)
                m_gossip.sendRecord(from, known->record);
            continue;
        }
        // Another data centre considers a member of this one dead: tell the member, so that it can refute it.
        const Member* member = m_table.findInOwnDataCentre(record.peer.vm);
        if (member && record.state == MemberState::Dead && member->record.state != MemberState::Dead
            && member->record.peer.incarnation == record.peer.incarnation && from != member->record.peer.controlAddress)
            m_gossip.sendRecord(member->record.peer.controlAddress, record);
        // Only the member raises its counter, so it ran after it was declared dead here: apply the record, so that it
        // is pinged again.
        if (member && member->record.state == MemberState::Dead && record.state != MemberState::Dead
            && record.supersedes(member->record))
            applyRecord(record, RecordOrigin::Rumour, sender.text());
    }
    // The node that sent the record which this node refuted may not be among those that rumours go to.
    if (m_table.self().record.counter != counterBefore)
        m_gossip.sendRecord(from, m_table.self().record);
    if (!isLocal)
        return;
    for (const LinkReport& report : list.links)
        m_bridges.onLinkReport(report);
}

void Membership::applyRecord(const MemberRecord& record, RecordOrigin origin, const std::string& source)
{
    if (record.peer.vm == self().vm) {
        onRecordAboutSelf(record, source);
        return;
    }
    // Suspicions matter only inside the member's data centre; their refutations would not be sent further either.
    MemberRecord applied = record;
    if (applied.state == MemberState::Suspected && applied.peer.dataCentre != self().dataCentre)
        applied.state = MemberState::Alive;
    m_table.merge(applied, origin, origin == RecordOrigin::Sync ? "repair" : "rumour", source);
}

void Membership::onRecordAboutSelf(const MemberRecord& record, const std::string& source)
{
    MemberRecord own = m_table.self().record;
    if (!record.supersedes(own))
        return;
    if (record.peer.incarnation == own.peer.incarnation && record.start == own.start) {
        own.counter = record.counter + 1;
        emitEvent("self_refuted", std::string(memberStateName(record.state)), source);
    } else if (m_startRaises < maxStartRaises) {
        ++m_startRaises;
        own.start = record.start + 1;
        emitEvent("self_start_raised", "earlier_run_has_later_clock", source);
    } else {
        return;
    }
    m_table.merge(own, RecordOrigin::Own, "own_decision", self().vm.text());
}

// Repairs a difference only once the table has been stable for minStableTime; rumours usually resolve younger ones.
void Membership::compareHashes(const Address& from, const Member& sender, const PingMessage& message)
{
    if (sender.record.peer.dataCentre != self().dataCentre)
        return;
    const SteadyTime now = m_clock.now();
    const bool isLocalEqual = message.localHash == static_cast<uint32_t>(m_table.hashOf(self().dataCentre));
    const bool isRemoteEqual = message.remoteHash == static_cast<uint32_t>(m_table.remoteHash());
    m_joinProtocol.markJoined(sender.record.peer.vm);
    if (isLocalEqual)
        m_localAgreedAt = now;
    if (isRemoteEqual)
        m_remoteAgreedAt = now;
    if (now - m_table.changedAt() < minStableTime)
        return;
    if (!isLocalEqual && now >= m_nextLocalRepairAt) {
        m_nextLocalRepairAt = now + m_settings.syncInterval;
        m_synchronizer.startRepair(from, { self().dataCentre }, Synchronizer::Scope::Listed);
    }
    if (!isRemoteEqual && now >= m_nextRemoteRepairAt) {
        m_nextRemoteRepairAt = now + m_settings.syncInterval;
        std::vector<DataCentreName> others;
        for (const auto& [name, dataCentre] : m_table.dataCentres()) {
            if (name != self().dataCentre)
                others.push_back(name);
        }
        m_synchronizer.startRepair(from, others, Synchronizer::Scope::All);
    }
}

// Reactions.

void Membership::onChange(const Member& member, RecordChange change, RecordOrigin origin)
{
    const MemberRecord& record = member.record;
    const bool isLocal = record.peer.dataCentre == self().dataCentre;
    const bool isSelf = record.peer.vm == self().vm;
    if (isLocal && !isSelf) {
        if (record.state == MemberState::Suspected)
            m_detector.onSuspected(record.peer.vm);
        else
            m_detector.onSuspicionCleared(record.peer.vm);
        if (change == RecordChange::Added || change == RecordChange::State)
            m_detector.onMemberAdded(record.peer.vm);
    }

    // Most members know what a repair brings. Only a change of a known member is spread, so that a node that fetches
    // the whole table does not spread all of it again.
    const bool isKnownToMost = origin == RecordOrigin::Sync && change != RecordChange::State;
    if (!isKnownToMost) {
        const bool isPushed = origin != RecordOrigin::Sync && (isSelf || !m_table.isFlapping(member));
        m_gossip.spread(record, isPushed ? Gossip::Urgency::Push : Gossip::Urgency::Piggyback);
    }
    if (isLocal && (change == RecordChange::Added || change == RecordChange::State) && m_bridges.isBridge())
        m_bridges.forward(record);
}

void Membership::suspect(const VmId& vm)
{
    const Member* member = m_table.findInOwnDataCentre(vm);
    if (!member)
        return;
    MemberRecord record = member->record;
    record.state = MemberState::Suspected;
    m_table.merge(record, RecordOrigin::Own, "no_answer", self().vm.text());
    // Tell the member at once, so that a live one refutes the suspicion before the timeout.
    m_gossip.sendRecord(record.peer.controlAddress, record);
}

void Membership::declareDead(const VmId& vm, const char* cause)
{
    const Member* member = m_table.findInOwnDataCentre(vm);
    if (!member)
        return;
    MemberRecord record = member->record;
    record.state = MemberState::Dead;
    m_table.merge(record, RecordOrigin::Own, cause, self().vm.text());
    m_gossip.sendRecord(record.peer.controlAddress, record);
}

bool Membership::isViewComplete() const
{
    const SteadyTime now = m_clock.now();
    if (localPeers().empty())
        return now - m_startedAt > 2 * minUptimeForCompleteView;
    return isJoined() && now - m_startedAt > minUptimeForCompleteView && m_localAgreedAt > m_startedAt
        && now - m_localAgreedAt < maxAgreementAge;
}

void Membership::emitEvent(std::string kind, const std::string& cause, const std::string& source)
{
    m_hooks.onEvent({ m_clock.wallTime(), std::move(kind), self().vm.text(), cause, source, {} });
}

}
