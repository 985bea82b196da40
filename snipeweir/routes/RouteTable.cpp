#include "snipeweir/routes/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace snipeweir {

namespace {

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        return lower;
    }

}

RouteTable::RouteTable(std::shared_ptr<const RouteConfiguration> configuration)
    : m_configuration(std::move(configuration))
{
    m_routes.reserve(m_configuration->routes.size());
    for (size_t index = 0; index < m_configuration->routes.size(); ++index) {
        const Route& route = m_configuration->routes[index];
        m_routes.emplace(lowerCase(route.host) + route.prefix, index);
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    std::string key = lowerCase(host.substr(0, host.find(':')));
    const size_t hostLength = key.size();
    // Prefixes end with a slash, so only parts of the path that end with a slash can match; check the longest first.
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        key.resize(hostLength);
        key.append(path.substr(0, slash + 1));
        const auto match = m_routes.find(key);
        if (match != m_routes.end())
            return &m_configuration->routes[match->second];
    }
    return nullptr;
}

}
