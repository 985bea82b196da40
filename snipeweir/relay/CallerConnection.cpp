#include "snipeweir/relay/CallerConnection.h"

#include "snipeweir/relay/RequestConnection.h"

namespace snipeweir {

namespace {

    /// Interval at which a caller's disconnect is looked for while nothing is read from its connection. A disconnect
    /// must have cancelled the requests everywhere within 500 ms.
    constexpr std::chrono::milliseconds disconnectPollInterval { 100 };

}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, BodyMemory& memory, const Clock& clock)
    : m_inbound(std::move(socket), memory)
    , m_clock(clock)
    , m_memory(memory)
    , m_roomTimer(m_inbound.executor())
    , m_stallTimer(m_inbound.executor())
{
    m_inbound.isStopping = [this] { return isStopping(); };
    m_readAhead.hasEarlierRequests = [this] { return m_isReadUnlimited = !m_sequencer.isIdle(); };
    m_readAhead.waitForBody = [this](std::optional<uint64_t> length) { return waitForBody(length); };
}

ResponseSequencer& CallerConnection::sequencer()
{
    if (isStopping())
        m_sequencer.stop();
    return m_sequencer;
}

asio::awaitable<bool> CallerConnection::waitUntilReadable()
{
    for (;;) {
        if (m_isClosed)
            co_return false;
        if (!sequencer().mayRead()) {
            co_await waitForRoom();
            continue;
        }
        if (m_sequencer.isIdle() || m_inbound.hasBufferedBytes())
            co_return true;
        m_readState = ReadState::AwaitingBytes;
        const auto readable = co_await m_inbound.waitForBytes();
        m_readState = ReadState::None;
        if (readable == InboundConnection::Readable::Closed)
            onPeerClosed();
        else if (readable == InboundConnection::Readable::Bytes && sequencer().mayRead())
            co_return true;
    }
}

asio::awaitable<void> CallerConnection::waitForRoom()
{
    if (m_inbound.hasPeerClosed()) {
        onPeerClosed();
        co_return;
    }
    const ReadState before = std::exchange(m_readState, ReadState::AwaitingRoom);
    m_roomTimer.expires_after(disconnectPollInterval);
    co_await m_roomTimer.async_wait(asTuple);
    m_readState = before;
}

asio::awaitable<bool> CallerConnection::waitForBody(std::optional<uint64_t> length)
{
    // A body of unknown length, or one that waits for an interim response, is read only when its request is the first.
    for (;;) {
        if (m_sequencer.isClosing())
            co_return false;
        if (length ? m_sequencer.mayReadBody(*length) : m_sequencer.isIdle())
            co_return true;
        co_await waitForRoom();
    }
}

asio::awaitable<InboundConnection::ReadResult> CallerConnection::read(const CallerLimits& limits)
{
    m_readState = ReadState::Reading;
    ++m_reads;
    m_headerTimeout = limits.headerTimeout;
    return m_inbound.read(limits, &m_readAhead);
}

std::shared_ptr<RequestConnection> CallerConnection::onRead(InboundConnection::ReadResult end)
{
    m_readState = ReadState::None;
    if (m_sequencer.isClosing())
        return nullptr;
    const bool isRejected = end == InboundConnection::ReadResult::Rejected;
    if (end == InboundConnection::ReadResult::Closed
        || (isRejected && !m_sequencer.isIdle() && m_inbound.hasPeerClosed())) {
        onPeerClosed();
        return nullptr;
    }
    auto request = std::make_shared<RequestConnection>(shared_from_this(), m_clock.now());
    m_requests.push_back(request.get());
    return request;
}

void CallerConnection::beginServing()
{
    m_isReaderServing = true;
    if (m_inbound.hasBufferedBytes())
        passReadingOn();
}

void CallerConnection::passReadingOn()
{
    m_isWatching = false;
    m_isReaderServing = false;
    onPipelined();
}

void CallerConnection::watch()
{
    // If another coroutine reads, it detects the disconnect.
    if (!m_isReaderServing || m_isWatching)
        return;
    m_isWatching = true;
    m_inbound.watchForDisconnect([this] { onPeerClosed(); }, [this] { passReadingOn(); });
}

void CallerConnection::stopWatching()
{
    if (std::exchange(m_isWatching, false))
        m_inbound.stopWatching();
}

ResponseSequencer::AfterResponse CallerConnection::onWriting(
    const RequestConnection& request, ResponseSequencer::AfterResponse wanted)
{
    const auto after = sequencer().onWriting(request.m_position, wanted);
    if (after == ResponseSequencer::AfterResponse::Close)
        cancelBehind(request.m_position);
    return after;
}

void CallerConnection::onEnded(const RequestConnection& request, ResponseSequencer::AfterResponse after)
{
    m_sequencer.onEnded(request.m_position);
    std::erase(m_requests, &request);
    if (after == ResponseSequencer::AfterResponse::Close) {
        cancelBehind(request.m_position);
        shutDown();
        return;
    }
    onRoom();
    if (!m_sequencer.isIdle())
        return;
    // The limits on idle connections and incomplete requests apply again.
    if (m_readState == ReadState::AwaitingBytes)
        m_inbound.interrupt();
    else if (m_readState == ReadState::Reading)
        limitStalledRead();
}

void CallerConnection::wakeRequests()
{
    for (RequestConnection* request : m_requests)
        request->m_wakeTimer.cancel();
}

void CallerConnection::onRoom()
{
    wakeRequests();
    if (m_readState == ReadState::AwaitingRoom)
        m_roomTimer.cancel();
}

void CallerConnection::limitStalledRead()
{
    m_stallTimer.expires_after(m_headerTimeout);
    m_stallTimer.async_wait([weak = weak_from_this(), read = m_reads](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->m_reads == read && self->m_isReadUnlimited
            && self->m_readState == ReadState::Reading)
            self->m_inbound.interrupt();
    });
}

void CallerConnection::onPeerClosed()
{
    m_hasPeerClosed = true;
    m_isWatching = false;
    shutDown();
    cancelBehind(0);
}

void CallerConnection::shutDown()
{
    m_isClosed = true;
    m_sequencer.close();
    m_roomTimer.cancel();
    m_stallTimer.cancel();
    if (m_readState == ReadState::AwaitingBytes || m_readState == ReadState::Reading)
        m_inbound.interrupt();
}

void CallerConnection::endIfIdle()
{
    if (m_sequencer.isIdle())
        shutDown();
}

void CallerConnection::cancelBehind(ResponseSequencer::Position position)
{
    const auto reason
        = m_hasPeerClosed ? RequestConnection::CancelReason::PeerClosed : RequestConnection::CancelReason::ClosedBefore;
    for (RequestConnection* request : m_requests) {
        if (request->m_position > position)
            request->cancel(reason);
    }
}

}
