#pragma once

#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/RequestBody.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace snipeweir {

/// One connection that another process opened to this node: reads requests one after the other, notices when the peer
/// leaves, and writes answers. For one thread.
class CallerConnection {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    enum class ReadEnd {
        Request,
        /// The peer left or was idle for too long.
        Closed,
        /// The request cannot be served; refuse() has been called with the status to give.
        Rejected,
    };

    /// @param memory Where the bodies of the requests are held.
    CallerConnection(asio::ip::tcp::socket socket, BodyMemory& memory);

    /// Waits for the next request and reads it whole.
    asio::awaitable<ReadEnd> read(CallerLimits);

    Request& request() { return *m_request; }

    /// @return The body of the request; null if it has none or it was taken before.
    std::shared_ptr<const RequestBody> takeBody();

    /// Status for a rejected request.
    unsigned rejection() const { return m_rejection; }

    /// @param onLeft Called once if the peer closes the connection before stopWatching().
    void watchForLeave(std::function<void()> onLeft);
    void stopWatching();

    /// @param head Status line and fields without those of the connection and of the body's length.
    /// @return Whether all was written.
    asio::awaitable<bool> writeWhole(std::string head, const std::string& body, SteadyTime deadline);

    /// Writes an answer whose body is still being read. One that breaks off closes this connection, so that it does
    /// not look complete.
    asio::awaitable<bool> writeStreamed(
        std::string head, std::string body, HttpExchange& rest, SteadyTime deadline, const Clock&);

    /// @return Whether the connection may carry another request.
    bool canGoOn() const { return m_canGoOn; }
    void closeAfterAnswer() { m_mustClose = true; }

    /// Ends the connection with its last answer delivered.
    void close();

private:
    asio::awaitable<bool> write(const std::string& first, const std::string& second, SteadyTime deadline);
    void finishHead(std::string& head);

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<Request> m_request;
    BodyMemory& m_memory;
    std::optional<BodyMemory::Hold> m_hold;
    unsigned m_rejection = 0;
    std::shared_ptr<std::function<void()>> m_onLeft;
    bool m_canGoOn = true;
    bool m_mustClose = false;
};

}
