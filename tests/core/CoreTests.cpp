#include "snipeweir/core/BoundedQueue.h"
#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Cbor.h"
#include "snipeweir/core/LoadReport.h"
#include "snipeweir/core/Random.h"
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
