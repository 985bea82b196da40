#pragma once

#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeweir {

/// What may be repeated on a route.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request and carries no idempotency key.
    AtMostOnce,
    /// Idempotent with a large answer, which is streamed.
    Download,
};

inline bool isRepeatable(RouteKind kind) { return kind != RouteKind::AtMostOnce; }

/// One service of a route and its weight among the services of that route.
struct ServiceShare {
    ServiceName service;
    double weight = 1;

    bool operator==(const ServiceShare&) const = default;
};

/// Requests of one host below one path prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// Longest time that a request may wait for its final answer; zero if there is no bound.
    std::chrono::milliseconds timeout { 0 };
    /// Time within which an answer is on time.
    std::chrono::milliseconds targetLatency { 1000 };
    /// Rank among routes; 0 is the most urgent.
    uint32_t priority = 0;
    /// Most backend servers that one request may be sent to.
    uint32_t maxAttempts = 1;
    /// At least one.
    std::vector<ServiceShare> shares;
};

/// What the operators say of the backend servers of one service.
struct ServicePolicy {
    std::string healthPath = "/health";
    /// Connections that one backend server accepts.
    uint32_t maxConnections = 250;
    /// Requests per second that a cold backend server bears; zero if there is no bound.
    double coldRequestsPerSecond = 0;
};

/// Bounds on what a caller may send and on its time to do so.
struct CallerLimits {
    size_t maxHeaderBytes = 16U << 10U;
    size_t maxBodyBytes = 1U << 20U;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

/// One version of the operators' configuration of routes.
struct RouteConfiguration {
    Revision version;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    CallerLimits limits;
};

}
