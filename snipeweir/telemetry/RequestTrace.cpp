#include "snipeweir/telemetry/RequestTrace.h"

#include <algorithm>
#include <boost/json/parse.hpp>

namespace snipeweir {

namespace {

    std::string stringField(const boost::json::object& object, std::string_view name)
    {
        const boost::json::value* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

}

void RequestTrace::read(std::istream& input)
{
    std::string line;
    while (std::getline(input, line)) {
        // Log collectors put a timestamp and a name before the JSON object.
        const size_t start = line.find('{');
        boost::system::error_code error;
        const boost::json::value parsed = start == std::string::npos
            ? boost::json::value()
            : boost::json::parse(std::string_view(line).substr(start), error);
        if (error || !parsed.is_object()) {
            ++m_foreignLines;
            continue;
        }
        const boost::json::object& object = parsed.get_object();
        const std::string id = stringField(object, "id");
        if (id != m_id && !id.starts_with(m_id + "."))
            continue;
        Step step;
        const boost::json::value* at = object.if_contains("at_ms");
        step.atMs = at && at->is_int64() ? at->get_int64() : 0;
        step.node = stringField(object, "node");
        step.event = stringField(object, "event");
        step.id = id;
        step.line = line.substr(start);
        for (const auto& field : object) {
            const std::string_view name = field.key();
            if (name != "at_ms" && name != "node" && name != "event" && name != "id" && field.value().is_string())
                step.fields.push_back(std::string(name) + "=" + std::string(field.value().get_string()));
        }
        m_steps.push_back(std::move(step));
    }
}

const std::vector<RequestTrace::Step>& RequestTrace::steps()
{
    std::stable_sort(m_steps.begin(), m_steps.end(), [](const Step& a, const Step& b) { return a.atMs < b.atMs; });
    return m_steps;
}

std::vector<std::string> RequestTrace::openSteps()
{
    std::vector<std::string> gaps;
    if (m_steps.empty()) {
        gaps.push_back(
            "No line has this ID: the request ended normally and its line was dropped under load, its node was killed, "
            "or the log of its node is not among the files.");
        return gaps;
    }
    const auto hasEvent = [&](std::string_view event) {
        return std::any_of(
            m_steps.begin(), m_steps.end(), [&](const Step& step) { return step.id == m_id && step.event == event; });
    };
    if (!hasEvent("answered"))
        gaps.push_back("No node responded to the request: the node that accepted it was killed or its log is missing.");
    const bool wasServed = std::any_of(m_steps.begin(), m_steps.end(), [&](const Step& step) {
        return step.id == m_id && step.event == "answered"
            && std::find(step.fields.begin(), step.fields.end(), "outcome=not_run") == step.fields.end();
    });
    if (wasServed && !hasEvent("ran"))
        gaps.push_back("No node ran it to an end: the serving node was killed, its log is missing, or its line was "
                       "dropped under load.");
    return gaps;
}

}
