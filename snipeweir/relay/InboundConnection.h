#pragma once

#include "snipeweir/relay/BodyReader.h"
#include "snipeweir/relay/HttpExchange.h"

namespace snipeweir {

/// A connection that another process opened to this node. Reads requests one after the other, detects when the peer
/// disconnects, and writes responses. For one thread.
class InboundConnection {
public:
    using Request = boost::beast::http::request<boost::beast::http::buffer_body>;

    enum class ReadResult {
        Request,
        /// The peer disconnected or exceeded the idle timeout.
        Closed,
        /// The request cannot be served; rejectionStatus() returns the status to respond with.
        Rejected,
    };

    /// Result of waiting for bytes without reading them.
    enum class Readable {
        Bytes,
        Closed,
        /// The wait was ended by interrupt(), or no bytes are there although it has ended.
        Interrupted,
    };

    /// What the response to a request depends on.
    struct ResponseForm {
        bool isHeadRequest = false;
        bool hasChunkedCoding = true;
        bool isKeepAlive = true;
    };

    /// Conditions for reading a request while earlier requests of the connection are in progress.
    struct ReadAhead {
        /// Returns whether there are earlier requests in progress. The read has no time limit meanwhile, since a
        /// timeout would close the connection before their responses are written.
        std::function<bool()> hasEarlierRequests;
        /// Waits until the body may be read; returns false if the connection is closed before.
        /// The length is empty if it is not known or the sender waits for an interim response.
        std::function<asio::awaitable<bool>(std::optional<uint64_t> length)> waitForBody;
    };

    /// @param memory Limits the memory of the request bodies.
    InboundConnection(asio::ip::tcp::socket socket, BodyMemory& memory);

    /// Returns whether the process ends soon. The kernel then takes all of a response that it can hold, and still sends
    /// it when the process has ended. May be empty.
    std::function<bool()> isStopping;

    /// Waits for the next request and reads it to the end.
    /// @param readAhead Conditions if earlier requests may be in progress. The form of the response is then set by
    /// respondTo(). If null, the request must have its response before the next read.
    asio::awaitable<ReadResult> read(CallerLimits, const ReadAhead* readAhead = nullptr);

    /// @return The request that was read; if it was rejected with status 503, its head.
    Request& request() { return *m_request; }

    /// Moves the body out of the request.
    /// @return The body; null if the request has none or it was already taken.
    std::shared_ptr<const RequestBody> takeBody() { return std::move(m_body); }

    /// @return HTTP status for a rejected request, otherwise 0.
    unsigned rejectionStatus() const { return m_rejectionStatus; }

    /// @return The form of the response to the request that was read last.
    const ResponseForm& readForm() const { return m_readForm; }
    /// Sets the form of the next response.
    void respondTo(const ResponseForm& form) { m_form = form; }

    /// @param onDisconnect Called once if the peer closes the connection before stopWatching().
    /// @param onBytes Called once if bytes of another request arrive before stopWatching(); may be empty. The watch
    /// then ends.
    void watchForDisconnect(std::function<void()> onDisconnect, std::function<void()> onBytes = {});
    void stopWatching();

    /// Waits until bytes have arrived or the peer has closed the connection, without a time limit.
    asio::awaitable<Readable> waitForBytes();
    /// Ends the current read or wait. There must be no write in progress, since it would be ended as well.
    void interrupt();

    /// @return Whether bytes of the next request have already been read.
    bool hasBufferedBytes() const { return m_buffer.size() > 0; }
    /// @return Whether the peer has closed the connection, also if there are unread bytes before its end.
    bool hasPeerClosed();

    asio::any_io_executor executor() { return m_stream.get_executor(); }

    /// Writes a complete response.
    /// @param head Status line and fields, without Connection and Content-Length.
    /// @return Whether the whole response was written.
    asio::awaitable<bool> writeComplete(std::string head, const std::string& body, SteadyTime deadline);

    /// Writes a response while the rest of its body is being read. If reading fails or its time limit ends, this
    /// connection is closed, so that the truncated response does not look complete.
    /// @param body First part of the body.
    /// @return Whether the whole response was written.
    asio::awaitable<bool> writeStreamed(
        std::string head, std::string body, HttpExchange& rest, ResponseTimeLimit&, const Clock&);

    /// @return Whether another request may follow on the connection.
    bool isKeepAlive() const { return m_form.isKeepAlive; }

    /// Closes the connection without losing a response that is still on its way: shuts down the sending side, then
    /// reads and drops what the peer still sends, until the peer has closed its side or has had the response for a
    /// while (RFC 9112, section 9.6). Closing the socket at once would answer any further bytes of the peer with a
    /// reset, which discards what has not been sent and what the peer has not read. Takes 10 s at most. Other
    /// operations on the connection end with an error.
    asio::awaitable<void> close();

private:
    struct Watch {
        std::function<void()> onDisconnect;
        std::function<void()> onBytes;
    };

    /// @return What can be read now; Interrupted if the connection is open and there are no bytes.
    Readable peek();
    /// Sets the time at which interrupt() ends the current read; SteadyTime::max() for no limit.
    void setReadDeadline(SteadyTime);
    void waitForReadDeadline();
    void onReadDeadline();
    /// Reads and drops bytes that have arrived, up to a limit.
    /// @return False if the peer has closed the connection.
    bool dropArrivedBytes();
    /// @return Whether the peer's kernel has not yet acknowledged all that was sent.
    bool hasUnacknowledgedOutput();
    void continueWatching();
    asio::awaitable<bool> write(const std::string& first, const std::string& second, SteadyTime deadline);
    void finishHead(std::string& head);
    /// Makes every way in which the connection can be closed, also by the end of the process, reset it or not.
    void setResetOnClose(bool);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Request> m_request;
    BodyMemory& m_memory;
    std::shared_ptr<const RequestBody> m_body;
    unsigned m_rejectionStatus = 0;
    std::shared_ptr<Watch> m_watch;

    // Time limit of reads. The timer is left running when a read ends, since most deadlines are later than the one
    // before. Beast's own time limit would close the socket, and with it a response that is still on its way.
    Timer m_readTimer;
    SteadyTime m_readDeadline = SteadyTime::max();
    SteadyTime m_readTimerAt = SteadyTime::max();
    bool m_hasReadTimedOut = false;
    /// Set while the first byte of a request is awaited.
    std::optional<std::chrono::milliseconds> m_idleTimeout;
    /// Expires with this object.
    std::shared_ptr<const bool> m_lifetime = std::make_shared<bool>(true);

    bool m_isResetOnClose = false;
    bool m_isUnsentLimited = true;
    ResponseForm m_readForm;
    ResponseForm m_form;
};

}
