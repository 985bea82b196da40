#include "snipeweir/core/BoundedQueue.h"
#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Cbor.h"
#include "snipeweir/core/LoadReport.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/core/ResponseSyntax.h"
#include "snipeweir/core/StateChart.h"

#include <doctest/doctest.h>

using namespace snipeweir;

TEST_CASE("A load report is unchanged after encoding and decoding, and malformed headers are refused")
{
    LoadReport report;
    report.inFlight = 3;
    report.limit = 10;
    report.phase = EndpointPhase::Cold;
    report.serviceTime = std::chrono::microseconds(5300);
    report.incarnation = Incarnation { ~0ULL };
    const std::string text = report.toHeader();
    CHECK(LoadReport::fromHeader(text) == report);
    for (size_t length = 0; length + 1 < text.size(); ++length)
        CHECK(LoadReport::fromHeader(text.substr(0, length)) != report);
    CHECK_FALSE(LoadReport::fromHeader("f=1;q=0;l=1;p=9;s=1;u=1;i=1"));
    CHECK_FALSE(LoadReport::fromHeader("f=99999999999999999999;q=0;l=1;p=1;s=1;u=1;i=1"));
    CHECK_FALSE(LoadReport::fromHeader(text + ";x=1"));
}

TEST_CASE("CBOR items are read back, and on random bytes the reader stays within the input")
{
    CborWriter writer;
    writer.writeUnsigned(7).writeText("fichas").writeBytes(std::string_view("\0\xff", 2)).writeArrayStart(2);
    const std::string bytes = writer.take();
    CborReader reader(bytes);
    CHECK(reader.readUnsigned() == 7);
    CHECK(reader.readText() == "fichas");
    CHECK(reader.readBytes() == std::string_view("\0\xff", 2));
    CHECK(reader.readArrayStart(2) == 2);
    CHECK(reader.isComplete());

    Random random(1);
    for (int round = 0; round < 20'000; ++round) {
        std::string noise(random.below(40), '\0');
        for (char& byte : noise)
            byte = static_cast<char>(random.next());
        CborReader noisy(noise);
        while (!noisy.hasFailed() && !noisy.isComplete()) {
            const auto text = noisy.readText();
            if (text)
                CHECK(text->size() <= noise.size());
        }
    }
}

TEST_CASE("Every chart file loads, and a chart with an unknown target or an unreachable state is refused")
{
    for (const std::string name : { "endpoint", "call", "member", "document" }) {
        const auto error = errorOf(
            [&] { return StateChart::load(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/charts/" + name + ".json"); });
        CHECK_MESSAGE(!error, name, error ? error->message : "");
    }
    CHECK(errorOf([] { return StateChart::parse(R"({"name":"x","initial":"a","states":{"a":{"on":{"e":"b"}}}})"); }));
    CHECK(errorOf([] { return StateChart::parse(R"({"name":"x","initial":"a","states":{"a":{},"b":{}}})"); }));
    CHECK(errorOf([] { return StateChart::parse("{"); }));
}

TEST_CASE("A full queue refuses the new item and counts it")
{
    BoundedQueue<int> queue(2);
    CHECK(queue.push(1));
    CHECK(queue.push(2));
    CHECK_FALSE(queue.push(3));
    CHECK(queue.dropped() == 1);
    CHECK(queue.pop(std::chrono::nanoseconds(0)) == 1);
}

TEST_CASE("Reason names are unique and convert back to their reasons")
{
    for (int i = 0; i < reasonCount; ++i)
        CHECK(reasonFromName(reasonName(static_cast<Reason>(i))) == static_cast<Reason>(i));
}

TEST_CASE("A response head is valid or refused with its fault")
{
    const auto fault = [](unsigned version, unsigned status, std::vector<ResponseField> fields = {},
                           std::vector<std::string> singleFields = {}) {
        return findResponseFault({ version, status, fields, singleFields });
    };
    for (unsigned version = 0; version < 100; ++version) {
        const bool isValid = version == 10 || version == 11;
        CHECK(fault(version, 200) == (isValid ? std::nullopt : std::optional(ResponseFault::Version)));
    }
    for (unsigned status = 0; status < 1000; ++status) {
        CAPTURE(status);
        std::optional<ResponseFault> expected;
        if (status < 100 || status > 599)
            expected = ResponseFault::Status;
        else if (status == 101)
            expected = ResponseFault::UnrequestedUpgrade;
        CHECK(fault(11, status) == expected);
        const bool hasNoContent = status / 100 == 1 || status == 204;
        if (!expected && hasNoContent)
            expected = ResponseFault::UnexpectedContent;
        CHECK(fault(11, status, { { "Content-Length", "1" } }) == expected);
        CHECK(fault(11, status, { { "Transfer-Encoding", "chunked" } }) == expected);
    }
    for (int byte = 0; byte < 256; ++byte) {
        CAPTURE(byte);
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        const bool isVisible = byte > ' ' && byte < 0x7F;
        const bool isName
            = isVisible && std::string_view("\"(),/:;<=>?@[\\]{}").find(static_cast<char>(byte)) == std::string::npos;
        CHECK(fault(11, 200, { { text, "" } }) == (isName ? std::nullopt : std::optional(ResponseFault::FieldName)));
        const bool isValue = isVisible || byte == ' ' || byte == '\t' || byte >= 0x80;
        CHECK(fault(11, 200, { { "X", text } }) == (isValue ? std::nullopt : std::optional(ResponseFault::FieldValue)));
    }
    CHECK(fault(11, 200, { { "", "x" } }) == ResponseFault::FieldName);
    CHECK(fault(11, 200, { { "content-length", "18446744073709551615" } }) == std::nullopt);
    for (const std::string_view length : { "", " ", "-1", "+1", "1 2", "1,2", "1,", "0x1", "18446744073709551616" })
        CHECK(fault(11, 200, { { "CONTENT-LENGTH", length } }) == ResponseFault::ContentLength);
    CHECK(fault(11, 200, { { "Content-Length", "1, 1" }, { "content-length", "01" } }) == std::nullopt);
    CHECK(fault(11, 200, { { "Content-Length", "1" }, { "content-length", "2" } }) == ResponseFault::ContentLength);
    CHECK(fault(10, 200, { { "Transfer-Encoding", "chunked" } }) == ResponseFault::TransferCoding);
    CHECK(fault(11, 200, { { "Transfer-Encoding", "chunked" }, { "Content-Length", "1" } })
        == ResponseFault::TransferCoding);
    CHECK(fault(11, 200, { { "ETag", "a" }, { "etag", "b" } }) == ResponseFault::RepeatedField);
    CHECK(fault(11, 200, { { "ETag", "a" }, { "etag", "a" }, { "Vary", "a" }, { "Vary", "b" } }) == std::nullopt);
    CHECK(fault(11, 200, { { "X", "a" }, { "x", "b" } }, { "x" }) == ResponseFault::RepeatedField);
    CHECK(fault(11, 200, { { "X", "a" }, { "x", "b" } }) == std::nullopt);
}

TEST_CASE("A status line or a field line is split, or refused unless it ends with CR LF")
{
    const auto start = parseStatusLine("HTTP/1.1 599 \r\n");
    REQUIRE(start);
    CHECK(start->version == 11);
    CHECK(start->status == 599);
    for (const std::string_view line : { "", "\r\n", "HTTP/1.1 200 ", "HTTP/1.1 200 \n", "HTTP/1.1 200\r\n",
             "HTTP/1.1 20 \r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 -20 \r\n", "HTTP/1.1 200\t\r\n", "HTTP/11 200 OK\r\n",
             "HTTP/x.1 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1.1 200 a\rb\r\n" })
        CHECK_FALSE(parseStatusLine(line));
    const auto field = parseFieldLine("X:\t a: b \r\n");
    REQUIRE(field);
    CHECK(field->name == "X");
    CHECK(field->value == "a: b");
    for (const std::string_view line : { "", "X\r\n", "X: a", "X: a\n" })
        CHECK_FALSE(parseFieldLine(line));
    CHECK(parseFieldLine("X : a\r\n")->name == "X ");
    CHECK(hasContinuedLine("X: a\r\n b\r\n"));
    CHECK(hasContinuedLine("X: a\r\n\tb\r\n"));
    CHECK_FALSE(hasContinuedLine("X: a\r\nY: b\r\n\r\n"));
}
