#include "snipeweir/admission/StopSchedule.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime stop { 100s };

StopSchedule scheduleWith(std::chrono::milliseconds grace) { return { StopSchedule::Settings(), stop, grace }; }

}

TEST_CASE("A request accepted after the signal may run beyond the end of the grace period")
{
    for (const auto grace : { 1000ms, 3000ms, 6000ms, 10'000ms, 60'000ms }) {
        const StopSchedule schedule = scheduleWith(grace);
        CHECK(schedule.closingBegin() < schedule.answerEnd());
        CHECK(schedule.answerEnd() < schedule.exitAt());
        CHECK(schedule.exitAt() < stop + grace);
        for (auto after = 0ms; after <= grace; after += 50ms) {
            for (const auto timeout : { 100ms, 600ms, 2500ms, 6000ms, 60'000ms }) {
                const auto accepted = schedule.accept(stop + after, stop + after + timeout, 500ms);
                if (!accepted)
                    continue;
                CHECK(*accepted < schedule.closingBegin());
                CHECK(*accepted <= stop + after + timeout);
                // It has its own deadline, or time for an ordinary run at least.
                CHECK((*accepted == stop + after + timeout || *accepted >= stop + after + 500ms));
            }
        }
    }
}

TEST_CASE("A request of another node starts though the stop cuts its run off, and another node could run it")
{
    for (const auto grace : { 1000ms, 3000ms, 6000ms, 10'000ms, 60'000ms }) {
        const StopSchedule schedule = scheduleWith(grace);
        const SteadyTime limit = schedule.limitDeadline(stop + grace);
        CHECK(schedule.acceptFromPeer(limit, limit) == limit);
        CHECK_FALSE(schedule.acceptFromPeer(limit + 1ms, limit + 1ms));
        CHECK(schedule.acceptFromPeer(limit + 1s, limit) == limit);
        CHECK(schedule.acceptFromPeer(limit - 1ms, limit + 1s) == limit - 1ms);
    }
}

TEST_CASE("A request that is sent three seconds after the signal or later is accepted")
{
    for (const auto grace : { 6000ms, 10'000ms, 60'000ms })
        CHECK_FALSE(scheduleWith(grace).accept(stop + 3000ms, stop + 3200ms, 100ms));
    CHECK_FALSE(scheduleWith(2000ms).accept(stop + 1000ms, stop + 1100ms, 50ms));
}

TEST_CASE("Requests are refused while their callers cannot know yet that the node leaves")
{
    for (const auto grace : { 6000ms, 10'000ms })
        for (auto after = 0ms; after < 2600ms; after += 100ms)
            CHECK(scheduleWith(grace).accept(stop + after, stop + after + 5000ms, 800ms));
}

TEST_CASE("The node exits before callers were told to go elsewhere, or outlives its grace period")
{
    const StopSchedule schedule = scheduleWith(6000ms);
    CHECK_FALSE(schedule.mayExit(stop + 2500ms, true));
    CHECK(schedule.mayExit(stop + 2600ms, true));
    CHECK_FALSE(schedule.mayExit(stop + 5000ms, false));
    CHECK(schedule.mayExit(schedule.exitAt(), false));
    const StopSchedule shortSchedule = scheduleWith(1000ms);
    CHECK(shortSchedule.mayExit(stop + 900ms, true));
    CHECK(shortSchedule.exitAt() < stop + 1000ms);
}

TEST_CASE("The process ends while a response is on its way, though the grace period has not ended")
{
    for (const auto grace : { 1000ms, 3000ms, 6000ms, 10'000ms, 60'000ms }) {
        const StopSchedule schedule = scheduleWith(grace);
        CHECK(schedule.mayClose(schedule.closingBegin(), false));
        CHECK_FALSE(schedule.mayExit(schedule.answerEnd(), false));
        CHECK_FALSE(schedule.mayExit(schedule.exitAt() - 1ms, false));
        CHECK(schedule.exitAt() >= stop + grace - std::max(60ms, grace / 10));
    }
}

TEST_CASE("Connections are closed before callers were told to go elsewhere, or only after the end of the grace period")
{
    const StopSchedule schedule = scheduleWith(6000ms);
    CHECK_FALSE(schedule.mayClose(stop + 2500ms, true));
    CHECK(schedule.mayClose(stop + 2600ms, true));
    CHECK_FALSE(schedule.mayClose(stop + 5000ms, false));
    CHECK(schedule.mayClose(stop + 5300ms, false));
}

TEST_CASE("A run at the backend server starts too late to end before callers have gone, or outlives the node")
{
    for (const auto grace : { 500ms, 1000ms, 3000ms, 6000ms, 10'000ms }) {
        const StopSchedule schedule = scheduleWith(grace);
        CHECK(schedule.serverUntil() > stop);
        CHECK(schedule.serverUntil() <= stop + 2000ms);
        CHECK(schedule.serverUntil() < schedule.closingBegin());
        CHECK(schedule.limitDeadline(stop + 60s) < schedule.closingBegin());
        CHECK(schedule.limitDeadline(stop + 100ms) == stop + 100ms);
    }
}
