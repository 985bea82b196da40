#include "snipeweir/organisations/QuotaMembers.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace snipeweir {

uint64_t organisationHash(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

uint64_t QuotaMembers::score(uint64_t organisation, uint64_t nodeHash)
{
    const std::array<uint64_t, 2> parts { organisation, nodeHash };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

const QuotaMembers::Candidate* QuotaMembers::highest(
    const std::vector<Candidate>& candidates, uint64_t organisation, std::string_view except)
{
    const Candidate* best = nullptr;
    uint64_t bestScore = 0;
    for (const Candidate& candidate : candidates) {
        const uint64_t candidateScore = score(organisation, candidate.hash);
        if (candidate.ip == except || (best && candidateScore < bestScore))
            continue;
        best = &candidate;
        bestScore = candidateScore;
    }
    return best;
}

void QuotaMembers::update(const std::vector<Member>& members)
{
    const SteadyTime now = m_clock.now();
    const std::vector<Candidate> before = m_dataCentres[m_dataCentre];
    const bool wasRegistered = m_rank.has_value();
    m_ips.clear();
    m_dataCentres.clear();
    for (const Member& member : members) {
        m_ips.push_back(member.ip);
        m_dataCentres[member.dataCentre].push_back({ member.ip, organisationHash(member.ip) });
        if (member.ip == m_ownIp)
            m_dataCentre = member.dataCentre;
    }
    std::sort(m_ips.begin(), m_ips.end());
    const auto own = std::lower_bound(m_ips.begin(), m_ips.end(), m_ownIp);
    m_rank.reset();
    if (own != m_ips.end() && *own == m_ownIp)
        m_rank = static_cast<size_t>(own - m_ips.begin());
    m_ownHash = organisationHash(m_ownIp);
    if (m_rank && !wasRegistered)
        m_registeredSince = now;

    for (const Candidate& candidate : before)
        m_departed.emplace(candidate.ip, now + m_settings.grantingMemory);
    std::erase_if(m_departed, [&](const auto& departed) {
        return departed.second + m_settings.maxAccumulation <= now || contains(departed.first);
    });
    std::erase_if(m_claimants, [&](const auto& claimant) { return claimant.second <= now; });

    const auto local = m_dataCentres.find(m_dataCentre);
    const Count count { now, m_ips.size(), m_rank && local != m_dataCentres.end() ? local->second.size() : 0 };
    if (m_counts.empty() || m_counts.back().all != count.all || m_counts.back().local != count.local)
        m_counts.push_back(count);
    while (m_counts.size() > 1 && m_counts[1].since < now - m_settings.halfCountMemory)
        m_counts.pop_front();
}

void QuotaMembers::addClaimant(const std::string& ip) { m_claimants[ip] = m_clock.now() + m_settings.grantingMemory; }

void QuotaMembers::learnCount(size_t count)
{
    const SteadyTime now = m_clock.now();
    if (m_learnedUntil > now && m_learnedCount > count)
        return;
    m_learnedCount = count;
    m_learnedUntil = now + m_settings.countMemory;
}

bool QuotaMembers::hasDepartedAbove(uint64_t organisation, const std::string& ip) const
{
    const uint64_t otherScore = score(organisation, organisationHash(ip));
    return std::any_of(m_departed.begin(), m_departed.end(), [&](const auto& departed) {
        return departed.second > m_clock.now() && departed.first != ip
            && score(organisation, organisationHash(departed.first)) > otherScore;
    });
}

bool QuotaMembers::isGranter(uint64_t organisation) const
{
    if (!m_rank)
        return false;
    const Candidate* best = highest(m_dataCentres.at(m_dataCentre), organisation, {});
    if (!best || best->ip != m_ownIp)
        return false;
    const uint64_t ownScore = score(organisation, m_ownHash);
    return std::none_of(m_claimants.begin(), m_claimants.end(), [&](const auto& claimant) {
        return claimant.second > m_clock.now() && score(organisation, organisationHash(claimant.first)) > ownScore;
    });
}

std::vector<std::string> QuotaMembers::granters(uint64_t organisation) const
{
    std::vector<std::pair<uint64_t, std::string>> remote;
    std::vector<std::string> ips;
    for (const auto& [dataCentre, candidates] : m_dataCentres) {
        const Candidate* best = highest(candidates, organisation, {});
        if (!best)
            continue;
        if (dataCentre == m_dataCentre)
            ips.push_back(best->ip);
        else
            remote.emplace_back(score(organisation ^ m_ownHash, best->hash), best->ip);
    }
    std::sort(remote.begin(), remote.end());
    for (auto& [order, ip] : remote)
        ips.push_back(std::move(ip));
    return ips;
}

bool QuotaMembers::contains(const std::string& ip) const { return std::binary_search(m_ips.begin(), m_ips.end(), ip); }

std::vector<QuotaMembers::Predecessor> QuotaMembers::predecessors(uint64_t organisation) const
{
    const SteadyTime now = m_clock.now();
    std::vector<Predecessor> result;
    if (!m_rank)
        return result;
    const SteadyTime registeredUntil = m_registeredSince + m_settings.grantingMemory;
    const Candidate* next = highest(m_dataCentres.at(m_dataCentre), organisation, m_ownIp);
    if (next && registeredUntil > now)
        result.push_back({ next->ip, registeredUntil, true });
    // A node that has started alone has nobody to ask about nodes whose entries have just expired.
    if (registeredUntil > now && m_ips.size() == 1)
        result.push_back({ std::string(), registeredUntil, true });
    if (registeredUntil > now) {
        for (const std::string& ip : granters(organisation)) {
            if (ip != m_ownIp)
                result.push_back({ ip, registeredUntil, false });
        }
    }
    const uint64_t ownScore = score(organisation, m_ownHash);
    for (const auto& [ip, until] : m_departed) {
        if (until > now && score(organisation, organisationHash(ip)) > ownScore)
            result.push_back({ ip, until, true });
    }
    return result;
}

SteadyTime QuotaMembers::onlyGranterSince(uint64_t organisation) const
{
    SteadyTime since
        = std::max(m_clock.now() - m_settings.maxAccumulation, m_registeredSince + m_settings.grantingMemory);
    const uint64_t ownScore = score(organisation, m_ownHash);
    for (const auto& [ip, until] : m_departed) {
        if (score(organisation, organisationHash(ip)) > ownScore)
            since = std::max(since, until);
    }
    return since;
}

size_t QuotaMembers::highestCountSince(SteadyTime time) const
{
    size_t count = 0;
    for (size_t i = 0; i < m_counts.size(); ++i) {
        if (i + 1 == m_counts.size() || m_counts[i + 1].since >= time)
            count = std::max(count, m_counts[i].all);
    }
    return count;
}

size_t QuotaMembers::highestCount() const
{
    return std::max(m_learnedUntil > m_clock.now() ? m_learnedCount : 0, ownHighestCount());
}

size_t QuotaMembers::ownHighestCount() const
{
    const SteadyTime now = m_clock.now();
    const size_t recent = highestCountSince(now - m_settings.countMemory);
    const size_t earlier = highestCountSince(now - m_settings.halfCountMemory);
    return recent * 2 <= earlier ? earlier : recent;
}

double QuotaMembers::presentShare() const
{
    const size_t highest = highestCountSince(m_clock.now() - m_settings.halfCountMemory);
    return static_cast<double>(m_ips.size()) / static_cast<double>(std::max<size_t>(1, highest));
}

double QuotaMembers::share() const
{
    if (!m_rank || m_counts.empty())
        return 0;
    const SteadyTime since = m_clock.now() - m_settings.joinDelay;
    size_t local = m_counts.back().local;
    for (size_t i = 0; i + 1 < m_counts.size(); ++i) {
        // A count of zero says that this node was not registered, not that its data centre was empty.
        if (m_counts[i + 1].since >= since && m_counts[i].local > 0)
            local = std::min(local, m_counts[i].local);
    }
    return static_cast<double>(local) / static_cast<double>(std::max<size_t>(1, highestCount()));
}

}
