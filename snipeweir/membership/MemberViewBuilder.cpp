#include "snipeweir/membership/MemberViewBuilder.h"

#include <algorithm>

namespace snipeweir {

struct MemberViewBuilder::MergedMember {
    MemberView view;
    bool isListed = false; ///< Listed and not leaving, or there is no list.
    bool isLeavingByListOnly = false; ///< Shown as leaving only because of the list.
    MemberState stateWithoutList = MemberState::Alive;
};

MemberViewBuilder::MemberViewBuilder(
    const MembershipSettings& settings, const MemberTable& table, const Bridges& bridges, const Clock& clock)
    : m_settings(settings)
    , m_table(table)
    , m_bridges(bridges)
    , m_clock(clock)
    , m_vmListReceivedAt(clock.now())
{
}

void MemberViewBuilder::setVmList(std::vector<VmListEntry> list)
{
    m_vmList = std::move(list);
    m_vmListIndex.clear();
    for (size_t i = 0; i < m_vmList.size(); ++i)
        m_vmListIndex.insert_or_assign(m_vmList[i].vm, i);
    std::erase_if(m_listedOnlyEvidence, [this](const auto& entry) { return !m_vmListIndex.contains(entry.first); });
    m_vmListReceivedAt = m_clock.now();
}

bool MemberViewBuilder::isGoneFromVmList(const VmId& vm) const
{
    const auto listed = m_vmListIndex.find(vm);
    return !m_vmList.empty() && (listed == m_vmListIndex.end() || m_vmList[listed->second].isLeaving);
}

void MemberViewBuilder::setListedOnlyEvidence(const VmId& vm, OwnEvidence evidence)
{
    if (m_vmListIndex.contains(vm))
        m_listedOnlyEvidence[vm] = { evidence, m_clock.now() };
}

MemberViewBuilder::MergedMember MemberViewBuilder::mergeMember(const Member& member, SteadyTime confirmedAt) const
{
    const SteadyTime now = m_clock.now();
    const MemberRecord& record = member.record;
    MergedMember result;
    MemberView& view = result.view;
    view.peer = record.peer;
    view.service = record.service;
    view.state = record.state;
    const bool isSelf = &member == &m_table.self();

    // Own calls and pings.
    if (member.evidence != OwnEvidence::None && now - member.evidenceAt <= m_settings.ownEvidenceLifetime)
        view.ownEvidence = member.evidence;
    if (view.ownEvidence == OwnEvidence::Alive) {
        if (view.state == MemberState::Suspected)
            view.state = MemberState::Alive;
        else if (view.state == MemberState::Dead && member.evidenceAt > member.changedAt)
            view.state = MemberState::Suspected;
    }
    const bool isUnreachable = view.ownEvidence == OwnEvidence::Unreachable;
    view.isFlapping = !isSelf && m_table.isFlapping(member);
    if (view.state == MemberState::Alive && !isSelf && (isUnreachable || view.isFlapping))
        view.state = MemberState::Suspected;

    // The VM list.
    result.stateWithoutList = view.state;
    const auto listed = m_vmListIndex.find(record.peer.vm);
    const bool isListedLeaving = listed != m_vmListIndex.end() && m_vmList[listed->second].isLeaving;
    result.isListed = m_vmList.empty() || (listed != m_vmListIndex.end() && !isListedLeaving);
    if (isListedLeaving && (view.state == MemberState::Alive || view.state == MemberState::Suspected)) {
        view.state = MemberState::Leaving;
        result.isLeavingByListOnly = true;
    }

    // Age. Members behind a lost link are no longer confirmed.
    const auto lostSince = m_bridges.lostSince(record.peer.dataCentre);
    view.isDataCentreReachable = !lostSince;
    SteadyTime lastConfirmedAt = std::max(member.changedAt, member.lastMessageAt);
    lastConfirmedAt = std::max(lastConfirmedAt, lostSince ? std::min(confirmedAt, *lostSince) : confirmedAt);
    view.age = isSelf ? std::chrono::milliseconds(0)
                      : std::chrono::duration_cast<std::chrono::milliseconds>(now - std::min(lastConfirmedAt, now));
    return result;
}

MemberViewBuilder::MergedMember MemberViewBuilder::mergeListedOnly(const VmListEntry& entry) const
{
    MergedMember result;
    MemberView& view = result.view;
    view.peer = { entry.vm, entry.dataCentre, entry.region, entry.control, Incarnation {} };
    view.service = entry.service;
    // No peer has confirmed it: it may not have started yet, or may have failed before the list was updated.
    view.state = MemberState::Suspected;
    const auto evidence = m_listedOnlyEvidence.find(entry.vm);
    if (evidence != m_listedOnlyEvidence.end() && m_clock.now() - evidence->second.at <= m_settings.ownEvidenceLifetime)
        view.ownEvidence = evidence->second.value;
    if (view.ownEvidence == OwnEvidence::Alive)
        view.state = MemberState::Alive;
    result.stateWithoutList = view.state;
    result.isListed = !entry.isLeaving;
    if (entry.isLeaving)
        view.state = MemberState::Leaving;
    view.isDataCentreReachable = m_bridges.isReachable(entry.dataCentre);
    view.age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_vmListReceivedAt);
    return result;
}

void MemberViewBuilder::preventEmptyService(std::vector<MergedMember*>& members)
{
    const auto isLive
        = [](MemberState state) { return state == MemberState::Alive || state == MemberState::Suspected; };
    const auto countLive = [&] {
        return std::count_if(
            members.begin(), members.end(), [&](const MergedMember* each) { return isLive(each->view.state); });
    };

    // A list that would remove more than half of the members that are live by the other sources is more likely wrong.
    const auto leavingByListOnly = std::count_if(
        members.begin(), members.end(), [](const MergedMember* each) { return each->isLeavingByListOnly; });
    if (leavingByListOnly > countLive()) {
        for (MergedMember* each : members) {
            if (each->isLeavingByListOnly)
                each->view.state = each->stateWithoutList;
        }
    }

    // If the peers alone declared all of them dead, those that are still listed and that own calls did not find
    // unreachable stay candidates.
    if (countLive() > 0)
        return;
    for (MergedMember* each : members) {
        if (each->view.state == MemberState::Dead && each->isListed
            && each->view.ownEvidence != OwnEvidence::Unreachable)
            each->view.state = MemberState::Suspected;
    }
}

std::vector<MemberView> MemberViewBuilder::views(SteadyTime localConfirmedAt, SteadyTime remoteConfirmedAt) const
{
    std::vector<MergedMember> candidates;
    const auto* own = &m_table.ownDataCentre();
    for (const auto& [name, dataCentre] : m_table.dataCentres()) {
        for (const auto& [vm, member] : dataCentre.members)
            candidates.push_back(mergeMember(member, &dataCentre == own ? localConfirmedAt : remoteConfirmedAt));
    }
    for (const VmListEntry& entry : m_vmList) {
        if (!m_table.find(entry.vm))
            candidates.push_back(mergeListedOnly(entry));
    }

    std::map<ServiceName, std::vector<MergedMember*>> services;
    for (MergedMember& each : candidates)
        services[each.view.service].push_back(&each);
    for (auto& [service, members] : services)
        preventEmptyService(members);

    std::vector<MemberView> views;
    views.reserve(candidates.size());
    for (MergedMember& each : candidates)
        views.push_back(std::move(each.view));
    std::stable_sort(views.begin(), views.end(), [](const MemberView& left, const MemberView& right) {
        return std::tie(left.peer.dataCentre, left.peer.vm) < std::tie(right.peer.dataCentre, right.peer.vm);
    });
    return views;
}

}
