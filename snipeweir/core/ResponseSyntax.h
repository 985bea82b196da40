#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace snipeweir {

/// What makes a response invalid (RFC 9110, RFC 9112).
enum class ResponseFault {
    StatusLine,
    /// Neither HTTP/1.0 nor HTTP/1.1.
    Version,
    /// Outside 100 to 599.
    Status,
    /// Status 101, which no request asks for.
    UnrequestedUpgrade,
    /// A line that is not a field name, a colon and a value, ended by CR LF.
    FieldLine,
    /// A line that continues the one before it (obs-fold); the parties would disagree about which field it belongs to.
    ContinuedLine,
    FieldName,
    FieldValue,
    /// A field that may stand once stands twice, with different values.
    RepeatedField,
    ContentLength,
    /// A transfer coding other than chunked alone, or one beside a length or in HTTP/1.0.
    TransferCoding,
    /// A length or a transfer coding with a status that has no content (1xx, 204).
    UnexpectedContent,
    TrailerSize,
    ChunkedBody,
    /// Neither a length nor a coding that says where the body ends.
    NoLength,
    /// The library that reads the response rejects it.
    Undecodable,
};

/// @return Stable snake_case name, as in logs.
std::string_view responseFaultName(ResponseFault);

/// A header field as received; the value is without leading and trailing whitespace.
struct ResponseField {
    std::string_view name;
    std::string_view value;
};

/// The decoded head of a response.
struct ResponseHeadView {
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned version = 0;
    unsigned status = 0;
    std::span<const ResponseField> fields;
    /// Names of fields that may stand once, in addition to those of HTTP.
    std::span<const std::string> singleFields;
};

/// Decides what is a valid response. Every reader of responses asks this function before it acts on a head, whether
/// interim or final, because the libraries that decode heads accept more.
/// @return The first fault; empty if the head is valid.
std::optional<ResponseFault> findResponseFault(const ResponseHeadView&);

/// @return The fault of a field of the head or the trailer, on its own; empty if it has none.
std::optional<ResponseFault> findFieldFault(const ResponseField&);

/// @param lines Whole lines, for example of a head.
/// @return Whether a line continues the one before it.
bool hasContinuedLine(std::string_view lines);

/// @param line Line with its end.
/// @return Version and status, without fields; empty if the line is not a status line.
std::optional<ResponseHeadView> parseStatusLine(std::string_view line);

/// @param line Line with its end.
/// @return The field; empty if the line has no colon or does not end with CR LF.
std::optional<ResponseField> parseFieldLine(std::string_view line);

/// @return The value of Content-Length, also if it stands several times with the same value; empty if it is absent or
/// malformed.
std::optional<uint64_t> contentLength(std::span<const ResponseField>);

}
