#include "snipeweir/relay/InboundConnection.h"

#include "snipeweir/relay/TransferCoding.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace snipeweir {

namespace http = boost::beast::http;

namespace {

    /// Maximum time for which bytes sent to a caller may stay unacknowledged, or unsent since its window is closed.
    /// Longer than all time limits for writing and closing, since a caller that pauses looks the same as a dead one.
    constexpr std::chrono::milliseconds callerUserTimeout { 12'000 };
    /// Time for which bytes are dropped once the peer's kernel has the response: enough for a peer on the same VM or
    /// data centre to notice the end of the connection, and too short to be used as a way to hold connections open.
    constexpr std::chrono::milliseconds lingerTime { 1000 };
    /// Maximum time for which bytes are dropped until the peer's kernel has the response.
    constexpr std::chrono::milliseconds maxDeliveryTime { 9000 };
    constexpr std::chrono::milliseconds deliveryPollInterval { 20 };
    constexpr size_t dropBufferBytes = 16U << 10U;
    /// Maximum number of buffers that are dropped without waiting: all that the kernel holds for a connection.
    constexpr size_t maxDropsAtOnce = Connection::receiveBufferBytes / dropBufferBytes;
    /// Timeout for writing one part of a streamed response.
    constexpr std::chrono::seconds partTimeout { 10 };

    unsigned statusForError(const error_code& error)
    {
        if (error == http::error::header_limit)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        if (error == beast::error::timeout)
            return 408;
        return error.category() == http::make_error_code(http::error::end_of_stream).category() ? 400 : 0;
    }

    /// @return Status to reject a request with, because the end or the content of its body can't be known; 0 if it can.
    unsigned statusForCoding(const InboundConnection::Request& request)
    {
        switch (transferCoding(request)) {
        case TransferCoding::None:
            return 0;
        case TransferCoding::Chunked:
            // HTTP/1.0 does not know the field (RFC 9112, section 6.1).
            return request.version() >= 11 ? 0 : 400;
        case TransferCoding::Unsupported:
            return 501;
        case TransferCoding::Undelimited:
            break;
        }
        return 400;
    }

}

InboundConnection::InboundConnection(asio::ip::tcp::socket socket, BodyMemory& memory)
    : m_stream(std::move(socket))
    , m_memory(memory)
    , m_readTimer(m_stream.get_executor())
{
    setTcpOptions(m_stream.socket(), callerUserTimeout);
}

asio::awaitable<InboundConnection::ReadResult> InboundConnection::read(CallerLimits limits, const ReadAhead* readAhead)
{
    m_hasReadTimedOut = false;
    const auto limitTime = [&](std::chrono::milliseconds limit) {
        const bool isLimited = !readAhead || !readAhead->hasEarlierRequests();
        setReadDeadline(isLimited ? BootTime::now() + limit : SteadyTime::max());
    };
    const std::function<void()> limitBodyTime = [&] { limitTime(limits.headerTimeout); };
    const auto reject = [&](unsigned status) {
        m_rejectionStatus = status;
        m_readForm.isKeepAlive = false;
        if (!readAhead)
            respondTo(m_readForm);
        return ReadResult::Rejected;
    };
    m_request.reset();
    m_body.reset();
    m_rejectionStatus = 0;
    m_readForm = ResponseForm();
    m_buffer.max_size(limits.maxHeaderBytes + Connection::maxBufferedBytes);
    if (m_buffer.size() == 0) {
        limitTime(limits.idleTimeout);
        m_idleTimeout = limits.idleTimeout;
        const auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(4096), asTuple);
        m_idleTimeout.reset();
        if (error) {
            setReadDeadline(SteadyTime::max());
            co_return ReadResult::Closed;
        }
        m_buffer.commit(count);
    }

    BodyReader::Parser parser;
    parser.header_limit(static_cast<uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    limitTime(limits.headerTimeout);
    auto [error, count] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    const unsigned codingStatus = error ? 0 : statusForCoding(parser.get());
    if (codingStatus != 0) {
        setReadDeadline(SteadyTime::max());
        co_return reject(codingStatus);
    }
    const bool expectsContinue = !error && parser.get()[http::field::expect] == "100-continue";
    if (!error && readAhead && readAhead->hasEarlierRequests() && !parser.is_done()) {
        std::optional<uint64_t> length;
        if (parser.content_length() && !expectsContinue)
            length = *parser.content_length();
        const bool isOpen = co_await readAhead->waitForBody(length);
        if (!isOpen) {
            setReadDeadline(SteadyTime::max());
            co_return ReadResult::Closed;
        }
    }
    BodyReader reader(m_memory);
    bool hasMemory = error || reader.reserve(parser);
    if (expectsContinue && hasMemory) {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(interim), asTuple);
    }
    if (!error && hasMemory) {
        error = co_await reader.read(m_stream, m_buffer, parser, limitBodyTime);
        hasMemory = error != asio::error::no_memory;
    }
    setReadDeadline(SteadyTime::max());
    if (error && m_hasReadTimedOut)
        error = beast::error::timeout;
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    if (!hasMemory) {
        // The request has not run and may be sent again; the rest of it is not read.
        m_request = parser.release();
        co_return reject(503);
    }
    if (error) {
        const unsigned status = statusForError(error);
        co_return status == 0 ? ReadResult::Closed : reject(status);
    }
    m_request = parser.release();
    m_readForm.isHeadRequest = m_request->method() == http::verb::head;
    m_readForm.hasChunkedCoding = m_request->version() >= 11;
    m_readForm.isKeepAlive = m_request->keep_alive();
    if (!readAhead)
        respondTo(m_readForm);
    if (reader.size() > 0)
        m_body = reader.take();
    co_return ReadResult::Request;
}

void InboundConnection::setReadDeadline(SteadyTime deadline)
{
    m_readDeadline = deadline;
    // An earlier expiry of the timer waits again.
    if (deadline < m_readTimerAt)
        waitForReadDeadline();
}

void InboundConnection::waitForReadDeadline()
{
    m_readTimerAt = m_readDeadline;
    m_readTimer.expires_at(m_readDeadline);
    m_readTimer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](const error_code& error) {
        if (!error && !lifetime.expired())
            onReadDeadline();
    });
}

void InboundConnection::onReadDeadline()
{
    m_readTimerAt = SteadyTime::max();
    // The idle time begins when the peer has the response before.
    if (BootTime::now() >= m_readDeadline && m_idleTimeout && hasUnacknowledgedOutput())
        m_readDeadline = BootTime::now() + *m_idleTimeout;
    if (BootTime::now() < m_readDeadline) {
        if (m_readDeadline < SteadyTime::max())
            waitForReadDeadline();
        return;
    }
    m_hasReadTimedOut = true;
    interrupt();
}

InboundConnection::Readable InboundConnection::peek()
{
    char byte = 0;
    const auto count = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return Readable::Bytes;
    // A wait may end for bytes that were read before it began.
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Readable::Interrupted : Readable::Closed;
}

void InboundConnection::watchForDisconnect(std::function<void()> onDisconnect, std::function<void()> onBytes)
{
    m_watch = std::make_shared<Watch>(Watch { std::move(onDisconnect), std::move(onBytes) });
    continueWatching();
}

void InboundConnection::continueWatching()
{
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [this, weak = std::weak_ptr(m_watch)](const error_code& error) {
            const auto watch = weak.lock();
            if (error || !watch)
                return;
            const Readable readable = peek();
            if (readable == Readable::Closed)
                watch->onDisconnect();
            else if (readable == Readable::Interrupted)
                continueWatching();
            else if (watch->onBytes)
                watch->onBytes();
        });
}

void InboundConnection::stopWatching()
{
    if (!m_watch)
        return;
    m_watch.reset();
    interrupt();
}

asio::awaitable<InboundConnection::Readable> InboundConnection::waitForBytes()
{
    const auto [error] = co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, asTuple);
    if (error == asio::error::operation_aborted)
        co_return Readable::Interrupted;
    co_return error ? Readable::Closed : peek();
}

void InboundConnection::interrupt()
{
    error_code ignored; // The socket may be closed already.
    m_stream.socket().cancel(ignored);
}

bool InboundConnection::hasPeerClosed()
{
    pollfd descriptor { m_stream.socket().native_handle(), POLLRDHUP, 0 };
    return ::poll(&descriptor, 1, 0) > 0;
}

void InboundConnection::finishHead(std::string& head)
{
    if (!m_form.isKeepAlive)
        head.append("Connection: close\r\n");
    head.append("\r\n");
}

void InboundConnection::setResetOnClose(bool isReset)
{
    m_isResetOnClose = isReset;
    // The destructor of Asio's socket would take back an option that was set through the socket.
    const linger option { isReset ? 1 : 0, 0 };
    ::setsockopt(m_stream.socket().native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

asio::awaitable<bool> InboundConnection::write(const std::string& first, const std::string& second, SteadyTime deadline)
{
    if (m_isUnsentLimited && isStopping && isStopping()) {
        m_isUnsentLimited = false;
        liftUnsentLimit(m_stream.socket());
    }
    expireAt(m_stream, deadline);
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(first), asio::buffer(second) };
    const auto [error, count] = co_await asio::async_write(m_stream, buffers, asTuple);
    m_stream.expires_never();
    if (error)
        m_form.isKeepAlive = false;
    co_return !error;
}

asio::awaitable<bool> InboundConnection::writeComplete(std::string head, const std::string& body, SteadyTime deadline)
{
    head.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    finishHead(head);
    static const std::string none;
    co_return co_await write(head, m_form.isHeadRequest ? none : body, deadline);
}

asio::awaitable<bool> InboundConnection::writeStreamed(
    std::string head, std::string body, HttpExchange& rest, ResponseTimeLimit& limit, const Clock& clock)
{
    const auto length = rest.contentLength();
    // HTTP/1.0 has no chunked encoding; closing the connection marks the end of the body.
    const bool isChunked = !length && m_form.hasChunkedCoding;
    if (length)
        head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    else if (isChunked)
        head.append("Transfer-Encoding: chunked\r\n");
    else
        m_form.isKeepAlive = false;
    finishHead(head);
    const bool isDelimitedByClose = !length && !isChunked;
    // An orderly end within such a body would make it look complete.
    if (isDelimitedByClose)
        setResetOnClose(true);

    HttpExchange::StepResult end = HttpExchange::StepResult::More;
    for (;;) {
        if (isChunked && !body.empty()) {
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
            head.append(size.data());
            body.append("\r\n");
        }
        const bool isLast = end == HttpExchange::StepResult::Complete;
        if (isChunked && isLast)
            body.append("0\r\n\r\n");
        // A response that has been read to its end is only the peer's to take.
        const SteadyTime partEnd = clock.now() + partTimeout;
        if (!co_await write(head, body, isLast ? partEnd : std::min(partEnd, limit.latestEnd())))
            co_return false;
        if (isLast) {
            if (isDelimitedByClose)
                setResetOnClose(false);
            co_return true;
        }
        head.clear();
        rest.releaseBody(body);
        limit.onProgress(clock.now());
        end = co_await rest.readBody(body, limit);
        if (end != HttpExchange::StepResult::Complete && end != HttpExchange::StepResult::More) {
            m_form.isKeepAlive = false;
            co_return false;
        }
    }
}

bool InboundConnection::dropArrivedBytes()
{
    std::array<char, dropBufferBytes> dropped; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (size_t i = 0; i < maxDropsAtOnce; ++i) {
        const auto count = ::recv(m_stream.socket().native_handle(), dropped.data(), dropped.size(), MSG_DONTWAIT);
        if (count <= 0)
            return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    }
    return true;
}

bool InboundConnection::hasUnacknowledgedOutput()
{
    int bytes = 0;
    return ::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

asio::awaitable<void> InboundConnection::close()
{
    if (m_isResetOnClose) {
        m_stream.close();
        co_return;
    }
    error_code ignored; // The peer may have closed first; dropping bytes then ends at once.
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    Timer timer(executor());
    bool isOpen = dropArrivedBytes();
    const SteadyTime deliveryEnd = BootTime::now() + maxDeliveryTime;
    while (isOpen && hasUnacknowledgedOutput() && BootTime::now() < deliveryEnd) {
        timer.expires_after(deliveryPollInterval);
        co_await timer.async_wait(asTuple);
        isOpen = dropArrivedBytes();
    }
    const SteadyTime lingerEnd = BootTime::now() + lingerTime;
    while (isOpen && BootTime::now() < lingerEnd) {
        // The stream's timer closes it if no bytes arrive.
        expireAt(m_stream, lingerEnd);
        const auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(dropBufferBytes), asTuple);
        isOpen = !error;
    }
    m_stream.close();
}

}
