#include "snipeweir/membership/Membership.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr size_t maxNameBytes = 64;
    // A node that starts again on a VM whose earlier run had a later wall clock raises its start above it. The bound
    // ends a contest between two processes that run under one VM name.
    constexpr uint32_t maxStartRaises = 3;
    // A difference is repaired only if the table has been still for this long: rumours usually settle it.
    constexpr std::chrono::milliseconds settleTime { 300 };
    constexpr std::chrono::seconds completeAfter { 5 };
    constexpr std::chrono::seconds agreementLife { 15 };

    uint64_t wallMs(const Clock& clock)
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallTime().time_since_epoch()).count());
    }

    bool isUsableName(const std::string& text) { return !text.empty() && text.size() <= maxNameBytes; }

}

Result<std::unique_ptr<Membership>> Membership::create(MembershipSettings settings, Peer self, ServiceName service,
    StateChart memberChart, const Clock& clock, uint64_t seed, MembershipHooks hooks)
{
    if (!isUsableName(self.vm.text()) || !isUsableName(self.dataCentre.text())
        || self.region.text().size() > maxNameBytes || service.text().size() > maxNameBytes)
        return fail(ErrorCode::InvalidArgument, "VM and data centre need names of 1 to 64 bytes.");
    for (const MemberState state :
        { MemberState::Alive, MemberState::Suspected, MemberState::Leaving, MemberState::Dead }) {
        const auto states = memberChart.states();
        if (std::find(states.begin(), states.end(), memberStateName(state)) == states.end())
            return fail(ErrorCode::InvalidArgument,
                "The member chart lacks the state " + std::string(memberStateName(state)) + ".");
    }
    if (settings.pingInterval.count() <= 0 || settings.directPingTimeout >= settings.pingTimeout
        || settings.pingTimeout > settings.pingInterval || settings.bridgesCount == 0)
        return fail(ErrorCode::InvalidArgument, "The ping timeouts have to fit into the ping interval.");
    if (!hooks.send)
        return fail(ErrorCode::InvalidArgument, "Membership needs a sender.");
    if (!hooks.onEvent)
        hooks.onEvent = [](const Event&) {};
    MemberRecord record;
    record.peer = std::move(self);
    record.service = std::move(service);
    record.start = wallMs(clock);
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
              [this](const Address& requester, uint64_t nonce) { sendRelayedAnswer(requester, nonce); },
              [this](const VmId& vm) { suspect(vm); },
              [this](const VmId& vm, const char* cause) { declareDead(vm, cause); },
              [this](const VmId& vm) { return m_sources.isConfirmedGone(vm); } })
    , m_synchronizer(m_settings, m_table, clock,
          { m_hooks.send,
              [this](const MemberRecord& record, const Member& sender) {
                  accept(record, RecordOrigin::Sync, sender.record.peer.vm.text());
              },
              [this] { return isViewComplete(); } })
    , m_bridges(m_settings, m_table, m_synchronizer, m_random, clock,
          { m_hooks.send, [this](const Address& to) { m_joining.ask(to); },
              [this](const LinkReport& report) { m_gossip.spread(report, Gossip::Urgency::Push); }, m_hooks.onEvent })
    , m_sources(m_settings, m_table, m_bridges, clock)
    , m_joining(m_settings, m_table, m_bridges, m_sources, m_random, clock,
          { m_hooks.send,
              [this](const MemberRecord& record, const VmId& source) {
                  accept(record, RecordOrigin::Rumour, source.text());
              },
              [this](const Address& from, const RumourList& list, const VmId& sender, const DataCentreName& place) {
                  takeRumours(from, list, sender, place);
              },
              [this](const VmId& source) {
                  m_nextLocalRepairAt = m_nextRemoteRepairAt = m_clock.now();
                  report("self_joined", "join_answered", source.text());
              } })
    , m_tickedAt(m_startedAt)
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
    if (now - m_tickedAt > m_settings.tickGapBound)
        onPaused();
    m_tickedAt = now;
    m_table.tick();
    m_detector.tick();
    m_bridges.tick(m_sources.list());
    m_joining.tick();
    m_gossip.flush(m_settings.pushFanoutCount, {});
}

void Membership::join(const std::vector<Address>& seeds) { m_joining.start(seeds); }

void Membership::leave()
{
    MemberRecord record = m_table.self().record;
    if (record.state == MemberState::Leaving)
        return;
    ++record.counter;
    record.state = MemberState::Leaving;
    m_table.merge(record, RecordOrigin::Own, "own_decision", self().vm.text());
    m_gossip.flush(m_settings.leaveFanoutCount, {});
    // The bridges carry the news to the other data centres without waiting for a push to reach them.
    for (const Peer& bridge : m_table.bridgesOf(self().dataCentre))
        m_gossip.tell(bridge.control, m_table.self().record);
}

void Membership::onVmList(const std::vector<VmListEntry>& list)
{
    m_sources.setList(list);
    ++m_listVersion;
}

void Membership::onCallEvidence(const VmId& vm, OwnEvidence evidence)
{
    if (!m_table.find(vm)) {
        m_sources.setListedEvidence(vm, evidence);
        ++m_listVersion;
        return;
    }
    m_table.setEvidence(vm, evidence);
    if (evidence == OwnEvidence::Unreachable && m_table.findInOwnDataCentre(vm))
        m_detector.checkSoon(vm);
}

void Membership::onPaused()
{
    m_tickedAt = m_clock.now();
    m_detector.onPaused();
    report("self_paused", "clock_gap", self().vm.text());
}

std::vector<MemberView> Membership::members() const { return m_sources.views(m_localAgreedAt, m_remoteAgreedAt); }

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
    // A suspected member learns of the suspicion first, so that it can refute it.
    const Member* member = m_table.findInOwnDataCentre(target.vm);
    const bool isDoubtful = member && member->record.state != MemberState::Alive;
    m_hooks.send(target.control, ControlMessageType::Ping,
        message.encoded(m_gossip.carried(isDoubtful ? &member->record : nullptr)));
}

void Membership::sendPingRequest(const Peer& relay, const Peer& target, uint64_t nonce)
{
    CborWriter writer;
    writer.writeUnsigned(nonce).writeText(target.vm.text());
    m_hooks.send(relay.control, ControlMessageType::PingRequest, writer.take());
}

void Membership::sendRelayedAnswer(const Address& requester, uint64_t nonce)
{
    PingMessage message = pingMessage(nonce);
    message.targetHash = targetHashOf(self().vm);
    message.isRelayed = true;
    m_hooks.send(requester, ControlMessageType::PingAnswer, message.encoded(m_gossip.carried(nullptr)));
}

// Receiving.

void Membership::receive(const Address& from, const ControlMessage& message)
{
    noteSender(message);
    switch (message.type) {
    case ControlMessageType::Ping:
        onPing(from, message);
        break;
    case ControlMessageType::PingAnswer:
        onPingAnswer(from, message);
        break;
    case ControlMessageType::PingRequest:
        onPingRequest(from, message);
        break;
    case ControlMessageType::Rumours:
        onRumours(from, message);
        break;
    case ControlMessageType::DataCentreDigest:
        if (const Member* sender = knownSender(message)) {
            const bool isOutside = sender->record.peer.dataCentre != self().dataCentre;
            if (m_synchronizer.onDigest(from, *sender, message.payload) && !isOutside)
                m_localAgreedAt = m_clock.now();
        }
        break;
    case ControlMessageType::DataCentreDifference:
        if (const Member* sender = knownSender(message))
            m_synchronizer.onDifference(from, *sender, message.payload);
        break;
    case ControlMessageType::Join:
        m_joining.onJoin(from, message);
        break;
    case ControlMessageType::JoinAnswer:
        m_joining.onJoinAnswer(from, message);
        break;
    default:
        return;
    }
    m_gossip.flush(m_settings.pushFanoutCount, message.sender);
}

const Member* Membership::knownSender(const ControlMessage& message) const
{
    const Member* member = m_table.find(message.sender);
    return member && member->record.peer.incarnation == message.senderIncarnation ? member : nullptr;
}

void Membership::noteSender(const ControlMessage& message)
{
    const Member* sender = knownSender(message);
    if (!sender)
        return;
    m_table.markHeard(message.sender);
    if (sender->record.peer.dataCentre != self().dataCentre)
        m_bridges.onContact(sender->record.peer.dataCentre);
}

void Membership::onPing(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto ping = PingMessage::decode(reader, m_settings.maxAttachmentBytes);
    const auto rumours = ping ? RumourList::decode(reader) : std::nullopt;
    if (!rumours || !reader.isComplete())
        return;
    // The ping is meant for a VM that lived at this address before: the pinging node learns who lives here now.
    if (ping->targetHash != targetHashOf(self().vm)) {
        m_gossip.tell(from, m_table.self().record);
        return;
    }
    const Member* sender = knownSender(message);
    const DataCentreName place = sender ? sender->record.peer.dataCentre : DataCentreName();
    takeRumours(from, *rumours, message.sender, place);

    // Answer. A sender that is not held alive learns of it first, so that it can refute it.
    PingMessage answer = pingMessage(ping->nonce);
    answer.targetHash = targetHashOf(self().vm);
    sender = knownSender(message);
    answer.isSenderUnknown = !sender;
    const Member* held = m_table.find(message.sender);
    const bool isDoubtful = held && (!sender || held->record.state != MemberState::Alive);
    m_hooks.send(
        from, ControlMessageType::PingAnswer, answer.encoded(m_gossip.carried(isDoubtful ? &held->record : nullptr)));
    if (!sender)
        return;
    if (m_hooks.onPingAttachment && !ping->attachment.empty())
        m_hooks.onPingAttachment(sender->record.peer, ping->attachment);
    compareHashes(from, *sender, *ping);
}

void Membership::onPingAnswer(const Address& from, const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto answer = PingMessage::decode(reader, m_settings.maxAttachmentBytes);
    const auto rumours = answer ? RumourList::decode(reader) : std::nullopt;
    if (!rumours || !reader.isComplete())
        return;
    const Member* sender = knownSender(message);
    takeRumours(from, *rumours, message.sender, sender ? sender->record.peer.dataCentre : DataCentreName());
    m_detector.onAnswer(answer->nonce, message.sender, answer->isRelayed);
    if (answer->isSenderUnknown)
        m_joining.ask(from);
    // A restarted node answers pings for its earlier run: asks it for its record.
    sender = knownSender(message);
    if (!sender) {
        m_joining.ask(from);
        return;
    }
    if (m_hooks.onPingAttachment && !answer->attachment.empty())
        m_hooks.onPingAttachment(sender->record.peer, answer->attachment);
    compareHashes(from, *sender, *answer);
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
    takeRumours(from, *rumours, message.sender, sender ? sender->record.peer.dataCentre : DataCentreName());
}

void Membership::takeRumours(
    const Address& from, const RumourList& list, const VmId& sender, const DataCentreName& senderPlace)
{
    const bool isLocal = senderPlace == self().dataCentre;
    const uint32_t counterBefore = m_table.self().record.counter;
    for (const MemberRecord& record : list.members) {
        const DataCentreName& place = record.peer.dataCentre;
        const bool isOfSender = record.peer.vm == sender;
        // A data centre speaks for its own members, and a member for itself.
        if (isOfSender || isLocal || (!senderPlace.isEmpty() && place == senderPlace) || record.peer.vm == self().vm) {
            accept(record, RecordOrigin::Rumour, sender.text());
            // A member that is held dead here gets to know, so that it can refute it.
            const Member* held = isOfSender ? m_table.find(sender) : nullptr;
            if (held && held->record.state == MemberState::Dead && record.state != MemberState::Dead)
                m_gossip.tell(from, held->record);
            continue;
        }
        // Another data centre holds a member of this one dead: the member gets to know, so that it can refute it.
        const Member* member = m_table.findInOwnDataCentre(record.peer.vm);
        if (member && record.state == MemberState::Dead && member->record.state != MemberState::Dead
            && member->record.peer.incarnation == record.peer.incarnation && from != member->record.peer.control)
            m_gossip.tell(member->record.peer.control, record);
        // A member raises its counter itself, so that it has run after its death here; it is probed again.
        if (member && member->record.state == MemberState::Dead && record.state != MemberState::Dead
            && record.prevailsOver(member->record))
            accept(record, RecordOrigin::Rumour, sender.text());
    }
    // The node that brought the news of this one's death may not be among those that rumours go to.
    if (m_table.self().record.counter != counterBefore)
        m_gossip.tell(from, m_table.self().record);
    if (!isLocal)
        return;
    for (const LinkReport& report : list.links)
        m_bridges.onReport(report);
}

void Membership::accept(const MemberRecord& record, RecordOrigin origin, const std::string& source)
{
    if (record.peer.vm == self().vm) {
        onOwnRecord(record, source);
        return;
    }
    // Suspicions matter only inside the member's data centre; the refutation would not travel further either.
    MemberRecord taken = record;
    if (taken.state == MemberState::Suspected && taken.peer.dataCentre != self().dataCentre)
        taken.state = MemberState::Alive;
    m_table.merge(taken, origin, origin == RecordOrigin::Sync ? "repair" : "rumour", source);
}

void Membership::onOwnRecord(const MemberRecord& record, const std::string& source)
{
    MemberRecord own = m_table.self().record;
    if (!record.prevailsOver(own))
        return;
    if (record.peer.incarnation == own.peer.incarnation && record.start == own.start) {
        own.counter = record.counter + 1;
        report("self_refuted", std::string(memberStateName(record.state)), source);
    } else if (m_startRaises < maxStartRaises) {
        ++m_startRaises;
        own.start = record.start + 1;
        report("self_start_raised", "earlier_run_has_later_clock", source);
    } else {
        return;
    }
    m_table.merge(own, RecordOrigin::Own, "own_decision", self().vm.text());
}

// A difference that lasts is repaired at once; one that rumours settle is not.
void Membership::compareHashes(const Address& from, const Member& sender, const PingMessage& message)
{
    if (sender.record.peer.dataCentre != self().dataCentre)
        return;
    const SteadyTime now = m_clock.now();
    const bool isLocalEqual = message.localHash == static_cast<uint32_t>(m_table.hashOf(self().dataCentre));
    const bool isRemoteEqual = message.remoteHash == static_cast<uint32_t>(m_table.remoteHash());
    m_joining.markJoined(sender.record.peer.vm);
    if (isLocalEqual)
        m_localAgreedAt = now;
    if (isRemoteEqual)
        m_remoteAgreedAt = now;
    if (now - m_table.changedAt() < settleTime)
        return;
    if (!isLocalEqual && now >= m_nextLocalRepairAt) {
        m_nextLocalRepairAt = now + m_settings.syncInterval;
        m_synchronizer.ask(from, { self().dataCentre }, Synchronizer::Scope::Listed);
    }
    if (!isRemoteEqual && now >= m_nextRemoteRepairAt) {
        m_nextRemoteRepairAt = now + m_settings.syncInterval;
        std::vector<DataCentreName> others;
        for (const auto& [name, dataCentre] : m_table.dataCentres()) {
            if (name != self().dataCentre)
                others.push_back(name);
        }
        m_synchronizer.ask(from, others, Synchronizer::Scope::All);
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
            m_detector.onCleared(record.peer.vm);
        if (change == RecordChange::Added || change == RecordChange::State)
            m_detector.onMemberAdded(record.peer.vm);
    }

    // What a repair brings is known to most: only a change of a known member is carried on, so that a node that fetches
    // the whole table does not spread all of it again.
    const bool isQuiet = origin == RecordOrigin::Sync && change != RecordChange::State;
    if (!isQuiet) {
        const bool isPushed = origin != RecordOrigin::Sync && (isSelf || !m_table.isFlapping(member));
        m_gossip.spread(record, isPushed ? Gossip::Urgency::Push : Gossip::Urgency::Carry);
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
    // The member itself hears of it at once, so that a live one refutes it before the timeout.
    m_gossip.tell(record.peer.control, record);
}

void Membership::declareDead(const VmId& vm, const char* cause)
{
    const Member* member = m_table.findInOwnDataCentre(vm);
    if (!member)
        return;
    MemberRecord record = member->record;
    record.state = MemberState::Dead;
    m_table.merge(record, RecordOrigin::Own, cause, self().vm.text());
    m_gossip.tell(record.peer.control, record);
}

bool Membership::isViewComplete() const
{
    const SteadyTime now = m_clock.now();
    if (localPeers().empty())
        return now - m_startedAt > 2 * completeAfter;
    return isJoined() && now - m_startedAt > completeAfter && m_localAgreedAt > m_startedAt
        && now - m_localAgreedAt < agreementLife;
}

void Membership::report(std::string kind, const std::string& cause, const std::string& source)
{
    m_hooks.onEvent({ m_clock.wallTime(), std::move(kind), self().vm.text(), cause, source, {} });
}

}
