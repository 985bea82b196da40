#include "Fleet.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

// Maximum time from a crash until all live nodes of the data centre consider the member dead: the round-robin order
// pings it within a few seconds, then follow 0.9 s for the ping, 3 s of suspicion and the spreading of the rumour.
constexpr std::chrono::milliseconds detectionBound = 12s;
// Time within which rumours and repairs spread everything else.
constexpr std::chrono::milliseconds spreadBound = 3s;

}

TEST_CASE("Nodes that start one after another in three data centres all find each other")
{
    Fleet fleet(101);
    fleet.startDataCentre("mvd-a", "mvd", 6);
    fleet.startDataCentre("mvd-b", "mvd", 4);
    fleet.startDataCentre("mvd-c", "mvd", 3);
    fleet.publishVmList(fleet.currentVmList());
    const auto joined = fleet.runUntil([&] { return fleet.allAgree(); }, 30s);
    CHECK_MESSAGE(joined, fleet.disagreement());
    if (joined)
        MESSAGE("joined after ms ", joined->count());
    fleet.run(60s);
    CHECK_MESSAGE(fleet.allAgree(), fleet.disagreement());
}

TEST_CASE("A graceful leave is known everywhere within 3 s")
{
    Fleet fleet(102);
    fleet.startDataCentre("mvd-a", "mvd", 20);
    fleet.startDataCentre("mvd-b", "mvd", 20);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(30s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    fleet.node("mvd-a-7").membership->leave();
    CHECK(fleet.runUntil([&] { return fleet.countObservers("mvd-a-7", MemberState::Leaving) == 40; }, 3s));
    // A leaving node stays leaving while it replies, and is declared dead once it has stopped.
    fleet.run(30s);
    CHECK(fleet.countObservers("mvd-a-7", MemberState::Leaving) == 40);
    fleet.crash("mvd-a-7");
    CHECK(fleet.runUntil(
        [&] { return fleet.countObservers("mvd-a-7", MemberState::Dead) == 39; }, detectionBound + spreadBound));
}

TEST_CASE("A crash, a replacement under the same address and a restart are detected")
{
    Fleet fleet(103);
    fleet.startDataCentre("mvd-a", "mvd", 15);
    fleet.startDataCentre("mvd-b", "mvd", 5);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(30s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());

    fleet.crash("mvd-a-3");
    const auto detected = fleet.runUntil([&] { return fleet.allAgree(); }, detectionBound + spreadBound);
    CHECK_MESSAGE(detected, fleet.disagreement());
    if (detected)
        MESSAGE("crash known everywhere after ms ", detected->count());

    // Another VM at the address of the old one: the old one is declared dead without a timeout.
    const Address address = fleet.node("mvd-a-4").peer.controlAddress;
    fleet.crash("mvd-a-4");
    fleet.start("mvd-a-new", "mvd-a", "mvd", address);
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, 5s), fleet.disagreement());

    // The same VM with another incarnation.
    const Address again = fleet.node("mvd-b-2").peer.controlAddress;
    fleet.crash("mvd-b-2");
    fleet.start("mvd-b-2", "mvd-b", "mvd", again);
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, 5s), fleet.disagreement());
}
