#include "snipeweir/core/StrictJson.h"

#include <doctest/doctest.h>

using namespace snipeweir;

namespace {

std::string messageOf(const std::string& text, const StrictJsonLimits& limits = {})
{
    const auto error = errorOf([&] { return StrictJson::parse(text, limits); });
    return error ? error->message : std::string();
}

}

TEST_CASE("Text that is not strict JSON is refused, and the message states the position of the fault")
{
    const std::pair<std::string, std::string> cases[] = {
        { "", "$: found end of the text at line 1, column 1, allowed a JSON value" },
        { "{} x", "$: found \"x\" at line 1, column 4, allowed end of the text after the value" },
        { "{\"a\":\n [1 2]}", "$.a: found \"2\" at line 2, column 5" },
        { "{\"a\":1,}", "allowed a key in double quotes" },
        { "[1,]", "$[1]: found \"]\"" },
        { "{\"a\" 1}", "$.a: found \"1\" at line 1, column 6, allowed a colon" },
        { "{\"a\":1", "$: found end of the text" },
        { "[01]", "$: found \"1\"" },
        { "[1.]", "allowed a digit after the decimal point" },
        { "[1e]", "allowed a digit in the exponent" },
        { "[+1]", "allowed a JSON value" },
        { "[NaN]", "allowed a JSON value" },
        { "[1] // x", "$: found \"/\"" },
        { "\"\n\"", "allowed no control characters" },
        { "\"\\x\"", "allowed a valid escape sequence" },
        { "\"\\u12g4\"", "allowed four hexadecimal digits" },
        { "\"\\ud800\"", "allowed a surrogate pair" },
        { "\"\\udc00\"", "allowed a surrogate pair" },
        { "\"\\ud800\\u0041\"", "allowed a surrogate pair" },
        { "\"\xe0\x80\x80\"", "found an invalid sequence at byte 1" },
        { "\"\xf0\x80\x80\x80\"", "found an invalid sequence at byte 1" },
        { "\xef\xbb\xbf{}", "found a byte order mark" },
        { "\"\xc0\xaf\"", "found an invalid sequence at byte 1" },
        { "\"\xed\xa0\x80\"", "found an invalid sequence at byte 1" },
        { "\"\xf4\x90\x80\x80\"", "found an invalid sequence at byte 1" },
        { "\"\xe2\x82", "found an invalid sequence at byte 1" },
        { "[-0]", "$[0]: found negative zero" },
        { "[-0.00e7]", "$[0]: found negative zero" },
        { "[18446744073709551616]", "$[0]: found a number of 20 characters, allowed an integer of at most 64 bits" },
        { "[-9223372036854775809]", "$[0]: found a number of 20 characters" },
        { "[1e999]", "allowed a number in the range of a double" },
        { "{\"a\":{\"b\":1,\"\\u0062\":2}}", "$.a.b: found a duplicate key" },
        { std::string(100'000, '['), "allowed at most 16 levels of nesting" },
    };
    for (const auto& [text, expected] : cases) {
        const std::string message = messageOf(text);
        CHECK_MESSAGE(message.find(expected) != std::string::npos, message);
    }
    CHECK(messageOf("[1,2,3]", { .maxBytes = 6 }).find("found 7 bytes") != std::string::npos);
    CHECK(messageOf("[1,2,3]", { .maxValues = 3 }).find("at most 3 values") != std::string::npos);
}

TEST_CASE("Values of valid JSON are parsed exactly")
{
    const auto document = StrictJson::read(
        R"( {"text":"\u00e9\ud83d\ude00\n\u0000z","max":18446744073709551615,"min":-9223372036854775808,"real":-0.5e1,
            "array":[true,false,null,{}]} )");
    REQUIRE(document.faults.empty());
    CHECK(document.value["text"].asString() == std::string("\xc3\xa9\xf0\x9f\x98\x80\n\0z", 9));
    CHECK(document.value["max"].asUInt64() == ~0ULL);
    CHECK(document.value["min"].asInt64() == INT64_MIN);
    CHECK(document.value["real"].asDouble() == -5.0);
    CHECK(document.value["array"].size() == 4);
}

TEST_CASE("Faults that do not stop the parser are all reported, and the first of two duplicate keys is kept")
{
    const auto document = StrictJson::read(R"({"a":1,"a":2,"b":[-0],"c":99999999999999999999})");
    CHECK(document.isComplete);
    CHECK(document.faults.size() == 3);
    CHECK(document.value["a"].asInt() == 1);
}
