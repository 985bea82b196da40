#include "snipeweir/relay/BodyReader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace snipeweir {

namespace http = beast::http;

namespace {

    /// Capacity of the read buffer for a chunked body; its size without this would be that of the head.
    constexpr size_t chunkBufferBytes = 16U << 10U;

}

bool BodyReader::reserve(Parser& parser)
{
    if (parser.is_done())
        return true;
    return m_body.reserve(parser.chunked() ? 1 : static_cast<size_t>(parser.content_length().value_or(0)));
}

asio::awaitable<error_code> BodyReader::read(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser, const std::function<void()>& limitTime)
{
    if (parser.is_done())
        co_return error_code();
    if (parser.chunked())
        co_return co_await readChunks(stream, buffer, parser, limitTime);
    co_return co_await readWithLength(stream, buffer, parser.content_length().value_or(0), limitTime);
}

asio::awaitable<error_code> BodyReader::readWithLength(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, uint64_t length, const std::function<void()>& limitTime)
{
    while (m_body.size() < length) {
        const auto free = m_body.prepare();
        const size_t wanted = static_cast<size_t>(std::min<uint64_t>(free.size(), length - m_body.size()));
        if (buffer.size() > 0) {
            const size_t count = asio::buffer_copy(free, buffer.data(), wanted);
            buffer.consume(count);
            m_body.commit(count);
            continue;
        }
        limitTime();
        const auto [error, count] = co_await stream.async_read_some(asio::buffer(free, wanted), asTuple);
        if (error)
            co_return error;
        m_body.commit(count);
    }
    co_return error_code();
}

asio::awaitable<error_code> BodyReader::readChunks(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser, const std::function<void()>& limitTime)
{
    buffer.reserve(chunkBufferBytes);
    while (!parser.is_done()) {
        if (!m_body.reserve(m_body.size() + 1))
            co_return asio::error::no_memory;
        const auto free = m_body.prepare();
        auto& sink = parser.get().body();
        sink.data = free.data();
        sink.size = free.size();
        sink.more = true;
        limitTime();
        const auto [error, ignored] = co_await http::async_read_some(stream, buffer, parser, asTuple);
        m_body.commit(free.size() - sink.size);
        if (error && error != http::error::need_buffer)
            co_return error;
    }
    co_return error_code();
}

}
