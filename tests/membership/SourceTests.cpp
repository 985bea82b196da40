#include "Fleet.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

size_t countLive(const Fleet& fleet, const std::string& observer, const ServiceName& service)
{
    size_t count = 0;
    for (const MemberView& view : fleet.nodes().at(observer)->membership->members()) {
        if (view.service == service && (view.state == MemberState::Alive || view.state == MemberState::Suspected))
            ++count;
    }
    return count;
}

}

TEST_CASE("None of the three sources alone empties a service")
{
    Fleet fleet(301);
    fleet.startDataCentre("mvd-a", "mvd", 8);
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    REQUIRE_MESSAGE(fleet.allAgree(), fleet.disagreement());
    const ServiceName fichas("fichas");
    const auto list = fleet.currentVmList();

    // An empty list, and one in which all VMs are leaving.
    fleet.publishVmList({});
    CHECK(countLive(fleet, "mvd-a-1", fichas) == 4);
    auto allLeaving = list;
    for (VmListEntry& entry : allLeaving)
        entry.isLeaving = true;
    fleet.publishVmList(allLeaving);
    CHECK(countLive(fleet, "mvd-a-1", fichas) == 4);

    // A list that marks one VM as leaving is applied.
    auto oneLeaving = list;
    for (VmListEntry& entry : oneLeaving)
        entry.isLeaving = entry.vm == VmId("mvd-a-2");
    fleet.publishVmList(oneLeaving);
    CHECK(fleet.stateOf("mvd-a-1", "mvd-a-2") == MemberState::Leaving);
    fleet.publishVmList(list);

    // All of the node's own calls fail.
    for (const VmListEntry& entry : list)
        fleet.node("mvd-a-1").membership->onCallEvidence(entry.vm, OwnEvidence::Unreachable);
    CHECK(countLive(fleet, "mvd-a-1", fichas) == 4);
    fleet.run(20s);

    // All peers declare the members dead while the list still names them.
    for (const VmListEntry& entry : list) {
        if (entry.service == fichas && entry.vm != VmId("mvd-a-1"))
            fleet.crash(entry.vm.text());
    }
    fleet.run(60s);
    CHECK(countLive(fleet, "mvd-a-1", fichas) > 0);
    // The list confirms that they are gone.
    fleet.publishVmList(fleet.currentVmList());
    fleet.run(20s);
    CHECK(countLive(fleet, "mvd-a-1", fichas) <= 1);
}

TEST_CASE("A member that only the VM list names is a suspected candidate until a call reaches it")
{
    Fleet fleet(302);
    fleet.startDataCentre("mvd-a", "mvd", 2);
    auto list = fleet.currentVmList();
    list.push_back({ VmId("mvd-b-1"), DataCentreName("mvd-b"), RegionName("mvd"), ServiceName("fichas"),
        Address { "10.9.9.9", 7300 }, false });
    fleet.publishVmList(list);
    fleet.run(5s);
    const auto stateOfListed = [&] {
        for (const MemberView& view : fleet.node("mvd-a-1").membership->members()) {
            if (view.peer.vm == VmId("mvd-b-1"))
                return view.state;
        }
        return MemberState::Dead;
    };
    CHECK(stateOfListed() == MemberState::Suspected);
    fleet.node("mvd-a-1").membership->onCallEvidence(VmId("mvd-b-1"), OwnEvidence::Alive);
    CHECK(stateOfListed() == MemberState::Alive);
}

TEST_CASE("The event log keeps the latest events and exports them as JSON")
{
    EventLog log(3);
    for (int i = 0; i < 5; ++i)
        log.add(
            { SystemTime(std::chrono::seconds(i)), "member_dead", "vm\"" + std::to_string(i), "no_answer", "b", 7ms });
    CHECK(log.addedCount() == 5);
    const std::string text = log.toJson(2);
    CHECK(text.find("vm\\\"2") == std::string::npos);
    CHECK(text.find("\"subject\":\"vm\\\"3\"") != std::string::npos);
    CHECK(text.find("\"time_ms\":4000") != std::string::npos);
    CHECK(log.toJson(100).find("vm\\\"2") != std::string::npos);
}
