#include "snipeweir/core/StateChart.h"

#include <filesystem>
#include <fstream>
#include <json/json.h>
#include <memory>
#include <set>
#include <sstream>

namespace snipeweir {

namespace {

    Result<Json::Value> parseStrict(std::string_view text)
    {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value root;
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors) || !root.isObject())
            return fail(ErrorCode::InvalidDocument, "The state chart is not a JSON object: " + errors);
        return root;
    }

}

Result<StateChart> StateChart::load(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ErrorCode::NotFound, "The state chart " + path + " cannot be read.");
    std::stringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

Result<StateChart> StateChart::parse(std::string_view text)
{
    BOOST_LEAF_AUTO(root, parseStrict(text));

    // Read states and transitions.
    StateChart chart;
    if (!root["name"].isString() || !root["initial"].isString() || !root["states"].isObject())
        return fail(
            ErrorCode::InvalidDocument, "A state chart needs the strings name and initial and the object states.");
    chart.m_name = root["name"].asString();
    chart.m_initial = root["initial"].asString();
    for (const auto& state : root["states"].getMemberNames()) {
        auto& transitions = chart.m_transitions[state];
        const Json::Value& body = root["states"][state];
        if (!body.isObject() || !(body["on"].isObject() || body["on"].isNull()))
            return fail(ErrorCode::InvalidDocument, "State " + state + " of chart " + chart.m_name + " is malformed.");
        if (body["on"].isNull())
            continue;
        for (const auto& event : body["on"].getMemberNames()) {
            if (!body["on"][event].isString())
                return fail(ErrorCode::InvalidDocument, "Event " + event + " of state " + state + " has no target.");
            transitions[event] = body["on"][event].asString();
        }
    }

    // Check that every target exists and every state can be reached.
    std::set<std::string> reached;
    std::vector<std::string> pending { chart.m_initial };
    while (!pending.empty()) {
        const std::string state = pending.back();
        pending.pop_back();
        const auto found = chart.m_transitions.find(state);
        if (found == chart.m_transitions.end())
            return fail(
                ErrorCode::InvalidDocument, "Chart " + chart.m_name + " refers to the unknown state " + state + ".");
        if (!reached.insert(state).second)
            continue;
        for (const auto& [event, target] : found->second)
            pending.push_back(target);
    }
    if (reached.size() != chart.m_transitions.size())
        return fail(ErrorCode::InvalidDocument, "Chart " + chart.m_name + " has unreachable states.");
    return chart;
}

std::vector<std::string> StateChart::states() const
{
    std::vector<std::string> names;
    names.reserve(m_transitions.size());
    for (const auto& [state, transitions] : m_transitions)
        names.push_back(state);
    return names;
}

std::optional<std::string> StateChart::next(const std::string& state, const std::string& event) const
{
    const auto found = m_transitions.find(state);
    if (found == m_transitions.end())
        return std::nullopt;
    const auto transition = found->second.find(event);
    if (transition == found->second.end())
        return std::nullopt;
    return transition->second;
}

std::string chartDirectory()
{
    std::error_code error;
    const auto program = std::filesystem::read_symlink("/proc/self/exe", error);
    return (program.parent_path().parent_path() / "charts").string();
}

}
