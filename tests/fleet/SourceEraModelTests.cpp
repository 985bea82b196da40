#include "tests/fleet/SourceEraModel.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace snipeweir;
using namespace snipeweir::simulation;
using namespace std::chrono_literals;

namespace {

constexpr size_t nodes = 342;
constexpr auto maxInForce = 3000ms;
/// Calls of a reading node for the operators' document: two reads, and two watches.
constexpr size_t operatorsCalls = 4;

constexpr uint64_t seeds = 5;

enum class Restarts { WhileAway, AfterReturn };

SourceEraResult run(bool isRestored, size_t reachingNodes, Restarts restarts, uint64_t seed)
{
    const SourceEraCase settings { .nodes = nodes,
        .changesOperators = true,
        .changesBackends = true,
        .isAway = true,
        .isRestored = isRestored,
        .hasRestarts = true,
        .hasLateRestarts = restarts == Restarts::AfterReturn,
        .reachingNodes = reachingNodes,
        .seed = seed };
    return SourceEraModel(settings, SourceEraSizes::of(nodes)).run();
}

/// Compares the return of the store from a copy with one without a loss.
void checkReturn(uint64_t seed, size_t reachingNodes, Restarts restarts)
{
    CAPTURE(seed);
    CAPTURE(static_cast<int>(restarts));
    const SourceEraResult ordinary = run(false, reachingNodes, restarts, seed);
    const SourceEraResult restored = run(true, reachingNodes, restarts, seed);
    const size_t callsOfReader = SourceEraModel::listPages(nodes) + operatorsCalls;
    CHECK(restored.calls <= ordinary.calls + callsOfReader * ordinary.readingNodes);
    CHECK(restored.missing == 0);
    CHECK(restored.inForce <= maxInForce);
}

}

TEST_CASE("A store that returns from a copy draws a herd of reads, or the new state is late, in a fleet of 342 nodes")
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const auto restarts : { Restarts::WhileAway, Restarts::AfterReturn })
            checkReturn(seed, 0, restarts);
    }
}

// Runs as the test fleet-few-readers of ctest.
TEST_CASE("A store that returns from a copy is noticed late if only 3 of 342 nodes reach it" * doctest::skip())
{
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        checkReturn(seed, 3, Restarts::WhileAway);
}

TEST_CASE("The model of a fleet gives other results for the same seed")
{
    const SourceEraResult first = run(true, 0, Restarts::WhileAway, 1);
    const SourceEraResult second = run(true, 0, Restarts::WhileAway, 1);
    CHECK(first.calls == second.calls);
    CHECK(first.bytes == second.bytes);
    CHECK(first.inForce == second.inForce);
}
