#include "snipeweir/relay/HttpExchange.h"

#include "snipeweir/core/ProductField.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/container/small_vector.hpp>
#include <charconv>
#include <cmath>
#include <utility>

namespace snipeweir {

namespace http = boost::beast::http;

namespace {

    /// Maximum size of a body that a peer's kernel holds unread, so that it is acknowledged although the peer does not
    /// read. The smallest receive buffer of a Linux socket holds about this much.
    constexpr size_t maxUnreadBytes = 16U << 10U;
    constexpr size_t readChunkBytes = 32U << 10U;
    /// Bytes that are read in one step if memory is short.
    constexpr size_t minReadBytes = 4U << 10U;
    /// Size up to which a head or a body needs no reservation.
    constexpr size_t unreservedBytes = 8U << 10U;
    /// Memory of one field in addition to its text, in the parser and in the copy for the caller.
    constexpr size_t fieldOverheadBytes = 192;
    /// Maximum number of buffers that one write takes; the kernel interface takes 64 at a time.
    constexpr size_t maxBuffersPerWrite = 64;
    constexpr uint32_t maxHeadBytes = 32U << 10U;
    /// Number of interim responses that may precede a final one.
    constexpr int maxInterimResponses = 8;
    /// Time after the deadline in which bytes that have already arrived are still read.
    constexpr std::chrono::milliseconds deadlineTolerance { 20 };
    /// Maximum size of a body that is skipped.
    constexpr size_t maxSkippedBytes = 64U << 10U;

    /// @return Whether an error says that the peer's bytes are not a valid response, and not that they are missing.
    bool isSyntaxError(const error_code& error)
    {
        static const auto& category = make_error_code(http::error::bad_version).category();
        return error.category() == category && error != http::error::end_of_stream
            && error != http::error::partial_message;
    }

    size_t reservedSize(size_t bytes) { return bytes > unreservedBytes ? bytes : 0; }

}

std::optional<uint64_t> parseUnsigned(std::string_view text)
{
    uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return isNumber && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

Reason brokenReason(const HttpExchange& exchange)
{
    return exchange.fault().empty() ? Reason::ConnectionLost : Reason::MalformedResponse;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names { "Connection", "Keep-Alive", "Proxy-Connection",
        "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Content-Length", "Expect" };
    return std::any_of(
        names.begin(), names.end(), [&](std::string_view hopByHop) { return equalsIgnoringCase(name, hopByHop); });
}

HttpExchange::HttpExchange(ConnectionPool& pool, std::unique_ptr<Connection> connection, BodyMemory* memory,
    std::span<const std::string> singleFields)
    : m_pool(pool)
    , m_connection(std::move(connection))
    , m_memory(memory ? std::make_shared<BodyMemory::Reservation>(*memory, BodyMemory::Use::Response) : nullptr)
    , m_singleFields(singleFields)
    , m_wasReused(m_connection->isReused)
{
}

HttpExchange::~HttpExchange() { finish(StepResult::Broken); }

HttpExchange::StepResult HttpExchange::finishMalformed(std::string fault)
{
    m_fault = std::move(fault);
    if (m_pool.onMalformedResponse && m_connection)
        m_pool.onMalformedResponse(m_connection->address, m_fault);
    return finish(StepResult::Broken);
}

HttpExchange::StepResult HttpExchange::finishFailed(const error_code& error)
{
    if (isSyntaxError(error))
        return finishMalformed(error.message());
    return finish(error == beast::error::timeout ? StepResult::TimedOut : StepResult::Broken);
}

HttpExchange::StepResult HttpExchange::finish(StepResult end)
{
    if (m_hasEnded)
        return end;
    m_hasEnded = true;
    if (end == StepResult::Complete && !m_isBodyWithheld && m_parser->keep_alive() && !m_parser->need_eof())
        m_pool.release(std::move(m_connection));
    m_connection.reset();
    if (onEnd)
        onEnd(end);
    return end;
}

void HttpExchange::cancel()
{
    m_isCancelled = true;
    if (m_connection)
        m_connection->stream.cancel();
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::send(
    std::string head, std::shared_ptr<const RequestBody> body, SteadyTime deadline)
{
    m_isHeadRequest = head.compare(0, 5, "HEAD ") == 0;
    const error_code error = co_await writeRequest(head, body.get(), deadline);
    if (error)
        co_return finishFailed(error);
    co_return StepResult::Complete;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::sendWhenExpected(
    std::string head, std::shared_ptr<const RequestBody> body, SteadyTime deadline)
{
    m_isBodyWithheld = true;
    error_code error = co_await writeRequest(head, nullptr, deadline);
    if (error)
        co_return finishFailed(error);
    for (int interimResponses = 0; interimResponses <= maxInterimResponses; ++interimResponses) {
        const StepResult end = co_await readAnyHead(deadline);
        if (end != StepResult::Complete)
            co_return end;
        m_hasFinalHead = status() / 100 != 1;
        if (m_hasFinalHead)
            co_return StepResult::Complete;
        if (status() != 100)
            continue;
        m_isBodyWithheld = false;
        error = co_await writeRequest({}, body.get(), deadline);
        co_return error ? finishFailed(error) : StepResult::Complete;
    }
    co_return finish(StepResult::Broken);
}

asio::awaitable<error_code> HttpExchange::writeRequest(
    const std::string& head, const RequestBody* body, SteadyTime deadline)
{
    // A peer that does not read for a while is not dead; a large body may wait for it until the deadline.
    if (body && body->size() > maxUnreadBytes)
        setUserTimeout(m_connection->stream.socket(), deadline - BootTime::now());
    size_t sent = 0;
    bool isFirst = true;
    while (isFirst || (body && sent < body->size())) {
        std::vector<asio::const_buffer> buffers;
        if (body)
            buffers = body->buffers(sent, maxBuffersPerWrite - 1);
        for (const auto& buffer : buffers)
            sent += buffer.size();
        if (isFirst)
            buffers.insert(buffers.begin(), asio::buffer(head));
        isFirst = false;
        if (m_isCancelled)
            co_return asio::error::operation_aborted;
        // The stream's timer ends a write only while no bytes are taken.
        if (BootTime::now() >= deadline)
            co_return beast::error::timeout;
        expireAt(m_connection->stream, deadline);
        const auto [error, count] = co_await asio::async_write(m_connection->stream, buffers, asTuple);
        if (error)
            co_return error;
    }
    co_return error_code();
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readHead(SteadyTime deadline)
{
    if (m_hasEnded)
        co_return StepResult::Broken;
    int interimResponses = 0;
    while (!std::exchange(m_hasFinalHead, false)) {
        if (interimResponses++ > maxInterimResponses)
            co_return finish(StepResult::Broken);
        const StepResult end = co_await readAnyHead(deadline);
        if (end != StepResult::Complete)
            co_return end;
        m_hasFinalHead = status() / 100 != 1;
    }
    if (m_memory)
        m_reservedHead = reservedSize(headMemory());
    if (!holdMemory(0))
        co_return finish(StepResult::Broken);
    parseKeepAlive();
    co_return StepResult::Complete;
}

size_t HttpExchange::headMemory() const
{
    size_t bytes = 0;
    for (const auto& field : m_parser->get())
        bytes += fieldOverheadBytes + 2 * (field.name_string().size() + field.value().size());
    return bytes;
}

bool HttpExchange::holdMemory(size_t bodyCapacity)
{
    return !m_memory || m_memory->growTo(m_reservedHead + reservedSize(bodyCapacity));
}

void HttpExchange::releaseBody(std::string& body)
{
    std::string().swap(body); // An assignment would keep the capacity.
    if (m_memory)
        m_memory->shrinkTo(m_reservedHead);
}

size_t HttpExchange::stepBytes() const
{
    const auto left = m_parser->content_length_remaining();
    return left ? static_cast<size_t>(std::clamp<uint64_t>(*left, 1, readChunkBytes)) : readChunkBytes;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readAnyHead(SteadyTime deadline)
{
    if (m_isCancelled)
        co_return finish(StepResult::Broken);
    expireAt(m_connection->stream, deadline);
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHeadRequest);
    const error_code error = co_await parseHead();
    m_hasResponseBytes = m_hasResponseBytes || m_parser->got_some();
    if (error)
        co_return finishFailed(error);
    const auto fault = findHeadFault();
    co_return fault ? finishMalformed(std::string(responseFaultName(*fault))) : StepResult::Complete;
}

asio::awaitable<error_code> HttpExchange::parseHead()
{
    beast::flat_buffer& buffer = m_connection->buffer;
    m_hasContinuedLine = false;
    while (!m_isCancelled) {
        if (buffer.size() > 0) {
            error_code error;
            const size_t count = m_parser->put(buffer.data(), error);
            const std::string_view parsed(static_cast<const char*>(buffer.data().data()), count);
            m_hasContinuedLine = m_hasContinuedLine || hasContinuedLine(parsed);
            buffer.consume(count);
            if (error != http::error::need_more)
                co_return error;
        }
        const size_t room = beast::read_size(buffer, readChunkBytes);
        if (room == 0)
            co_return http::error::buffer_overflow;
        const auto [error, count] = co_await m_connection->stream.async_read_some(buffer.prepare(room), asTuple);
        if (error)
            co_return error;
        buffer.commit(count);
    }
    co_return asio::error::operation_aborted;
}

std::optional<ResponseFault> HttpExchange::findHeadFault() const
{
    if (m_hasContinuedLine)
        return ResponseFault::ContinuedLine;
    boost::container::small_vector<ResponseField, 24> fields;
    for (const auto& field : m_parser->get()) {
        const auto name = field.name_string();
        const auto value = field.value();
        fields.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
    }
    return findResponseFault({ m_parser->get().version(), status(), { fields.data(), fields.size() }, m_singleFields });
}

void HttpExchange::parseKeepAlive()
{
    const std::string_view value = field("Keep-Alive");
    const size_t position = value.find("timeout=");
    if (position == std::string_view::npos)
        return;
    std::string_view seconds = value.substr(position + 8);
    seconds = seconds.substr(0, seconds.find_first_of(", ;"));
    if (const auto parsed = parseUnsigned(seconds))
        m_connection->peerIdleTimeout = std::chrono::seconds(std::min<uint64_t>(*parsed, 3600));
}

bool HttpExchange::reserveStep(std::string& body)
{
    const size_t wanted = body.size() + stepBytes();
    if (wanted <= body.capacity())
        return true;
    // Doubling avoids copying a long body at each step.
    const size_t capacity = std::max(wanted, 2 * body.capacity());
    if (!holdMemory(capacity))
        return false;
    body.reserve(capacity);
    return true;
}

asio::awaitable<error_code> HttpExchange::readSome(std::string& body, size_t room, SteadyTime deadline)
{
    if (m_isCancelled)
        co_return asio::error::operation_aborted;
    // The stream's timer ends a read only while no bytes arrive.
    if (BootTime::now() >= deadline + deadlineTolerance)
        co_return beast::error::timeout;
    expireAt(m_connection->stream, deadline);
    const size_t before = body.size();
    body.resize(before + room);
    auto& sink = m_parser->get().body();
    sink.data = body.data() + before;
    sink.size = room;
    sink.more = false;
    const auto [error, count]
        = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
    body.resize(before + room - m_parser->get().body().size);
    co_return error == http::error::need_buffer ? error_code() : error;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readBody(std::string& body, SteadyTime deadline)
{
    if (m_hasEnded)
        co_return StepResult::Broken;
    if (m_parser->is_done())
        co_return finish(StepResult::Complete);
    size_t room = stepBytes();
    if (!reserveStep(body))
        room = std::min(room, std::max(minReadBytes, body.capacity() - body.size()));
    const error_code error = co_await readSome(body, room, deadline);
    if (error)
        co_return finishFailed(error);
    co_return m_parser->is_done() ? finish(StepResult::Complete) : StepResult::More;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readBody(std::string& body, ResponseTimeLimit& limit)
{
    const StepResult end = co_await readBody(body, limit.end());
    if (end == StepResult::Complete || end == StepResult::More)
        limit.onProgress(BootTime::now());
    co_return end;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readIgnored(SteadyTime deadline)
{
    std::string ignored;
    for (size_t size = 0; !m_parser->is_done(); size += ignored.size()) {
        if (size > maxSkippedBytes)
            co_return StepResult::Broken;
        ignored.clear();
        const error_code error = co_await readSome(ignored, minReadBytes, deadline);
        if (error)
            co_return finishFailed(error);
    }
    co_return StepResult::Complete;
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::skipBody(SteadyTime deadline)
{
    if (m_hasEnded || m_parser->need_eof())
        co_return finish(StepResult::Broken);
    const StepResult end = co_await readIgnored(deadline);
    co_return end == StepResult::Complete ? end : finish(end);
}

asio::awaitable<void> HttpExchange::discardBody(SteadyTime deadline)
{
    if (!m_hasEnded)
        finish(co_await readIgnored(deadline));
}

asio::awaitable<HttpExchange::StepResult> HttpExchange::readBodyUpTo(
    std::string& body, size_t atLeast, ResponseTimeLimit& limit)
{
    StepResult end = StepResult::More;
    while (end == StepResult::More && body.size() < atLeast && (body.empty() || reserveStep(body)))
        end = co_await readBody(body, limit);
    co_return end;
}

unsigned HttpExchange::status() const { return m_parser->get().result_int(); }

std::string_view HttpExchange::field(std::string_view name) const
{
    const auto value = m_parser->get()[name];
    return { value.data(), value.size() };
}

bool HttpExchange::hasField(std::string_view name) const { return m_parser->get().find(name) != m_parser->get().end(); }

bool HttpExchange::isForThisConnection(std::string_view name) const
{
    const auto [first, last] = m_parser->get().equal_range(http::field::connection);
    const bool isListed
        = std::any_of(first, last, [&](const auto& field) { return http::token_list(field.value()).exists(name); });
    // A field that says whose response it is must not be listed (RFC 9110, section 7.6.1).
    return isListed && std::none_of(m_singleFields.begin(), m_singleFields.end(), [&](const std::string& single) {
        return equalsIgnoringCase(single, name);
    });
}

std::vector<HeaderField> HttpExchange::endToEndFields() const
{
    std::vector<HeaderField> fields;
    for (const auto& field : m_parser->get()) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopByHop(name) && !isProductField(name) && !isForThisConnection(name))
            fields.push_back({ std::string(name), std::string(field.value()) });
    }
    return fields;
}

std::optional<uint64_t> HttpExchange::contentLength() const
{
    if (m_parser->chunked() || m_parser->need_eof())
        return std::nullopt;
    return parseUnsigned(field("Content-Length"));
}

}
