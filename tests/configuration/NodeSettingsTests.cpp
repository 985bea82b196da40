#include "snipeweir/configuration/NodeSettings.h"

#include <doctest/doctest.h>

using namespace snipeweir;

namespace {

const std::string secret = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";
const std::string valid = R"({"vm": "vm-1", "data_centre": "mvd-a", "region": "uy", "service": "fichas",
  "address": "127.0.0.1", "public_port": 8000, "internal_port": 8001, "control_port": 8001, "backend_port": 8003,
  "platform": ["127.0.0.1:9000"], "seeds": ["127.0.0.2:8001"],
  "control_keys": [{"id": 1, "secret_hex": ")"
    + secret + R"("}], "log_level": "debug", "called_services": ["informes"]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
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

TEST_CASE("Valid node settings are read into their fields")
{
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(settings, NodeSettings::parse(valid));
        CHECK(settings.vm.text() == "vm-1");
        CHECK(settings.backendPort == 8003);
        CHECK(settings.platformAddresses == std::vector<Address> { { "127.0.0.1", 9000 } });
        CHECK(settings.seedAddresses == std::vector<Address> { { "127.0.0.2", 8001 } });
        REQUIRE(settings.controlKeys.size() == 1);
        CHECK(settings.controlKeys[0].secret.size() == 32);
        CHECK(settings.controlKeys[0].secret.substr(30) == "\xee\xff");
        CHECK(settings.logLevel == "debug");
        CHECK(settings.calledServices == std::vector<ServiceName> { ServiceName("informes") });
        return {};
    });
    CHECK_MESSAGE(!error, (error ? error->message : std::string()));
}

TEST_CASE("Each fault of node settings is found, and no message shows a secret")
{
    const std::string key = "{\"id\": 1, \"secret_hex\": \"" + secret + "\"}";
    const std::string second = ", {\"id\": 1, \"secret_hex\": \"" + secret + "\"}]";
    const std::tuple<std::string, std::string, std::string> cases[] = {
        { "\"vm\": \"vm-1\"", "\"vm\": \"\"", "$.vm" },
        { "8000", "0", "$.public_port" },
        { "8000", "65536", "$.public_port" },
        { "8003", "8000", "$.backend_port" },
        { "127.0.0.1\",", "localhost\",", "$.address" },
        { "127.0.0.1:9000", "127.0.0.1:0", "$.platform[0]" },
        { "127.0.0.2:8001", "127.0.0.2:8001x", "$.seeds[0]" },
        { "[\"127.0.0.1:9000\"], \"seeds\": [\"127.0.0.2:8001\"]", "[], \"seeds\": []", "$.platform" },
        { secret, secret.substr(2), "$.control_keys[0].secret_hex" },
        { secret, secret.substr(1), "$.control_keys[0].secret_hex" },
        { secret, secret + secret + "00", "$.control_keys[0].secret_hex" },
        { secret, "zz" + secret, "$.control_keys[0].secret_hex" },
        { "\"" + secret + "\"", "112233445566778899112233445566778899", "$.control_keys[0].secret_hex" },
        { "\"" + secret, secret, "$.control_keys[0]" },
        { key, "\"" + secret + "\"", "$.control_keys[0]" },
        { "[" + key + "]", "\"" + secret + "\"", "$.control_keys" },
        { "[" + key + "]", "[]", "$.control_keys" },
        { "\"id\": 1", "\"id\": \"" + secret + "\"", "$.control_keys[0].id" },
        { "\"id\": 1", "\"id\": 256", "$.control_keys[0].id" },
        { "}]", "}" + second, "$.control_keys[1].id" },
        { "}]", "}, {}, {}]", "$.control_keys" },
        { "\"debug\"", "\"loud\"", "$.log_level" },
        { "[\"informes\"]", "[\"in formes\"]", "$.called_services[0]" },
        { "\"log_level\"", "\"loglevel\"", "$.loglevel" },
    };
    for (const auto& [from, to, path] : cases) {
        const auto faults = NodeSettings::check(replaced(valid, from, to));
        CHECK(pathsOf(faults) == path);
        for (const ConfigurationFault& fault : faults)
            CHECK(fault.text().find("2233") == std::string::npos);
    }
}

TEST_CASE("A settings file that is missing, a directory or endless is refused")
{
    const auto missing = errorOf([] { return NodeSettings::load("/nonexistent/settings.json"); });
    REQUIRE(missing);
    CHECK(missing->code == ErrorCode::NotFound);
    CHECK(errorOf([] { return NodeSettings::load("/"); }));
    const auto endless = errorOf([] { return NodeSettings::load("/dev/zero"); });
    REQUIRE(endless);
    CHECK(endless->message == "/dev/zero: $: found 1048577 bytes, allowed at most 1048576 bytes");
}
