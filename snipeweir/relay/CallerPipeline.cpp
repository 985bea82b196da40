#include "snipeweir/relay/CallerCall.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace snipeweir {

namespace {

    using StepResult = HttpExchange::StepResult;

    /// Size by which a body may grow in one read.
    constexpr size_t readChunkBytes = 32U << 10U;
    /// Capacity that the part of a body has which is buffered before it is held.
    constexpr size_t bufferedCapacity = 128U << 10U;

}

asio::awaitable<void> CallerPath::serve(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_bodyMemory, m_clock);
    connection->isStopping = [this] { return m_stopSchedule.has_value(); };
    connection->onPipelined = [this, weak = std::weak_ptr(connection)] {
        if (auto current = weak.lock())
            asio::co_spawn(m_executor, readRequests(std::move(current)), asio::detached);
    };
    m_connections[connection.get()] = connection;
    return readRequests(std::move(connection));
}

void CallerPath::closeIdleCallers()
{
    for (const auto& [key, weak] : m_connections) {
        if (const auto connection = weak.lock())
            connection->endIfIdle();
    }
}

asio::awaitable<void> CallerPath::closeConnection(CallerConnection& connection)
{
    m_connections.erase(&connection);
    ++m_closingConnections;
    co_await connection.close();
    --m_closingConnections;
}

asio::awaitable<void> CallerPath::readRequests(std::shared_ptr<CallerConnection> connection)
{
    for (;;) {
        if (connection->mustWaitToRead()) {
            const bool isOpen = co_await connection->waitUntilReadable();
            if (!isOpen)
                break;
        }
        const auto routes = m_view.routes();
        const CallerLimits limits = routes ? routes->configuration().limits : CallerLimits();
        const auto end = co_await connection->read(limits);
        const auto request = connection->onRead(end);
        if (!request)
            continue;
        ++m_inFlight;
        if (!request->isTurn()) {
            ++m_counters.pipelined;
            asio::co_spawn(m_executor, servePipelined(request), asio::detached);
            continue;
        }
        // A request that is alone is served here, so that callers that do not pipeline cost no other coroutine.
        connection->beginServing();
        request->startInTurn();
        if (request->rejectionStatus() == 0)
            co_await serveRequest(*request);
        else
            co_await rejectUnread(*request);
        finishRequest(*request);
        if (!connection->endServing())
            co_return;
    }
    co_await closeConnection(*connection);
}

asio::awaitable<void> CallerPath::servePipelined(std::shared_ptr<RequestConnection> request)
{
    const bool isRejected = request->rejectionStatus() != 0;
    bool hasStarted = false;
    while (!isRejected && !hasStarted && request->cancelReason() == RequestConnection::CancelReason::None) {
        hasStarted = tryStart(*request);
        if (!hasStarted)
            co_await request->waitForChange();
    }
    if (hasStarted)
        co_await serveRequest(*request);
    else if (isRejected)
        co_await rejectUnread(*request);
    if (request->cancelReason() == RequestConnection::CancelReason::ClosedBefore)
        ++m_counters.pipelinedUnanswered;
    finishRequest(*request);
}

asio::awaitable<void> CallerPath::rejectUnread(RequestConnection& request)
{
    const unsigned status = request.rejectionStatus();
    const Reason reason = status == 503 ? Reason::BodyMemory : Reason::BadRequest;
    const std::string id(request.request()[m_names.callId]);
    co_await writeLocalResponse(request, status, id, reason);
}

void CallerPath::finishRequest(RequestConnection& request)
{
    request.finish();
    --m_inFlight;
}

ResponseSequencer::RunMode CallerPath::runMode(RouteKind kind)
{
    return isIdempotent(kind) ? ResponseSequencer::RunMode::Concurrent : ResponseSequencer::RunMode::Exclusive;
}

bool CallerPath::tryStart(RequestConnection& request)
{
    // The route is the one in force when the request starts; serveRequest() looks it up again before it suspends.
    const auto routes = m_view.routes();
    const auto target = request.request().target();
    const std::string host(request.request()[boost::beast::http::field::host]);
    const Route* route = routes ? routes->find(host, { target.data(), target.size() }) : nullptr;
    const double expectedBytes = route ? m_statistics.findLargest(*route).responseBytes : 0;
    // A request without a route runs nowhere.
    return request.tryStart(runMode(route ? route->kind : RouteKind::Idempotent), static_cast<size_t>(expectedBytes));
}

size_t CallerPath::expectedHeldBytes(const Route& route)
{
    const auto bytes = static_cast<size_t>(m_statistics.findLargest(route).responseBytes);
    return bytes > bufferedCapacity / 2 ? bufferedCapacity + bytes + readChunkBytes : bufferedCapacity;
}

asio::awaitable<void> CallerPath::holdResponse(RequestConnection& connection, Call& call)
{
    co_await readHeldBody(connection, call);
    if (!call.response->rest)
        connection.shrinkMemory(call.response->body.capacity());
    co_await connection.waitForTurn();
    // The responses before it have released their memory.
    co_await readHeldBody(connection, call);
}

asio::awaitable<void> CallerPath::readHeldBody(RequestConnection& connection, Call& call)
{
    Response& response = *call.response;
    ResponseTimeLimit limit = timeLimit(call.request);
    const auto mustHold = [&] { return !connection.isTurn() || connection.hasStartedBehind(); };
    while (response.rest && call.isAwaited() && mustHold()) {
        // Growing the string needs memory for its old and its new content.
        const size_t needed = response.body.size() + readChunkBytes;
        if (needed > response.body.capacity()) {
            const size_t total = response.rest->contentLength().value_or(0) + readChunkBytes;
            const size_t capacity = std::max({ needed, total, response.rest->contentLength() ? 0 : 2 * needed });
            if (!connection.holdMemory(response.body.capacity() + capacity))
                break;
            response.body.reserve(capacity);
        }
        call.heldRest = response.rest;
        const StepResult end = co_await call.heldRest->readBody(response.body, limit);
        call.heldRest.reset();
        if (end == StepResult::Complete)
            response.rest.reset();
        else if (end == StepResult::TimedOut)
            response = Response::unknown(Reason::DeadlineWhileRunning);
        else if (end == StepResult::Broken)
            response = Response::unknown(call.hasWaitEnded ? Reason::Draining : Reason::ResponseTruncated);
    }
}

}
