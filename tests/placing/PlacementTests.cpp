#include "snipeweir/placing/Placement.h"

#include <array>
#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

PlacementCandidate candidate(uint32_t running, uint32_t slownessPercent)
{
    PlacementCandidate result;
    result.load.isAccepting = true;
    result.load.running = running;
    result.load.limit = 8;
    result.load.slownessPercent = slownessPercent;
    result.load.meanServiceTime = 100ms;
    result.roundTrip = 1ms;
    return result;
}

}

TEST_CASE("An unresponsive node is chosen only if no other is known and its report is recent")
{
    const Placement placement { Placement::Settings() };
    const RequestProfile profile;
    // Replies to load queries get lost on a saturated link, while a node that is down has not replied for longer.
    PlacementCandidate unresponsive;
    unresponsive.load.isAccepting = true;
    unresponsive.isUnresponsive = true;
    unresponsive.loadAge = 800ms;
    PlacementCandidate down = unresponsive;
    down.loadAge = 5s;
    CHECK(placement.choose(profile, { down, unresponsive }) == 1);
    CHECK_FALSE(placement.choose(profile, { down }));

    // Any responsive node that accepts requests is preferred, however busy.
    PlacementCandidate busy;
    busy.load.isAccepting = true;
    busy.load.running = 9;
    busy.load.limit = 9;
    busy.load.waiting = 5;
    CHECK(placement.choose(profile, { unresponsive, busy }) == 1);
    busy.load.isAccepting = false;
    CHECK(placement.choose(profile, { unresponsive, busy }) == 0);
}

TEST_CASE("A busier backend server at full speed is preferred to a slowed-down one")
{
    const Placement placement { Placement::Settings() };
    RequestProfile profile;
    CHECK(placement.choose(profile, { candidate(0, 400), candidate(6, 100) }) == 1);
}

TEST_CASE("A moderately slowed-down backend server with free slots is preferred to a full one")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate full = candidate(8, 100);
    full.load.waiting = 12;
    CHECK(placement.choose(RequestProfile(), { full, candidate(2, 150) }) == 1);
}

TEST_CASE("An outdated slowness report has little weight")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate old = candidate(0, 400);
    old.loadAge = 2s;
    CHECK(placement.expectedLatency(RequestProfile(), old) < 300ms);
}

TEST_CASE("A large response stays in its data centre unless that would make it late")
{
    const Placement placement { Placement::Settings() };
    RequestProfile download;
    download.responseBytes = 90'000;
    download.usualServiceTime = 130ms;
    PlacementCandidate near = candidate(4, 150);
    PlacementCandidate far = candidate(0, 100);
    far.isSameDataCentre = false;
    CHECK(placement.choose(download, { near, far }) == 0);
    near.load.slownessPercent = 400;
    CHECK(placement.choose(download, { near, far }) == 1);
}

TEST_CASE("No candidate is chosen if none accepts requests")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate closed = candidate(0, 100);
    closed.load.isAccepting = false;
    CHECK_FALSE(placement.choose(RequestProfile(), { closed }));
}

TEST_CASE("A cold backend server without tokens is chosen if it is the only one, but a warm one is preferred")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate cold = candidate(0, 100);
    cold.load.startTokens = 0;
    cold.load.startInterval = 65ms;
    CHECK(placement.choose(RequestProfile(), { cold }) == 0);
    CHECK(placement.choose(RequestProfile(), { cold, candidate(5, 120) }) == 1);
}

TEST_CASE("A node with a long round trip is not chosen, even if its backend server is idle")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate slowNode = candidate(0, 100);
    slowNode.roundTrip = 40ms;
    CHECK(placement.choose(RequestProfile(), { slowNode, candidate(5, 150) }) == 1);
}
