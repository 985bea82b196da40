#include "programs/snipeweir-load/LoadGenerator.h"

#include "programs/standin-backend/ExpectedResponses.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <thread>

namespace snipeweir {

namespace {

    constexpr int maxLookupAttempts = 3;
    constexpr int maxKeysPerWrite = 3;
    constexpr int maxAttemptsPerKey = 5;
    constexpr int maxDownloadAttempts = 3;
    constexpr std::chrono::milliseconds retryDelay { 50 };
    constexpr std::chrono::seconds downloadDeadline { 30 };
    constexpr size_t maxBodyBytes = 64U << 10U;
    constexpr size_t maxStatisticsBytes = 64U << 20U;

    double millisecondsBetween(SteadyTime from, SteadyTime to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    double quantile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<size_t>(fraction * static_cast<double>(values.size())))];
    }

    Json::Value parseJson(const std::string& text)
    {
        Json::CharReaderBuilder builder;
        Json::Value value;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
        return value;
    }

}

LoadGenerator::LoadGenerator(LoadSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_client(clock)
{
}

Json::Value LoadGenerator::run()
{
    m_end = m_clock.now() + m_settings.duration;
    std::vector<std::thread> threads;
    for (uint32_t i = 0; i < m_settings.threads; ++i)
        threads.emplace_back([this, i] { runCaller(i); });
    if (m_settings.pairsPerSecond > 0)
        threads.emplace_back([this] { runLookupPairs(); });
    for (auto& thread : threads)
        thread.join();

    Json::Value result;
    for (const char* name : { "calls", "ok", "refused_not_run", "unknown_outcome", "failed", "wrong_or_partial_answers",
             "downloads", "writes" })
        result[name] = Json::UInt64(m_counts[name]);
    for (const auto& [reason, count] : m_reasonCounts)
        result["reasons"][reason] = Json::UInt64(count);
    result["p50_ms"] = quantile(m_lookupLatenciesMs, 0.50);
    result["p99_ms"] = quantile(m_lookupLatenciesMs, 0.99);
    result["pairs"] = Json::UInt64(m_pairNodeLatenciesMs.size());
    result["pair_via_p50_ms"] = quantile(m_pairNodeLatenciesMs, 0.50);
    result["pair_direct_p50_ms"] = quantile(m_pairDirectLatenciesMs, 0.50);
    result["pair_via_p99_ms"] = quantile(m_pairNodeLatenciesMs, 0.99);
    result["pair_direct_p99_ms"] = quantile(m_pairDirectLatenciesMs, 0.99);
    result["added_p99_ms"] = quantile(m_pairNodeLatenciesMs, 0.99) - quantile(m_pairDirectLatenciesMs, 0.99);
    result["cut_download_list"] = m_interruptedDownloads;
    result["cut_downloads"] = m_interruptedDownloads.size();
    compareWithBackends(result);
    return result;
}

void LoadGenerator::runCaller(uint32_t index)
{
    Random random(m_settings.seed * 1'000'003 + index);
    const double meanIntervalSeconds = m_settings.threads / m_settings.callsPerSecond;
    SteadyTime next = m_clock.now();
    while (true) {
        // Intervals between calls are exponentially distributed. A caller that is behind schedule starts its next call
        // at once and catches up on at most 200 ms.
        next += std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(-std::log(1.0 - random.nextDouble()) * meanIntervalSeconds));
        next = std::max(next, m_clock.now() - std::chrono::milliseconds(200));
        std::this_thread::sleep_until(next);
        if (m_clock.now() >= m_end)
            return;
        {
            const std::lock_guard lock(m_mutex);
            ++m_counts["calls"];
        }
        // 70% public lookups, 8% internal lookups, 20% writes, 2% downloads.
        const uint64_t draw = random.below(m_settings.isLookupsOnly ? 70 : 100);
        if (draw < 70)
            lookUp(random, "public");
        else if (draw < 78)
            lookUp(random, "internal");
        else if (draw < 98)
            write(random, "op-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_nextOperation++));
        else
            download(random);
    }
}

const Address& LoadGenerator::pickNode(Random& random) const
{
    return m_settings.nodes.at(random.below(m_settings.nodes.size()));
}

HttpRequest LoadGenerator::makeRequest(const std::string& method, const std::string& target) const
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.deadline = m_clock.now() + m_settings.deadline + std::chrono::milliseconds(500);
    request.headTimeout = m_settings.deadline + std::chrono::milliseconds(500);
    request.noProgressTimeout = std::chrono::milliseconds(3000);
    request.headers.push_back({ "Snipeweir-Deadline-Ms", std::to_string(m_settings.deadline.count()) });
    return request;
}

LoadGenerator::Response LoadGenerator::send(const Address& node, HttpRequest request, const std::string& downloadId)
{
    Response response;
    TransferHooks hooks;
    hooks.onHead = [&](const HttpResponseHead& head) {
        response.hasReceivedHead = true;
        response.status = head.status;
        response.outcomeHeader = head.header("Snipeweir-Outcome").value_or("");
        response.reason = head.header("Snipeweir-Reason").value_or("");
        response.servedBy = head.header("Snipeweir-Served-By").value_or("");
        response.callId = head.header("Snipeweir-Call-Id").value_or("");
        return true;
    };
    hooks.onBody = [&](std::string_view piece) {
        if (downloadId.empty() || response.status != 200)
            response.body.append(piece.substr(0, maxBodyBytes - std::min(maxBodyBytes, response.body.size())));
        else {
            for (size_t i = 0; i < piece.size(); ++i)
                response.isBodyCorrect
                    = response.isBodyCorrect && piece[i] == expectedDownloadByte(downloadId, response.bodyBytes + i);
        }
        response.bodyBytes += piece.size();
        return true;
    };
    request.to = node;
    response.end = m_client.perform(std::move(request), std::move(hooks));
    return response;
}

LoadGenerator::ReportedOutcome LoadGenerator::outcomeOf(const Response& response) const
{
    if (response.end == TransferEnd::ConnectFailed)
        return ReportedOutcome::NotRun;
    if (response.end != TransferEnd::Complete)
        return ReportedOutcome::Unknown;
    if (response.outcomeHeader == "not_run")
        return ReportedOutcome::NotRun;
    if (response.outcomeHeader == "unknown")
        return ReportedOutcome::Unknown;
    if (response.outcomeHeader == "done")
        return response.status == 200 ? ReportedOutcome::Done : ReportedOutcome::Failed;
    return ReportedOutcome::Unknown;
}

void LoadGenerator::countOutcome(ReportedOutcome outcome, const Response& response)
{
    const std::lock_guard lock(m_mutex);
    switch (outcome) {
    case ReportedOutcome::Done:
        ++m_counts["ok"];
        return;
    case ReportedOutcome::NotRun:
        ++m_counts["refused_not_run"];
        break;
    case ReportedOutcome::Unknown:
        ++m_counts["unknown_outcome"];
        break;
    case ReportedOutcome::Failed:
        ++m_counts["failed"];
        break;
    }
    ++m_reasonCounts[response.reason.empty() ? "transport_" + std::to_string(static_cast<int>(response.end))
                                             : response.reason];
}

void LoadGenerator::lookUp(Random& random, const std::string& callClass)
{
    const std::string service = m_settings.services.at(callClass == "internal" ? 1 % m_settings.services.size() : 0);
    const std::string path = "/records/" + std::to_string(random.below(100'000));
    const SteadyTime startedAt = m_clock.now();
    Response response;
    ReportedOutcome outcome = ReportedOutcome::Unknown;
    for (int attempt = 0; attempt < maxLookupAttempts && outcome != ReportedOutcome::Done; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(retryDelay);
        auto request = makeRequest("GET", "/services/" + service + path);
        request.headers.push_back({ "Snipeweir-Class", callClass });
        response = send(pickNode(random), std::move(request), "");
        outcome = outcomeOf(response);
    }
    countOutcome(outcome, response);
    const std::lock_guard lock(m_mutex);
    if (outcome == ReportedOutcome::Done && response.body != expectedLookupBody(path))
        ++m_counts["wrong_or_partial_answers"];
    m_lookupLatenciesMs.push_back(millisecondsBetween(startedAt, m_clock.now()));
}

void LoadGenerator::write(Random& random, const std::string& operation)
{
    constexpr std::array<const char*, 4> kinds { "handovers", "reports", "ranges", "cancellations" };
    const std::string service = m_settings.services.at(random.below(std::min<size_t>(2, m_settings.services.size())));
    const std::string target = "/services/" + service + "/" + kinds.at(random.below(kinds.size()));
    Response response;
    ReportedOutcome outcome = ReportedOutcome::NotRun;
    for (int keyCount = 0; keyCount < maxKeysPerWrite && outcome == ReportedOutcome::NotRun; ++keyCount) {
        // Request a key. The write itself has not been sent yet, so a failure here means that it did not run.
        if (keyCount > 0)
            std::this_thread::sleep_for(retryDelay);
        response = send(pickNode(random), makeRequest("POST", "/services/" + service + "/keys"), "");
        const std::string key = response.status == 200 ? parseJson(response.body).get("key", "").asString() : "";
        if (key.empty()) {
            outcome = ReportedOutcome::NotRun;
            continue;
        }

        // Send the write. While its outcome is unknown, retry with the same key through any node.
        outcome = ReportedOutcome::Unknown;
        for (int attempt = 1; attempt <= maxAttemptsPerKey && outcome == ReportedOutcome::Unknown; ++attempt) {
            if (attempt > 1)
                std::this_thread::sleep_for(retryDelay * attempt);
            auto request = makeRequest("POST", target);
            request.body = "{\"operation\":\"" + operation + "\"}";
            request.headers.push_back({ "Content-Type", "application/json" });
            request.headers.push_back({ "Idempotency-Key", key });
            request.headers.push_back({ "Operation-Id", operation });
            request.headers.push_back({ "Snipeweir-Attempt", std::to_string(attempt) });
            response = send(pickNode(random), std::move(request), "");
            outcome = outcomeOf(response);
            // A failed connection says nothing about the outcome of earlier attempts.
            if (response.end == TransferEnd::ConnectFailed)
                outcome = ReportedOutcome::Unknown;
        }
    }
    countOutcome(outcome, response);
    const std::lock_guard lock(m_mutex);
    ++m_counts["writes"];
    m_writes[operation] = { service, outcome };
    if (outcome == ReportedOutcome::Done && response.body.find(operation) == std::string::npos
        && response.reason != "answer_not_kept")
        ++m_counts["wrong_or_partial_answers"];
}

void LoadGenerator::download(Random& random)
{
    const std::string id = std::to_string(random.below(1000));
    const std::string target = "/services/" + m_settings.services.back() + "/sheets/" + id
        + "?bytes=" + std::to_string(m_settings.downloadBytes);
    Response response;
    ReportedOutcome outcome = ReportedOutcome::Unknown;
    for (int attempt = 0; attempt < maxDownloadAttempts && outcome != ReportedOutcome::Done; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(retryDelay);
        const Address& node = pickNode(random);
        auto request = makeRequest("GET", target);
        request.headers.front().value = std::to_string(std::chrono::milliseconds(downloadDeadline).count());
        request.deadline = m_clock.now() + downloadDeadline;
        response = send(node, std::move(request), id);
        outcome = outcomeOf(response);
        const bool isBodyValid = response.bodyBytes == m_settings.downloadBytes && response.isBodyCorrect;
        const std::lock_guard lock(m_mutex);
        if (outcome == ReportedOutcome::Done && !isBodyValid)
            ++m_counts["wrong_or_partial_answers"];
        if (outcome != ReportedOutcome::Done && response.status == 200) {
            Json::Value interrupted;
            interrupted["node"] = node.text();
            interrupted["served_by"] = response.servedBy;
            interrupted["call_id"] = response.callId;
            interrupted["bytes"] = Json::UInt64(response.bodyBytes);
            interrupted["end"] = static_cast<int>(response.end);
            interrupted["at_ms"] = Json::Int64(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch()).count());
            m_interruptedDownloads.append(interrupted);
        }
    }
    countOutcome(outcome, response);
    const std::lock_guard lock(m_mutex);
    ++m_counts["downloads"];
}

void LoadGenerator::runLookupPairs()
{
    Random random(m_settings.seed * 77 + 5);
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(1.0 / m_settings.pairsPerSecond));
    SteadyTime next = m_clock.now();
    while (m_clock.now() < m_end) {
        next += interval;
        std::this_thread::sleep_until(next);
        const std::string path = "/records/pair-" + std::to_string(random.below(100'000));
        const SteadyTime startedAt = m_clock.now();
        const Response nodeResponse
            = send(pickNode(random), makeRequest("GET", "/services/" + m_settings.services.front() + path), "");
        const double nodeLatencyMs = millisecondsBetween(startedAt, m_clock.now());
        const auto colon = nodeResponse.servedBy.rfind(':');
        if (outcomeOf(nodeResponse) != ReportedOutcome::Done || colon == std::string::npos)
            continue;
        const Address backend { nodeResponse.servedBy.substr(0, colon),
            static_cast<uint16_t>(std::atoi(nodeResponse.servedBy.c_str() + colon + 1)) };
        const SteadyTime directStartedAt = m_clock.now();
        const Response directResponse = send(backend, makeRequest("GET", path + "?direct=1"), "");
        const double directLatencyMs = millisecondsBetween(directStartedAt, m_clock.now());
        if (directResponse.end != TransferEnd::Complete || directResponse.status != 200)
            continue;
        const std::lock_guard lock(m_mutex);
        m_pairNodeLatenciesMs.push_back(nodeLatencyMs);
        m_pairDirectLatenciesMs.push_back(directLatencyMs);
    }
}

void LoadGenerator::compareWithBackends(Json::Value& result)
{
    std::map<std::string, uint32_t> runCounts;
    uint64_t startsOverSlots = 0;
    uint64_t startsOverColdLimit = 0;
    uint64_t healthReads = 0;
    Json::Value unreadBackends = Json::arrayValue;
    for (const Address& backend : m_settings.backends) {
        HttpRequest request;
        request.to = backend;
        request.target = "/control/stats";
        request.deadline = m_clock.now() + std::chrono::seconds(10);
        request.noProgressTimeout = std::chrono::seconds(5);
        const std::string text = handleErrors(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(response, m_client.fetch(request, maxStatisticsBytes));
                return response.second;
            },
            [](const Error&) { return std::string(); });
        if (text.empty()) {
            unreadBackends.append(backend.text());
            continue;
        }
        const Json::Value statistics = parseJson(text);
        for (const auto& run : statistics["runs"])
            ++runCounts[run["operation"].asString()];
        startsOverSlots += statistics["over_slots"].asUInt64();
        startsOverColdLimit += statistics["overloaded"].asUInt64();
        healthReads += statistics["health_reads"].asUInt64();
    }

    uint64_t doubleRuns = 0;
    uint64_t acknowledgedNotRun = 0;
    uint64_t refusedButRun = 0;
    Json::Value brokenOperations = Json::arrayValue;
    for (const auto& [operation, write] : m_writes) {
        const uint32_t runCount = runCounts.contains(operation) ? runCounts[operation] : 0;
        doubleRuns += runCount > 1 ? 1 : 0;
        acknowledgedNotRun += write.outcome == ReportedOutcome::Done && runCount == 0 ? 1 : 0;
        refusedButRun += write.outcome == ReportedOutcome::NotRun && runCount > 0 ? 1 : 0;
        if (runCount > 1 || (write.outcome == ReportedOutcome::Done && runCount == 0)
            || (write.outcome == ReportedOutcome::NotRun && runCount > 0))
            brokenOperations.append(operation);
    }
    result["double_runs"] = Json::UInt64(doubleRuns);
    result["acknowledged_but_not_run"] = Json::UInt64(acknowledgedNotRun);
    result["refused_but_run"] = Json::UInt64(refusedButRun);
    result["broken_operations"] = brokenOperations;
    result["starts_over_slots"] = Json::UInt64(startsOverSlots);
    result["starts_over_cold_limit"] = Json::UInt64(startsOverColdLimit);
    result["backend_health_reads"] = Json::UInt64(healthReads);
    result["backends_not_read"] = unreadBackends;
}

}
