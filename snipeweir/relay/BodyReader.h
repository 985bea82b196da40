#pragma once

#include "snipeweir/relay/Connection.h"
#include "snipeweir/relay/RequestBody.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>

namespace snipeweir {

/// Reads the body of one request, whose head has been read, into blocks of the body memory. For one thread.
class BodyReader {
public:
    using Parser = beast::http::request_parser<beast::http::buffer_body>;

    /// @param memory Limits the memory of all bodies.
    explicit BodyReader(BodyMemory& memory)
        : m_body(memory)
    {
    }

    /// Reserves the memory with which reading starts: all of it for a body with a length, one block for a chunked one.
    /// @return Whether the memory is available; if not, the body must not be read.
    bool reserve(Parser&);

    /// Reads the body to its end.
    /// @param buffer Bytes that were read with the head; bytes behind the body are left in it.
    /// @param limitTime Sets the time limit of the next read operation on the stream.
    /// @return The error; asio::error::no_memory if a chunked body does not fit.
    asio::awaitable<error_code> read(
        beast::tcp_stream&, beast::flat_buffer& buffer, Parser&, const std::function<void()>& limitTime);

    size_t size() const { return m_body.size(); }

    /// @return The body. Call at most once.
    std::shared_ptr<const RequestBody> take() { return std::make_shared<RequestBody>(std::move(m_body)); }

private:
    asio::awaitable<error_code> readWithLength(
        beast::tcp_stream&, beast::flat_buffer&, uint64_t length, const std::function<void()>& limitTime);
    asio::awaitable<error_code> readChunks(
        beast::tcp_stream&, beast::flat_buffer&, Parser&, const std::function<void()>& limitTime);

    RequestBody m_body;
};

}
