#include "TraceReplay.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <set>

using namespace snipeweir;

namespace {

std::vector<std::filesystem::path> traceFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/traces"))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    return files;
}

Json::Value load(const std::filesystem::path& path)
{
    std::ifstream file(path);
    Json::Value trace;
    Json::CharReaderBuilder builder;
    std::string errors;
    REQUIRE_MESSAGE(Json::parseFromStream(builder, file, &trace, &errors), path.string(), errors);
    return trace;
}

/// @return Percentage of the calls started in the expected outcome's time window that match its endpoints and outcome.
double matchingPercent(const TraceReplay& replay, const Json::Value& expected)
{
    std::set<std::string> vms;
    for (const Json::Value& vm : expected["vms"])
        vms.insert(vm.asString());
    size_t all = 0;
    size_t matching = 0;
    for (const auto& call : replay.finishedCalls()) {
        if (call.startedAt.count() < expected["from_ms"].asInt64()
            || call.startedAt.count() >= expected["to_ms"].asInt64())
            continue;
        ++all;
        const bool isVm = vms.empty() || vms.contains(call.vm.text());
        const bool isOutcome
            = !expected.isMember("outcome") || outcomeName(call.outcome) == expected["outcome"].asString();
        matching += isVm && isOutcome ? 1 : 0;
    }
    REQUIRE(all > 0);
    return static_cast<double>(matching) * 100 / static_cast<double>(all);
}

}

TEST_CASE("Each trace has its stated outcomes")
{
    const auto files = traceFiles();
    REQUIRE(files.size() >= 4);
    for (const auto& path : files) {
        INFO(path.filename().string());
        const Json::Value trace = load(path);
        TraceReplay replay(trace);
        replay.run();
        for (const Json::Value& expected : trace["outcomes"]) {
            INFO(expected.toStyledString());
            const double percent = matchingPercent(replay, expected);
            CHECK(percent <= expected.get("at_most_percent", 100).asDouble());
            CHECK(percent >= expected.get("at_least_percent", 0).asDouble());
        }
        // Each call finishes exactly once, and retries stay within the budget of 10%.
        CHECK(replay.finishedCalls().size() == replay.callCount());
        CHECK(replay.retryCount() * 10 <= std::max<uint64_t>(30, replay.callCount()));
        // A load report that arrives late never replaces a newer one.
        for (const auto& endpoint : replay.router().snapshot()) {
            if (endpoint.report)
                CHECK(endpoint.report->uptime == replay.newestUptime(endpoint.vm));
        }
    }
}

TEST_CASE("The same trace and seed give a byte-identical decision log, on every machine")
{
    for (const auto& path : traceFiles()) {
        INFO(path.filename().string());
        Json::Value trace = load(path);
        const auto logOf = [](const Json::Value& input) {
            TraceReplay replay(input);
            replay.run();
            return replay.log().text();
        };
        const std::string log = logOf(trace);
        CHECK((logOf(trace) == log));
        // An intended policy change updates the hash in the trace in the same commit.
        CHECK(TraceReplay::hash(log) == trace["decision_log_xxh3"].asString());
        trace["seed"] = trace["seed"].asUInt64() + 1;
        CHECK((logOf(trace) != log));
    }
}
