#pragma once

#include "snipeweir/relay/InboundConnection.h"
#include "snipeweir/relay/ResponseSequencer.h"

#include <memory>
#include <vector>

namespace snipeweir {

class RequestConnection;

/// A caller's connection on which several requests may be in progress. One coroutine at a time reads; each request is
/// served by a coroutine of its own, through its RequestConnection. For one thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// @param memory Limits the memory of request bodies and of responses that wait for their turn.
    CallerConnection(asio::ip::tcp::socket, BodyMemory& memory, const Clock&);

    /// Returns whether the node stops; its connections are then closed after their next response.
    std::function<bool()> isStopping;
    /// Called when the caller has sent more while a request is being served by the coroutine that reads. Reading must
    /// then continue in another coroutine.
    std::function<void()> onPipelined;

    /// @return Whether waitUntilReadable() has to be called before the next request is read.
    bool mustWaitToRead() const { return m_isClosed || !m_sequencer.isIdle(); }

    /// Waits until there are bytes of a request that may be read.
    /// @return False if the connection is closed.
    asio::awaitable<bool> waitUntilReadable();

    /// Reads the next request; pass the result to onRead().
    asio::awaitable<InboundConnection::ReadResult> read(const CallerLimits&);

    /// @return The request that was read; null if there is none, because the connection is closed or closing.
    std::shared_ptr<RequestConnection> onRead(InboundConnection::ReadResult);

    /// Records that the coroutine that reads now serves the only request in progress. Lets another coroutine continue
    /// to read as soon as the caller has sent more.
    void beginServing();
    /// Records that this request has ended.
    /// @return False if another coroutine reads now.
    bool endServing() { return std::exchange(m_isReaderServing, false); }

    /// Ends the connection unless a request is in progress: the coroutine that reads then closes it.
    void endIfIdle();

    /// Closes the connection without losing a response; see InboundConnection::close. Called once, by the coroutine
    /// that reads.
    asio::awaitable<void> close() { return m_inbound.close(); }

private:
    friend class RequestConnection;

    enum class ReadState {
        None,
        /// Waits until the requests in progress leave room for another.
        AwaitingRoom,
        /// Waits for the first byte of a request while others are in progress.
        AwaitingBytes,
        Reading,
    };

    /// Called by a request in progress.
    void watch();
    void stopWatching();
    ResponseSequencer::AfterResponse onWriting(const RequestConnection&, ResponseSequencer::AfterResponse wanted);
    void onEnded(const RequestConnection&, ResponseSequencer::AfterResponse);

    asio::awaitable<void> waitForRoom();
    asio::awaitable<bool> waitForBody(std::optional<uint64_t> length);
    /// @return The sequencer, informed whether the node stops.
    ResponseSequencer& sequencer();
    /// Lets the requests that wait for another check whether they may go on.
    void wakeRequests();
    /// Lets all that waits for room on the connection check whether there is enough.
    void onRoom();
    void onPeerClosed();
    void shutDown();
    /// Cancels the requests behind a position.
    void cancelBehind(ResponseSequencer::Position);
    /// Applies the time limit for a request that was begun behind others which have all been answered.
    void limitStalledRead();
    void passReadingOn();

    InboundConnection m_inbound;
    const Clock& m_clock;
    BodyMemory& m_memory;
    ResponseSequencer m_sequencer { ResponseSequencer::Settings() };
    InboundConnection::ReadAhead m_readAhead;
    /// Requests in progress, in their order. Each removes itself when it ends.
    std::vector<RequestConnection*> m_requests;
    ReadState m_readState = ReadState::None;
    uint64_t m_reads = 0;
    /// Whether the current read operation has no time limit, because earlier requests were in progress at its start.
    bool m_isReadUnlimited = false;
    std::chrono::milliseconds m_headerTimeout { 0 };
    Timer m_roomTimer;
    Timer m_stallTimer;
    bool m_isReaderServing = false;
    bool m_isWatching = false;
    bool m_isClosed = false;
    bool m_hasPeerClosed = false;
};

}
