#include "snipeweir/routing/Subset.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>

using namespace snipeweir;

namespace {

std::vector<EndpointCandidate> endpoints(size_t count)
{
    std::vector<EndpointCandidate> all;
    for (size_t i = 0; i < count; ++i)
        all.push_back({ VmId("vm-" + std::to_string(i)), DataCentreName("dc-" + std::to_string(i % 3)) });
    return all;
}

std::set<VmId> vmNames(const std::vector<EndpointCandidate>& chosen)
{
    std::set<VmId> set;
    for (const auto& endpoint : chosen)
        set.insert(endpoint.vm);
    return set;
}

}

TEST_CASE("Subsets are even: no endpoint has many more callers than another, and each holds all data centres")
{
    for (const size_t callers : { 50U, 233U, 1000U, 3500U }) {
        const auto all = endpoints(60);
        std::map<VmId, size_t> load;
        for (size_t caller = 0; caller < callers; ++caller) {
            std::map<DataCentreName, size_t> dataCentres;
            const auto chosen = Subset::choose(caller, 12, all);
            CHECK(vmNames(chosen).size() == 12);
            for (const auto& endpoint : chosen) {
                ++load[endpoint.vm];
                ++dataCentres[endpoint.dataCentre];
            }
            CHECK(dataCentres.size() == 3);
        }
        CHECK(load.size() == 60);
        const auto [least, most] = std::minmax_element(
            load.begin(), load.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        // The discrepancy of the golden ratio sequence grows only logarithmically with the number of callers.
        CHECK(most->second - least->second <= 6);
    }
}

TEST_CASE("A member that joins or leaves changes few endpoints of any subset")
{
    const auto before = endpoints(60);
    auto after = before;
    after.erase(after.begin() + 17);
    size_t changes = 0;
    for (size_t caller = 0; caller < 1000; ++caller) {
        const auto left = vmNames(Subset::choose(caller, 12, before));
        const auto right = vmNames(Subset::choose(caller, 12, after));
        size_t lost = 0;
        for (const VmId& vm : left)
            lost += right.contains(vm) ? 0 : 1;
        changes += lost;
        // At most one per data centre, and one because the window itself moves.
        CHECK(lost <= 4);
    }
    CHECK(changes < 1000 * 2);
}

TEST_CASE("A subset whose members are out of service is filled up and keeps them for their return")
{
    auto all = endpoints(60);
    const auto before = vmNames(Subset::choose(5, 12, all));
    for (auto& endpoint : all)
        endpoint.isInService = endpoint.dataCentre != DataCentreName("dc-1");
    const auto chosen = Subset::choose(5, 12, all);
    CHECK(std::count_if(chosen.begin(), chosen.end(), [](const auto& endpoint) { return endpoint.isInService; }) == 12);
    for (const VmId& vm : before)
        CHECK(vmNames(chosen).contains(vm));
}
