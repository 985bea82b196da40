#include "snipeweir/core/PauseDetector.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("The first query after a pause detects it, even before the timer thread has run")
{
    ManualClock clock;
    const auto guard = PauseDetector::create({ 250ms, 200ms }, clock).value();
    const SteadyTime requestStart = clock.now();
    CHECK(guard->mayStart(requestStart));
    clock.advance(250ms);
    CHECK(guard->isViewFresh());

    // Otherwise the first thread to run after a pause could start a request from before it.
    clock.advance(251ms);
    SUBCASE("mayStart") { CHECK_FALSE(guard->mayStart(requestStart)); }
    SUBCASE("isViewFresh") { CHECK_FALSE(guard->isViewFresh()); }
    SUBCASE("pauses") { CHECK(guard->pauseCount() == 1); }
    SUBCASE("the timer thread") { guard->checkForPause(); }
    CHECK(guard->pauseCount() == 1);
    CHECK_FALSE(guard->mayStart(requestStart));

    // Requests read during the settling time may have waited in a socket buffer.
    CHECK_FALSE(guard->mayStart(clock.now()));
    clock.advance(199ms);
    const SteadyTime early = clock.now();
    clock.advance(1ms);
    CHECK(guard->mayStart(clock.now()));
    CHECK_FALSE(guard->mayStart(early));
}

TEST_CASE("A confirmation that was requested before a pause does not make the view fresh")
{
    ManualClock clock;
    const auto guard = PauseDetector::create({}, clock).value();
    const uint64_t asked = guard->pauseCount();
    clock.advance(10s);
    guard->onViewConfirmed(asked);
    CHECK_FALSE(guard->isViewFresh());
    guard->onViewConfirmed(guard->pauseCount());
    CHECK(guard->isViewFresh());
    // An older confirmation that arrives later must not undo the newer one.
    guard->onViewConfirmed(asked);
    CHECK(guard->isViewFresh());
    clock.advance(10s);
    CHECK_FALSE(guard->isViewFresh());
    guard->onViewConfirmed();
    CHECK(guard->isViewFresh());
}

TEST_CASE("Only the first request on each kept-alive connection after a pause is refused")
{
    ManualClock clock;
    const auto guard = PauseDetector::create({}, clock).value();
    // The server records when a connection was accepted or last finished a request.
    const SteadyTime idleSince = clock.now();
    CHECK_FALSE(guard->hasPausedSince(idleSince));
    clock.advance(1s);
    CHECK(guard->hasPausedSince(idleSince));
    const SteadyTime refusedAt = clock.now();
    CHECK_FALSE(guard->hasPausedSince(refusedAt));
    // The first request on another connection that was idle during the pause is refused, no matter how much later it
    // comes.
    clock.advance(100ms);
    CHECK(guard->hasPausedSince(idleSince));
}

TEST_CASE("Concurrent queries count one pause once, and every thread detects it")
{
    ManualClock clock;
    const auto guard = PauseDetector::create({}, clock).value();
    for (uint64_t round = 1; round <= 200; ++round) {
        const SteadyTime requestStart = clock.now();
        clock.advance(1s);
        std::atomic<int> missed { 0 };
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&, i] {
                if (i % 2 == 0 ? guard->mayStart(requestStart) : guard->pauseCount() != round)
                    ++missed;
            });
        }
        for (auto& thread : threads)
            thread.join();
        REQUIRE(missed == 0);
        REQUIRE(guard->pauseCount() == round);
    }
}
