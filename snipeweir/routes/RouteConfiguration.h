#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/organisations/OrganisationTable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeweir {

/// Whether the requests of a route are idempotent.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request and carries no idempotency key.
    AtMostOnce,
    /// Idempotent with a large response, which is streamed.
    Download,
};

inline bool isIdempotent(RouteKind kind) { return kind != RouteKind::AtMostOnce; }

/// One service of a route and its weight among the services of that route.
struct ServiceShare {
    ServiceName service;
    double weight = 1;

    bool operator==(const ServiceShare&) const = default;
};

/// Settings for the requests to one host under one path prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// Timeout of a request, until its final response; zero for none.
    std::chrono::milliseconds timeout { 0 };
    /// Latency up to which a response is on time.
    std::chrono::milliseconds targetLatency { 1000 };
    /// Priority among routes; 0 is the highest.
    uint32_t priority = 0;
    /// Maximum number of backend servers that one request may be sent to.
    uint32_t maxAttempts = 1;
    /// Whether a request must carry the key of an organisation, if the configuration has any.
    bool requiresKey = true;
    /// Services that share the requests; at least one.
    std::vector<ServiceShare> shares;
};

/// Operators' settings for the backend servers of one service.
struct ServicePolicy {
    std::string healthPath = "/health";
    /// Maximum number of connections to one backend server.
    uint32_t maxConnections = 250;
    /// Requests per second that a cold backend server can handle; zero for no limit.
    double coldRequestsPerSecond = 0;
};

/// Limits on the size of a caller's requests and on the time to send them.
struct CallerLimits {
    size_t maxHeaderBytes = 16U << 10U;
    size_t maxBodyBytes = 1U << 20U;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

/// One version of the route configuration that operators publish.
struct RouteConfiguration {
    Revision version;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    CallerLimits limits;
    /// Null if the configuration has no organisations; requests then need no key.
    std::shared_ptr<const OrganisationTable> organisations;
};

}
