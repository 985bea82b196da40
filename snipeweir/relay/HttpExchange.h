#pragma once

#include "snipeweir/core/IgnoreCase.h"
#include "snipeweir/core/ResponseSyntax.h"
#include "snipeweir/relay/BodyMemory.h"
#include "snipeweir/relay/Connection.h"
#include "snipeweir/relay/RelayRequest.h"
#include "snipeweir/relay/ResponseTimeLimit.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <span>
#include <string>
#include <string_view>

namespace snipeweir {

/// One HTTP request and its response on a connection that this node opened. The connection returns to its pool when the
/// response has been read to the end and allows keep-alive; otherwise it is closed. For one thread.
class HttpExchange {
public:
    enum class StepResult {
        /// There is more of the body to read.
        More,
        Complete,
        /// The connection was lost, the exchange was cancelled, or the bytes received are not a valid response.
        Broken,
        TimedOut,
    };

    /// @param connection Connection from the pool; not null.
    /// @param memory Limits what the exchange buffers of the response, beyond a small size; null if the reader of the
    /// response limits it.
    /// @param singleFields Names of further fields that may stand once in a response; must outlive the exchange.
    HttpExchange(ConnectionPool& pool, std::unique_ptr<Connection> connection, BodyMemory* memory = nullptr,
        std::span<const std::string> singleFields = {});
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /// @param head Request line and fields, including the terminating empty line.
    /// @param body Null if the request has none.
    /// @return Complete, Broken or TimedOut.
    asio::awaitable<StepResult> send(std::string head, std::shared_ptr<const RequestBody> body, SteadyTime deadline);

    /// Sends a request whose head has the field "Expect: 100-continue". If the peer responds with a final status, the
    /// body is not sent, and readHead() returns that response.
    /// @return Complete, Broken or TimedOut.
    asio::awaitable<StepResult> sendWhenExpected(
        std::string head, std::shared_ptr<const RequestBody> body, SteadyTime deadline);

    /// @return Whether the peer was sent no byte of the body that it had to wait for.
    bool isBodyWithheld() const { return m_isBodyWithheld; }

    /// Reads the head of the next final response and skips a few interim (1xx) responses. The exchange ends as Broken
    /// if there is no memory for a large head.
    asio::awaitable<StepResult> readHead(SteadyTime deadline);

    /// Reads more of the body, in smaller steps if memory is short.
    /// @param body The bytes are appended to it.
    asio::awaitable<StepResult> readBody(std::string& body, SteadyTime deadline);

    /// Frees a part of the body that was passed on, and the memory that was reserved for it.
    void releaseBody(std::string& body);

    /// @return The memory that is reserved for the response. Must be kept as long as its head and body.
    const std::shared_ptr<BodyMemory::Reservation>& memory() const { return m_memory; }

    /// Reads more of the body within a time limit, and records the progress in it.
    asio::awaitable<StepResult> readBody(std::string& body, ResponseTimeLimit&);

    /// Reads the body until it is complete, has at least the given number of bytes, or may take no more memory.
    asio::awaitable<StepResult> readBodyUpTo(std::string& body, size_t atLeast, ResponseTimeLimit&);

    /// Skips the body of a response that belongs to another request, so that readHead() reads the next response.
    /// @return Complete, TimedOut, or Broken, also if the body is too large to skip.
    asio::awaitable<StepResult> skipBody(SteadyTime deadline);

    /// Reads the rest of a body that is not needed. Closes the connection if the body is too large or does not end in
    /// time.
    asio::awaitable<void> discardBody(SteadyTime deadline);

    /// Interrupts the current operation; the exchange ends as Broken.
    void cancel();

    unsigned status() const;

    /// @return The value of the field; empty if the response does not have it.
    std::string_view field(std::string_view name) const;
    bool hasField(std::string_view name) const;

    /// @return The end-to-end fields of the response, without the product's own, in which only nodes speak.
    std::vector<HeaderField> endToEndFields() const;

    /// @return Value of Content-Length; empty if the length is not known in advance.
    std::optional<uint64_t> contentLength() const;

    bool isReused() const { return m_wasReused; }

    /// @return Whether any byte of a response has arrived.
    bool hasResponseBytes() const { return m_hasResponseBytes; }

    /// @return What makes the received bytes an invalid response; empty if none are.
    const std::string& fault() const { return m_fault; }

    /// Called once when the exchange has ended, whether complete or failed.
    std::function<void(StepResult)> onEnd;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    StepResult finish(StepResult);
    asio::awaitable<error_code> writeRequest(const std::string& head, const RequestBody*, SteadyTime deadline);
    /// Reads the head of the next response, which may be an interim one.
    asio::awaitable<StepResult> readAnyHead(SteadyTime deadline);
    /// Reads and parses bytes until the parser has a whole head.
    asio::awaitable<error_code> parseHead();
    std::optional<ResponseFault> findHeadFault() const;
    /// @return Whether the response names a field as one of this connection alone.
    bool isForThisConnection(std::string_view name) const;
    /// Ends the exchange, whose peer sent an invalid response.
    StepResult finishMalformed(std::string fault);
    /// Ends the exchange after an error of the connection or the parser.
    StepResult finishFailed(const error_code&);
    asio::awaitable<StepResult> readIgnored(SteadyTime deadline);
    /// @param room Maximum number of bytes to read.
    asio::awaitable<error_code> readSome(std::string& body, size_t room, SteadyTime deadline);
    /// @return Number of bytes that one step should read.
    size_t stepBytes() const;
    /// Makes room in a body for the next step.
    /// @return False if there is no memory for it.
    bool reserveStep(std::string& body);
    /// Reserves memory for the head and a body of a given capacity.
    /// @return Whether it is available; always the case for a small response.
    bool holdMemory(size_t bodyCapacity);
    /// @return Approximate memory of the parsed head and its copy for the caller.
    size_t headMemory() const;
    void parseKeepAlive();

    ConnectionPool& m_pool;
    std::unique_ptr<Connection> m_connection;
    /// Null if the memory of the response is not limited.
    std::shared_ptr<BodyMemory::Reservation> m_memory;
    /// Memory reserved for the head of the response; zero for a small one.
    size_t m_reservedHead = 0;
    std::optional<Parser> m_parser;
    std::span<const std::string> m_singleFields;
    /// Whether a line of the head that was read last continues the one before it, which the parser hides.
    bool m_hasContinuedLine = false;
    std::string m_fault;
    bool m_wasReused;
    bool m_hasResponseBytes = false;
    bool m_hasEnded = false;
    bool m_isHeadRequest = false;
    bool m_isCancelled = false;
    bool m_isBodyWithheld = false;
    /// Whether the head of the final response was read while the request was sent.
    bool m_hasFinalHead = false;
};

/// @return Reason of an unknown outcome after an exchange that ended as Broken before it had a head.
Reason brokenReason(const HttpExchange&);

/// @return Whether a field applies to a single connection or message and must not be forwarded.
bool isHopByHop(std::string_view name);

/// @return The decimal number that the text consists of; empty if the text is not a number.
std::optional<uint64_t> parseUnsigned(std::string_view text);

/// @return The decimal number, with or without a fraction, that the text consists of; empty if the text is not a finite
/// number of zero or more.
std::optional<double> parseDecimal(std::string_view text);

}
