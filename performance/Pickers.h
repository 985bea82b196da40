#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/routing/Router.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace snipeweir::measurement {

/// Load-balancing policy of one caller in the queue model. Servers are given as indices.
class Picker {
public:
    virtual ~Picker() = default;
    /// @param isAvailable Whether each server may be picked.
    virtual void setAvailable(const std::vector<bool>& isAvailable) = 0;
    /// Picks a server for a call and counts the call as in flight there.
    virtual size_t pick() = 0;
    virtual void onFinished(size_t server, std::chrono::nanoseconds latency) = 0;
    virtual void onReport(size_t, const LoadReport&) { }
    /// @return Servers to which the caller should send a load probe now.
    virtual std::vector<size_t> probesDue() { return {}; }
};

/// Baseline policies. They use at most the caller's own calls in flight, and no load reports.
class BaselinePicker final : public Picker {
public:
    enum class Kind {
        Random,
        RoundRobin,
        LeastInFlight,
        TwoChoices,
    };

    BaselinePicker(Kind kind, size_t servers, uint64_t seed)
        : m_kind(kind)
        , m_random(seed)
        , m_inFlight(servers, 0)
        , m_nextIndex(m_random.below(servers))
    {
        setAvailable(std::vector<bool>(servers, true));
    }

    void setAvailable(const std::vector<bool>& isAvailable) override
    {
        m_available.clear();
        for (size_t i = 0; i < isAvailable.size(); ++i) {
            if (isAvailable[i])
                m_available.push_back(i);
        }
    }

    size_t pick() override
    {
        const size_t server = choose();
        ++m_inFlight[server];
        return server;
    }

    void onFinished(size_t server, std::chrono::nanoseconds) override { --m_inFlight[server]; }

private:
    size_t choose()
    {
        const size_t first = m_available[m_random.below(m_available.size())];
        switch (m_kind) {
        case Kind::Random:
            return first;
        case Kind::RoundRobin:
            return m_available[m_nextIndex++ % m_available.size()];
        case Kind::LeastInFlight: {
            // Starts at a random server, so that ties are broken evenly.
            const size_t start = m_random.below(m_available.size());
            size_t best = m_available[start];
            for (size_t i = 1; i < m_available.size(); ++i) {
                const size_t server = m_available[(start + i) % m_available.size()];
                if (m_inFlight[server] < m_inFlight[best])
                    best = server;
            }
            return best;
        }
        case Kind::TwoChoices: {
            size_t second = first;
            while (second == first && m_available.size() > 1)
                second = m_available[m_random.below(m_available.size())];
            return m_inFlight[second] < m_inFlight[first] ? second : first;
        }
        }
        return first;
    }

    Kind m_kind;
    Random m_random;
    std::vector<uint32_t> m_inFlight;
    std::vector<size_t> m_available;
    size_t m_nextIndex;
};

/// Adapter for the Router, the policy that is compared with the baselines.
class RouterPicker final : public Picker {
public:
    /// @param dataCentreOf Data centre of each server.
    RouterPicker(const RouterSettings& settings, std::vector<size_t> dataCentres, const Clock& clock, uint64_t seed)
    {
        const StateChart chart = StateChart::load("charts/endpoint.json").value();
        m_router = std::move(Router::create(settings, chart, clock, seed).value());
        for (size_t i = 0; i < dataCentres.size(); ++i)
            m_candidates.push_back({ VmId("vm-" + std::to_string(1000 + i)), dataCentreName(dataCentres[i]) });
        m_router->updateEndpoints(m_candidates);
    }

    static DataCentreName dataCentreName(size_t index) { return DataCentreName("dc-" + std::to_string(index)); }

    void setAvailable(const std::vector<bool>& isAvailable) override
    {
        for (size_t i = 0; i < m_candidates.size(); ++i)
            m_candidates[i].isInService = isAvailable[i];
        m_router->updateEndpoints(m_candidates);
    }

    size_t pick() override
    {
        const VmId vm = m_router->choose({})->vm;
        m_router->onSent(vm);
        return indexOf(vm);
    }

    void onFinished(size_t server, std::chrono::nanoseconds latency) override
    {
        const auto rounded = std::chrono::duration_cast<std::chrono::microseconds>(latency);
        m_router->onFinished(m_candidates[server].vm, { CallResult::Kind::Succeeded, rounded });
    }

    void onReport(size_t server, const LoadReport& report) override
    {
        m_router->onLoadReport(m_candidates[server].vm, report);
    }

    std::vector<size_t> probesDue() override
    {
        std::vector<size_t> servers;
        for (const VmId& vm : m_router->probesDue())
            servers.push_back(indexOf(vm));
        return servers;
    }

private:
    static size_t indexOf(const VmId& vm) { return std::stoul(vm.text().substr(3)) - 1000; }

    std::unique_ptr<Router> m_router;
    std::vector<EndpointCandidate> m_candidates;
};

}
