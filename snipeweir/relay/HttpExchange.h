#pragma once

#include "snipeweir/core/IgnoreCase.h"
#include "snipeweir/relay/Connection.h"
#include "snipeweir/relay/RelayRequest.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string_view>

namespace snipeweir {

/// One request and its answer on a connection that this node opened. The connection goes back to its pool when the
/// answer has been read to its end and nothing speaks against it; otherwise it is closed. For one thread.
class HttpExchange {
public:
    enum class End {
        /// There is more to read.
        More,
        Complete,
        /// The connection broke off or the bytes are no answer.
        Broken,
        TimedOut,
    };

    /// @param connection Connection from the pool; not null.
    HttpExchange(ConnectionPool& pool, std::unique_ptr<Connection> connection);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /// @param head Request line and fields with the empty line that ends them.
    /// @return Complete, Broken or TimedOut.
    asio::awaitable<End> send(std::string head, const std::string& body, SteadyTime deadline);

    /// Reads the head of the next final answer; interim answers are passed over.
    asio::awaitable<End> readHead(SteadyTime deadline);

    /// Reads more of the body.
    /// @param body Receives the bytes.
    asio::awaitable<End> readBody(std::string& body, SteadyTime deadline);

    /// Reads the body until it is whole or at least a number of bytes long.
    asio::awaitable<End> readBodyUpTo(std::string& body, size_t atLeast, SteadyTime deadline);

    /// Reads over the body of an answer that belongs to another request, so that readHead() finds the next answer.
    asio::awaitable<End> skipBody(SteadyTime deadline);

    /// Interrupts the current step; the exchange ends as Broken.
    void cancel();

    unsigned status() const;

    /// @return The value of the field; empty if there is none.
    std::string_view field(std::string_view name) const;
    bool hasField(std::string_view name) const;

    /// @return The fields of the answer that concern more than this connection.
    std::vector<HeaderField> endToEndFields() const;

    /// @return Length of the body by its head; empty if it is not given.
    std::optional<uint64_t> contentLength() const;

    bool isReused() const { return m_wasReused; }

    /// @return Whether any byte of an answer has arrived.
    bool hasAnswerBytes() const { return m_hasAnswerBytes; }

    /// Called once when the exchange has ended, whole or not.
    std::function<void(End)> onEnd;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    End finish(End);
    asio::awaitable<error_code> readSome(std::string& body, SteadyTime deadline);
    static End endOf(const error_code&);
    void noteKeepAlive();

    ConnectionPool& m_pool;
    std::unique_ptr<Connection> m_connection;
    std::optional<Parser> m_parser;
    bool m_wasReused;
    bool m_hasAnswerBytes = false;
    bool m_hasEnded = false;
    bool m_isHeadRequest = false;
};

/// @return Whether a field concerns one connection only and must not be passed on.
bool isHopByHop(std::string_view name);

/// @return The number that the whole text is; empty if it is none.
std::optional<uint64_t> parseUnsigned(std::string_view text);

}
