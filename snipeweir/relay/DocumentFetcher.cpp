#include "snipeweir/relay/DocumentFetcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <zstd.h>

namespace snipeweir {

namespace {

    using StepResult = HttpExchange::StepResult;

    /// Time without a response after which the next source is asked as well.
    constexpr std::chrono::milliseconds nextSourceDelay { 350 };
    /// Time for one tree level to receive a document, and attempts in addition to the level of the source.
    constexpr std::chrono::milliseconds levelDelay { 120 };
    constexpr uint32_t extraAttempts = 2;
    /// Maximum size of a document; those of 3,500 nodes have about 1 MB.
    constexpr uint64_t maxDocumentBytes = 16U << 20U;
    /// Maximum number of compressed bytes that all attempts of a fetch hold.
    constexpr size_t maxReceivedBytes = 8U << 20U;

    /// Longest age that is accepted, so that no difference to a clock's time overflows.
    constexpr uint64_t maxEraAgeMs = 1ULL << 40U;

    std::optional<std::string> decompress(std::string_view compressed)
    {
        const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
        if (size > maxDocumentBytes)
            return std::nullopt; // ZSTD_CONTENTSIZE_UNKNOWN and ZSTD_CONTENTSIZE_ERROR are above the limit, too.
        std::string text(size, '\0');
        const size_t written = ZSTD_decompress(text.data(), text.size(), compressed.data(), compressed.size());
        if (ZSTD_isError(written) || written != size)
            return std::nullopt;
        return text;
    }

}

DocumentFetcher::DocumentFetcher(
    asio::any_io_executor executor, const Clock& clock, ConnectionPool& pool, uint16_t port, std::string_view path)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_pool(pool)
    , m_port(port)
    , m_path(path)
{
}

void DocumentFetcher::Fetch::addSource(const std::string& ip)
{
    if (std::find(sources.begin(), sources.end(), ip) == sources.end())
        sources.push_back(ip);
}

void DocumentFetcher::fetch(const Request& request)
{
    if (m_current) {
        m_current->addSource(request.announcer);
        m_current->progress.cancel();
        return;
    }
    m_current = std::make_shared<Fetch>(m_executor, request);
    m_current->startedAt = m_clock.now();
    m_current->addSource(request.announcer);
    m_current->addSource(request.forwarder);
    asio::co_spawn(m_executor, run(m_current), asio::detached);
}

asio::awaitable<void> DocumentFetcher::run(std::shared_ptr<Fetch> fetch)
{
    co_await askTreeSource(fetch);
    while (!fetch->document) {
        if (fetch->nextSource < fetch->sources.size())
            startAttempt(fetch, fetch->sources[fetch->nextSource++]);
        else if (fetch->running == 0)
            break;
        else if (!std::exchange(fetch->hasAskedAgain, true))
            startAttempt(fetch, fetch->request.announcer);
        co_await waitForAttempts(fetch);
    }
    m_current.reset();
    if (fetch->document) {
        onFetched(std::move(*fetch->document));
        co_return;
    }
    Failure failure;
    failure.announcer = fetch->request.announcer;
    failure.attempts = fetch->attempts;
    failure.responses = fetch->responses;
    failure.took = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - fetch->startedAt);
    onFailed(failure);
}

asio::awaitable<void> DocumentFetcher::askTreeSource(std::shared_ptr<Fetch> fetch)
{
    const DistributionTree::Source source = fetch->request.treeSource;
    if (source.ip == fetch->request.announcer)
        co_return;
    // The source may still be fetching the document itself, so ask again if it responds without it.
    Timer timer(m_executor);
    for (uint32_t attempt = 0; !fetch->document && attempt < source.level + extraAttempts; ++attempt) {
        timer.expires_after(levelDelay);
        co_await timer.async_wait(asTuple);
        const size_t responsesBefore = fetch->responses;
        startAttempt(fetch, source.ip);
        co_await waitForAttempts(fetch);
        if (fetch->responses == responsesBefore)
            break;
    }
}

void DocumentFetcher::startAttempt(const std::shared_ptr<Fetch>& fetch, const std::string& ip)
{
    ++fetch->running;
    ++fetch->attempts;
    asio::co_spawn(m_executor, runAttempt(fetch, ip), asio::detached);
}

asio::awaitable<void> DocumentFetcher::runAttempt(std::shared_ptr<Fetch> fetch, std::string ip)
{
    auto document = co_await receive(fetch, std::move(ip));
    --fetch->running;
    if (document && !fetch->document)
        fetch->document = std::move(document);
    fetch->progress.cancel();
}

asio::awaitable<void> DocumentFetcher::waitForAttempts(std::shared_ptr<Fetch> fetch)
{
    const SteadyTime nextSourceAt = m_clock.now() + nextSourceDelay;
    const size_t sourcesBefore = fetch->sources.size();
    while (!fetch->document && fetch->running > 0 && fetch->sources.size() == sourcesBefore) {
        // A document that has begun to arrive is worth waiting for; its attempt has a time limit of its own.
        const bool isReceiving = fetch->receiving > 0;
        if (!isReceiving && m_clock.now() >= nextSourceAt)
            break;
        fetch->progress.expires_at(isReceiving ? m_clock.now() + attemptTimeout : nextSourceAt);
        co_await fetch->progress.async_wait(asTuple);
    }
}

asio::awaitable<std::optional<DocumentFetcher::Fetched>> DocumentFetcher::receive(
    std::shared_ptr<Fetch> fetch, std::string ip)
{
    const SteadyTime deadline = m_clock.now() + attemptTimeout;
    const Address from { std::move(ip), m_port };
    auto connection = co_await m_pool.acquire(from, m_pool.settings().maxIdle, deadline);
    if (!connection || fetch->document)
        co_return std::nullopt;
    HttpExchange exchange(m_pool, std::move(connection));
    const SteadyTime requestedAt = m_clock.now();
    std::string head = "GET " + m_path + " HTTP/1.1\r\nHost: " + from.text() + "\r\n\r\n";
    if (co_await exchange.send(std::move(head), nullptr, deadline) != StepResult::Complete
        || co_await exchange.readHead(deadline) != StepResult::Complete)
        co_return std::nullopt;
    ++fetch->responses;
    Fetched fetched { {}, fetch->request.version, fetch->request.readAt,
        SourceContinuity::parse(exchange.field(continuityField)), requestedAt, m_clock.now() };
    if (const auto age = parseUnsigned(exchange.field(eraAgeField)))
        fetched.eraAge = std::chrono::milliseconds(std::min(*age, maxEraAgeMs));
    SourceDocument& document = fetched.document;
    document.version.revision.value = parseUnsigned(exchange.field(revisionField)).value_or(0);
    document.version.era = parseUnsigned(exchange.field(eraField)).value_or(0);
    const bool isWanted
        = !fetch->document && exchange.status() == 200 && document.version >= fetch->request.version.version;
    fetch->receiving += isWanted ? 1 : 0;
    std::string compressed;
    StepResult end = StepResult::More;
    while (end == StepResult::More && !(isWanted && fetch->document) && fetch->receivedBytes <= maxReceivedBytes) {
        const size_t before = compressed.size();
        end = co_await exchange.readBody(compressed, deadline);
        fetch->receivedBytes += compressed.size() - before;
    }
    fetch->receivedBytes -= compressed.size();
    fetch->receiving -= isWanted ? 1 : 0;
    if (end != StepResult::Complete || !isWanted)
        co_return std::nullopt;
    auto text = decompress(compressed);
    if (!text)
        co_return std::nullopt;
    document.text = std::move(*text);
    co_return fetched;
}

}
