#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <string_view>

namespace snipeweir {

/// Checks the chunked coding of a response's body with the parser that HttpExchange reads responses with. libcurl skips
/// what it does not expect between a chunk's size and the end of its line, and misses a byte between two chunks.
class ChunkedBodyCheck {
public:
    ChunkedBodyCheck();

    /// @param bytes The next bytes of the coded body; those behind its end are ignored.
    /// @return Whether all bytes so far are valid.
    bool add(std::string_view bytes);

    bool isComplete() const { return m_parser.is_done(); }

private:
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
    /// Bytes of a line that has not ended.
    boost::beast::flat_buffer m_pending;
};

}
