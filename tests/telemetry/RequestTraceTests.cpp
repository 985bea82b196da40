#include "snipeweir/telemetry/RequestTrace.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace snipeweir;

namespace {

RequestTrace traceOf(const std::string& id, const std::string& log)
{
    RequestTrace trace(id);
    std::istringstream input(log);
    trace.read(input);
    return trace;
}

}

TEST_CASE("The lines of a request and of the calls made on its behalf are collected in chronological order")
{
    RequestTrace trace = traceOf("ab",
        "  0.2 node-2 {\"at_ms\":12,\"node\":\"n2\",\"event\":\"ran\",\"id\":\"ab\",\"status\":\"200\"}\n"
        "{\"at_ms\":15,\"node\":\"n1\",\"event\":\"answered\",\"id\":\"ab\",\"outcome\":\"done\"}\n"
        "{\"at_ms\":11,\"node\":\"n2\",\"event\":\"answered\",\"id\":\"ab.7\",\"outcome\":\"done\"}\n"
        "{\"at_ms\":10,\"node\":\"n2\",\"event\":\"answered\",\"id\":\"abc\",\"outcome\":\"done\"}\n");
    REQUIRE(trace.steps().size() == 3);
    CHECK(trace.steps()[0].id == "ab.7");
    CHECK(trace.steps()[1].event == "ran");
    CHECK(trace.steps()[2].fields == std::vector<std::string> { "outcome=done" });
    CHECK(trace.openSteps().empty());
}

TEST_CASE("Truncated lines and lines of other programs are skipped and counted")
{
    RequestTrace trace = traceOf("ab",
        "{\"at_ms\":12,\"node\":\"n2\",\"event\":\"ra\nhello\n[1]\n\n"
        "{\"at_ms\":15,\"node\":\"n1\",\"event\":\"answered\",\"id\":\"ab\",\"outcome\":\"not_run\"}\n");
    CHECK(trace.skippedLineCount() == 4);
    CHECK(trace.steps().size() == 1);
    CHECK(trace.openSteps().empty());
}

TEST_CASE("Missing steps are reported")
{
    CHECK(traceOf("ab", "").openSteps().size() == 1);
    RequestTrace unanswered = traceOf("ab", "{\"at_ms\":1,\"node\":\"n\",\"event\":\"ran\",\"id\":\"ab\"}\n");
    REQUIRE(unanswered.openSteps().size() == 1);
    CHECK(unanswered.openSteps()[0].find("killed") != std::string::npos);
    RequestTrace unserved
        = traceOf("ab", "{\"at_ms\":1,\"node\":\"n\",\"event\":\"answered\",\"id\":\"ab\",\"outcome\":\"unknown\"}\n");
    REQUIRE(unserved.openSteps().size() == 1);
}
