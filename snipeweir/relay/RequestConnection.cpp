#include "snipeweir/relay/RequestConnection.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Memory for the part of a response that is received before its turn: 64 KiB are buffered at once, in a string
    /// whose capacity doubles.
    constexpr size_t minHeldBytes = 128U << 10U;

}

RequestConnection::RequestConnection(std::shared_ptr<CallerConnection> connection, SteadyTime arrivedAt)
    : m_connection(std::move(connection))
    , m_arrivedAt(arrivedAt)
    , m_rejectionStatus(m_connection->m_inbound.rejectionStatus())
    , m_form(m_connection->m_inbound.readForm())
    , m_responseMemory(m_connection->m_memory)
    , m_wakeTimer(m_connection->m_inbound.executor())
{
    if (m_rejectionStatus == 0)
        m_body = m_connection->m_inbound.takeBody();
    // A request whose body found no memory has its head.
    if (m_rejectionStatus == 0 || m_rejectionStatus == 503)
        m_message = std::move(m_connection->m_inbound.request());
    m_position = m_connection->m_sequencer.add(m_body ? m_body->size() : 0,
        m_form.isKeepAlive ? ResponseSequencer::AfterResponse::KeepOpen : ResponseSequencer::AfterResponse::Close);
}

bool RequestConnection::tryStart(ResponseSequencer::RunMode mode, size_t expectedBytes)
{
    ResponseSequencer& sequencer = m_connection->sequencer();
    if (!sequencer.mayStart(m_position, mode))
        return false;
    if (!isTurn() && !holdMemory(std::max(expectedBytes, minHeldBytes)))
        return false;
    sequencer.onStarted(m_position, mode);
    return true;
}

void RequestConnection::setRunMode(ResponseSequencer::RunMode mode, size_t expectedBytes)
{
    ResponseSequencer& sequencer = m_connection->m_sequencer;
    sequencer.onStarted(m_position, mode);
    if (isTurn())
        sequencer.hold(m_position, std::min(expectedBytes, sequencer.room(m_position)));
    m_connection->wakeRequests();
}

bool RequestConnection::holdMemory(size_t bytes)
{
    ResponseSequencer& sequencer = m_connection->m_sequencer;
    if (!sequencer.mayHold(m_position, bytes) || !m_responseMemory.growTo(bytes))
        return false;
    sequencer.hold(m_position, bytes);
    return true;
}

void RequestConnection::shrinkMemory(size_t bytes)
{
    m_responseMemory.shrinkTo(bytes);
    m_connection->m_sequencer.hold(m_position, bytes);
    m_connection->onRoom();
}

asio::awaitable<void> RequestConnection::waitForChange()
{
    m_wakeTimer.expires_at(SteadyTime::max());
    co_await m_wakeTimer.async_wait(asTuple);
}

asio::awaitable<bool> RequestConnection::waitForTurn()
{
    while (m_cancelReason == CancelReason::None && !isTurn())
        co_await waitForChange();
    co_return m_cancelReason == CancelReason::None;
}

void RequestConnection::watchForDisconnect(std::function<void()> onCancel)
{
    m_onCancel = std::move(onCancel);
    if (m_cancelReason != CancelReason::None)
        m_onCancel();
    else
        m_connection->watch();
}

void RequestConnection::cancel(CancelReason reason)
{
    if (m_cancelReason != CancelReason::None)
        return;
    m_cancelReason = reason;
    m_wakeTimer.cancel();
    if (m_onCancel)
        m_onCancel();
}

void RequestConnection::beginResponse()
{
    const auto after = m_connection->onWriting(*this,
        m_form.isKeepAlive ? ResponseSequencer::AfterResponse::KeepOpen : ResponseSequencer::AfterResponse::Close);
    m_form.isKeepAlive = after == ResponseSequencer::AfterResponse::KeepOpen;
    m_connection->m_inbound.respondTo(m_form);
    m_hasBegunResponse = true;
}

asio::awaitable<bool> RequestConnection::writeComplete(std::string head, const std::string& body, SteadyTime deadline)
{
    beginResponse();
    return m_connection->m_inbound.writeComplete(std::move(head), body, deadline);
}

asio::awaitable<bool> RequestConnection::writeStreamed(
    std::string head, std::string body, HttpExchange& rest, ResponseTimeLimit& limit, const Clock& clock)
{
    if (!rest.contentLength() && !m_form.hasChunkedCoding)
        m_form.isKeepAlive = false;
    m_connection->m_sequencer.onStarted(m_position, ResponseSequencer::RunMode::Exclusive);
    beginResponse();
    return m_connection->m_inbound.writeStreamed(std::move(head), std::move(body), rest, limit, clock);
}

void RequestConnection::finish()
{
    m_onCancel = {};
    stopWatching();
    // A cancelled request does not end the connection: a response before it may still be under way.
    const bool keepsOpen
        = m_cancelReason != CancelReason::None || (m_hasBegunResponse && m_connection->m_inbound.isKeepAlive());
    m_connection->onEnded(
        *this, keepsOpen ? ResponseSequencer::AfterResponse::KeepOpen : ResponseSequencer::AfterResponse::Close);
}

}
