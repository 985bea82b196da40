#include "snipeweir/core/LoadReport.h"

#include <array>
#include <charconv>

namespace snipeweir {

namespace {

    constexpr std::array<std::string_view, 6> phaseNames { "starting", "cold", "serving", "draining", "gone",
        "ejected" };
    constexpr size_t maxHeaderLength = 200;

    bool readField(std::string_view& text, std::string_view name, uint64_t& value, int base = 10)
    {
        if (!text.starts_with(name) || text.size() <= name.size() || text[name.size()] != '=')
            return false;
        text.remove_prefix(name.size() + 1);
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (parsed.ec != std::errc())
            return false;
        text.remove_prefix(static_cast<size_t>(parsed.ptr - text.data()));
        if (text.starts_with(";"))
            text.remove_prefix(1);
        return true;
    }

}

std::string_view phaseName(EndpointPhase phase) { return phaseNames.at(static_cast<size_t>(phase)); }

std::optional<EndpointPhase> phaseFromName(std::string_view name)
{
    for (size_t i = 0; i < phaseNames.size(); ++i) {
        if (phaseNames.at(i) == name)
            return static_cast<EndpointPhase>(i);
    }
    return std::nullopt;
}

std::string LoadReport::toHeader() const
{
    std::array<char, 17> hex {};
    const auto end = std::to_chars(hex.data(), hex.data() + hex.size(), incarnation.value, 16).ptr;
    return "f=" + std::to_string(inFlight) + ";q=" + std::to_string(queued) + ";l=" + std::to_string(limit)
        + ";p=" + std::to_string(static_cast<int>(phase)) + ";s=" + std::to_string(serviceTime.count())
        + ";u=" + std::to_string(uptime.count()) + ";i=" + std::string(hex.data(), end);
}

std::optional<LoadReport> LoadReport::fromHeader(std::string_view text)
{
    constexpr uint64_t maxCount = 1'000'000;
    constexpr uint64_t maxTime = 1'000'000'000'000'000;
    if (text.size() > maxHeaderLength)
        return std::nullopt;
    uint64_t inFlight = 0, queued = 0, limit = 0, phase = 0, service = 0, uptime = 0, incarnation = 0;
    const bool isComplete = readField(text, "f", inFlight) && readField(text, "q", queued)
        && readField(text, "l", limit) && readField(text, "p", phase) && readField(text, "s", service)
        && readField(text, "u", uptime) && readField(text, "i", incarnation, 16) && text.empty();
    if (!isComplete || inFlight > maxCount || queued > maxCount || limit > maxCount || phase >= phaseNames.size()
        || service > maxTime || uptime > maxTime)
        return std::nullopt;
    LoadReport report;
    report.inFlight = static_cast<uint32_t>(inFlight);
    report.queued = static_cast<uint32_t>(queued);
    report.limit = static_cast<uint32_t>(limit);
    report.phase = static_cast<EndpointPhase>(phase);
    report.serviceTime = std::chrono::microseconds(service);
    report.uptime = std::chrono::milliseconds(uptime);
    report.incarnation = Incarnation { incarnation };
    return report;
}

}
