#include "snipeweir/configuration/ConfigurationDiff.h"

#include <doctest/doctest.h>

using namespace snipeweir;

namespace {

const std::string before = R"({"revision": 1, "defaults": {"slots_count": 10}, "exceptions": [
  {"match": {"service": "fichas"}, "set": {"slots_count": 12}, "reason": "larger VMs"},
  {"match": {"vm": "vm-1"}, "set": {"slots_count": 5}, "reason": "slow disk"}],
  "data_centres": {"mvd-a": {"in_service": true, "reason": ""}}})";

const std::string after = R"({"revision": 2, "defaults": {"slots_count": 11, "queue_length_count": 10}, "exceptions": [
  {"match": {"vm": "vm-1"}, "set": {"slots_count": 5}, "reason": "slow disk, replaced in May"},
  {"match": {"service": "fichas"}, "set": {"slots_count": 14}, "reason": "larger VMs"}],
  "data_centres": {"mvd-a": {"in_service": false, "reason": "power work"}}})";

const std::string vmList = R"({"revision": 3, "vms": [
  {"vm": "vm-1", "data_centre": "mvd-a", "region": "uy", "service": "fichas", "address": "127.0.0.1",
   "public_port": 1, "internal_port": 2, "control_port": 3, "state": "live"},
  {"vm": "vm-2", "data_centre": "mvd-a", "region": "uy", "service": "fichas", "address": "127.0.0.2",
   "public_port": 1, "internal_port": 2, "control_port": 3, "state": "live"},
  {"vm": "vm-3", "data_centre": "mvd-b", "region": "uy", "service": "informes", "address": "127.0.0.3",
   "public_port": 1, "internal_port": 2, "control_port": 3, "state": "live"}]})";

}

TEST_CASE("Differences state their target, and count only VMs whose value in force changes")
{
    const auto error = errorOf([]() -> Result<void> {
        BOOST_LEAF_AUTO(older, FleetConfiguration::parse(before));
        BOOST_LEAF_AUTO(newer, FleetConfiguration::parse(after));
        BOOST_LEAF_AUTO(vms, VmList::parse(vmList));
        using Changes = std::vector<ConfigurationChange>;

        // The default changes only for vm-3, whose service has no exception. The service's exception changes only for
        // vm-2, because the exception for vm-1 is more specific and unchanged.
        CHECK(compareConfigurations(*older, *newer, vms.get())
            == Changes { { "everywhere", "slots_count", "10", "11", 1 },
                { "vm vm-1", "reason", "slow disk", "slow disk, replaced in May", std::nullopt },
                { "service fichas", "slots_count", "12", "14", 1 },
                { "data centre mvd-a", "in_service", "true", "false", 2 },
                { "data centre mvd-a", "reason", "not set", "power work", std::nullopt } });
        CHECK(compareConfigurations(*older, *older, vms.get()).empty());
        for (const ConfigurationChange& change : compareConfigurations(*newer, *older, nullptr))
            CHECK_FALSE(change.affectedVmCount);
        return {};
    });
    CHECK_MESSAGE(!error, (error ? error->message : std::string()));
}
