#pragma once

#include "snipeweir/routes/RouteConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace snipeweir {

/// Finds the route of a request by host and longest path prefix. The cost is at most one hash lookup for each slash in
/// the path, regardless of the number of routes. Immutable after construction, so any thread may read it.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const RouteConfiguration>);

    /// @param host Value of the Host header, with or without a port.
    /// @param path Path of the request; a query string is ignored.
    /// @return The route with the longest matching prefix; null if there is none.
    const Route* find(std::string_view host, std::string_view path) const;

    const RouteConfiguration& configuration() const { return *m_configuration; }

private:
    std::shared_ptr<const RouteConfiguration> m_configuration;
    /// Indices into the configuration's routes; the key is the host in lower case followed by the prefix.
    std::unordered_map<std::string, size_t> m_routes;
};

}
