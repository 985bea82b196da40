#include "snipeweir/core/StrictJson.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace snipeweir {

namespace {

    constexpr size_t maxFaults = 100;

    bool isDigit(char character) { return character >= '0' && character <= '9'; }

    /// @return Offset of the first byte that is not part of valid UTF-8; the size of the text if there is none.
    size_t validUtf8Length(std::string_view text)
    {
        size_t i = 0;
        while (i < text.size()) {
            const auto lead = static_cast<uint8_t>(text[i]);
            size_t length = 1;
            uint32_t minCodePoint = 0;
            uint32_t codePoint = lead;
            if (lead >= 0x80) {
                if (lead < 0xc2 || lead > 0xf4)
                    return i;
                length = lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
                minCodePoint = length == 2 ? 0x80 : length == 3 ? 0x800 : 0x10000;
                codePoint = lead & (0x7fU >> length);
            }
            if (length > text.size() - i)
                return i;
            for (size_t k = 1; k < length; ++k) {
                const auto byte = static_cast<uint8_t>(text[i + k]);
                if ((byte & 0xc0U) != 0x80U)
                    return i;
                codePoint = (codePoint << 6U) | (byte & 0x3fU);
            }
            if (codePoint < minCodePoint || codePoint > 0x10ffff || (codePoint >= 0xd800 && codePoint <= 0xdfff))
                return i;
            i += length;
        }
        return i;
    }

    void appendUtf8(std::string& out, uint32_t codePoint)
    {
        if (codePoint < 0x80) {
            out += static_cast<char>(codePoint);
        } else if (codePoint < 0x800) {
            out += static_cast<char>(0xc0U | (codePoint >> 6U));
            out += static_cast<char>(0x80U | (codePoint & 0x3fU));
        } else if (codePoint < 0x10000) {
            out += static_cast<char>(0xe0U | (codePoint >> 12U));
            out += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3fU));
            out += static_cast<char>(0x80U | (codePoint & 0x3fU));
        } else {
            out += static_cast<char>(0xf0U | (codePoint >> 18U));
            out += static_cast<char>(0x80U | ((codePoint >> 12U) & 0x3fU));
            out += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3fU));
            out += static_cast<char>(0x80U | (codePoint & 0x3fU));
        }
    }

    /// Recursive descent parser; the recursion is bounded by the depth limit.
    class Parser {
    public:
        Parser(std::string_view text, const StrictJsonLimits& limits, std::vector<JsonFault>& faults)
            : m_text(text)
            , m_limits(limits)
            , m_faults(faults)
        {
        }

        bool parseDocument(Json::Value& root)
        {
            skipWhitespace();
            if (!parseValue(root, 0))
                return false;
            skipWhitespace();
            return m_position == m_text.size() || fatal("end of the text after the value");
        }

    private:
        /// Key or index of a value in the object or array that holds it.
        struct PathSegment {
            std::string key;
            size_t index = 0;
            bool isIndex = false;
        };

        std::string path() const
        {
            std::string text = "$";
            for (const PathSegment& segment : m_pathSegments)
                text = segment.isIndex ? text + "[" + std::to_string(segment.index) + "]"
                                       : StrictJson::memberPath(text, segment.key);
            return text;
        }

        /// Records a fault after which parsing continues.
        void report(std::string found, std::string allowed)
        {
            if (m_faults.size() < maxFaults)
                m_faults.push_back({ path(), std::move(found), std::move(allowed) });
        }

        /// Records a fault that stops the parser. Always returns false.
        bool fatal(const std::string& allowed)
        {
            const std::string_view before = m_text.substr(0, m_position);
            const auto line = 1 + std::count(before.begin(), before.end(), '\n');
            const size_t lineStart = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
            // Quote only one character: the text may be a settings file with secrets, and messages are logged.
            std::string found = m_position < m_text.size() ? StrictJson::quoted(m_text.substr(m_position, 1))
                                                           : std::string("end of the text");
            found += " at line " + std::to_string(line) + ", column " + std::to_string(m_position - lineStart + 1);
            m_faults.push_back({ path(), std::move(found), allowed });
            return false;
        }

        char peek() const { return m_position < m_text.size() ? m_text[m_position] : '\0'; }

        bool consume(char expected)
        {
            if (m_position >= m_text.size() || m_text[m_position] != expected)
                return false;
            ++m_position;
            return true;
        }

        void skipWhitespace()
        {
            while (peek() == ' ' || peek() == '\t' || peek() == '\n' || peek() == '\r')
                ++m_position;
        }

        bool parseLiteral(std::string_view word, Json::Value value, Json::Value& out)
        {
            if (m_text.substr(m_position, word.size()) != word)
                return fatal("a JSON value");
            m_position += word.size();
            out = std::move(value);
            return true;
        }

        bool parseValue(Json::Value& out, size_t depth)
        {
            if (++m_values > m_limits.maxValues)
                return fatal("at most " + std::to_string(m_limits.maxValues) + " values");
            switch (peek()) {
            case '{':
            case '[':
                if (depth >= m_limits.maxDepth)
                    return fatal("at most " + std::to_string(m_limits.maxDepth) + " levels of nesting");
                return peek() == '{' ? parseObject(out, depth) : parseArray(out, depth);
            case '"': {
                std::string text;
                if (!parseString(text))
                    return false;
                out = Json::Value(text);
                return true;
            }
            case 't':
                return parseLiteral("true", true, out);
            case 'f':
                return parseLiteral("false", false, out);
            case 'n':
                return parseLiteral("null", Json::Value(), out);
            default:
                return parseNumber(out);
            }
        }

        bool parseObject(Json::Value& out, size_t depth)
        {
            out = Json::Value(Json::objectValue);
            ++m_position;
            skipWhitespace();
            if (consume('}'))
                return true;
            do {
                skipWhitespace();
                std::string key;
                if (peek() != '"')
                    return fatal("a key in double quotes");
                if (!parseString(key))
                    return false;
                m_pathSegments.push_back({ key });
                Json::Value duplicate;
                const bool isDuplicate = out.isMember(key);
                if (isDuplicate)
                    report("a duplicate key", "each key once");
                skipWhitespace();
                if (!consume(':'))
                    return fatal("a colon after the key");
                skipWhitespace();
                if (!parseValue(isDuplicate ? duplicate : out[key], depth + 1))
                    return false;
                m_pathSegments.pop_back();
                skipWhitespace();
            } while (consume(','));
            return consume('}') || fatal("a comma or the end of the object");
        }

        bool parseArray(Json::Value& out, size_t depth)
        {
            out = Json::Value(Json::arrayValue);
            ++m_position;
            skipWhitespace();
            if (consume(']'))
                return true;
            do {
                skipWhitespace();
                m_pathSegments.push_back({ {}, out.size(), true });
                if (!parseValue(out.append(Json::Value()), depth + 1))
                    return false;
                m_pathSegments.pop_back();
                skipWhitespace();
            } while (consume(','));
            return consume(']') || fatal("a comma or the end of the array");
        }

        bool parseHexUnit(uint32_t& unit)
        {
            const std::string_view digits = m_text.substr(m_position, 4);
            const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), unit, 16);
            if (digits.size() != 4 || result.ptr != digits.data() + 4)
                return fatal("four hexadecimal digits");
            m_position += 4;
            return true;
        }

        bool parseUnicodeEscape(std::string& out)
        {
            uint32_t unit = 0;
            if (!parseHexUnit(unit))
                return false;
            if (unit >= 0xd800 && unit <= 0xdfff) {
                uint32_t low = 0;
                if (unit > 0xdbff || !consume('\\') || !consume('u'))
                    return fatal("a surrogate pair");
                if (!parseHexUnit(low))
                    return false;
                if (low < 0xdc00 || low > 0xdfff)
                    return fatal("a surrogate pair");
                unit = 0x10000 + ((unit - 0xd800) << 10U) + (low - 0xdc00);
            }
            appendUtf8(out, unit);
            return true;
        }

        bool parseString(std::string& out)
        {
            static constexpr std::string_view escapes = "\"\\/bfnrt";
            static constexpr std::string_view escaped = "\"\\/\b\f\n\r\t";
            ++m_position;
            while (m_position < m_text.size()) {
                const char character = m_text[m_position];
                if (static_cast<uint8_t>(character) < 0x20)
                    return fatal("no control characters in a string");
                ++m_position;
                if (character == '"')
                    return true;
                if (character != '\\') {
                    out += character;
                    continue;
                }
                if (consume('u')) {
                    if (!parseUnicodeEscape(out))
                        return false;
                    continue;
                }
                const size_t escapeIndex = escapes.find(peek());
                if (m_position >= m_text.size() || escapeIndex == std::string_view::npos)
                    return fatal("a valid escape sequence");
                out += escaped[escapeIndex];
                ++m_position;
            }
            return fatal("the end of the string");
        }

        void skipDigits()
        {
            while (isDigit(peek()))
                ++m_position;
        }

        bool parseNumber(Json::Value& out)
        {
            // Check the syntax.
            const size_t start = m_position;
            const bool isNegative = consume('-');
            if (!isDigit(peek()))
                return fatal("a JSON value");
            if (!consume('0'))
                skipDigits();
            bool isInteger = true;
            if (consume('.')) {
                isInteger = false;
                if (!isDigit(peek()))
                    return fatal("a digit after the decimal point");
                skipDigits();
            }
            if (peek() == 'e' || peek() == 'E') {
                isInteger = false;
                ++m_position;
                if (!consume('-'))
                    consume('+');
                if (!isDigit(peek()))
                    return fatal("a digit in the exponent");
                skipDigits();
            }

            // Convert the number; parsing continues after a fault here.
            const std::string_view number = m_text.substr(start, m_position - start);
            if (isNegative && number.substr(0, number.find_first_of("eE")).find_first_not_of("-0.") == number.npos) {
                report("negative zero", "zero without a sign");
                return true;
            }
            if (isInteger) {
                if (!(isNegative ? convert<Json::Int64>(number, out) : convert<Json::UInt64>(number, out)))
                    report(describeLength(number), "an integer of at most 64 bits");
            } else if (!convert<double>(number, out)) {
                report(describeLength(number), "a number in the range of a double");
            }
            return true;
        }

        static std::string describeLength(std::string_view number)
        {
            return "a number of " + std::to_string(number.size()) + " characters";
        }

        template <typename Number> static bool convert(std::string_view text, Json::Value& out)
        {
            Number number = 0;
            const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
            if (result.ec != std::errc() || result.ptr != text.data() + text.size())
                return false;
            out = Json::Value(number);
            return true;
        }

        std::string_view m_text;
        const StrictJsonLimits& m_limits;
        std::vector<JsonFault>& m_faults;
        size_t m_position = 0;
        size_t m_values = 0;
        std::vector<PathSegment> m_pathSegments;
    };

}

StrictJsonDocument StrictJson::read(std::string_view text, const StrictJsonLimits& limits)
{
    StrictJsonDocument document;
    if (text.size() > limits.maxBytes) {
        document.faults.push_back(
            { "$", std::to_string(text.size()) + " bytes", "at most " + std::to_string(limits.maxBytes) + " bytes" });
        return document;
    }
    if (text.starts_with("\xef\xbb\xbf")) {
        document.faults.push_back({ "$", "a byte order mark", "UTF-8 without a byte order mark" });
        return document;
    }
    if (const size_t valid = validUtf8Length(text); valid < text.size()) {
        document.faults.push_back({ "$", "an invalid sequence at byte " + std::to_string(valid), "valid UTF-8" });
        return document;
    }
    document.isComplete = Parser(text, limits, document.faults).parseDocument(document.value);
    return document;
}

Result<Json::Value> StrictJson::parse(std::string_view text, const StrictJsonLimits& limits)
{
    StrictJsonDocument document = read(text, limits);
    if (document.faults.empty())
        return std::move(document.value);
    std::string message;
    for (const JsonFault& fault : document.faults)
        message += (message.empty() ? "" : "\n") + fault.path + ": found " + fault.found + ", allowed " + fault.allowed;
    return fail(text.size() > limits.maxBytes ? ErrorCode::TooLarge : ErrorCode::InvalidDocument, std::move(message));
}

std::string StrictJson::memberPath(std::string_view path, std::string_view key)
{
    const bool isPlain = !key.empty() && key.size() <= 64 && std::all_of(key.begin(), key.end(), [](char character) {
        return isDigit(character) || character == '_' || character == '-' || (character >= 'a' && character <= 'z')
            || (character >= 'A' && character <= 'Z');
    });
    if (isPlain)
        return std::string(path) + "." + std::string(key);
    return std::string(path) + "[" + quoted(key) + "]";
}

std::string StrictJson::quoted(std::string_view text)
{
    static constexpr std::string_view hexDigits = "0123456789abcdef";
    std::string out = "\"";
    for (const char character : text.substr(0, 60)) {
        const auto byte = static_cast<uint8_t>(character);
        if (character == '"' || character == '\\')
            out += '\\';
        if (byte >= 0x20 && byte < 0x7f) {
            out += character;
        } else {
            out += "\\x";
            out += hexDigits[byte >> 4U];
            out += hexDigits[byte & 0xfU];
        }
    }
    return out + (text.size() > 60 ? "...\"" : "\"");
}

}
