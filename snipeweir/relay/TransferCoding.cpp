#include "snipeweir/relay/TransferCoding.h"

#include "snipeweir/core/IgnoreCase.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <string>
#include <string_view>

namespace snipeweir {

namespace {

    bool isChunked(std::string_view coding)
    {
        std::string name(coding);
        boost::algorithm::trim_if(name, [](char c) { return c == ' ' || c == '\t'; });
        return equalsIgnoringCase(name, "chunked");
    }

}

TransferCoding transferCoding(const boost::beast::http::fields& fields)
{
    const auto [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last)
        return TransferCoding::None;
    // Several fields are one list (RFC 9110, section 5.3).
    std::string list;
    for (auto field = first; field != last; ++field)
        list.append(field == first ? "" : ",").append(field->value().data(), field->value().size());
    const std::string_view codings(list);
    size_t chunkedCount = 0;
    bool isLastChunked = false;
    bool isOnly = true;
    for (size_t begin = 0; begin <= codings.size();) {
        const size_t end = std::min(codings.find(',', begin), codings.size());
        isLastChunked = isChunked(codings.substr(begin, end - begin));
        chunkedCount += isLastChunked ? 1 : 0;
        isOnly = begin == 0 && end == codings.size();
        begin = end + 1;
    }
    if (!isLastChunked || chunkedCount > 1)
        return TransferCoding::Undelimited;
    return isOnly ? TransferCoding::Chunked : TransferCoding::Unsupported;
}

}
