#pragma once

#include "snipeweir/routing/Router.h"

#include <doctest/doctest.h>
#include <map>
#include <string>

namespace snipeweir {

/// A router with a manual clock and endpoints vm-0, vm-1, ... spread over the data centres dc-0, dc-1, dc-2.
struct RouterFixture {
    explicit RouterFixture(size_t count, uint64_t seed = 1, RouterSettings settings = {})
    {
        settings.ownDataCentre = DataCentreName("dc-0");
        settings.crossDataCentreCost = std::chrono::microseconds(0);
        router = make(settings, clock, seed);
        for (size_t i = 0; i < count; ++i)
            view.push_back({ vm(i), DataCentreName("dc-" + std::to_string(i % 3)) });
        router->updateEndpoints(view);
        for (size_t i = 0; i < count; ++i)
            router->onLoadReport(vm(i), report());
    }

    static StateChart chart()
    {
        return StateChart::load(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/charts/endpoint.json").value();
    }

    static std::unique_ptr<Router> make(const RouterSettings& settings, const Clock& clock, uint64_t seed)
    {
        return std::move(Router::create(settings, chart(), clock, seed).value());
    }

    static VmId vm(size_t index) { return VmId("vm-" + std::to_string(index)); }

    /// @return A report of a serving endpoint, the newest so far because its uptime follows the clock.
    LoadReport report(uint32_t inFlight = 0) const
    {
        LoadReport report;
        report.inFlight = inFlight;
        report.limit = 10;
        report.phase = EndpointPhase::Serving;
        report.serviceTime = std::chrono::microseconds(5000);
        report.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch());
        report.incarnation = Incarnation { 7 };
        return report;
    }

    /// Simulates one call from choice to response and advances the clock by its latency.
    /// @return The endpoint chosen.
    VmId call(const std::function<CallResult(const VmId&)>& respond)
    {
        const auto choice = router->choose({});
        REQUIRE(choice);
        router->onSent(choice->vm);
        const CallResult result = respond(choice->vm);
        clock.advance(result.latency);
        router->onFinished(choice->vm, result);
        router->onLoadReport(choice->vm, report());
        return choice->vm;
    }

    /// @return Number of calls that each endpoint received.
    std::map<VmId, size_t> countCalls(size_t calls, const std::function<CallResult(const VmId&)>& respond)
    {
        std::map<VmId, size_t> counts;
        for (size_t i = 0; i < calls; ++i)
            ++counts[call(respond)];
        return counts;
    }

    /// Reports a number of failed calls of one endpoint to the router.
    void fail(size_t index, int failures)
    {
        for (int i = 0; i < failures; ++i) {
            router->onSent(vm(index));
            router->onFinished(vm(index), { CallResult::Kind::Failed, std::chrono::microseconds(100) });
        }
    }

    size_t ejectedCount() const
    {
        size_t count = 0;
        for (const auto& endpoint : router->snapshot())
            count += endpoint.phase == EndpointPhase::Ejected ? 1 : 0;
        return count;
    }

    ManualClock clock;
    std::vector<EndpointCandidate> view;
    std::unique_ptr<Router> router;
};

inline CallResult success(const VmId&) { return { CallResult::Kind::Succeeded, std::chrono::microseconds(5000) }; }

}
