#include "snipeweir/configuration/NodeSettings.h"

#include "snipeweir/configuration/ObjectReader.h"
#include "snipeweir/configuration/TextFile.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace snipeweir {

namespace {

    constexpr size_t minSecretBytes = 32;
    constexpr size_t maxSecretBytes = 64;
    // Key rotation needs two: the key in use, and the one being introduced or retired.
    constexpr size_t maxControlKeys = 2;
    constexpr std::array<std::string_view, 6> logLevels { "trace", "debug", "info", "warn", "error", "fatal" };

    std::string decodeHex(const std::string& text)
    {
        std::string bytes;
        for (size_t i = 0; i + 1 < text.size(); i += 2) {
            uint8_t byte = 0;
            const auto result = std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
            if (result.ptr != text.data() + i + 2)
                return {};
            bytes += static_cast<char>(byte);
        }
        return text.size() % 2 == 0 ? bytes : std::string();
    }

    ControlKey readControlKey(const Json::Value& value, const std::string& path, FaultList& faults)
    {
        // Messages must not contain a secret, even one that is under the wrong key. FaultList keeps the first fault of
        // a path, so the faults added here replace those of ObjectReader, which quote the value.
        ControlKey key;
        if (!value.isObject())
            faults.add(path, "a value that is not an object", "an object with id and secret_hex");
        ObjectReader reader(value, path, faults);
        if (const Json::Value* id = reader.member("id", Presence::Optional); id && !id->isNumeric())
            reader.report("id", "a value that is not a number", "an integer in 0..255");
        key.id = static_cast<uint8_t>(reader.unsignedInteger("id", 0, 255).value_or(0));
        if (const Json::Value* secret = reader.member("secret_hex", Presence::Required)) {
            if (secret->isString())
                key.secret = decodeHex(secret->asString());
            if (key.secret.size() < minSecretBytes || key.secret.size() > maxSecretBytes)
                reader.report("secret_hex",
                    secret->isString() ? "a string of " + std::to_string(secret->asString().size()) + " bytes"
                                       : "a value that is not a string",
                    "an even number of 64 to 128 hexadecimal digits");
        }
        reader.reportUnknownKeys();
        return key;
    }

    NodeSettings read(std::string_view text, FaultList& faults)
    {
        NodeSettings settings;
        const auto root = readRoot(text, faults);
        if (!root)
            return settings;
        ObjectReader reader(*root, "$", faults);
        settings.vm = VmId(reader.name("vm").value_or(""));
        settings.dataCentre = DataCentreName(reader.name("data_centre").value_or(""));
        settings.region = RegionName(reader.name("region").value_or(""));
        settings.service = ServiceName(reader.name("service").value_or(""));
        settings.ip = reader.ip("address");

        // Read the ports; the three TCP ports must differ.
        std::set<uint16_t> tcpPorts;
        const auto readTcpPort = [&](std::string_view key) {
            const uint16_t port = reader.port(key);
            if (port && !tcpPorts.insert(port).second)
                reader.report(key, std::to_string(port) + ", which another TCP port key has", "a different port");
            return port;
        };
        settings.publicPort = readTcpPort("public_port");
        settings.internalPort = readTcpPort("internal_port");
        settings.backendPort = readTcpPort("backend_port");
        settings.controlPort = reader.port("control_port");

        // Read the addresses of the platform and of the seed nodes.
        settings.platformAddresses = reader.addresses("platform", 16);
        settings.seedAddresses = reader.addresses("seeds", 64);
        if (faults.isEmpty() && settings.platformAddresses.empty() && settings.seedAddresses.empty())
            reader.report("platform", "neither an address nor a seed", "at least one platform address or seed");

        // Read the control keys.
        const Json::Value* keys = reader.member("control_keys", Presence::Optional);
        if (keys && (!keys->isArray() || keys->empty()))
            reader.report("control_keys", "no array, or an empty one", "an array of one or two keys");
        const auto controlKeys = reader.array("control_keys", maxControlKeys);
        for (size_t index = 0; index < controlKeys.size(); ++index) {
            const std::string path = reader.pathOf("control_keys") + "[" + std::to_string(index) + "]";
            ControlKey key = readControlKey(*controlKeys[index], path, faults);
            const bool isDuplicate = std::any_of(settings.controlKeys.begin(), settings.controlKeys.end(),
                [&](const ControlKey& other) { return other.id == key.id; });
            if (isDuplicate)
                faults.add(path + ".id", std::to_string(key.id) + ", which another key has", "a different id");
            settings.controlKeys.push_back(std::move(key));
        }

        // Read the optional settings.
        if (const Json::Value* level = reader.member("log_level", Presence::Optional)) {
            if (level->isString()
                && std::find(logLevels.begin(), logLevels.end(), level->asString()) != logLevels.end())
                settings.logLevel = level->asString();
            else
                reader.report("log_level", describe(*level), "trace, debug, info, warn, error or fatal");
        }
        size_t index = 0;
        for (const Json::Value* service : reader.array("called_services", 1'000, Presence::Optional)) {
            if (service->isString() && isName(service->asString()))
                settings.calledServices.emplace_back(service->asString());
            else
                faults.add(reader.pathOf("called_services") + "[" + std::to_string(index) + "]", describe(*service),
                    std::string(nameRule));
            ++index;
        }
        reader.reportUnknownKeys();
        return settings;
    }

    Result<NodeSettings> parseDocument(std::string_view text, std::string_view name)
    {
        FaultList faults;
        NodeSettings settings = read(text, faults);
        if (!faults.isEmpty())
            return faults.toError(name);
        return settings;
    }

}

Result<NodeSettings> NodeSettings::parse(std::string_view text) { return parseDocument(text, "settings"); }

Result<NodeSettings> NodeSettings::load(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    return parseDocument(text, path);
}

std::vector<ConfigurationFault> NodeSettings::check(std::string_view text)
{
    FaultList faults;
    read(text, faults);
    return faults.faults();
}

}
