#include "snipeweir/membership/Bridges.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr std::chrono::seconds reportRepeatInterval { 60 };
    constexpr size_t maxRetriesPerInterval = 3;
    constexpr size_t maxForwardRecords = 12;
    constexpr size_t forwardHeaderBytes = 8;

}

Bridges::Bridges(const MembershipSettings& settings, MemberTable& table, Synchronizer& synchronizer, Random& random,
    const Clock& clock, Hooks hooks)
    : m_settings(settings)
    , m_table(table)
    , m_synchronizer(synchronizer)
    , m_random(random)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
    , m_budget(settings.pushBytesPerSecond, settings.pushBurstBytes, clock.now())
    , m_nextContactAt(
          clock.now() + std::chrono::milliseconds(random.below(static_cast<uint64_t>(settings.bridgeInterval.count()))))
    // Starts at the start time of the process, so that reports of this incarnation have higher versions than those
    // of earlier ones.
    , m_reportVersion(table.self().record.start)
{
}

bool Bridges::isBridge() const
{
    const Peer& self = m_table.self().record.peer;
    const auto& bridges = m_table.bridgesOf(self.dataCentre);
    return std::any_of(bridges.begin(), bridges.end(), [&](const Peer& bridge) { return bridge.vm == self.vm; });
}

void Bridges::tick(const std::vector<VmListEntry>& list)
{
    const SteadyTime now = m_clock.now();
    const DataCentreName& own = m_table.self().record.peer.dataCentre;
    for (const auto& [name, dataCentre] : m_table.dataCentres()) {
        if (name != own)
            m_links.try_emplace(name);
    }
    if (!isBridge()) {
        m_pendingForwards.clear();
        for (auto& [name, link] : m_links) {
            link.requestSentAt.reset();
            link.failures = 0;
            link.isLocallyLost = false;
        }
        return;
    }
    flushForwards();
    checkTimeouts();
    if (now < m_nextContactAt)
        return;
    m_nextContactAt = std::max(m_nextContactAt + m_settings.bridgeInterval, now + m_settings.bridgeInterval / 2);
    for (const VmListEntry& entry : list) {
        if (entry.dataCentre != own)
            m_links.try_emplace(entry.dataCentre);
    }
    if (m_links.empty())
        return;

    // Contact one data centre per interval in round-robin order. Those that did not reply are retried without waiting
    // for their turn, until their link counts as lost.
    auto next = m_links.upper_bound(m_lastContacted);
    if (next == m_links.end())
        next = m_links.begin();
    m_lastContacted = next->first;
    contactDataCentre(next->first, next->second, list);
    size_t retries = 0;
    for (auto& [name, link] : m_links) {
        if (name == m_lastContacted || link.failures == 0 || link.isLocallyLost || link.requestSentAt)
            continue;
        if (++retries > maxRetriesPerInterval)
            break;
        contactDataCentre(name, link, list);
    }
    for (auto& [name, link] : m_links) {
        if (link.isLocallyLost && now - link.reportedAt > reportRepeatInterval)
            reportLink(name, link, true);
    }
}

void Bridges::contactDataCentre(const DataCentreName& name, Link& link, const std::vector<VmListEntry>& list)
{
    const DataCentreName& own = m_table.self().record.peer.dataCentre;
    const std::vector<Peer>& bridges = m_table.bridgesOf(name);
    link.requestSentAt = m_clock.now();

    // The VM list supplies the first addresses, and further ones while the known bridges do not reply.
    const bool triesVmList = link.failures >= 2 && m_random.below(2) == 0;
    if (bridges.empty() || triesVmList) {
        std::vector<const VmListEntry*> candidates;
        for (const VmListEntry& entry : list) {
            if (entry.dataCentre == name)
                candidates.push_back(&entry);
        }
        if (!candidates.empty()) {
            m_hooks.sendJoin(candidates[m_random.below(candidates.size())]->control);
            return;
        }
    }
    if (bridges.empty()) {
        link.requestSentAt.reset();
        return;
    }

    // A retry goes to any live member, because the bridges known here may be gone.
    Address to = bridges[m_random.below(bridges.size())].controlAddress;
    if (link.failures > 0) {
        const auto& members = m_table.dataCentres().at(name).members;
        auto member = members.begin();
        std::advance(member, static_cast<ptrdiff_t>(m_random.below(members.size())));
        if (member->second.isLive())
            to = member->second.record.peer.controlAddress;
    }
    m_synchronizer.startRepair(to, { own, name }, Synchronizer::Scope::Listed);
}

void Bridges::checkTimeouts()
{
    const SteadyTime now = m_clock.now();
    for (auto& [name, link] : m_links) {
        if (!link.requestSentAt || now - *link.requestSentAt < m_settings.bridgeTimeout)
            continue;
        link.requestSentAt.reset();
        ++link.failures;
        if (!link.isLocallyLost && link.failures >= m_settings.linkLossFailuresCount) {
            link.isLocallyLost = true;
            reportLink(name, link, true);
        }
    }
}

void Bridges::onRemoteMessage(const DataCentreName& name)
{
    if (!isBridge())
        return;
    Link& link = m_links[name];
    link.requestSentAt.reset();
    link.failures = 0;
    if (!link.isLocallyLost)
        return;
    link.isLocallyLost = false;
    reportLink(name, link, false);
}

void Bridges::reportLink(const DataCentreName& name, Link& link, bool isLost)
{
    const LinkReport report { name, m_table.self().record.peer.vm, ++m_reportVersion, isLost };
    link.reportedAt = m_clock.now();
    link.reports[report.reporter] = report;
    updateLinkState(name, link, report.reporter);
    m_hooks.spreadReport(report);
}

void Bridges::onLinkReport(const LinkReport& report)
{
    if (!m_table.findInOwnDataCentre(report.reporter) || report.reporter == m_table.self().record.peer.vm
        || report.dataCentre == m_table.self().record.peer.dataCentre)
        return;
    const auto found = m_links.find(report.dataCentre);
    if (found == m_links.end())
        return;
    Link& link = found->second;
    LinkReport& known = link.reports[report.reporter];
    if (known.version >= report.version)
        return;
    known = report;
    // Another bridge lost the link: count a failure, so that the next interval retries the link ahead of its turn.
    if (report.isLost && isBridge() && !link.isLocallyLost && link.failures == 0)
        link.failures = 1;
    updateLinkState(report.dataCentre, link, report.reporter);
    m_hooks.spreadReport(report);
}

// The link counts as lost when more than half of the own data centre's bridges report it: a single bridge may itself be
// at fault, and a bridge that has just taken over has no report yet.
void Bridges::updateLinkState(const DataCentreName& name, Link& link, const VmId& source)
{
    const auto& bridges = m_table.bridgesOf(m_table.self().record.peer.dataCentre);
    std::erase_if(link.reports, [&](const auto& entry) {
        return std::none_of(
            bridges.begin(), bridges.end(), [&](const Peer& bridge) { return bridge.vm == entry.first; });
    });
    const auto lostCount = static_cast<size_t>(
        std::count_if(link.reports.begin(), link.reports.end(), [](const auto& entry) { return entry.second.isLost; }));
    const bool isLost = 2 * lostCount > bridges.size();
    if (isLost == link.lostSince.has_value())
        return;
    const SteadyTime now = m_clock.now();
    const auto age = link.lostSince ? now - *link.lostSince : SteadyTime::duration {};
    if (isLost)
        link.lostSince = now;
    else
        link.lostSince.reset();
    m_hooks.onEvent({ m_clock.wallTime(), isLost ? "data_centre_unreachable" : "data_centre_reachable", name.text(),
        isLost ? "no_answer" : "answered", source.text(), std::chrono::duration_cast<std::chrono::milliseconds>(age) });
}

void Bridges::forward(const MemberRecord& record) { m_pendingForwards[record.peer.vm] = record.encoded(); }

// Sends the changes since the last tick in shared datagrams. Changes beyond the byte budget are left to the digests.
void Bridges::flushForwards()
{
    if (m_pendingForwards.empty())
        return;
    std::vector<std::string> payloads;
    std::string body;
    size_t count = 0;
    const auto finish = [&] {
        if (count > 0)
            payloads.push_back(
                CborWriter().writeArrayStart(count).take() + body + CborWriter().writeArrayStart(0).take());
        body.clear();
        count = 0;
    };
    for (const auto& [vm, text] : m_pendingForwards) {
        if (count >= maxForwardRecords || body.size() + text.size() + forwardHeaderBytes > maxPayloadBytes)
            finish();
        body += text;
        ++count;
    }
    finish();
    m_pendingForwards.clear();
    for (const std::string& payload : payloads) {
        for (const auto& [name, link] : m_links) {
            const std::vector<Peer>& bridges = m_table.bridgesOf(name);
            if (bridges.empty() || link.isLocallyLost || !m_budget.take(payload.size(), m_clock.now()))
                continue;
            m_hooks.send(bridges[m_random.below(bridges.size())].controlAddress, ControlMessageType::Rumours, payload);
        }
    }
}

bool Bridges::isReachable(const DataCentreName& name) const { return !lostSince(name); }

std::optional<SteadyTime> Bridges::lostSince(const DataCentreName& name) const
{
    const auto found = m_links.find(name);
    return found == m_links.end() ? std::nullopt : found->second.lostSince;
}

std::vector<LinkReport> Bridges::lostLinkReports() const
{
    std::vector<LinkReport> reports;
    for (const auto& [name, link] : m_links) {
        for (const auto& [reporter, each] : link.reports) {
            if (each.isLost)
                reports.push_back(each);
        }
    }
    return reports;
}

std::vector<Peer> Bridges::remoteBridges() const
{
    std::vector<Peer> peers;
    for (const auto& [name, dataCentre] : m_table.dataCentres()) {
        if (name == m_table.self().record.peer.dataCentre)
            continue;
        std::vector<Peer> bridges = m_table.bridgesOf(name);
        std::sort(
            bridges.begin(), bridges.end(), [](const Peer& left, const Peer& right) { return left.vm < right.vm; });
        peers.insert(peers.end(), bridges.begin(), bridges.end());
    }
    return peers;
}

}
