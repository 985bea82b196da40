#include "Fleet.h"

#include <doctest/doctest.h>
#include <set>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

// MembershipTests.cpp explains these bounds.
constexpr std::chrono::milliseconds detectionBound = 12s;
constexpr std::chrono::milliseconds spreadBound = 3s;

size_t countEvents(const Fleet& fleet, const std::string& kind)
{
    size_t count = 0;
    for (const auto& [vm, node] : fleet.nodes()) {
        for (const Event& event : node->events)
            count += event.kind == kind ? 1 : 0;
    }
    return count;
}

/// Blocks datagrams between two groups in both directions.
void partition(Fleet& fleet, const std::string& name, std::function<bool(const Address&)> isInside)
{
    fleet.network.block(name, [isInside = std::move(isInside)](const Address& from, const Address& to) {
        return isInside(from) != isInside(to);
    });
}

}

TEST_CASE(
    "A partitioned rack is declared dead by the rest, declares nobody dead itself, and all agree after its return")
{
    Fleet fleet(201);
    fleet.startDataCentre("mvd-a", "mvd", 24);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    const std::set<std::string> rack { "mvd-a-2", "mvd-a-5", "mvd-a-9", "mvd-a-14" };
    partition(fleet, "rack", [&](const Address& address) { return rack.contains(fleet.vmAt(address)); });
    CHECK(fleet.runUntil(
        [&] {
            for (const std::string& vm : rack) {
                if (fleet.countObservers(vm, MemberState::Dead) != 20)
                    return false;
            }
            return true;
        },
        detectionBound + spreadBound));
    fleet.run(60s);
    for (const std::string& vm : rack) {
        for (const MemberView& view : fleet.node(vm).membership->members())
            CHECK_MESSAGE(view.state != MemberState::Dead, vm, " considers ", view.peer.vm.text(), " dead");
    }
    fleet.network.unblock("rack");
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, detectionBound + spreadBound), fleet.disagreement());
}

TEST_CASE("A lost data centre is marked unreachable, its members are not declared dead, and others stay reachable")
{
    Fleet fleet(202);
    fleet.startDataCentre("mvd-a", "mvd", 8);
    fleet.startDataCentre("mvd-b", "mvd", 8);
    fleet.startDataCentre("mvd-c", "mvd", 8);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(30s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    const auto list = fleet.currentVmList();
    for (const VmListEntry& entry : list) {
        if (entry.dataCentre == DataCentreName("mvd-b"))
            fleet.crash(entry.vm.text());
    }
    const auto isLossKnown = [&] {
        for (const auto& [vm, node] : fleet.nodes()) {
            for (const MemberView& view : node->membership->members()) {
                const bool isLost = view.peer.dataCentre == DataCentreName("mvd-b");
                if (view.isDataCentreReachable == isLost)
                    return false;
            }
        }
        return true;
    };
    const auto known = fleet.runUntil(isLossKnown, 30s);
    CHECK(known);
    if (known)
        MESSAGE("lost link known everywhere after ms ", known->count());
    fleet.run(120s);
    CHECK(isLossKnown());
    CHECK(countEvents(fleet, "member_dead") == 0);
    for (const MemberView& view : fleet.node("mvd-a-1").membership->members()) {
        if (!view.isDataCentreReachable)
            CHECK(view.age > 100s);
    }

    // Start replacements with the same addresses and other names. No old member may stay alive.
    int number = 0;
    for (const VmListEntry& entry : list) {
        if (entry.dataCentre == DataCentreName("mvd-b"))
            fleet.start("mvd-b-new" + std::to_string(++number), "mvd-b", "mvd", entry.control);
    }
    fleet.publishVmList(fleet.currentVmList());
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, 60s), fleet.disagreement());
}

TEST_CASE("A region link that returns after an hour causes no message storm, and changes behind it become known")
{
    Fleet fleet(203);
    for (const std::string region : { "mvd", "dar" }) {
        fleet.startDataCentre(region + "-a", region, 8);
        fleet.startDataCentre(region + "-b", region, 8);
    }
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(60s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    const uint64_t sentBefore = fleet.network.sentCount();
    fleet.run(60s);
    const uint64_t quietCount = fleet.network.sentCount() - sentBefore;

    partition(fleet, "region", [&](const Address& address) { return fleet.regionOf(address) == RegionName("dar"); });
    fleet.run(10min);
    CHECK(countEvents(fleet, "member_dead") == 0);
    fleet.crash("dar-a-3");
    fleet.start("dar-b-9", "dar-b", "dar");
    fleet.node("mvd-a-1").membership->leave();
    fleet.run(50min);

    const uint64_t sentAtReturn = fleet.network.sentCount();
    fleet.network.unblock("region");
    const auto agreed = fleet.runUntil(
        [&] {
            return fleet.countObservers("dar-a-3", MemberState::Alive) == 0
                && fleet.countObservers("dar-b-9", MemberState::Alive) == 32
                && fleet.countObservers("mvd-a-1", MemberState::Leaving) == 32;
        },
        30s);
    CHECK(agreed);
    fleet.run(60s - agreed.value_or(0ms));
    const uint64_t returnCount = fleet.network.sentCount() - sentAtReturn;
    MESSAGE("messages in a quiet minute ", quietCount, ", in the minute of the return ", returnCount);
    CHECK(returnCount < 2 * quietCount);
    CHECK(countEvents(fleet, "data_centre_reachable") >= 32);
}

TEST_CASE("A paused observer declares nobody dead when it resumes, and refutes its own death")
{
    Fleet fleet(204);
    fleet.startDataCentre("mvd-a", "mvd", 16);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    for (int round = 0; round < 5; ++round) {
        // Some pauses are too short for the others to detect, others are not.
        const auto length = std::chrono::milliseconds(700 + 5000 * round);
        fleet.pause("mvd-a-5");
        fleet.run(length);
        const size_t deadBefore = countEvents(fleet, "member_dead");
        fleet.resume("mvd-a-5");
        fleet.run(100ms);
        for (const MemberView& view : fleet.node("mvd-a-5").membership->members())
            CHECK(view.state != MemberState::Dead);
        CHECK_MESSAGE(
            fleet.runUntil([&] { return fleet.allAgree(); }, detectionBound + spreadBound), fleet.disagreement());
        fleet.run(20s);
        CHECK(countEvents(fleet, "member_dead") == deadBefore);
        CHECK_MESSAGE(fleet.allAgree(), fleet.disagreement());
    }
}

TEST_CASE("With an asymmetric partition no reachable node is considered dead")
{
    Fleet fleet(205);
    fleet.startDataCentre("mvd-a", "mvd", 16);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());

    // One node's datagrams do not reach another: indirect pings through other nodes have to make up for it.
    const Address receiver = fleet.node("mvd-a-4").peer.controlAddress;
    const Address sender = fleet.node("mvd-a-6").peer.controlAddress;
    fleet.network.block(
        "pair", [=](const Address& from, const Address& to) { return from == sender && to == receiver; });
    fleet.run(120s);
    CHECK(countEvents(fleet, "member_dead") == 0);

    // A node that receives nothing, but whose datagrams reach the others, is itself at fault and must not get others
    // declared dead.
    fleet.network.unblock("pair");
    fleet.network.block("inbound", [=](const Address&, const Address& to) { return to == receiver; });
    fleet.run(60s);
    for (const auto& [vm, node] : fleet.nodes()) {
        if (vm != "mvd-a-4")
            CHECK(fleet.countObservers(vm, MemberState::Dead) == 0);
    }
    fleet.network.unblock("inbound");
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, detectionBound + spreadBound), fleet.disagreement());
}

TEST_CASE("A flapping member is damped: it stays suspected until it is stable, and its rumours do not grow")
{
    Fleet fleet(206);
    fleet.startDataCentre("mvd-a", "mvd", 12);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    const Address address = fleet.node("mvd-a-3").peer.controlAddress;
    for (int round = 0; round < 8; ++round) {
        fleet.crash("mvd-a-3");
        fleet.run(3s);
        fleet.start("mvd-a-3", "mvd-a", "mvd", address);
        fleet.run(3s);
    }
    CHECK(fleet.countObservers("mvd-a-3", MemberState::Suspected) >= 10);
    CHECK(countEvents(fleet, "member_flapping") >= 10);
    fleet.run(5min);
    CHECK_MESSAGE(fleet.allAgree(), fleet.disagreement());
}

TEST_CASE("With 5% loss, duplicates and cut datagrams no live node is considered dead by a majority")
{
    Fleet fleet(207);
    fleet.startDataCentre("mvd-a", "mvd", 30);
    fleet.startDataCentre("mvd-b", "mvd", 10);
    fleet.publishVmList(fleet.currentVmList());
    FakeNetwork::Faults faults;
    faults.lossProbability = 0.05;
    faults.duplicationProbability = 0.02;
    faults.truncationProbability = 0.005;
    faults.maxDelay = 20ms;
    fleet.network.setFaults(faults);
    fleet.run(30s);
    size_t maxObservers = 0;
    for (int second = 0; second < 600; ++second) {
        fleet.run(1s);
        std::map<std::string, size_t> observers;
        for (const auto& [vm, node] : fleet.nodes()) {
            for (const MemberView& view : node->membership->members()) {
                if (view.state == MemberState::Dead)
                    maxObservers = std::max(maxObservers, ++observers[view.peer.vm.text()]);
            }
        }
    }
    CHECK(maxObservers <= fleet.nodes().size() / 2);
    MESSAGE("most nodes that considered one live node dead at once: ", maxObservers, "; suspicions ",
        countEvents(fleet, "member_suspected"), ", deaths ", countEvents(fleet, "member_dead"), ", lost links ",
        countEvents(fleet, "data_centre_unreachable"));
    // Loss must not keep a graceful leave from being known everywhere within 3 s.
    for (const std::string vm : { "mvd-a-3", "mvd-b-4", "mvd-a-17" }) {
        fleet.node(vm).isLeaving = true;
        fleet.node(vm).membership->leave();
        CHECK(fleet.runUntil([&] { return fleet.countObservers(vm, MemberState::Leaving) == 40; }, spreadBound));
    }
    fleet.network.setFaults({});
    CHECK_MESSAGE(fleet.runUntil([&] { return fleet.allAgree(); }, detectionBound + spreadBound), fleet.disagreement());
}
