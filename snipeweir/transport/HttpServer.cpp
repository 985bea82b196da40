#include "snipeweir/transport/HttpServer.h"

#include "snipeweir/core/IgnoreCase.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <civetweb.h>
#include <cstring>

namespace snipeweir {

namespace {

    // Worker threads above the connection limit; they refuse further connections.
    constexpr uint32_t extraThreads = 8;
    constexpr size_t maxHeadBytes = 16384;
    constexpr size_t readBlockBytes = 16384;

    std::string_view toView(const char* text) { return text ? std::string_view(text) : std::string_view(); }

    void initializeCivetWeb()
    {
        static const unsigned features = mg_init_library(MG_FEATURES_DEFAULT);
        (void)features;
    }

}

HttpServerExchange::HttpServerExchange(mg_connection* connection, const Clock& clock, SteadyTime connectionIdleSince)
    : m_connection(connection)
    , m_clock(clock)
    , m_beganAt(clock.now())
    , m_connectionIdleSince(connectionIdleSince)
{
    m_hasUnreadBody = headerCount("Content-Length") > 0 || headerCount("Transfer-Encoding") > 0;
}

std::string_view HttpServerExchange::method() const
{
    return toView(mg_get_request_info(m_connection)->request_method);
}

std::string_view HttpServerExchange::path() const
{
    // Return the undecoded path, so that the backend server receives percent-escapes as the caller sent them.
    const mg_request_info* info = mg_get_request_info(m_connection);
    std::string_view raw = toView(info->request_uri);
    return raw.substr(0, raw.find('?'));
}

std::string_view HttpServerExchange::query() const { return toView(mg_get_request_info(m_connection)->query_string); }

std::optional<std::string_view> HttpServerExchange::header(const char* name) const
{
    const char* value = mg_get_header(m_connection, name);
    if (!value)
        return std::nullopt;
    return std::string_view(value);
}

size_t HttpServerExchange::headerCount(std::string_view name) const
{
    const mg_request_info* info = mg_get_request_info(m_connection);
    return static_cast<size_t>(std::count_if(info->http_headers, info->http_headers + info->num_headers,
        [&](const mg_header& header) { return equalsIgnoringCase(toView(header.name), name); }));
}

std::vector<HttpHeader> HttpServerExchange::headers() const
{
    const mg_request_info* info = mg_get_request_info(m_connection);
    std::vector<HttpHeader> headers;
    headers.reserve(static_cast<size_t>(info->num_headers));
    for (int i = 0; i < info->num_headers; ++i)
        headers.push_back({ info->http_headers[i].name, std::string(toView(info->http_headers[i].value)) });
    return headers;
}

Result<std::string> HttpServerExchange::readBody(size_t maxBytes, SteadyTime deadline)
{
    // Refuse a body whose length two HTTP parsers could interpret differently (request smuggling).
    const size_t lengths = headerCount("Content-Length");
    const size_t codings = headerCount("Transfer-Encoding");
    if (lengths + codings > 1)
        return fail(ErrorCode::InvalidArgument, "The length of the body is ambiguous.");
    if (lengths + codings == 0)
        return std::string();
    if (codings == 1 && !equalsIgnoringCase(*header("Transfer-Encoding"), "chunked"))
        return fail(ErrorCode::InvalidArgument, "The transfer coding is not \"chunked\".");

    uint64_t expected = 0;
    if (lengths == 1) {
        const std::string_view text = *header("Content-Length");
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), expected);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
            return fail(ErrorCode::InvalidArgument, "The value of Content-Length is not a number.");
        if (expected > maxBytes)
            return fail(ErrorCode::TooLarge, "The body is larger than " + std::to_string(maxBytes) + " bytes.");
    }

    // The deadline is checked after each block; reading one block takes at most the I/O timeout.
    std::string body;
    std::array<char, readBlockBytes> block {};
    while (codings == 1 || body.size() < expected) {
        const int count = mg_read(m_connection, block.data(), block.size());
        if (count < 0)
            return fail(ErrorCode::InvalidArgument, "The body is malformed or truncated.");
        if (count == 0)
            break;
        body.append(block.data(), static_cast<size_t>(count));
        if (body.size() > maxBytes)
            return fail(ErrorCode::TooLarge, "The body is larger than " + std::to_string(maxBytes) + " bytes.");
        if (m_clock.now() > deadline)
            return fail(ErrorCode::Timeout, "The body was not received before the deadline.");
    }
    if (lengths == 1 && body.size() != expected)
        return fail(ErrorCode::InvalidArgument, "The body is shorter than its Content-Length.");
    m_hasUnreadBody = false;
    return body;
}

void HttpServerExchange::writeHead(int status, const std::vector<HttpHeader>& headers, std::string_view framing)
{
    // An unread request body would be parsed as the next request on this connection, so close the connection.
    if (m_hasUnreadBody)
        abort();
    std::string head
        = "HTTP/1.1 " + std::to_string(status) + " " + mg_get_response_code_text(m_connection, status) + "\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    head += framing;
    head += m_isAborted ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
    m_status = status;
    if (mg_write(m_connection, head.data(), head.size()) != static_cast<int>(head.size()))
        abort();
}

void HttpServerExchange::respond(int status, const std::vector<HttpHeader>& headers, std::string_view body)
{
    writeHead(status, headers, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (method() != "HEAD")
        writeBody(body);
}

bool HttpServerExchange::sendInterim()
{
    constexpr std::string_view response = "HTTP/1.1 102 Processing\r\n\r\n";
    return mg_write(m_connection, response.data(), response.size()) == static_cast<int>(response.size());
}

bool HttpServerExchange::startBody(
    int status, const std::vector<HttpHeader>& headers, std::optional<uint64_t> contentLength)
{
    m_isChunked = !contentLength;
    writeHead(status, headers,
        contentLength ? "Content-Length: " + std::to_string(*contentLength) + "\r\n"
                      : "Transfer-Encoding: chunked\r\n");
    return !m_isAborted;
}

bool HttpServerExchange::writeBody(std::string_view chunk)
{
    if (chunk.empty())
        return true;
    const int written = m_isChunked ? mg_send_chunk(m_connection, chunk.data(), static_cast<unsigned>(chunk.size()))
                                    : mg_write(m_connection, chunk.data(), chunk.size());
    if (written <= 0) {
        abort();
        return false;
    }
    return true;
}

void HttpServerExchange::finishBody()
{
    if (m_isChunked && mg_send_chunk(m_connection, "", 0) < 0)
        abort();
}

void HttpServerExchange::abort()
{
    m_isAborted = true;
    mg_disable_connection_keep_alive(m_connection);
}

struct HttpServer::ConnectionState {
    SteadyTime idleSince;
};

HttpServer::HttpServer(HttpServerSettings settings, const Clock& clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_maxConnections(m_settings.maxConnections)
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(HttpServerSettings settings, const Clock& clock)
{
    initializeCivetWeb();
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(settings), clock));

    // Alternating option names and values, terminated by nullptr. CivetWeb copies them.
    const std::string threads = std::to_string(server->m_settings.maxConnections + extraThreads);
    const std::string ioTimeout = std::to_string(server->m_settings.ioTimeout.count());
    const std::string keepAliveTimeout = std::to_string(server->m_settings.keepAliveTimeout.count());
    const std::string headBytes = std::to_string(maxHeadBytes);
    const std::array<const char*, 17> options { "listening_ports", server->m_settings.address.c_str(), "num_threads",
        threads.c_str(), "enable_keep_alive", "yes", "keep_alive_timeout_ms", keepAliveTimeout.c_str(),
        "request_timeout_ms", ioTimeout.c_str(), "tcp_nodelay", "1", "max_request_size", headBytes.c_str(),
        "connection_queue", "64", nullptr };

    mg_callbacks callbacks {};
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    callbacks.http_error = &HttpServer::handleError;
    callbacks.init_connection = [](const mg_connection* connection, void** data) {
        auto* self = static_cast<HttpServer*>(mg_get_user_data(mg_get_context(connection)));
        ++self->m_connections;
        *data = new ConnectionState { self->m_clock.now() };
        return 0;
    };
    // Use connection_close, not connection_closed: CivetWeb clears the user data of the connection between the two.
    callbacks.connection_close = [](const mg_connection* connection) {
        auto* self = static_cast<HttpServer*>(mg_get_user_data(mg_get_context(connection)));
        auto* state = static_cast<ConnectionState*>(mg_get_user_connection_data(connection));
        if (!state)
            return;
        delete state;
        mg_set_user_connection_data(connection, nullptr);
        --self->m_connections;
    };
    server->m_context = mg_start(&callbacks, server.get(), const_cast<const char**>(options.data()));
    if (!server->m_context)
        return fail(ErrorCode::Unavailable, "Cannot listen on " + server->m_settings.address + ".");
    mg_set_request_handler(server->m_context, "**", &HttpServer::handleRequest, server.get());
    return server;
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::stop()
{
    if (m_context)
        mg_stop(m_context);
    m_context = nullptr;
}

int HttpServer::handleRequest(mg_connection* connection, void* server)
{
    auto* self = static_cast<HttpServer*>(server);
    auto* state = static_cast<ConnectionState*>(mg_get_user_connection_data(connection));
    HttpServerExchange exchange(connection, self->m_clock, state ? state->idleSince : self->m_clock.now());
    if (self->m_connections.load() > self->m_maxConnections.load() && self->m_settings.onConnectionLimit) {
        exchange.abort();
        self->m_settings.onConnectionLimit(exchange);
    } else
        self->m_settings.handler(exchange);
    if (state)
        state->idleSince = self->m_clock.now();
    return exchange.hasStartedResponse() ? exchange.status() : 500;
}

int HttpServer::handleError(mg_connection* connection, int status, const char*)
{
    // CivetWeb itself refuses requests with a malformed or oversized head. They never reach the handler, so the outcome
    // is not_run.
    mg_disable_connection_keep_alive(connection);
    const std::string reason = status == 413 || status == 431 ? "body_too_large" : "bad_request";
    const std::string body = "{\"outcome\":\"not_run\",\"reason\":\"" + reason + "\"}\n";
    mg_printf(connection,
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nSnipeweir-Outcome: not_run\r\nSnipeweir-Reason: %s\r\n"
        "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
        status, mg_get_response_code_text(connection, status), reason.c_str(), body.size(), body.c_str());
    return 0;
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    constexpr size_t maxValueBytes = 4096;
    std::array<char, maxValueBytes> value {};
    const std::string key(name);
    const int length = mg_get_var(query.data(), query.size(), key.c_str(), value.data(), value.size());
    if (length < 0)
        return std::nullopt;
    return std::string(value.data(), static_cast<size_t>(length));
}

}
