#pragma once

#include <boost/beast/http/fields.hpp>

namespace snipeweir {

/// What the Transfer-Encoding of a message says about where its body ends (RFC 9112, section 6.3).
enum class TransferCoding {
    None,
    Chunked,
    /// Chunked over other codings: the end is known, the content is not.
    Unsupported,
    /// Not chunked in the end, or chunked twice. Taken as the end of a request, this lets whoever controls its body
    /// control the next request.
    Undelimited,
};

TransferCoding transferCoding(const boost::beast::http::fields&);

}
