#pragma once

#include "snipeweir/relay/CallerConnection.h"

namespace snipeweir {

/// A caller's connection as one of its requests uses it: the request, the hook for its cancellation, and the writing of
/// its response when its turn has come. For one thread.
class RequestConnection {
public:
    enum class CancelReason {
        None,
        /// The caller disconnected.
        PeerClosed,
        /// A response before that of the request closes the connection. The request counts as not read.
        ClosedBefore,
    };

    /// Takes the request that the connection has read last.
    /// @param arrivedAt Time at which it had been read.
    RequestConnection(std::shared_ptr<CallerConnection>, SteadyTime arrivedAt);

    InboundConnection::Request& request() { return m_message; }

    /// Moves the body out of the request.
    /// @return The body; null if the request has none or it was already taken.
    std::shared_ptr<const RequestBody> takeBody() { return std::move(m_body); }

    /// @return HTTP status if the request was rejected while it was read, otherwise 0.
    unsigned rejectionStatus() const { return m_rejectionStatus; }

    SteadyTime arrivedAt() const { return m_arrivedAt; }

    CancelReason cancelReason() const { return m_cancelReason; }

    /// @param expectedBytes Expected size of the response.
    /// @return Whether the request may run now; it then counts as started.
    bool tryStart(ResponseSequencer::RunMode, size_t expectedBytes);

    /// Starts the request on its turn. Nothing behind it starts until setRunMode() says that it may.
    void startInTurn() { m_connection->m_sequencer.onStarted(m_position, ResponseSequencer::RunMode::Exclusive); }
    /// Sets the mode of a request that has started, when its route is known. In its turn, room for the response is kept
    /// free on the connection, since it is held while requests behind it have started.
    /// @param expectedBytes Memory that holding the response is expected to need.
    void setRunMode(ResponseSequencer::RunMode, size_t expectedBytes);

    /// Waits until a response of the connection has been written or the request is cancelled.
    asio::awaitable<void> waitForChange();

    /// @return Whether all responses before that of the request have been written.
    bool isTurn() const { return m_connection->m_sequencer.mayWrite(m_position); }

    /// @return Whether a request behind this one on the connection has started.
    bool hasStartedBehind() const { return m_connection->m_sequencer.hasStartedBehind(m_position); }

    /// @return False if the request is cancelled.
    asio::awaitable<bool> waitForTurn();

    /// Reserves memory for the response until the request ends.
    /// @param bytes Total for this response.
    /// @return False if the limit of the connection or of the node would be exceeded.
    bool holdMemory(size_t bytes);

    /// Reduces what is reserved for the response to what it needs, so that the others have room.
    void shrinkMemory(size_t bytes);

    /// @param onCancel Called once if the request is cancelled before finish().
    void watchForDisconnect(std::function<void()> onCancel);
    /// Stops watching a connection on which this is the only request.
    void stopWatching() { m_connection->stopWatching(); }

    /// Writes a complete response; see InboundConnection::writeComplete. The turn of the request must have come.
    asio::awaitable<bool> writeComplete(std::string head, const std::string& body, SteadyTime deadline);

    /// Writes a response while the rest of its body is being read; see InboundConnection::writeStreamed. The turn of
    /// the request must have come. Nothing behind it starts meanwhile, since the response may break off.
    asio::awaitable<bool> writeStreamed(
        std::string head, std::string body, HttpExchange& rest, ResponseTimeLimit&, const Clock&);

    /// Ends the request and lets the next response be written. Must be called once.
    void finish();

private:
    friend class CallerConnection;

    void cancel(CancelReason);
    void beginResponse();

    std::shared_ptr<CallerConnection> m_connection;
    SteadyTime m_arrivedAt;
    unsigned m_rejectionStatus;
    InboundConnection::ResponseForm m_form;
    InboundConnection::Request m_message;
    std::shared_ptr<const RequestBody> m_body;
    ResponseSequencer::Position m_position = 0;
    BodyMemory::Reservation m_responseMemory;
    Timer m_wakeTimer;
    std::function<void()> m_onCancel;
    CancelReason m_cancelReason = CancelReason::None;
    bool m_hasBegunResponse = false;
};

}
