#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace snipeweir {

/// Strongly typed string, so that a VM name cannot be passed as a service name.
template <typename Tag> class Name {
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }
    const std::string& text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }
    auto operator<=>(const Name&) const = default;

private:
    std::string m_text;
};

using VmId = Name<struct VmTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
using CallId = Name<struct CallTag>;

/// Identity of one run of a node process. Random, so that a restarted or replaced node does not reuse one.
struct Incarnation {
    uint64_t value = 0;
    auto operator<=>(const Incarnation&) const = default;
};

/// Version of a published document. Only increases.
struct Revision {
    uint64_t value = 0;
    auto operator<=>(const Revision&) const = default;
};

/// IP address and port.
struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    auto operator<=>(const Address&) const = default;
};

}

template <typename Tag> struct std::hash<snipeweir::Name<Tag>> {
    size_t operator()(const snipeweir::Name<Tag>& name) const noexcept { return std::hash<std::string>()(name.text()); }
};
