#include "snipeweir/organisations/OrganisationCounters.h"

#include <algorithm>
#include <string_view>

namespace snipeweir {

namespace {

    /// Organisations that are ranked; beyond this number, new ones are counted with the others. Twice the design size.
    constexpr size_t maxRanked = 10'000;
    /// Requests by which an organisation must exceed another one to take its series, beyond a tenth of them. Without a
    /// margin, two organisations of the same rate would take turns.
    constexpr uint64_t minLead = 32;

    std::string escaped(std::string_view label)
    {
        std::string text;
        for (const char character : label) {
            if (character == '"' || character == '\\')
                text.push_back('\\');
            text.push_back(character);
        }
        return text;
    }

}

void OrganisationCounters::onRequest(const std::string& organisation)
{
    auto ranked = m_totals.find(organisation);
    if (ranked == m_totals.end() && m_totals.size() < maxRanked)
        ranked = m_totals.emplace(organisation, 0).first;
    if (ranked != m_totals.end() && !m_named.contains(organisation))
        rank(organisation, ranked->second + 1);
    if (ranked != m_totals.end())
        ++ranked->second;
    ++countsOf(organisation).requests;
}

void OrganisationCounters::onOutcome(const std::string& organisation, Outcome outcome)
{
    ++countsOf(organisation).outcomes.at(static_cast<size_t>(outcome));
}

OrganisationCounters::Counts& OrganisationCounters::countsOf(const std::string& organisation)
{
    const auto found = m_named.find(organisation);
    return found == m_named.end() ? m_others : found->second;
}

void OrganisationCounters::rank(const std::string& organisation, uint64_t total)
{
    if (m_named.size() >= maxNamed) {
        const auto smallest = std::min_element(m_named.begin(), m_named.end(),
            [this](const auto& a, const auto& b) { return m_totals.at(a.first) < m_totals.at(b.first); });
        const uint64_t smallestTotal = m_totals.at(smallest->first);
        if (total <= smallestTotal + smallestTotal / 10 + minLead)
            return;
        // The shared series takes over the counts, so that it never decreases.
        m_others.requests += smallest->second.requests;
        for (size_t i = 0; i < m_others.outcomes.size(); ++i)
            m_others.outcomes.at(i) += smallest->second.outcomes.at(i);
        m_named.erase(smallest);
    }
    m_named.emplace(organisation, Counts());
}

std::string OrganisationCounters::text() const
{
    if (m_totals.empty())
        return {};
    std::string requests = "# TYPE snipeweir_organisation_requests_total counter\n";
    std::string outcomes = "# TYPE snipeweir_organisation_outcomes_total counter\n";
    const auto append = [&](std::string_view label, const Counts& counts) {
        requests.append("snipeweir_organisation_requests_total{organisation=\"").append(label).append("\"} ");
        requests.append(std::to_string(counts.requests)).append("\n");
        for (size_t i = 0; i < counts.outcomes.size(); ++i) {
            outcomes.append("snipeweir_organisation_outcomes_total{organisation=\"").append(label);
            outcomes.append("\",outcome=\"").append(outcomeName(static_cast<Outcome>(i))).append("\"} ");
            outcomes.append(std::to_string(counts.outcomes.at(i))).append("\n");
        }
    };
    for (const auto& [organisation, counts] : m_named)
        append(escaped(organisation), counts);
    append("other", m_others);
    return requests + outcomes;
}

}
