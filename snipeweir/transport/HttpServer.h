#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Result.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;
struct mg_context;

namespace snipeweir {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// One request and its response on a server connection. Lives on the stack of the worker thread that serves it and may
/// be used only by that thread.
class HttpServerExchange {
public:
    HttpServerExchange(mg_connection*, const Clock&, SteadyTime connectionIdleSince);

    std::string_view method() const;
    std::string_view path() const;
    std::string_view query() const;

    /// @param name Header name; case-insensitive.
    /// @return Value of the first header with that name; empty if absent.
    std::optional<std::string_view> header(const char* name) const;

    /// @param name Header name; case-insensitive.
    /// @return Number of headers with that name.
    size_t headerCount(std::string_view name) const;
    std::vector<HttpHeader> headers() const;

    /// @return Time at which the server started to handle this request.
    SteadyTime beganAt() const { return m_beganAt; }

    /// @return Time at which the connection was accepted or finished its previous request. This request may have been
    /// waiting in the socket buffer since then.
    SteadyTime connectionIdleSince() const { return m_connectionIdleSince; }

    /// Reads the whole request body.
    /// @param maxBytes Maximum size of the body.
    /// @param deadline Time by which the body must be received. Checked after each read, which blocks for ioTimeout at
    /// most.
    /// @return The body, empty if the request has none; ErrorCode::TooLarge, ErrorCode::Timeout, or
    /// ErrorCode::InvalidArgument if the length is ambiguous, the transfer coding is not supported, or the body is
    /// malformed or truncated.
    Result<std::string> readBody(size_t maxBytes, SteadyTime deadline);

    /// Sends a complete response.
    void respond(int status, const std::vector<HttpHeader>&, std::string_view body);

    /// Sends an interim 102 response, which tells the client that the request is still being processed.
    /// @return Whether it was written to the connection.
    bool sendInterim();

    /// Starts a response whose body is written with writeBody().
    /// @param contentLength Length of the body in bytes; empty for chunked transfer coding.
    /// @return false if the head could not be written or the connection will be closed after this exchange.
    bool startBody(int status, const std::vector<HttpHeader>&, std::optional<uint64_t> contentLength);

    /// Writes the next chunk of the body.
    /// @return false if the write failed; the exchange is then aborted.
    bool writeBody(std::string_view chunk);

    /// Marks the end of a complete body; for chunked transfer coding, sends the last chunk.
    void finishBody();

    /// Closes the connection after this exchange, so that the client cannot mistake a partial response for a complete
    /// one.
    void abort();

    bool hasStartedResponse() const { return m_status != 0; }
    int status() const { return m_status; }
    bool isAborted() const { return m_isAborted; }

private:
    void writeHead(int status, const std::vector<HttpHeader>&, std::string_view framing);

    mg_connection* m_connection;
    const Clock& m_clock;
    SteadyTime m_beganAt;
    SteadyTime m_connectionIdleSince;
    int m_status = 0;
    bool m_isChunked = false;
    bool m_isAborted = false;
    bool m_hasUnreadBody = false;
};

struct HttpServerSettings {
    std::string address; ///< Address to listen on, "ip:port".
    uint32_t maxConnections = 250; ///< Open connections; further ones are refused at their first request.
    std::chrono::milliseconds keepAliveTimeout { 5000 }; ///< Idle time after which a connection is closed.
    std::chrono::milliseconds ioTimeout { 10000 }; ///< Timeout for a request head and for each read or write.
    std::function<void(HttpServerExchange&)> handler; ///< Called on a worker thread for each request.
    std::function<void(HttpServerExchange&)>
        onConnectionLimit; ///< Responds to a request on a connection over the limit.
};

/// HTTP/1.1 server based on CivetWeb. Each connection occupies a worker thread. There are more threads than
/// maxConnections, so that a connection over the limit still gets a response. connections() and setMaxConnections() are
/// safe to call from any thread.
class HttpServer {
public:
    /// @return The listening server, or ErrorCode::Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>> create(HttpServerSettings, const Clock&);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @return Number of open connections.
    uint32_t connections() const { return m_connections.load(); }

    /// Changes the connection limit. The number of worker threads stays as set by HttpServerSettings::maxConnections.
    void setMaxConnections(uint32_t count) { m_maxConnections.store(count); }

    /// Closes the listening socket and waits until running exchanges have ended.
    void stop();

private:
    struct ConnectionState;
    HttpServer(HttpServerSettings, const Clock&);
    static int handleRequest(mg_connection*, void* server);
    static int handleError(mg_connection*, int status, const char* message);

    HttpServerSettings m_settings;
    const Clock& m_clock;
    mg_context* m_context = nullptr;
    std::atomic<uint32_t> m_connections { 0 };
    std::atomic<uint32_t> m_maxConnections;
};

/// @return Decoded value of a query parameter; empty if it is absent or does not fit into 4095 bytes.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

}
