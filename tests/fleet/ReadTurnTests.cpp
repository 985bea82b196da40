#include "snipeweir/fleet/ReadTurn.h"

#include <doctest/doctest.h>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

/// Plays nodes that read and announce; some cannot reach the source. Returns reads and the oldest view of any node.
struct Play {
    int reads = 0;
    std::chrono::nanoseconds oldest { 0 };
};

Play play(size_t nodes, size_t turnedAway, std::chrono::seconds time)
{
    ManualClock clock;
    std::vector<ReadTurn> turns;
    for (size_t rank = 0; rank < nodes; ++rank) {
        turns.emplace_back(ReadTurn::Settings());
        turns.back().setRank(static_cast<uint32_t>(rank));
        turns.back().onFresh(clock.now());
    }
    Play result;
    const SteadyTime end = clock.now() + time;
    while (clock.now() < end) {
        clock.advance(5ms);
        for (size_t rank = 0; rank < nodes; ++rank) {
            result.oldest = std::max<std::chrono::nanoseconds>(result.oldest, turns[rank].age(clock.now()));
            if (turns[rank].nextRead() > clock.now())
                continue;
            ++result.reads;
            if (rank < turnedAway) {
                turns[rank].onReadFailed(clock.now());
                continue;
            }
            turns[rank].onReadSucceeded();
            for (ReadTurn& turn : turns)
                turn.onFresh(clock.now());
        }
    }
    return result;
}

}

TEST_CASE("In calm times the cost of reading doesn't grow with the fleet")
{
    const Play small = play(13, 0, 40s);
    const Play large = play(3500, 0, 40s);
    CHECK(small.reads == large.reads);
    CHECK(large.reads <= 40 * 1000 / 700 + 1);
}

TEST_CASE("With the first third of a fleet turned away all views stay younger than a leaving server's time")
{
    CHECK(play(13, 4, 40s).oldest <= 1500ms);
    CHECK(play(59, 7, 40s).oldest <= 1900ms);
}

TEST_CASE("An outage of the source costs each node less than a read a second")
{
    CHECK(play(13, 13, 40s).reads <= 13 * 40);
}
