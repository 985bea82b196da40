#include "snipeweir/transport/HttpClient.h"

#include "snipeweir/core/IdleSocket.h"
#include "snipeweir/core/IgnoreCase.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <cassert>
#include <charconv>
#include <curl/curl.h>

namespace snipeweir {

namespace {

    // Shorter than the keep-alive timeout of the servers, so that a pooled connection has rarely just been closed by
    // its server.
    constexpr std::chrono::milliseconds maxIdleTime { 3000 };
    constexpr size_t maxIdleConnectionsPerAddress = 32;
    constexpr std::chrono::milliseconds maxStepWait { 20 };
    constexpr size_t maxTrailerBytes = 64U << 10U;

    void initializeLibcurl()
    {
        static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
        assert(code == CURLE_OK);
        (void)code;
    }

}

std::optional<std::string_view> HttpResponseHead::header(std::string_view name) const
{
    for (const auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

bool HttpResponseHead::isForThisConnection(std::string_view name) const
{
    return std::any_of(headers.begin(), headers.end(), [&](const HttpHeader& header) {
        return equalsIgnoringCase(header.name, "Connection")
            && boost::beast::http::token_list(header.value).exists(name);
    });
}

/// A libcurl easy handle on its own multi handle, whose connection cache holds the connection.
struct HttpTransfer::PooledConnection {
    CURLM* multi = curl_multi_init();
    CURL* easy = curl_easy_init();
    /// Invalid if no connection is open.
    curl_socket_t socket = CURL_SOCKET_BAD;
    SteadyTime idleSince;

    PooledConnection() = default;
    PooledConnection(const PooledConnection&) = delete;
    PooledConnection& operator=(const PooledConnection&) = delete;
    ~PooledConnection()
    {
        curl_easy_cleanup(easy);
        curl_multi_cleanup(multi);
    }
};

HttpTransfer::HttpTransfer(
    HttpClient& client, std::unique_ptr<PooledConnection> connection, HttpRequest request, TransferHooks hooks)
    : m_client(client)
    , m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_hooks(std::move(hooks))
    , m_lastProgress(client.m_clock.now())
{
}

HttpTransfer::~HttpTransfer()
{
    if (!m_hasFinished)
        finish(false);
}

bool HttpTransfer::prepare()
{
    CURL* easy = m_connection->easy;
    curl_easy_reset(easy);
    curl_slist* list = nullptr;
    for (const auto& [name, value] : m_request.headers)
        list = curl_slist_append(list, (name + ": " + value).c_str());
    list = curl_slist_append(list, "Expect:");
    list = curl_slist_append(list, "Accept-Encoding:");
    m_headerList = list;

    const std::string url = "http://" + m_request.to.text() + m_request.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpTransfer::onConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBodyData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &HttpTransfer::onDebugData);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, this);
    if (m_request.reuse == ConnectionReuse::Forbidden) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (m_request.method == "HEAD")
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    else if (m_request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    return curl_multi_add_handle(m_connection->multi, easy) == CURLM_OK;
}

int HttpTransfer::onConnected(void* transfer, char*, char*, int, int)
{
    static_cast<HttpTransfer*>(transfer)->m_mayHaveSent = true;
    return CURL_PREREQFUNC_OK;
}

size_t HttpTransfer::onHeaderLine(char* data, size_t size, size_t count, void* transfer)
{
    auto* self = static_cast<HttpTransfer*>(transfer);
    self->m_lastProgress = self->m_client.m_clock.now();
    self->readHeaderLine(std::string_view(data, size * count));
    return self->m_hasAborted || self->m_fault ? 0 : size * count;
}

void HttpTransfer::readHeaderLine(std::string_view line)
{
    if (m_fault)
        return;
    const bool isEmpty = line == "\r\n";
    if (m_head.status != 0) {
        // A line after the final head belongs to the trailer, which is not used. libcurl does not limit its size.
        m_trailerBytes += line.size();
        if (m_trailerBytes > maxTrailerBytes)
            refuse(ResponseFault::TrailerSize);
        else if (!isEmpty)
            readFieldLine(line);
    } else if (!m_partialHead) {
        const auto start = parseStatusLine(line);
        if (!start)
            return refuse(ResponseFault::StatusLine);
        m_partialHead.emplace().status = static_cast<int>(start->status);
        m_partialVersion = start->version;
    } else if (isEmpty) {
        finishHead();
    } else {
        readFieldLine(line);
    }
}

void HttpTransfer::readFieldLine(std::string_view line)
{
    // libcurl does not join continued lines, so its framing could differ from that of the joined field.
    if (line.starts_with(' ') || line.starts_with('\t'))
        return refuse(ResponseFault::ContinuedLine);
    const auto field = parseFieldLine(line);
    if (!field)
        return refuse(ResponseFault::FieldLine);
    if (m_partialHead)
        m_partialHead->headers.push_back({ std::string(field->name), std::string(field->value) });
    else if (const auto fault = findFieldFault(*field))
        refuse(*fault);
}

void HttpTransfer::finishHead()
{
    HttpResponseHead head = std::move(*m_partialHead);
    m_partialHead.reset();
    std::vector<ResponseField> fields;
    fields.reserve(head.headers.size());
    for (const auto& header : head.headers)
        fields.push_back({ header.name, header.value });
    if (const auto fault = findResponseFault({ m_partialVersion, static_cast<unsigned>(head.status), fields, {} }))
        return refuse(*fault);
    // An interim response only counts as progress.
    if (head.status < 200)
        return;
    head.contentLength = contentLength(fields);
    m_head = std::move(head);
    // A body that is delimited only by the end of the connection cannot be distinguished from a truncated one.
    if (hasBody() && !m_head.contentLength && !m_head.header("Transfer-Encoding"))
        return refuse(ResponseFault::NoLength);
    if (hasBody() && !m_head.contentLength) {
        m_chunks = std::make_unique<ChunkedBodyCheck>();
        // Only the debug function gets the bytes of the body before they are decoded.
        curl_easy_setopt(m_connection->easy, CURLOPT_VERBOSE, 1L);
    }
    if (m_hooks.onHead && !m_hooks.onHead(m_head))
        m_hasAborted = true;
}

int HttpTransfer::onDebugData(void*, int kind, char* data, size_t size, void* transfer)
{
    auto* self = static_cast<HttpTransfer*>(transfer);
    if (kind == CURLINFO_DATA_IN && self->m_chunks && !self->m_fault && !self->m_chunks->add({ data, size }))
        self->refuse(ResponseFault::ChunkedBody);
    return 0;
}

bool HttpTransfer::hasBody() const
{
    return m_request.method != "HEAD" && m_head.status != 204 && m_head.status != 304;
}

std::string_view HttpTransfer::fault() const { return m_fault ? responseFaultName(*m_fault) : std::string_view(); }

bool HttpTransfer::isBodyComplete() const
{
    if (m_chunks)
        return m_chunks->isComplete();
    return !hasBody() || m_bodyBytes == m_head.contentLength.value_or(m_bodyBytes);
}

void HttpTransfer::refuse(ResponseFault fault)
{
    m_fault = fault;
    if (m_client.onMalformedResponse)
        m_client.onMalformedResponse(m_request.to, responseFaultName(fault));
}

size_t HttpTransfer::onBodyData(char* data, size_t size, size_t count, void* transfer)
{
    auto* self = static_cast<HttpTransfer*>(transfer);
    if (self->m_fault)
        return 0;
    self->m_bodyBytes += size * count;
    if (self->m_hooks.onBody && !self->m_hooks.onBody(std::string_view(data, size * count))) {
        self->m_hasAborted = true;
        return 0;
    }
    // Read the clock after the hook: time that a slow downstream reader takes must not count against the peer.
    self->m_lastProgress = self->m_client.m_clock.now();
    return size * count;
}

std::optional<TransferEnd> HttpTransfer::endReason(int curlCode) const
{
    if (m_hasAborted)
        return TransferEnd::Aborted;
    if (m_fault)
        return TransferEnd::Malformed;
    switch (curlCode) {
    case CURLE_OK:
        // libcurl also reports success if the connection ends within a head, or within a body whose length is beyond
        // its own range.
        return m_head.status != 0 && isBodyComplete() ? TransferEnd::Complete : TransferEnd::ConnectionLost;
    // libcurl resends a request on its own when a reused connection ends without a response. The resend may fail to
    // connect although the server has run the first send. After any send, a failed connect therefore does not prove
    // that the request was not run.
    case CURLE_COULDNT_CONNECT:
        return m_mayHaveSent ? TransferEnd::ConnectionLost : TransferEnd::ConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
        return m_mayHaveSent ? TransferEnd::NoProgress : TransferEnd::ConnectFailed;
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
        return TransferEnd::Malformed;
    default:
        return TransferEnd::ConnectionLost;
    }
}

std::optional<TransferEnd> HttpTransfer::step(std::chrono::milliseconds wait)
{
    int running = 0;
    curl_multi_perform(m_connection->multi, &running);
    if (running > 0 && wait.count() > 0) {
        curl_multi_poll(m_connection->multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
        curl_multi_perform(m_connection->multi, &running);
    }
    int left = 0;
    if (const CURLMsg* message = curl_multi_info_read(m_connection->multi, &left);
        message && message->msg == CURLMSG_DONE) {
        const auto end = endReason(message->data.result);
        if (end == TransferEnd::Malformed && !m_fault)
            refuse(ResponseFault::Undecodable);
        finish(end == TransferEnd::Complete);
        return end;
    }

    // The transfer is still in progress: check its deadline and timeouts.
    const SteadyTime now = m_client.m_clock.now();
    if (now >= m_request.deadline) {
        finish(false);
        return TransferEnd::DeadlinePassed;
    }
    const bool isWaitingForHead = m_head.status == 0;
    const auto timeout
        = isWaitingForHead ? m_request.headTimeout.value_or(m_request.noProgressTimeout) : m_request.noProgressTimeout;
    if (now - m_lastProgress >= timeout) {
        finish(false);
        return TransferEnd::NoProgress;
    }
    if (m_hooks.onWait && !m_hooks.onWait()) {
        finish(false);
        return TransferEnd::Aborted;
    }
    return std::nullopt;
}

void HttpTransfer::finish(bool isReusable)
{
    m_hasFinished = true;
    curl_easy_getinfo(m_connection->easy, CURLINFO_ACTIVESOCKET, &m_connection->socket);
    curl_multi_remove_handle(m_connection->multi, m_connection->easy);
    curl_slist_free_all(static_cast<curl_slist*>(m_headerList));
    m_headerList = nullptr;
    if (isReusable && m_request.reuse == ConnectionReuse::Allowed)
        m_client.releaseConnection(m_request.to, std::move(m_connection));
    else
        m_connection.reset();
}

HttpClient::HttpClient(const Clock& clock)
    : m_clock(clock)
{
    initializeLibcurl();
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpTransfer::PooledConnection> HttpClient::acquireConnection(const Address& address)
{
    std::vector<std::unique_ptr<HttpTransfer::PooledConnection>> expired;
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idleConnections[address];
    const SteadyTime oldest = m_clock.now() - maxIdleTime;
    while (!idle.empty() && idle.front()->idleSince < oldest) {
        expired.push_back(std::move(idle.front()));
        idle.erase(idle.begin());
    }
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        // libcurl would take bytes that have arrived for the response to the next request.
        if (isOpenAndEmpty(connection->socket))
            return connection;
        expired.push_back(std::move(connection));
    }
    return std::make_unique<HttpTransfer::PooledConnection>();
}

void HttpClient::releaseConnection(const Address& address, std::unique_ptr<HttpTransfer::PooledConnection> connection)
{
    if (connection->socket == CURL_SOCKET_BAD)
        return;
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idleConnections[address];
    connection->idleSince = m_clock.now();
    if (idle.size() < maxIdleConnectionsPerAddress)
        idle.push_back(std::move(connection));
}

std::unique_ptr<HttpTransfer> HttpClient::start(HttpRequest request, TransferHooks hooks)
{
    auto connection = request.reuse == ConnectionReuse::Allowed ? acquireConnection(request.to)
                                                                : std::make_unique<HttpTransfer::PooledConnection>();
    std::unique_ptr<HttpTransfer> transfer(
        new HttpTransfer(*this, std::move(connection), std::move(request), std::move(hooks)));
    const bool isPrepared = transfer->prepare();
    assert(isPrepared);
    (void)isPrepared;
    return transfer;
}

TransferEnd HttpClient::perform(HttpRequest request, TransferHooks hooks)
{
    return drive(*start(std::move(request), std::move(hooks)));
}

TransferEnd HttpClient::drive(HttpTransfer& transfer)
{
    while (true) {
        if (const auto end = transfer.step(maxStepWait))
            return *end;
    }
}

Result<std::pair<HttpResponseHead, std::string>> HttpClient::fetch(HttpRequest request, size_t maxBytes)
{
    std::pair<HttpResponseHead, std::string> response;
    bool isTooLarge = false;
    TransferHooks hooks;
    hooks.onHead = [&](const HttpResponseHead& head) {
        response.first = head;
        return true;
    };
    hooks.onBody = [&](std::string_view chunk) {
        response.second.append(chunk);
        isTooLarge = response.second.size() > maxBytes;
        return !isTooLarge;
    };
    const std::string peer = request.to.text();
    const auto transfer = start(std::move(request), std::move(hooks));
    const TransferEnd end = drive(*transfer);
    if (isTooLarge)
        return fail(ErrorCode::TooLarge, "The response of " + peer + " is too large.");
    if (end == TransferEnd::DeadlinePassed || end == TransferEnd::NoProgress)
        return fail(ErrorCode::Timeout, "No response came from " + peer + " in time.");
    if (end == TransferEnd::Malformed)
        return fail(ErrorCode::Unavailable,
            "The response of " + peer + " is malformed (" + std::string(transfer->fault()) + ").");
    if (end != TransferEnd::Complete)
        return fail(ErrorCode::Unavailable, "The request to " + peer + " failed.");
    return response;
}

}
