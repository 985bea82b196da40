#include "snipeweir/configuration/ConfigurationFault.h"

#include <algorithm>
#include <utility>

namespace snipeweir {

namespace {
    constexpr size_t maxFaults = 200;
}

void FaultList::add(std::string path, std::string found, std::string allowed)
{
    if (m_faults.size() > maxFaults)
        return;
    if (m_faults.size() == maxFaults) {
        m_faults.push_back({ "$", "further faults that are not listed", "none" });
        return;
    }
    const bool isReported
        = std::any_of(m_faults.begin(), m_faults.end(), [&](const auto& fault) { return fault.path == path; });
    if (!isReported)
        m_faults.push_back({ std::move(path), std::move(found), std::move(allowed) });
}

boost::leaf::error_id FaultList::toError(std::string_view document) const
{
    std::string message;
    for (const ConfigurationFault& fault : m_faults)
        message += (message.empty() ? "" : "\n") + std::string(document) + ": " + fault.text();
    return fail(ErrorCode::InvalidDocument, std::move(message));
}

}
