#include "snipeweir/core/ResponseSyntax.h"

#include "snipeweir/core/IgnoreCase.h"

#include <algorithm>
#include <array>
#include <boost/container/small_vector.hpp>
#include <charconv>

namespace snipeweir {

namespace {

    constexpr unsigned http10 = 10;
    constexpr unsigned http11 = 11;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned noContent = 204;
    constexpr std::string_view contentLengthName = "Content-Length";

    /// Fields of which two different values would let two readers take one response for different ones.
    constexpr std::array<std::string_view, 15> singleFields { "Content-Type", "Content-Range", "Content-Location",
        "ETag", "Last-Modified", "Location", "Retry-After", "Snipeweir-Call-Id", "Snipeweir-Outcome",
        "Snipeweir-Reason", "Snipeweir-Run", "Snipeweir-Retry", "Snipeweir-Not-Run", "Snipeweir-Instance",
        "Snipeweir-Revision" };

    bool isAlphanumeric(char c) { return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z'); }

    bool isTokenCharacter(char c)
    {
        return isAlphanumeric(c)
            || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
    }

    /// @return Whether a character may stand in a value or a reason: visible, blank, tab, or not ASCII.
    bool isTextCharacter(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= ' ' && byte != 0x7F);
    }

    bool isText(std::string_view text) { return std::all_of(text.begin(), text.end(), isTextCharacter); }

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        return first == std::string_view::npos ? std::string_view()
                                               : text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::optional<std::string_view> withoutLineEnd(std::string_view line)
    {
        return line.ends_with("\r\n") ? std::optional(line.substr(0, line.size() - 2)) : std::nullopt;
    }

    std::optional<uint64_t> parseLength(std::string_view text)
    {
        uint64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
        return isNumber ? std::optional(value) : std::nullopt;
    }

    /// @return The single length that a list of lengths repeats; empty if there is none.
    std::optional<uint64_t> parseLengths(std::string_view list)
    {
        std::optional<uint64_t> length;
        for (size_t begin = 0; begin <= list.size();) {
            const size_t end = std::min(list.find(',', begin), list.size());
            const auto next = parseLength(trimmed(list.substr(begin, end - begin)));
            if (!next || (length && *length != *next))
                return std::nullopt;
            length = next;
            begin = end + 1;
        }
        return length;
    }

    std::optional<ResponseFault> findFramingFault(const ResponseHeadView& head)
    {
        std::optional<uint64_t> length;
        bool isCoded = false;
        for (const ResponseField& field : head.fields) {
            if (equalsIgnoringCase(field.name, contentLengthName)) {
                const auto next = parseLengths(field.value);
                if (!next || (length && *length != *next))
                    return ResponseFault::ContentLength;
                length = next;
            } else if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
                // Several fields are one list (RFC 9110, section 5.3).
                if (isCoded || !equalsIgnoringCase(field.value, "chunked"))
                    return ResponseFault::TransferCoding;
                isCoded = true;
            }
        }
        if (isCoded && (length || head.version != http11))
            return ResponseFault::TransferCoding;
        const bool hasNoContent = head.status / 100 == 1 || head.status == noContent;
        if (hasNoContent && (isCoded || length.value_or(0) > 0))
            return ResponseFault::UnexpectedContent;
        return std::nullopt;
    }

    bool hasRepeatedField(const ResponseHeadView& head)
    {
        boost::container::small_vector<const ResponseField*, 24> first(
            singleFields.size() + head.singleFields.size(), nullptr);
        const auto conflicts = [&](const ResponseField& field, size_t index, std::string_view name) {
            if (!equalsIgnoringCase(field.name, name))
                return false;
            if (!first[index])
                first[index] = &field;
            return first[index]->value != field.value;
        };
        for (const ResponseField& field : head.fields) {
            for (size_t i = 0; i < singleFields.size(); ++i) {
                if (conflicts(field, i, singleFields[i]))
                    return true;
            }
            for (size_t i = 0; i < head.singleFields.size(); ++i) {
                if (conflicts(field, singleFields.size() + i, head.singleFields[i]))
                    return true;
            }
        }
        return false;
    }

}

std::string_view responseFaultName(ResponseFault fault)
{
    switch (fault) {
    case ResponseFault::StatusLine:
        return "status_line";
    case ResponseFault::Version:
        return "version";
    case ResponseFault::Status:
        return "status";
    case ResponseFault::UnrequestedUpgrade:
        return "unrequested_upgrade";
    case ResponseFault::FieldLine:
        return "field_line";
    case ResponseFault::ContinuedLine:
        return "continued_line";
    case ResponseFault::FieldName:
        return "field_name";
    case ResponseFault::FieldValue:
        return "field_value";
    case ResponseFault::RepeatedField:
        return "repeated_field";
    case ResponseFault::ContentLength:
        return "content_length";
    case ResponseFault::TransferCoding:
        return "transfer_coding";
    case ResponseFault::UnexpectedContent:
        return "unexpected_content";
    case ResponseFault::TrailerSize:
        return "trailer_size";
    case ResponseFault::ChunkedBody:
        return "chunked_body";
    case ResponseFault::NoLength:
        return "no_length";
    case ResponseFault::Undecodable:
        return "undecodable";
    }
    return "";
}

std::optional<ResponseFault> findResponseFault(const ResponseHeadView& head)
{
    if (head.version != http10 && head.version != http11)
        return ResponseFault::Version;
    if (head.status < 100 || head.status > 599)
        return ResponseFault::Status;
    if (head.status == switchingProtocols)
        return ResponseFault::UnrequestedUpgrade;
    for (const ResponseField& field : head.fields) {
        if (const auto fault = findFieldFault(field))
            return fault;
    }
    if (const auto fault = findFramingFault(head))
        return fault;
    return hasRepeatedField(head) ? std::optional(ResponseFault::RepeatedField) : std::nullopt;
}

std::optional<ResponseFault> findFieldFault(const ResponseField& field)
{
    if (field.name.empty() || !std::all_of(field.name.begin(), field.name.end(), isTokenCharacter))
        return ResponseFault::FieldName;
    return isText(field.value) ? std::nullopt : std::optional(ResponseFault::FieldValue);
}

bool hasContinuedLine(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos || lines.find("\n\t") != std::string_view::npos;
}

std::optional<ResponseHeadView> parseStatusLine(std::string_view line)
{
    constexpr std::string_view prefix = "HTTP/";
    constexpr size_t minSize = std::string_view("HTTP/1.1 200 ").size();
    const auto text = withoutLineEnd(line);
    if (!text || text->size() < minSize || !text->starts_with(prefix) || !isText(*text))
        return std::nullopt;
    const auto digit = [&](size_t index) {
        const char c = (*text)[index];
        return c >= '0' && c <= '9' ? std::optional(static_cast<unsigned>(c - '0')) : std::nullopt;
    };
    const auto major = digit(5);
    const auto minor = digit(7);
    const auto status = parseLength(text->substr(9, 3));
    if (!major || !minor || !status || (*text)[6] != '.' || (*text)[8] != ' ' || (*text)[12] != ' ')
        return std::nullopt;
    ResponseHeadView head;
    head.version = *major * 10 + *minor;
    head.status = static_cast<unsigned>(*status);
    return head;
}

std::optional<ResponseField> parseFieldLine(std::string_view line)
{
    const auto text = withoutLineEnd(line);
    const auto colon = text ? text->find(':') : std::string_view::npos;
    if (colon == std::string_view::npos)
        return std::nullopt;
    return ResponseField { text->substr(0, colon), trimmed(text->substr(colon + 1)) };
}

std::optional<uint64_t> contentLength(std::span<const ResponseField> fields)
{
    for (const ResponseField& field : fields) {
        if (equalsIgnoringCase(field.name, contentLengthName))
            return parseLengths(field.value);
    }
    return std::nullopt;
}

}
