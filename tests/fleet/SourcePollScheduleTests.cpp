#include "snipeweir/fleet/SourcePollSchedule.h"

#include <doctest/doctest.h>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

struct SimulationResult {
    int reads = 0;
    /// Maximum age of the view of any node.
    std::chrono::nanoseconds maxViewAge { 0 };
};

/// Simulates nodes that read the source and announce what they read; nodes of the first ranks cannot reach the source.
SimulationResult simulate(size_t nodes, size_t unreachable, std::chrono::seconds time)
{
    ManualClock clock;
    std::vector<SourcePollSchedule> turns;
    for (size_t rank = 0; rank < nodes; ++rank) {
        turns.emplace_back(SourcePollSchedule::Settings());
        turns.back().setRank(static_cast<uint32_t>(rank));
        turns.back().onViewCurrent(clock.now());
    }
    SimulationResult result;
    const SteadyTime end = clock.now() + time;
    while (clock.now() < end) {
        clock.advance(5ms);
        for (size_t rank = 0; rank < nodes; ++rank) {
            result.maxViewAge = std::max<std::chrono::nanoseconds>(result.maxViewAge, turns[rank].age(clock.now()));
            if (turns[rank].nextRead() > clock.now())
                continue;
            ++result.reads;
            if (rank < unreachable) {
                turns[rank].onReadFailed(clock.now());
                continue;
            }
            turns[rank].onReadSucceeded();
            for (SourcePollSchedule& turn : turns)
                turn.onViewCurrent(clock.now());
        }
    }
    return result;
}

}

TEST_CASE("While the source is available, the number of reads doesn't grow with the fleet")
{
    const SimulationResult small = simulate(13, 0, 40s);
    const SimulationResult large = simulate(3500, 0, 40s);
    CHECK(small.reads == large.reads);
    CHECK(large.reads <= 40 * 1000 / 700 + 1);
}

TEST_CASE("If the first third of a fleet cannot reach the source, all views stay recent enough for a leaving server")
{
    CHECK(simulate(13, 4, 40s).maxViewAge <= 1500ms);
    CHECK(simulate(59, 7, 40s).maxViewAge <= 1900ms);
}

TEST_CASE("An outage of the source costs each node less than a read a second")
{
    CHECK(simulate(13, 13, 40s).reads <= 13 * 40);
}
