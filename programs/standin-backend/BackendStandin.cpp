#include "programs/standin-backend/BackendStandin.h"

#include "programs/standin-backend/ExpectedResponses.h"

#include <algorithm>
#include <thread>

namespace snipeweir {

namespace {

    constexpr uint32_t maxConnections = 250;
    constexpr size_t maxBodyBytes = 1U << 20U;
    constexpr size_t maxRecordedStarts = 500'000;
    constexpr size_t downloadBlockBytes = 64U << 10U;
    constexpr std::chrono::milliseconds serviceTimePollInterval { 2 };

    int64_t wallTimeMs(const Clock& clock)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallTime().time_since_epoch()).count();
    }

    std::string headerOrEmpty(const HttpServerExchange& exchange, const char* name)
    {
        return std::string(exchange.header(name).value_or(""));
    }

}

BackendStandin::BackendStandin(BackendStandinSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_client(clock)
    , m_requestsUntilWarm(m_settings.startsCold ? m_settings.warmAfter : 0)
{
}

Result<void> BackendStandin::listen()
{
    HttpServerSettings settings;
    settings.address = m_settings.address;
    settings.maxConnections = maxConnections;
    settings.handler = [this](HttpServerExchange& exchange) { handle(exchange); };
    BOOST_LEAF_ASSIGN(m_server, HttpServer::create(std::move(settings), m_clock));
    return {};
}

void BackendStandin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void BackendStandin::handle(HttpServerExchange& exchange)
{
    const std::string path(exchange.path());
    if (path.starts_with("/control/") || path == "/health" || path == "/load")
        return handleControl(exchange, path);
    if (path.starts_with("/calls/") && exchange.method() == "DELETE") {
        const std::lock_guard lock(m_mutex);
        m_cancelledCallIds.insert(path.substr(std::string("/calls/").size()));
        return exchange.respond(204, {}, "");
    }
    serveRequest(exchange, path);
}

void BackendStandin::handleControl(HttpServerExchange& exchange, const std::string& path)
{
    const std::vector<HttpHeader> json { { "Content-Type", "application/json" } };
    if (path == "/control/faults" && exchange.method() == "POST")
        return setFaults(exchange);
    if (path == "/control/stats")
        return exchange.respond(200, json, statistics().toStyledString());
    if (path == "/load" || path == "/health")
        return exchange.respond(200, json, loadReport().toStyledString());
    exchange.respond(404, {}, "");
}

void BackendStandin::setFaults(HttpServerExchange& exchange)
{
    const auto text = handleErrors([&] { return exchange.readBody(4096, m_clock.now() + std::chrono::seconds(5)); },
        [](const Error&) { return std::string(); });
    Json::CharReaderBuilder builder;
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
        return exchange.respond(400, {}, "");
    {
        const std::lock_guard lock(m_mutex);
        m_faults.slowFactor = value.get("slow_factor", m_faults.slowFactor).asDouble();
        m_faults.isSilent = value.get("silent", m_faults.isSilent).asBool();
        m_faults.isSilentInBody = value.get("silent_in_body", m_faults.isSilentInBody).asBool();
        m_faults.failsFast = value.get("fail_fast", m_faults.failsFast).asBool();
        m_faults.sheds = value.get("shed", m_faults.sheds).asBool();
        m_faults.isDraining = value.get("drain", m_faults.isDraining).asBool();
        m_faults.reportsFalsely = value.get("false_reports", m_faults.reportsFalsely).asBool();
        if (value.isMember("cold"))
            m_requestsUntilWarm = value["cold"].asBool() ? m_settings.warmAfter : 0;
    }
    m_changed.notify_all();
    exchange.respond(204, {}, "");
}

Json::Value BackendStandin::loadReport()
{
    const std::lock_guard lock(m_mutex);
    ++m_healthReadCount;
    Json::Value value;
    value["status"] = m_faults.isDraining && !m_faults.reportsFalsely ? "draining" : "ok";
    value["running"] = m_faults.reportsFalsely ? 0U : m_runningCount;
    value["slots"] = m_settings.slots;
    return value;
}

Json::Value BackendStandin::statistics()
{
    const std::lock_guard lock(m_mutex);
    Json::Value value;
    value["running"] = m_runningCount;
    value["most_running"] = m_maxRunningCount;
    value["overloaded"] = Json::UInt64(m_startsOverColdLimit);
    value["over_slots"] = Json::UInt64(m_startsOverSlots);
    value["health_reads"] = Json::UInt64(m_healthReadCount);
    value["is_cold"] = m_requestsUntilWarm > 0;
    value["runs"] = Json::arrayValue;
    for (const auto& run : m_runs) {
        Json::Value entry;
        entry["operation"] = run.operation;
        entry["key"] = run.key;
        entry["started_at_ms"] = Json::Int64(run.startedAtMs);
        entry["complete"] = run.isComplete;
        value["runs"].append(entry);
    }
    value["starts_ms"] = Json::arrayValue;
    for (const int64_t start : m_startTimesMs)
        value["starts_ms"].append(Json::Int64(start));
    return value;
}

BackendStandin::StartResult BackendStandin::beginRun(const HttpServerExchange& exchange, size_t& runIndex)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.sheds || m_faults.isDraining)
        return StartResult::NotStarted;

    // Comparison calls bypass the nodes. They are not counted, because no node could have limited them.
    runIndex = SIZE_MAX;
    if (queryParameter(exchange.query(), "direct"))
        return StartResult::Started;

    // Record the start. A write is recorded even if it then fails, because its effect may have happened.
    ++m_runningCount;
    m_maxRunningCount = std::max(m_maxRunningCount, m_runningCount);
    if (m_runningCount > m_settings.slots)
        ++m_startsOverSlots;
    if (m_startTimesMs.size() < maxRecordedStarts)
        m_startTimesMs.push_back(wallTimeMs(m_clock));
    runIndex = m_runs.size();
    if (exchange.method() != "GET" && exchange.method() != "HEAD")
        m_runs.push_back({ headerOrEmpty(exchange, "Operation-Id"), headerOrEmpty(exchange, "Idempotency-Key"),
            wallTimeMs(m_clock), false });

    const bool isOverloaded = m_requestsUntilWarm > 0 && m_runningCount > m_settings.coldLimit;
    if (isOverloaded)
        ++m_startsOverColdLimit;
    return isOverloaded || m_faults.failsFast ? StartResult::Failed : StartResult::Started;
}

void BackendStandin::endRun(const HttpServerExchange& exchange, size_t runIndex, bool isComplete)
{
    if (queryParameter(exchange.query(), "direct"))
        return;
    const std::lock_guard lock(m_mutex);
    --m_runningCount;
    if (isComplete && m_requestsUntilWarm > 0)
        --m_requestsUntilWarm;
    if (runIndex < m_runs.size())
        m_runs.at(runIndex).isComplete = isComplete;
}

void BackendStandin::simulateServiceTime(const std::string& callId, const std::string& path, double fraction)
{
    // On a healthy server the service time depends only on the path, so that two test runs can be compared.
    const double variation = 0.5 + static_cast<double>(std::hash<std::string>()(path) % 1000) / 1000.0;
    const SteadyTime startedAt = m_clock.now();
    while (true) {
        double factor = 1;
        {
            const std::lock_guard lock(m_mutex);
            factor = m_faults.slowFactor * (m_requestsUntilWarm > 0 ? 2.0 : 1.0);
            if (m_isStopping || m_cancelledCallIds.contains(callId))
                return;
        }
        const auto totalTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
            m_settings.serviceTime * (variation * factor * fraction));
        const auto remaining = totalTime - (m_clock.now() - startedAt);
        if (remaining.count() <= 0)
            return;
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(remaining, serviceTimePollInterval));
    }
}

bool BackendStandin::waitWhileSilent()
{
    std::unique_lock lock(m_mutex);
    const bool wasSilent = m_faults.isSilent;
    m_changed.wait(lock, [this] { return !m_faults.isSilent || m_isStopping; });
    return wasSilent;
}

void BackendStandin::serveRequest(HttpServerExchange& exchange, const std::string& path)
{
    const SteadyTime deadline = m_clock.now() + std::chrono::seconds(10);
    if (errorOf([&] { return exchange.readBody(maxBodyBytes, deadline); }))
        return exchange.respond(400, {}, "");
    size_t runIndex = SIZE_MAX;
    const StartResult start = beginRun(exchange, runIndex);
    if (start == StartResult::NotStarted)
        return exchange.respond(503, { { "Snipeweir-Not-Run", "shed" } }, "");
    if (start == StartResult::Failed) {
        endRun(exchange, runIndex, false);
        return exchange.respond(500, {}, "overloaded\n");
    }

    simulateServiceTime(headerOrEmpty(exchange, "Snipeweir-Call-Id"), path, 1.0);
    const auto nextServices = queryParameter(exchange.query(), "via");
    const bool isComplete = !nextServices || nextServices->empty() || callNextService(exchange, *nextServices);
    endRun(exchange, runIndex, isComplete);
    if (waitWhileSilent())
        return exchange.abort();
    if (!isComplete)
        return exchange.respond(502, {}, "onward call failed\n");
    sendResponse(exchange, path);
}

void BackendStandin::sendResponse(HttpServerExchange& exchange, const std::string& path)
{
    constexpr std::string_view downloadPrefix = "/sheets/";
    if (path.starts_with(downloadPrefix)) {
        const auto bytes = queryParameter(exchange.query(), "bytes");
        return streamDownload(
            exchange, path.substr(downloadPrefix.size()), bytes ? std::strtoull(bytes->c_str(), nullptr, 10) : 0);
    }
    const std::string body = exchange.method() == "GET" || exchange.method() == "HEAD"
        ? expectedLookupBody(path)
        : "{\"accepted\":\"" + headerOrEmpty(exchange, "Operation-Id") + "\"}\n";
    exchange.respond(200, { { "Content-Type", "text/plain" } }, body);
}

void BackendStandin::streamDownload(HttpServerExchange& exchange, const std::string& id, uint64_t bytes)
{
    if (!exchange.startBody(200, { { "Content-Type", "application/octet-stream" } }, bytes))
        return;
    std::string block;
    for (uint64_t offset = 0; offset < bytes; offset += block.size()) {
        block.resize(std::min<uint64_t>(downloadBlockBytes, bytes - offset));
        for (size_t i = 0; i < block.size(); ++i)
            block[i] = expectedDownloadByte(id, offset + i);
        if (!exchange.writeBody(block))
            return;
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_faults.isSilentInBody || m_isStopping; });
        const auto pause
            = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::milliseconds(2) * m_faults.slowFactor);
        lock.unlock();
        std::this_thread::sleep_for(pause);
    }
    exchange.finishBody();
}

bool BackendStandin::callNextService(HttpServerExchange& exchange, const std::string& services)
{
    const auto colon = m_settings.nodeAddress.rfind(':');
    if (colon == std::string::npos)
        return false;
    const auto comma = services.find(',');
    const std::string service = services.substr(0, comma);
    const std::string remainingQuery = comma == std::string::npos ? "" : "?via=" + services.substr(comma + 1);
    HttpRequest request;
    request.to = { m_settings.nodeAddress.substr(0, colon),
        static_cast<uint16_t>(std::atoi(m_settings.nodeAddress.c_str() + colon + 1)) };
    request.target = "/services/" + service + std::string(exchange.path()) + remainingQuery;
    request.headers = { { "Snipeweir-Deadline-Ms", headerOrEmpty(exchange, "Snipeweir-Deadline-Ms") },
        { "Snipeweir-Depth", headerOrEmpty(exchange, "Snipeweir-Depth") }, { "Snipeweir-Class", "internal" } };
    request.deadline = m_clock.now() + std::chrono::seconds(5);
    request.headTimeout = std::chrono::seconds(5);
    const int status = handleErrors(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(response, m_client.fetch(std::move(request), maxBodyBytes));
            return response.first.status;
        },
        [](const Error&) { return 0; });
    return status == 200;
}

}
