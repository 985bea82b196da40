#include "snipeweir/core/PauseDetector.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("The first query after a pause detects it, even before the timer thread has run")
{
    ManualClock clock;
    const auto detector = PauseDetector::create({ 250ms, 200ms }, clock).value();
    const SteadyTime requestStart = clock.now();
    CHECK(detector->mayStart(requestStart));
    clock.advance(250ms);
    CHECK(detector->isViewFresh());

    // Otherwise the first thread to run after a pause could start a request from before it.
    clock.advance(251ms);
    SUBCASE("mayStart") { CHECK_FALSE(detector->mayStart(requestStart)); }
    SUBCASE("isViewFresh") { CHECK_FALSE(detector->isViewFresh()); }
    SUBCASE("pauseCount") { CHECK(detector->pauseCount() == 1); }
    SUBCASE("the timer thread") { detector->checkForPause(); }
    CHECK(detector->pauseCount() == 1);
    CHECK_FALSE(detector->mayStart(requestStart));

    // Requests read during the settling time may have waited in a socket buffer.
    CHECK_FALSE(detector->mayStart(clock.now()));
    clock.advance(199ms);
    const SteadyTime early = clock.now();
    clock.advance(1ms);
    CHECK(detector->mayStart(clock.now()));
    CHECK_FALSE(detector->mayStart(early));
}

TEST_CASE("A confirmation that was requested before a pause does not make the view fresh")
{
    ManualClock clock;
    const auto detector = PauseDetector::create({}, clock).value();
    const uint64_t asked = detector->pauseCount();
    clock.advance(10s);
    detector->onViewConfirmed(asked);
    CHECK_FALSE(detector->isViewFresh());
    detector->onViewConfirmed(detector->pauseCount());
    CHECK(detector->isViewFresh());
    // An older confirmation that arrives later must not undo the newer one.
    detector->onViewConfirmed(asked);
    CHECK(detector->isViewFresh());
    clock.advance(10s);
    CHECK_FALSE(detector->isViewFresh());
    detector->onViewConfirmed();
    CHECK(detector->isViewFresh());
}

TEST_CASE("Only the first request on each kept-alive connection after a pause is refused")
{
    ManualClock clock;
    const auto detector = PauseDetector::create({}, clock).value();
    // The server records when a connection was accepted or last finished a request.
    const SteadyTime idleSince = clock.now();
    CHECK_FALSE(detector->hasPausedSince(idleSince));
    clock.advance(1s);
    CHECK(detector->hasPausedSince(idleSince));
    const SteadyTime refusedAt = clock.now();
    CHECK_FALSE(detector->hasPausedSince(refusedAt));
    // The first request on another connection that was idle during the pause is refused, no matter how much later it
    // comes.
    clock.advance(100ms);
    CHECK(detector->hasPausedSince(idleSince));
}

TEST_CASE("Concurrent queries count one pause once, and every thread detects it")
{
    ManualClock clock;
    const auto detector = PauseDetector::create({}, clock).value();
    for (uint64_t round = 1; round <= 200; ++round) {
        const SteadyTime requestStart = clock.now();
        clock.advance(1s);
        std::atomic<int> missed { 0 };
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&, i] {
                if (i % 2 == 0 ? detector->mayStart(requestStart) : detector->pauseCount() != round)
                    ++missed;
            });
        }
        for (auto& thread : threads)
            thread.join();
        REQUIRE(missed == 0);
        REQUIRE(detector->pauseCount() == round);
    }
}
