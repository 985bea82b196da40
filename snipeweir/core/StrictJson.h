#pragma once

#include "snipeweir/core/Result.h"

#include <cstddef>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// One fault in a JSON text.
struct JsonFault {
    std::string path;
    std::string found;
    std::string allowed;

    bool operator==(const JsonFault&) const = default;
};

/// Bounds on untrusted JSON. A jsoncpp value takes about 100 bytes, so maxValues bounds the memory to about 10 MB.
struct StrictJsonLimits {
    /// Bytes of text; the platform's values are up to 1 MB.
    size_t maxBytes = 1'048'576;
    /// Levels of nested objects and arrays.
    size_t maxDepth = 16;
    /// Total number of objects, arrays, strings, numbers and literals.
    size_t maxValues = 100'000;
};

/// Value and faults of a parsed text.
struct StrictJsonDocument {
    Json::Value value;
    /// Up to 100 duplicate keys, negative zeros and numbers out of range, followed by the fault that stopped the
    /// parser, if any. Unless the list is empty, the value may only be used to look for further faults.
    std::vector<JsonFault> faults;
    /// Whether the parser reached the end of the text.
    bool isComplete = false;
};

/// Strict and bounded parser of untrusted JSON text (RFC 8259). Refuses oversized text, deep nesting, invalid UTF-8, a
/// byte order mark, duplicate keys, negative zero, integers of more than 64 bits and trailing text. Does not use the
/// reader of jsoncpp, which accepts leading zeros and converts integers of more than 64 bits to floating point.
/// Stateless, so any thread may use it.
class StrictJson {
public:
    /// @param text Untrusted text.
    /// @param limits Bounds in bytes, levels and values.
    /// @return The value, or ErrorCode::TooLarge or ErrorCode::InvalidDocument with all faults in the message.
    static Result<Json::Value> parse(std::string_view text, const StrictJsonLimits& limits = {});

    /// @param text Untrusted text.
    /// @param limits Bounds in bytes, levels and values.
    /// @return Value and all faults, for functions that check the value further.
    static StrictJsonDocument read(std::string_view text, const StrictJsonLimits& limits = {});

    /// @param path JSON path of an object, such as "$.defaults".
    /// @param key Key of a member; untrusted, so it is shortened and escaped if needed.
    /// @return JSON path of the member.
    static std::string memberPath(std::string_view path, std::string_view key);

    /// @param text Untrusted text.
    /// @return The text in quotes on one line, shortened to 60 bytes, with bytes other than printable ASCII escaped.
    static std::string quoted(std::string_view text);
};

}
