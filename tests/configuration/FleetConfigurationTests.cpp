#include "snipeweir/configuration/FleetConfiguration.h"

#include "snipeweir/core/Random.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;

namespace {

const std::string valid = R"({"revision": 7,
  "defaults": {"slots_count": 20, "queue_timeout_ms": 40},
  "exceptions": [
    {"match": {"service": "fichas"}, "set": {"slots_count": 31, "max_attempts_count": 4}, "reason": "by service"},
    {"match": {"data_centre": "mvd-a"}, "set": {"slots_count": 30, "max_attempts_count": 2, "hedge_delay_ms": 7},
     "reason": "by place"},
    {"match": {"vm": "vm-1"}, "set": {"slots_count": 33}, "reason": "by vm"},
    {"match": {"service": "fichas", "data_centre": "mvd-a"}, "set": {"slots_count": 32}, "reason": "by both"}],
  "data_centres": {"mvd-a": {"in_service": false, "reason": "power work"}, "mvd-b": {"in_service": true, "reason": ""}},
  "vms": {"vm-1": {"in_service": false, "reason": "bad memory"}}})";

const std::string vmList = R"({"revision": 3, "vms": [
  {"vm": "vm-2", "data_centre": "mvd-b", "region": "uy", "service": "informes", "address": "127.0.0.2",
   "public_port": 1, "internal_port": 2, "control_port": 3, "state": "leaving"},
  {"vm": "vm-1", "data_centre": "mvd-a", "region": "uy", "service": "fichas", "address": "127.0.0.1",
   "public_port": 1, "internal_port": 2, "control_port": 3, "state": "live"}]})";

std::shared_ptr<const FleetConfiguration> parsed(std::string_view text, const VmList* known = nullptr)
{
    return handleErrors([&] { return FleetConfiguration::parse(text, known); },
        [](const Error& error) {
            FAIL_CHECK(error.message);
            return std::shared_ptr<const FleetConfiguration>();
        });
}

std::shared_ptr<const VmList> parsedVms(std::string_view text)
{
    return handleErrors([&] { return VmList::parse(text); },
        [](const Error& error) {
            FAIL_CHECK(error.message);
            return std::shared_ptr<const VmList>();
        });
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

uint32_t slotsOf(const FleetConfiguration& configuration, const char* service, const char* dataCentre, const char* vm)
{
    return configuration.policyFor(ServiceName(service), DataCentreName(dataCentre), VmId(vm)).slots;
}

/// @return The paths of all faults, separated by spaces.
std::string pathsOf(const std::vector<ConfigurationFault>& faults)
{
    std::string paths;
    for (const ConfigurationFault& fault : faults)
        paths += (paths.empty() ? "" : " ") + fault.path;
    return paths;
}

}

TEST_CASE("The most specific exception takes precedence, and every value states its origin")
{
    const auto configuration = parsed(valid);
    REQUIRE(configuration);
    CHECK(configuration->revision().value == 7);
    CHECK(slotsOf(*configuration, "informes", "mvd-c", "vm-9") == 20);
    CHECK(slotsOf(*configuration, "informes", "mvd-a", "vm-9") == 30);
    CHECK(slotsOf(*configuration, "fichas", "mvd-c", "vm-9") == 31);
    CHECK(slotsOf(*configuration, "fichas", "mvd-a", "vm-9") == 32);
    CHECK(slotsOf(*configuration, "fichas", "mvd-a", "vm-1") == 33);
    CHECK(slotsOf(*configuration, "", "", "") == 20);

    // A less specific exception still sets the keys that the more specific one does not set.
    const Policy policy = configuration->policyFor(ServiceName("fichas"), DataCentreName("mvd-a"), VmId("vm-1"));
    CHECK(policy.maxAttempts == 4);
    CHECK(policy.hedgeDelay == std::chrono::milliseconds(7));
    CHECK(policy.queueTimeout == std::chrono::milliseconds(40));
    CHECK(policy.drainTimeout == Policy {}.drainTimeout);

    const auto values = configuration->explain(ServiceName("fichas"), DataCentreName("mvd-a"), VmId("vm-1"));
    REQUIRE(values.size() == policyKeys().size());
    for (const EffectiveValue& value : values) {
        CHECK(value.value == value.key->value(policy));
        if (value.key->name == "slots_count")
            CHECK((value.path == "$.exceptions[2]" && value.reason == "by vm"));
        if (value.key->name == "queue_timeout_ms")
            CHECK(value.origin == ValueOrigin::Defaults);
        if (value.key->name == "drain_timeout_ms")
            CHECK(value.origin == ValueOrigin::BuiltIn);
    }
}

TEST_CASE("A data centre or VM is out of service only where the document says so")
{
    const auto configuration = parsed(valid);
    REQUIRE(configuration);
    CHECK_FALSE(configuration->isDataCentreInService(DataCentreName("mvd-a")));
    CHECK(configuration->isDataCentreInService(DataCentreName("mvd-b")));
    CHECK(configuration->isDataCentreInService(DataCentreName("mvd-z")));
    CHECK_FALSE(configuration->isVmInService(VmId("vm-1")));
    CHECK(configuration->isVmInService(VmId("vm-2")));
}

TEST_CASE("Each kind of fault is reported with its path")
{
    const std::tuple<const char*, const char*, const char*> cases[] = {
        { "\"revision\": 7", "\"revision\": 0", "$.revision" },
        { "\"revision\": 7", "\"revision\": \"7\"", "$.revision" },
        { "\"revision\": 7", "\"revision\": 9007199254740992", "$.revision" },
        { "\"revision\": 7,", "", "$.revision" },
        { "\"revision\": 7", "\"revision\": 7, \"revision\": 8", "$.revision" },
        { "\"revision\": 7", "\"revision\": 7, \"other\": 1", "$.other" },
        { "{\"slots_count\": 20", "{\"slots_count\": 0", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": 10001", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": 20.0", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": -1", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": -0", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": 18446744073709551636", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slots_count\": null", "$.defaults.slots_count" },
        { "{\"slots_count\": 20", "{\"slot_count\": 20", "$.defaults.slot_count" },
        { "\"reason\": \"by vm\"", "\"reason\": \" \"", "$.exceptions[2].reason" },
        { ", \"reason\": \"by vm\"", "", "$.exceptions[2].reason" },
        { "{\"vm\": \"vm-1\"}", "{}", "$.exceptions[2].match" },
        { "{\"vm\": \"vm-1\"}", "{\"vm\": \"vm-1\", \"service\": \"fichas\"}", "$.exceptions[2].match" },
        { "{\"vm\": \"vm-1\"}", "{\"rack\": \"1\"}", "$.exceptions[2].match.rack" },
        { "{\"vm\": \"vm-1\"}", "{\"vm\": \"a b\"}", "$.exceptions[2].match.vm" },
        { "{\"slots_count\": 33}", "{}", "$.exceptions[2].set" },
        { "{\"slots_count\": 33}", "[]", "$.exceptions[2].set" },
        { "{\"data_centre\": \"mvd-a\"}", "{\"service\": \"fichas\"}",
            "$.exceptions[1].set.slots_count $.exceptions[1].set.max_attempts_count" },
        { "\"power work\"", "\"\"", "$.data_centres.mvd-a.reason" },
        { "\"in_service\": true", "\"in_service\": 1", "$.data_centres.mvd-b.in_service" },
        { "{\"vm-1\": {", "{\"vm 1\": {", "$.vms[\"vm 1\"]" },
    };
    for (const auto& [from, to, path] : cases) {
        CHECK(pathsOf(FleetConfiguration::check(replaced(valid, from, to))) == path);
    }
    for (size_t length = 0; length < valid.size(); ++length)
        CHECK_FALSE(FleetConfiguration::check(valid.substr(0, length)).empty());
}

TEST_CASE("All faults of a document are reported together")
{
    std::string text = replaced(valid, "\"slots_count\": 20", "\"slots_count\": 0, \"slots_count\": 1, \"x\": -0");
    text = replaced(text, "\"by vm\"", "\"\"");
    const auto error = errorOf([&] { return FleetConfiguration::parse(text); });
    REQUIRE(error);
    for (const char* path : { "$.defaults.slots_count: ", "$.defaults.x: ", "$.exceptions[2].reason: " })
        CHECK_MESSAGE(error->message.find(path) != std::string::npos, error->message);
}

TEST_CASE("Exceptions that set different keys for one target do not conflict")
{
    const auto configuration = parsed(replaced(valid, "{\"vm\": \"vm-1\"}, \"set\": {\"slots_count\": 33}",
        "{\"service\": \"fichas\"}, \"set\": {\"hedge_delay_ms\": 33}"));
    REQUIRE(configuration);
    CHECK(configuration->policyFor(ServiceName("fichas"), DataCentreName("mvd-c"), VmId("vm-9")).hedgeDelay.count()
        == 33);
    CHECK(slotsOf(*configuration, "fichas", "mvd-c", "vm-9") == 31);
}

TEST_CASE("A name that is not in the VM list is refused only if a VM list is given")
{
    const auto known = parsedVms(vmList);
    REQUIRE(known);
    CHECK(FleetConfiguration::check(valid, known.get()).empty());
    const std::tuple<const char*, const char*, const char*> cases[] = {
        { "{\"vm\": \"vm-1\"}", "{\"vm\": \"vm-7\"}", "$.exceptions[2].match" },
        { "{\"service\": \"fichas\"}", "{\"service\": \"fichaz\"}", "$.exceptions[0].match" },
        { "\"fichas\", \"data_centre\": \"mvd-a\"", "\"fichas\", \"data_centre\": \"mvd-b\"", "$.exceptions[3].match" },
        { "{\"mvd-a\"", "{\"mvd-z\"", "$.data_centres.mvd-z" },
        { "{\"vm-1\"", "{\"vm-7\"", "$.vms.vm-7" },
    };
    for (const auto& [from, to, path] : cases) {
        const std::string text = replaced(valid, from, to);
        CHECK(FleetConfiguration::check(text).empty());
        CHECK(pathsOf(FleetConfiguration::check(text, known.get())) == path);
    }
}

TEST_CASE("VMs are found by name and by service, and faults of the VM list are reported")
{
    const auto known = parsedVms(vmList);
    REQUIRE(known);
    CHECK(known->revision().value == 3);
    CHECK(known->vms().front().vm.text() == "vm-1");
    REQUIRE(known->find(VmId("vm-2")));
    CHECK(known->find(VmId("vm-2"))->isLeaving);
    CHECK_FALSE(known->find(VmId("vm-3")));
    REQUIRE(known->vmsOf(ServiceName("fichas")).size() == 1);
    CHECK(known->vmsOf(ServiceName("fichas"))[0]->ip == "127.0.0.1");
    CHECK(known->vmsOf(ServiceName("toa-namba")).empty());

    const std::tuple<const char*, const char*, const char*> cases[] = {
        { "\"live\"", "\"dead\"", "$.vms[1].state" },
        { "\"vm-2\"", "\"vm-1\"", "$.vms[1].vm" },
        { "\"uy\"", "\"ar\"", "" },
        { "\"127.0.0.2\"", "\"127.0.0.256\"", "$.vms[0].address" },
        { "\"public_port\": 1", "\"public_port\": 65536", "$.vms[0].public_port" },
        { "\"region\": \"uy\", ", "", "$.vms[0].region" },
    };
    for (const auto& [from, to, path] : cases) {
        CHECK(pathsOf(VmList::check(replaced(vmList, from, to))) == path);
    }
    CHECK(VmList::check(replaced(replaced(vmList, "mvd-b", "mvd-a"), "\"uy\"", "\"ar\"")).size() == 1);
}

TEST_CASE("A mutated document is accepted as a whole or refused with a fault, and never causes a crash")
{
    // Use a fixed seed so that runs are reproducible; RC_PARAMS from the environment takes precedence.
    int accepted = 0;
    setenv("RC_PARAMS", "seed=20261204 max_success=3000", 0);
    const bool holds = rc::check([&accepted](uint64_t seed) {
        Random random(seed);
        std::string text = random.below(2) == 0 ? valid : vmList;
        const size_t edits = 1 + random.below(3);
        for (size_t i = 0; i < edits; ++i) {
            const size_t at = random.below(text.size());
            const size_t length = random.below(20);
            switch (random.below(5)) {
            case 3:
                // Another digit keeps the text well formed but may put a value out of its range.
                if (text[at] >= '0' && text[at] <= '9')
                    text[at] = static_cast<char>('0' + random.below(10));
                break;
            case 0:
                text[at] = static_cast<char>(random.next());
                break;
            case 1:
                text.erase(at, length);
                break;
            case 2:
                text.insert(at, text.substr(random.below(text.size()), length));
                break;
            default:
                text.insert(at, 1, "{}[]\",:-0e\\"[random.below(11)]);
            }
            if (text.empty())
                text = " ";
        }
        const auto faults = FleetConfiguration::check(text);
        const auto error = errorOf([&] { return FleetConfiguration::parse(text); });
        RC_ASSERT(faults.empty() == !error.has_value());
        for (const ConfigurationFault& fault : faults) {
            for (const char character : fault.text())
                RC_ASSERT(character >= 0x20 && character < 0x7f);
        }
        if (!error) {
            ++accepted;
            // All values of an accepted document are in their ranges.
            const auto configuration = parsed(text);
            for (const auto& value :
                configuration->explain(ServiceName("fichas"), DataCentreName("mvd-a"), VmId("vm-1")))
                RC_ASSERT(value.value >= value.key->minimum && value.value <= value.key->maximum);
        }
        RC_ASSERT(VmList::check(text).empty() == !errorOf([&] { return VmList::parse(text); }).has_value());
    });
    CHECK(holds);
    // Make sure that enough mutated documents are accepted to test that outcome as well.
    CHECK(accepted > 100);
}
