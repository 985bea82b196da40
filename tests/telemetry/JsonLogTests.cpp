#include "snipeweir/telemetry/JsonLog.h"

#include <array>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("Each line is one JSON object, whatever bytes the values contain")
{
    ManualClock clock;
    JsonLog log(clock, JsonLog::Settings(), "n", -1);
    log.logRequest(
        JsonLog::Priority::Abnormal, "answered", CallId("a\"b\\c\n\xff"), { { "reason", std::string(1000, 'x') } });
    log.logStateChange("start", {});
    std::istringstream lines(log.pendingLines());
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        boost::system::error_code error;
        CHECK(boost::json::parse(line, error).is_object());
        CHECK_FALSE(error);
        ++count;
    }
    CHECK(count == 2);
}

TEST_CASE(
    "Above the rate limit, lines of normal requests are dropped and counted; abnormal ends and state changes are kept")
{
    ManualClock clock;
    JsonLog::Settings settings;
    settings.bytesPerSecond = 20'000;
    JsonLog log(clock, settings, "n", -1);
    for (int request = 0; request < 10'000; ++request)
        log.logRequest(JsonLog::Priority::Normal, "answered", CallId("id"), {});
    CHECK(log.pendingLines().size() <= 10'000);
    CHECK(log.dropped() > 9000);
    log.logRequest(JsonLog::Priority::Abnormal, "abnormal_end", CallId("id"), {});
    log.logStateChange("state_changed", {});
    CHECK(log.pendingLines().find("abnormal_end") != std::string::npos);
    CHECK(log.pendingLines().find("state_changed") != std::string::npos);
    // The rate limit applies to each second separately.
    clock.advance(1s);
    const uint64_t before = log.dropped();
    log.logRequest(JsonLog::Priority::Normal, "answered", CallId("id"), {});
    CHECK(log.dropped() == before);
}

TEST_CASE("Output that is not read neither blocks the caller nor lets the buffer exceed its limit")
{
    std::signal(SIGPIPE, SIG_IGN);
    std::array<int, 2> pipe {};
    REQUIRE(::pipe(pipe.data()) == 0);
    const SystemClock clock;
    JsonLog::Settings settings;
    settings.writeInterval = 1ms;
    settings.bufferBytes = 50'000;
    settings.bytesPerSecond = 1U << 30U;
    {
        JsonLog log(clock, settings, "n", pipe[1]);
        const auto start = clock.now();
        for (int line = 0; line < 100'000; ++line)
            log.logStateChange("line", { { "text", std::string(100, 'x') } });
        CHECK(clock.now() - start < 5s);
        CHECK(log.pendingLines().size() <= 50'000);
        CHECK(log.dropped() > 0);
        ::close(pipe[0]); // Makes the blocked write fail, so that the writer thread can exit.
    }
    ::close(pipe[1]);
}
