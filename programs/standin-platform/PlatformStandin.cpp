#include "programs/standin-platform/PlatformStandin.h"

#include <algorithm>
#include <json/json.h>
#include <thread>

namespace snipeweir {

namespace {

    constexpr std::string_view documentPrefix = "/v1/documents/";
    constexpr std::string_view publishPrefix = "/control/documents/";
    constexpr size_t maxDocumentBytes = 1U << 20U;
    constexpr uint32_t maxConnections = 500;
    constexpr uint64_t maxWaitMs = 60000;

    uint64_t numberParameter(std::string_view query, std::string_view name)
    {
        const auto text = queryParameter(query, name);
        return text ? std::strtoull(text->c_str(), nullptr, 10) : 0;
    }

    std::optional<Json::Value> parseObject(const std::string& text)
    {
        Json::CharReaderBuilder builder;
        Json::Value value;
        std::string errors;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject())
            return std::nullopt;
        return value;
    }

}

PlatformStandin::PlatformStandin(const Clock& clock)
    : m_clock(clock)
    , m_windowStart(clock.now())
{
}

Result<void> PlatformStandin::listen(const std::string& address)
{
    HttpServerSettings settings;
    settings.address = address;
    settings.maxConnections = maxConnections;
    settings.handler = [this](HttpServerExchange& exchange) { handle(exchange); };
    BOOST_LEAF_ASSIGN(m_server, HttpServer::create(std::move(settings), m_clock));
    return {};
}

void PlatformStandin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server->stop();
}

void PlatformStandin::handle(HttpServerExchange& exchange)
{
    const std::string path(exchange.path());
    if (path.starts_with(documentPrefix))
        return serveDocument(exchange, path.substr(documentPrefix.size()));
    if (path.starts_with(publishPrefix) && exchange.method() == "PUT")
        return publish(exchange, path.substr(publishPrefix.size()));
    if (path == "/control/fault" && exchange.method() == "POST")
        return setFault(exchange);
    if (path == "/control/stats")
        return serveStatistics(exchange);
    exchange.respond(404, {}, "");
}

void PlatformStandin::serveDocument(HttpServerExchange& exchange, const std::string& name)
{
    const uint64_t after = numberParameter(exchange.query(), "after");
    const std::chrono::milliseconds wait(std::min(numberParameter(exchange.query(), "wait_ms"), maxWaitMs));
    std::unique_lock lock(m_mutex);

    // Count the call.
    const SteadyTime now = m_clock.now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_callsInWindow = 0;
    }
    m_maxCallsPerWindow = std::max(m_maxCallsPerWindow, ++m_callsInWindow);
    ++(wait.count() > 0 ? m_watchCount : m_readCount);

    if (m_fault == Fault::Slow) {
        const auto delay = m_slowDelay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }

    // Wait for a newer revision.
    ++m_waitingWatches;
    const auto currentDocument
        = [&]() -> const Document& { return m_fault == Fault::Stale ? m_staleDocuments[name] : m_documents[name]; };
    const bool isStale = m_fault == Fault::Stale;
    m_changed.wait_for(lock, wait, [&] {
        return m_isStopping || m_fault == Fault::Dead || (m_fault == Fault::Stale) != isStale
            || currentDocument().revision > after;
    });
    --m_waitingWatches;

    if (m_fault == Fault::Dead)
        return exchange.abort();
    const Document document = currentDocument();
    lock.unlock();
    // While stale, a read gets the stored document even if its revision is not higher than the one the reader has.
    if (document.revision == 0 || (document.revision <= after && !(isStale && wait.count() == 0)))
        return exchange.respond(304, {}, "");
    exchange.respond(200,
        { { "Content-Type", "application/json" }, { "Document-Revision", std::to_string(document.revision) } },
        document.text);
}

void PlatformStandin::publish(HttpServerExchange& exchange, const std::string& name)
{
    const auto text
        = handleErrors([&] { return exchange.readBody(maxDocumentBytes, m_clock.now() + std::chrono::seconds(10)); },
            [](const Error&) { return std::string(); });
    // Tests also publish malformed documents, so the query may give the revision.
    uint64_t revision = numberParameter(exchange.query(), "revision");
    if (const auto value = parseObject(text); value && revision == 0 && (*value)["revision"].isUInt64())
        revision = (*value)["revision"].asUInt64();
    if (revision == 0)
        return exchange.respond(400, {}, "The document needs a revision.\n");
    {
        const std::lock_guard lock(m_mutex);
        m_documents[name] = Document { revision, text };
    }
    m_changed.notify_all();
    exchange.respond(204, {}, "");
}

void PlatformStandin::setFault(HttpServerExchange& exchange)
{
    const auto text = handleErrors([&] { return exchange.readBody(4096, m_clock.now() + std::chrono::seconds(5)); },
        [](const Error&) { return std::string(); });
    const auto value = parseObject(text);
    if (!value)
        return exchange.respond(400, {}, "");
    const std::string mode = (*value).get("mode", "none").asString();
    {
        const std::lock_guard lock(m_mutex);
        m_fault = mode == "stale" ? Fault::Stale
            : mode == "slow"      ? Fault::Slow
            : mode == "dead"      ? Fault::Dead
                                  : Fault::None;
        m_slowDelay = std::chrono::milliseconds((*value).get("delay_ms", 0).asUInt());
        if (m_fault == Fault::Stale)
            m_staleDocuments = m_documents;
    }
    m_changed.notify_all();
    exchange.respond(204, {}, "");
}

void PlatformStandin::serveStatistics(HttpServerExchange& exchange)
{
    Json::Value value;
    {
        const std::lock_guard lock(m_mutex);
        value["reads"] = Json::UInt64(m_readCount);
        value["watches"] = Json::UInt64(m_watchCount);
        value["waiting"] = m_waitingWatches;
        value["most_calls_in_one_second"] = m_maxCallsPerWindow;
    }
    exchange.respond(200, { { "Content-Type", "application/json" } }, value.toStyledString());
}

}
