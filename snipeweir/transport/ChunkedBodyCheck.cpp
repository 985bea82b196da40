#include "snipeweir/transport/ChunkedBodyCheck.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace snipeweir {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    /// Maximum size of the line of a chunk and of the trailer.
    constexpr size_t maxPendingBytes = 64U << 10U;

}

ChunkedBodyCheck::ChunkedBodyCheck()
{
    constexpr std::string_view head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    m_parser.header_limit(maxPendingBytes);
    m_parser.body_limit(boost::none);
    error_code error;
    m_parser.put(asio::buffer(head), error);
}

bool ChunkedBodyCheck::add(std::string_view bytes)
{
    m_pending.commit(asio::buffer_copy(m_pending.prepare(bytes.size()), asio::buffer(bytes)));
    std::array<char, 4096> content {};
    while (!m_parser.is_done() && m_pending.size() > 0) {
        m_parser.get().body() = { content.data(), content.size(), true };
        error_code error;
        m_pending.consume(m_parser.put(m_pending.data(), error));
        if (error == http::error::need_more)
            return m_pending.size() <= maxPendingBytes;
        if (error && error != http::error::need_buffer)
            return false;
    }
    return true;
}

}
