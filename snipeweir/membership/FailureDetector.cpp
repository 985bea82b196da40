#include "snipeweir/membership/FailureDetector.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr size_t maxPriorityTargets = 16;
    constexpr size_t maxRelayedPings = 64;

}

FailureDetector::FailureDetector(
    const MembershipSettings& settings, MemberTable& table, Random& random, const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_table(table)
    , m_random(random)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_localHealth(settings, clock.now())
    // A random offset keeps nodes that start together from pinging at the same moment.
    , m_nextPingAt(
          clock.now() + std::chrono::milliseconds(random.below(static_cast<uint64_t>(settings.pingInterval.count()))))
    , m_lastNonce(random.below(1ULL << 24))
{
}

std::chrono::milliseconds FailureDetector::scaledTimeout(std::chrono::milliseconds timeout) const
{
    return isDegraded() ? timeout * m_settings.degradedTimeoutFactor : timeout;
}

void FailureDetector::tick()
{
    const SteadyTime now = m_clock.now();
    const auto& counts = m_table.ownDataCentre().counts;
    const size_t suspected = counts.at(static_cast<size_t>(MemberState::Suspected));
    m_localHealth.onTick(now, suspected, m_table.localPeers().size());
    checkProbes(now);
    while (!m_relayedPings.empty() && m_relayedPings.front().expiresAt <= now)
        m_relayedPings.pop_front();
    expireSuspicions(now);
    if (now >= m_nextPingAt) {
        m_nextPingAt = std::max(m_nextPingAt + m_settings.pingInterval, now + m_settings.pingInterval / 2);
        startProbe(now);
    }
}

const Member* FailureDetector::nextTarget()
{
    const auto findPingable = [this](const VmId& vm) -> const Member* {
        const Member* member = m_table.findInOwnDataCentre(vm);
        return member && member != &m_table.self() && member->record.state != MemberState::Dead ? member : nullptr;
    };
    while (!m_priorityTargets.empty()) {
        const VmId vm = m_priorityTargets.front();
        m_priorityTargets.pop_front();
        if (const Member* member = findPingable(vm))
            return member;
    }

    // Each member is pinged once per round, which bounds the time between two pings of one member.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const VmId vm = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            if (const Member* member = findPingable(vm))
                return member;
        }
        for (const auto& [vm, member] : m_table.ownDataCentre().members)
            m_probeOrder.push_back(vm);
        for (size_t i = m_probeOrder.size(); i > 1; --i)
            std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.below(i)]);
    }
    return nullptr;
}

void FailureDetector::startProbe(SteadyTime now)
{
    const Member* target = nextTarget();
    if (!target)
        return;
    Probe probe;
    probe.target = target->record.peer.vm;
    probe.nonce = ++m_lastNonce;
    probe.sentAt = now;
    probe.wasSuspected = target->record.state != MemberState::Alive;
    m_probes.push_back(probe);
    m_hooks.ping(target->record.peer, probe.nonce);
}

void FailureDetector::checkProbes(SteadyTime now)
{
    std::vector<Probe> failed;
    std::erase_if(m_probes, [&](Probe& probe) {
        if (now - probe.sentAt >= scaledTimeout(m_settings.pingTimeout)) {
            failed.push_back(probe);
            return true;
        }
        if (!probe.isIndirect && now - probe.sentAt >= m_settings.directPingTimeout) {
            probe.isIndirect = true;
            sendPingRequests(probe);
        }
        return false;
    });
    for (const Probe& probe : failed)
        onProbeFailed(probe, now);
}

void FailureDetector::sendPingRequests(const Probe& probe)
{
    const Member* target = m_table.findInOwnDataCentre(probe.target);
    const std::vector<Peer>& peers = m_table.localPeers();
    if (!target || peers.empty())
        return;
    // Draw distinct peers other than the target. The number of draws is bounded.
    std::vector<size_t> chosen;
    for (uint32_t draw = 0; draw < 4 * m_settings.indirectPingsCount; ++draw) {
        const size_t pick = m_random.below(peers.size());
        if (peers[pick].vm == probe.target || std::find(chosen.begin(), chosen.end(), pick) != chosen.end())
            continue;
        chosen.push_back(pick);
        m_hooks.requestPing(peers[pick], target->record.peer, probe.nonce);
        if (chosen.size() >= m_settings.indirectPingsCount)
            return;
    }
}

void FailureDetector::onProbeFailed(const Probe& probe, SteadyTime now)
{
    m_localHealth.onPingResult(probe.target, false, probe.wasSuspected);
    const Member* target = m_table.findInOwnDataCentre(probe.target);
    if (!target || target->record.state == MemberState::Dead)
        return;
    m_table.setEvidence(probe.target, OwnEvidence::Unreachable);
    // On a degraded node the failure counts only as its own evidence, unless a second source confirms it.
    if (isDegraded() && !m_hooks.isConfirmedGone(probe.target))
        return;
    if (target->record.state == MemberState::Leaving) {
        // A leaving member has no suspected state; it gets the suspicion timeout and a second ping before it is
        // declared dead.
        m_suspicionTimers.start(probe.target, now, m_settings.suspicionTimeout);
        probeNext(probe.target);
        return;
    }
    if (target->record.state == MemberState::Alive)
        m_hooks.suspect(probe.target);
    else
        onSuspected(probe.target);
}

void FailureDetector::onSuspected(const VmId& vm)
{
    m_suspicionTimers.start(vm, m_clock.now(), m_settings.suspicionTimeout);
}

void FailureDetector::expireSuspicions(SteadyTime now)
{
    // Suspicions from the degraded period get a full timeout again.
    if (m_wasDegraded && !isDegraded())
        m_suspicionTimers.postpone(now + m_settings.suspicionTimeout);
    m_wasDegraded = isDegraded();
    for (const auto& [vm, startedAt] : m_suspicionTimers.takeExpired(now)) {
        const Member* member = m_table.findInOwnDataCentre(vm);
        if (!member || member->record.state == MemberState::Alive || member->record.state == MemberState::Dead)
            continue;
        // A degraded node declares a member dead only if a second source confirms it.
        if (isDegraded()) {
            if (m_hooks.isConfirmedGone(vm))
                m_hooks.declareDead(vm, "vm_list_confirms");
            else
                m_suspicionTimers.start(vm, now, scaledTimeout(m_settings.suspicionTimeout));
            probeNext(vm);
            continue;
        }
        // A message from the member arrived after the suspicion started, so a refutation is on its way.
        if (member->lastMessageAt > startedAt) {
            probeNext(vm);
            continue;
        }
        m_hooks.declareDead(vm, member->record.state == MemberState::Leaving ? "no_answer" : "suspicion_timeout");
    }
}

void FailureDetector::onAck(uint64_t nonce, const VmId& from, bool isRelayed)
{
    // Relay the ack of a ping that was sent on behalf of another member.
    const auto relayed = std::find_if(m_relayedPings.begin(), m_relayedPings.end(),
        [nonce](const RelayedPing& candidate) { return candidate.nonce == nonce; });
    if (relayed != m_relayedPings.end()) {
        const RelayedPing done = *relayed;
        m_relayedPings.erase(relayed);
        if (!isRelayed)
            m_hooks.sendRelayedAck(done.requester, done.requesterNonce);
        return;
    }

    const auto probe = std::find_if(
        m_probes.begin(), m_probes.end(), [nonce](const Probe& candidate) { return candidate.nonce == nonce; });
    if (probe == m_probes.end() || (!isRelayed && probe->target != from))
        return;
    const Probe done = *probe;
    m_probes.erase(probe);
    m_localHealth.onPingResult(done.target, true, done.wasSuspected);
    m_table.clearSuspicion(done.target);
    m_table.setEvidence(done.target, OwnEvidence::Alive);
    m_suspicionTimers.cancel(done.target);
}

void FailureDetector::onPingRequest(const Address& requester, uint64_t nonce, const Peer& target)
{
    if (m_relayedPings.size() >= maxRelayedPings)
        return;
    const uint64_t relayedNonce = ++m_lastNonce;
    m_relayedPings.push_back({ relayedNonce, requester, nonce, m_clock.now() + m_settings.pingInterval });
    m_hooks.ping(target, relayedNonce);
}

void FailureDetector::probeNext(const VmId& vm)
{
    if (m_priorityTargets.size() < maxPriorityTargets
        && std::find(m_priorityTargets.begin(), m_priorityTargets.end(), vm) == m_priorityTargets.end())
        m_priorityTargets.push_back(vm);
}

void FailureDetector::onMemberAdded(const VmId& vm)
{
    // Insert at a random position of the current round, so that some node pings a new member soon. The bound keeps
    // members that change often from filling the round.
    if (m_probeOrder.size() >= 2 * m_table.ownDataCentre().members.size())
        return;
    const size_t position = m_random.below(m_probeOrder.size() + 1);
    m_probeOrder.insert(m_probeOrder.begin() + static_cast<ptrdiff_t>(position), vm);
}

void FailureDetector::onPaused()
{
    // Acks may have been lost while the process was paused.
    const SteadyTime now = m_clock.now();
    m_probes.clear();
    m_relayedPings.clear();
    m_localHealth.onPaused(now);
    m_suspicionTimers.postpone(now + m_settings.suspicionTimeout);
    m_nextPingAt = now;
}

}
