#pragma once

#include "snipeweir/configuration/ConfigurationFault.h"
#include "snipeweir/core/Identity.h"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// Whether a missing key is a fault.
enum class Presence {
    Required,
    Optional,
};

/// Largest revision of a document. Tools that store numbers as doubles would round larger ones.
constexpr uint64_t maxRevision = (1ULL << 53U) - 1;

/// Reads the members of one JSON object and reports each fault. Keys that were never read count as unknown. A read
/// that fails reports the fault and returns an empty value. The JSON value and the fault list must outlive the reader.
/// Not safe for concurrent use.
class ObjectReader {
public:
    /// @param value The object; anything else is a fault.
    /// @param path JSON path of the object.
    /// @param faults List to which faults are added.
    ObjectReader(const Json::Value& value, std::string path, FaultList& faults);

    /// @param key Key of a member.
    /// @param presence Whether a missing member is a fault.
    /// @return The member of any type; null if it is missing.
    const Json::Value* member(std::string_view key, Presence presence);

    /// @return The member as an unsigned integer within the range.
    std::optional<uint64_t> unsignedInteger(
        std::string_view key, uint64_t minimum, uint64_t maximum, Presence presence = Presence::Required);

    /// @return The port in 1..65535; 0 after a fault.
    uint16_t port(std::string_view key);

    /// @return The member as true or false.
    std::optional<bool> boolean(std::string_view key, Presence presence = Presence::Required);

    /// @return The member as text of at most maxBytes bytes without control characters.
    std::optional<std::string> text(std::string_view key, size_t maxBytes, Presence presence = Presence::Required);

    /// @return The member as a name: 1 to 63 letters, digits, dots, hyphens and underscores.
    std::optional<std::string> name(std::string_view key, Presence presence = Presence::Required);

    /// @return The member as an IPv4 address.
    std::string ip(std::string_view key);

    /// @return The elements of an array of at most maxElements elements.
    std::vector<const Json::Value*> array(
        std::string_view key, size_t maxElements, Presence presence = Presence::Required);

    /// @return The elements of an array of "ip:port" texts.
    std::vector<Address> addresses(std::string_view key, size_t maxElements);

    /// Reports every member that was not read.
    void reportUnknownKeys();

    /// @param key Key of a member.
    /// @return The member's JSON path.
    std::string pathOf(std::string_view key) const;

    /// Adds a fault of a member to the fault list.
    void report(std::string_view key, std::string found, std::string allowed);

    const std::string& path() const { return m_path; }

    /// @return The keys of the object; empty if the value is not an object.
    std::vector<std::string> keys() const;

private:
    const Json::Value* m_object = nullptr;
    std::string m_path;
    FaultList& m_faults;
    std::vector<const Json::Value*> m_readMembers;
};

/// @param value Any JSON value.
/// @return The value on one line, shortened, for the "found" part of a fault.
std::string describe(const Json::Value& value);

/// @param text Untrusted text.
/// @return Whether it is a name: 1 to 63 letters, digits, dots, hyphens and underscores, the first a letter or digit.
bool isName(std::string_view text);

/// @param text Text such as "10.0.0.1:7000".
/// @return The IPv4 address and port; empty if the text is malformed.
std::optional<Address> parseAddress(std::string_view text);

/// @param text Untrusted JSON text.
/// @param faults List to which syntax faults of the text are added.
/// @return The root value; empty if the text could not be read to its end.
std::optional<Json::Value> readRoot(std::string_view text, FaultList& faults);

/// Description of a valid name, for messages.
constexpr std::string_view nameRule = "a name of 1 to 63 letters, digits, '.', '-' and '_'";

}
