#include "programs/snipeweirctl/EraChanges.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cstdlib>
#include <map>
#include <set>

namespace snipeweir {

namespace {

    constexpr std::string_view eventName = "source_era_changed";

    std::optional<uint64_t> parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string stringField(const boost::json::object& object, std::string_view name)
    {
        const boost::json::value* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    /// @return Duration of a request whose final answer is this step, in milliseconds; zero for other steps.
    int64_t durationMs(const RequestTrace::Step& step)
    {
        constexpr std::string_view prefix = "took_us=";
        for (const std::string& field : step.fields) {
            if (step.event == "answered" && field.starts_with(prefix))
                return static_cast<int64_t>(
                    parseNumber(std::string_view(field).substr(prefix.size())).value_or(0) / 1000);
        }
        return 0;
    }

}

std::optional<SourceVersion> EraChanges::parseVersion(std::string_view text)
{
    const size_t slash = text.find('/');
    const auto era = slash == std::string_view::npos ? std::optional<uint64_t>(0) : parseNumber(text.substr(0, slash));
    const auto revision = parseNumber(slash == std::string_view::npos ? text : text.substr(slash + 1));
    if (!era || !revision)
        return std::nullopt;
    return SourceVersion(Revision { *revision }, *era);
}

void EraChanges::readLine(std::string_view line)
{
    const size_t start = line.find('{');
    if (start == std::string_view::npos || line.find(eventName) == std::string_view::npos)
        return;
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(line.substr(start), error);
    if (error || !parsed.is_object() || stringField(parsed.get_object(), "event") != eventName)
        return;
    const boost::json::object& object = parsed.get_object();
    const auto before = parseVersion(stringField(object, "before"));
    const auto version = parseVersion(stringField(object, "version"));
    const boost::json::value* at = object.if_contains("at_ms");
    if (!before || !version || !at || !at->is_int64())
        return;
    Change change { at->get_int64(), stringField(object, "node"), *before, *version, {} };
    for (const auto& field : object) {
        const std::string_view name = field.key();
        if (name == "at_ms" || name == "node" || name == "event" || !field.value().is_string())
            continue;
        change.fields.append(change.fields.empty() ? "" : " ").append(name).append("=");
        change.fields.append(field.value().get_string());
    }
    m_changes.push_back(std::move(change));
}

std::optional<EraChanges::Period> EraChanges::periodOf(const std::vector<RequestTrace::Step>& steps)
{
    if (steps.empty())
        return std::nullopt;
    Period period { steps.front().atMs, steps.front().atMs };
    for (const RequestTrace::Step& step : steps) {
        period.beginMs = std::min(period.beginMs, step.atMs - durationMs(step));
        period.endMs = std::max(period.endMs, step.atMs);
    }
    return period;
}

std::vector<EraChanges::Change> EraChanges::changesOf(const std::vector<RequestTrace::Step>& steps) const
{
    std::vector<Change> changes;
    if (const auto period = periodOf(steps)) {
        std::copy_if(m_changes.begin(), m_changes.end(), std::back_inserter(changes), [&](const Change& change) {
            return change.atMs >= period->beginMs - timeBefore.count() && change.atMs <= period->endMs;
        });
    }
    std::stable_sort(changes.begin(), changes.end(), [](const Change& a, const Change& b) { return a.atMs < b.atMs; });
    return changes;
}

Json::Value EraChanges::rows(const std::vector<RequestTrace::Step>& steps) const
{
    Json::Value rows(Json::arrayValue);
    for (const Change& change : changesOf(steps)) {
        const bool isNodeOfRequest = std::any_of(
            steps.begin(), steps.end(), [&](const RequestTrace::Step& step) { return step.node == change.node; });
        if (!isNodeOfRequest)
            continue;
        Json::Value row(Json::objectValue);
        row["at_ms"] = Json::Int64(change.atMs);
        row["node"] = change.node;
        row["event"] = std::string(eventName);
        row["id"] = "";
        row["fields"] = change.fields;
        rows.append(row);
    }
    return rows;
}

Json::Value EraChanges::summary(const std::vector<RequestTrace::Step>& steps) const
{
    std::map<uint64_t, std::vector<Change>> byEra;
    for (Change& change : changesOf(steps))
        byEra[change.version.era].push_back(std::move(change));
    Json::Value result(Json::arrayValue);
    for (const auto& [era, changes] : byEra) {
        std::set<std::string> nodes;
        uint64_t before = 0;
        for (const Change& change : changes) {
            nodes.insert(change.node);
            before = std::max(before, change.before.era);
        }
        Json::Value entry(Json::objectValue);
        entry["era_before"] = Json::UInt64(before);
        entry["era"] = Json::UInt64(era);
        entry["first_at_ms"] = Json::Int64(changes.front().atMs);
        entry["last_at_ms"] = Json::Int64(changes.back().atMs);
        entry["nodes"] = Json::UInt64(nodes.size());
        entry["before_request_ms"] = Json::Int64(periodOf(steps)->beginMs - changes.front().atMs);
        result.append(entry);
    }
    return result;
}

std::string EraChanges::sentence(const Json::Value& change)
{
    const int64_t before = change["before_request_ms"].asInt64();
    return "The store was restored from a copy: era " + change["era_before"].asString() + " to "
        + change["era"].asString() + ", at " + change["nodes"].asString() + " of the nodes, the first "
        + std::to_string(std::abs(before)) + " ms " + (before > 0 ? "before" : "after")
        + " the request began. A version of a later era is later, whatever its revision.";
}

}
