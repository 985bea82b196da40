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
    result.load.meanRun = 100ms;
    result.roundTrip = 1ms;
    return result;
}

}

TEST_CASE("A node whose replies are lost on a full link is chosen while no other is known, one that is down is not")
{
    const Placement placement { Placement::Settings() };
    const RequestProfile profile;
    PlacementCandidate silent;
    silent.load.isAccepting = true;
    silent.isSilent = true;
    silent.age = 800ms;
    PlacementCandidate down = silent;
    down.age = 5s;
    CHECK(placement.choose(profile, { down, silent }) == 1);
    CHECK_FALSE(placement.choose(profile, { down }));

    // Any node that answers goes before it, however busy.
    PlacementCandidate busy;
    busy.load.isAccepting = true;
    busy.load.running = 9;
    busy.load.limit = 9;
    busy.load.waiting = 5;
    CHECK(placement.choose(profile, { silent, busy }) == 1);
    busy.load.isAccepting = false;
    CHECK(placement.choose(profile, { silent, busy }) == 0);
}

TEST_CASE("A slowed backend server is passed over for a busier one at full speed")
{
    const Placement placement { Placement::Settings() };
    RequestProfile profile;
    CHECK(placement.choose(profile, { candidate(0, 400), candidate(6, 100) }) == 1);
}

TEST_CASE("A full backend server is passed over for a moderately slowed one with room")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate full = candidate(8, 100);
    full.load.waiting = 12;
    CHECK(placement.choose(RequestProfile(), { full, candidate(2, 150) }) == 1);
}

TEST_CASE("An old report of slowness counts for little")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate old = candidate(0, 400);
    old.age = 2s;
    CHECK(placement.expectedLatency(RequestProfile(), old) < 300ms);
}

TEST_CASE("A large answer stays in its data centre unless that would make it late")
{
    const Placement placement { Placement::Settings() };
    RequestProfile download;
    download.answerBytes = 90'000;
    download.work = 130ms;
    PlacementCandidate near = candidate(4, 150);
    PlacementCandidate far = candidate(0, 100);
    far.isSameDataCentre = false;
    CHECK(placement.choose(download, { near, far }) == 0);
    near.load.slownessPercent = 400;
    CHECK(placement.choose(download, { near, far }) == 1);
}

TEST_CASE("None is chosen where none takes requests")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate closed = candidate(0, 100);
    closed.load.isAccepting = false;
    CHECK_FALSE(placement.choose(RequestProfile(), { closed }));
}

TEST_CASE("A cold backend server without room at once is worth a short wait but not a better choice than a warm one")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate cold = candidate(0, 100);
    cold.load.coldTokens = 0;
    cold.load.coldInterval = 65ms;
    CHECK(placement.choose(RequestProfile(), { cold }) == 0);
    CHECK(placement.choose(RequestProfile(), { cold, candidate(5, 120) }) == 1);
}

TEST_CASE("A node that answers slowly is passed over, though its backend server is free")
{
    const Placement placement { Placement::Settings() };
    PlacementCandidate slowNode = candidate(0, 100);
    slowNode.roundTrip = 40ms;
    CHECK(placement.choose(RequestProfile(), { slowNode, candidate(5, 150) }) == 1);
}
