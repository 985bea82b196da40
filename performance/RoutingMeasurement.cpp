// Measures the routing and retry policies against baselines and prints Markdown tables.
#include "QueueModel.h"
#include "snipeweir/retry/RetryPolicy.h"

#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <map>

using namespace snipeweir;
using namespace snipeweir::measurement;
using namespace std::chrono_literals;

namespace {

constexpr Nanoseconds warmUp = 2s;
const std::vector<std::string> policies { "random", "round robin", "least own in flight", "two choices, own in flight",
    "router" };

std::unique_ptr<Picker> createPicker(
    const std::string& policy, const ModelSettings& model, size_t caller, size_t dataCentre, const Clock& clock)
{
    const uint64_t seed = model.seed * 1000 + caller;
    for (size_t i = 0; i + 1 < policies.size(); ++i) {
        if (policy == policies[i])
            return std::make_unique<BaselinePicker>(static_cast<BaselinePicker::Kind>(i), model.servers, seed);
    }
    RouterSettings settings;
    settings.ownDataCentre = RouterPicker::dataCentreName(dataCentre);
    std::vector<size_t> dataCentres;
    for (size_t i = 0; i < model.servers; ++i)
        dataCentres.push_back(i % model.dataCentres);
    return std::make_unique<RouterPicker>(settings, dataCentres, clock, seed);
}

std::unique_ptr<QueueModel> createModel(const std::string& policy, const ModelSettings& settings)
{
    return std::make_unique<QueueModel>(
        settings, [policy, settings](size_t caller, size_t dataCentre, const Clock& clock) {
            return createPicker(policy, settings, caller, dataCentre, clock);
        });
}

/// @return The quantile of the latencies of calls sent in [from, to), in milliseconds; 0 without such calls.
double quantile(const QueueModel& model, double fraction, Nanoseconds from, Nanoseconds to)
{
    std::vector<Nanoseconds> latencies;
    for (const auto& call : model.completedCalls()) {
        if (call.sentAt >= from && call.sentAt < to)
            latencies.push_back(call.latency);
    }
    if (latencies.empty())
        return 0;
    const auto rank = static_cast<size_t>(fraction * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank), latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[rank]).count();
}

double capacity(const ModelSettings& settings, double servers)
{
    return servers * static_cast<double>(settings.slots) / std::chrono::duration<double>(settings.serviceTime).count();
}

std::string targetStatus(bool isMet) { return isMet ? "met" : "MISSED"; }

void measureNoisyNeighbour(size_t callers, double servers, const std::string& load)
{
    std::printf("\n### Noisy neighbour, %zu callers, load 70%% of %s\n\n", callers, load.c_str());
    std::printf("| policy | seed | p50 ms | p99 ms | p99.9 ms | probes | decisions |\n|---|---|---|---|---|---|---|\n");
    std::map<std::string, double> worst;
    std::map<std::string, double> best;
    for (const std::string& policy : policies) {
        for (const uint64_t seed : { 1U, 2U, 3U }) {
            ModelSettings settings;
            settings.seed = seed;
            settings.callers = callers;
            settings.callsPerSecond = 0.7 * capacity(settings, servers);
            const auto model = createModel(policy, settings);
            size_t slow = 0;
            Random random(seed);
            std::function<void()> moveSlowdown = [&] {
                model->setServiceTimeFactor(slow, 1);
                slow = (slow + 1 + random.below(settings.servers - 1)) % settings.servers;
                model->setServiceTimeFactor(slow, 10);
                if (model->now() < settings.duration)
                    model->schedule(model->now() + 200ms, moveSlowdown);
            };
            model->schedule(0ns, moveSlowdown);
            model->run();
            const double p99 = quantile(*model, 0.99, warmUp, settings.duration);
            worst[policy] = std::max(worst[policy], p99);
            best[policy] = best.contains(policy) ? std::min(best[policy], p99) : p99;
            std::printf("| %s | %llu | %.1f | %.1f | %.1f | %zu | %016llx |\n", policy.c_str(),
                static_cast<unsigned long long>(seed), quantile(*model, 0.5, warmUp, settings.duration), p99,
                quantile(*model, 0.999, warmUp, settings.duration), model->probeCount(),
                static_cast<unsigned long long>(model->decisionHash()));
        }
    }

    // Compares the router's worst seed with the best seed of each baseline.
    double bestBaseline = 1e9;
    for (size_t i = 0; i + 1 < policies.size(); ++i)
        bestBaseline = std::min(bestBaseline, best[policies[i]]);
    std::printf("\nTarget: p99 at most a third of random's: %.1f ms against %.1f ms, %s.\n", worst["router"],
        best["random"] / 3, targetStatus(worst["router"] <= best["random"] / 3).c_str());
    std::printf("Target: p99 below every baseline's: %.1f ms against %.1f ms, %s.\n", worst["router"], bestBaseline,
        targetStatus(worst["router"] < bestBaseline).c_str());
}

/// How each layer of the call chain decides whether to retry.
enum class ChainRetryPolicy {
    ThreeAttemptsPerLayer,
    BudgetPerLayer,
    RetryPolicy,
};

struct ChainTraffic {
    double arrivalsPerCall = 0;
    double retriesPerFirstAttempt = 0;
    /// Whether retries were at most a tenth of the first attempts, both over all layers and at the failing layer. Uses
    /// exact counts.
    bool isWithinTarget = false;
};

/// @return Calls that arrive at the failing layer per call of the chain, and retries per first attempt at all layers.
ChainTraffic runCallChain(ChainRetryPolicy retryPolicyKind, size_t layers, double refusedShare, int calls)
{
    std::vector<RetryPolicy> retryPolicies(layers, RetryPolicy({}));
    Random random(7);
    uint64_t arrivals = 0;
    uint64_t retryCount = 0;
    uint64_t firstAttempts = 0;
    const std::function<bool(size_t)> callBelow = [&](size_t layer) {
        retryPolicies[layer].onFirstAttempt();
        ++firstAttempts;
        for (uint32_t attempt = 1;; ++attempt) {
            RetryRequest request;
            request.attempts = attempt;
            request.remaining = 500ms;
            request.reason = Reason::ServerLimit;
            if (layer + 1 == layers) {
                ++arrivals;
                if (random.nextDouble() >= refusedShare)
                    return true;
            } else {
                if (callBelow(layer + 1))
                    return true;
                // A failure in a lower layer reaches this layer as a response of the next backend server.
                if (retryPolicyKind == ChainRetryPolicy::RetryPolicy) {
                    request.layer = RetryLayer::BackendServer;
                    request.outcome = Outcome::Done;
                }
            }
            const bool isRetried = retryPolicyKind == ChainRetryPolicy::ThreeAttemptsPerLayer
                ? attempt < 3
                : retryPolicies[layer].decide(request).isRetry();
            if (!isRetried)
                return false;
            ++retryCount;
        }
    };
    for (int i = 0; i < calls; ++i)
        callBelow(0);
    const auto chainCalls = static_cast<uint64_t>(calls);
    const bool isWithinTarget = retryCount * 10 <= firstAttempts && (arrivals - chainCalls) * 10 <= chainCalls;
    return { static_cast<double>(arrivals) / calls,
        static_cast<double>(retryCount) / static_cast<double>(firstAttempts), isWithinTarget };
}

void measureCallChain()
{
    std::printf("\n### Chain of 11 layers with one failing layer\n\n");
    std::printf(
        "| policy | failing layer | refused %% | calls at the failing layer per call | second tries per first try |\n"
        "|---|---|---|---|---|\n");
    double maxRetryRatio = 0;
    bool isMet = true;
    for (const size_t layer : { 1U, 6U, 11U }) {
        for (const double refused : { 0.5, 1.0 }) {
            const auto threeAttempts = runCallChain(ChainRetryPolicy::ThreeAttemptsPerLayer, layer, refused, 20);
            const auto budget = runCallChain(ChainRetryPolicy::BudgetPerLayer, layer, refused, 20'000);
            const auto policy = runCallChain(ChainRetryPolicy::RetryPolicy, layer, refused, 20'000);
            maxRetryRatio = std::max({ maxRetryRatio, policy.arrivalsPerCall - 1, policy.retriesPerFirstAttempt });
            isMet = isMet && policy.isWithinTarget;
            std::printf("| three tries at every layer | %zu | %.0f | %.2f | %.4f |\n", layer, refused * 100,
                threeAttempts.arrivalsPerCall, threeAttempts.retriesPerFirstAttempt);
            std::printf("| budget of 10%% at every layer | %zu | %.0f | %.2f | %.4f |\n", layer, refused * 100,
                budget.arrivalsPerCall, budget.retriesPerFirstAttempt);
            std::printf("| RetryPolicy | %zu | %.0f | %.4f | %.4f |\n", layer, refused * 100, policy.arrivalsPerCall,
                policy.retriesPerFirstAttempt);
        }
    }
    std::printf("\nTarget: retry traffic at most 10%% above first tries: at most %.2f%%, %s.\n", maxRetryRatio * 100,
        targetStatus(isMet).c_str());
}

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void measureDecisionCost()
{
    std::printf(
        "\n### CPU time per decision\n\nOne router, one call every 16 ms (63 calls/s), a report with each answer.\n\n");
    std::printf("| candidates | choose us | choose, sent, finished and report us |\n|---|---|---|\n");
    for (const size_t count : { 3U, 6U, 12U, 32U, 100U, 1000U, 3500U }) {
        constexpr int calls = 200'000;
        ManualClock clock;
        RouterSettings settings;
        auto router
            = std::move(Router::create(settings, StateChart::load("charts/endpoint.json").value(), clock, 1).value());
        std::vector<EndpointCandidate> candidates;
        for (size_t i = 0; i < count; ++i)
            candidates.push_back(
                { VmId("vm-" + std::to_string(1000 + i)), DataCentreName("dc-" + std::to_string(i % 3)) });
        router->updateEndpoints(candidates);
        LoadReport report;
        report.limit = 10;
        report.inFlight = 4;
        report.phase = EndpointPhase::Serving;
        report.serviceTime = 5ms;
        for (const auto& candidate : candidates)
            router->onLoadReport(candidate.vm, report);

        const auto measure = [&](const std::function<void()>& step) {
            const double start = cpuSeconds();
            for (int i = 0; i < calls; ++i) {
                clock.advance(16ms);
                step();
            }
            return (cpuSeconds() - start) / calls * 1e6;
        };
        const double choose = measure([&] { router->choose({}); });
        const double all = measure([&] {
            const VmId vm = router->choose({})->vm;
            router->onSent(vm);
            router->onFinished(vm, { CallResult::Kind::Succeeded, 5ms });
            router->onLoadReport(vm, report);
        });
        std::printf("| %zu | %.2f | %.2f |\n", count, choose, all);
    }
}

void measureReturningDataCentre()
{
    constexpr Nanoseconds leavesAt = 10s;
    constexpr Nanoseconds returnsAt = 20s;
    std::printf("\n### One data centre of three leaves and returns, load 60%% of all three\n\n");
    std::printf("It leaves at 10 s and returns at 20 s with cold backend servers: five times slower, at full speed "
                "after 500 calls each.\n\n");
    std::printf("| policy | seed | p99 before ms | p99 away ms | p99 first 2 s back ms | p99 20 to 40 s ms | decisions "
                "|\n|---|---|---|---|---|---|---|\n");
    std::map<std::string, std::vector<double>> shares;
    for (const std::string& policy : policies) {
        for (const uint64_t seed : { 1U, 2U, 3U }) {
            ModelSettings settings;
            settings.seed = seed;
            settings.servers = 9;
            settings.duration = 40s;
            settings.callsPerSecond = 0.6 * capacity(settings, 9);
            const auto model = createModel(policy, settings);
            const auto isInLeavingDataCentre = [](size_t server) { return server % 3 == 1; };
            std::vector<bool> available(settings.servers, true);
            const auto setService = [&](bool isInService) {
                for (size_t i = 0; i < settings.servers; ++i) {
                    if (isInLeavingDataCentre(i))
                        available[i] = isInService;
                }
                model->setAvailable(available);
            };
            std::vector<size_t> completedAtReturn(settings.servers, 0);
            bool isBack = false;
            const auto updateServiceTime = [&](size_t server) {
                const double fraction = std::min(
                    1.0, static_cast<double>(model->completedCount(server) - completedAtReturn[server]) / 500);
                model->setServiceTimeFactor(server, 5 - 4 * fraction);
            };
            model->schedule(leavesAt, [&] { setService(false); });
            model->schedule(returnsAt, [&] {
                isBack = true;
                for (size_t i = 0; i < settings.servers; ++i) {
                    completedAtReturn[i] = model->completedCount(i);
                    if (isInLeavingDataCentre(i))
                        updateServiceTime(i);
                }
                setService(true);
            });
            model->onCallCompleted = [&](size_t server) {
                if (isBack && isInLeavingDataCentre(server)
                    && model->completedCount(server) - completedAtReturn[server] <= 500)
                    updateServiceTime(server);
            };
            model->run();
            std::printf("| %s | %llu | %.1f | %.1f | %.1f | %.1f | %016llx |\n", policy.c_str(),
                static_cast<unsigned long long>(seed), quantile(*model, 0.99, warmUp, leavesAt),
                quantile(*model, 0.99, leavesAt, returnsAt), quantile(*model, 0.99, returnsAt, returnsAt + 2s),
                quantile(*model, 0.99, returnsAt, settings.duration),
                static_cast<unsigned long long>(model->decisionHash()));
            if (seed != 1)
                continue;
            std::vector<double> all(41, 0);
            std::vector<double> leavingCalls(41, 0);
            for (const auto& call : model->completedCalls()) {
                const auto second = static_cast<size_t>(call.sentAt / 1s);
                all[second] += 1;
                leavingCalls[second] += isInLeavingDataCentre(call.server) ? 1 : 0;
            }
            for (size_t i = 0; i < 40; ++i)
                shares[policy].push_back(all[i] > 0 ? leavingCalls[i] / all[i] * 100 : 0);
        }
    }

    std::printf("\nShare of the leaving data centre in percent of calls, seed 1:\n\n| policy |");
    const std::vector<size_t> seconds { 8, 9, 10, 11, 19, 20, 21, 22, 24, 26, 28, 30, 32, 36, 39 };
    for (const size_t second : seconds)
        std::printf(" %zu s |", second);
    std::printf("\n|---|");
    for (size_t i = 0; i < seconds.size(); ++i)
        std::printf("---|");
    for (const std::string& policy : policies) {
        std::printf("\n| %s |", policy.c_str());
        for (const size_t second : seconds)
            std::printf(" %.1f |", shares[policy][second]);
    }
    std::printf("\n");
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("RoutingMeasurement", "Measures routing and retry policies in a queue model.");
    options.add_options()(
        "scenario", "noisy, chain, cpu, return or all", cxxopts::value<std::string>()->default_value("all"));
    const auto scenario = options.parse(argc, argv)["scenario"].as<std::string>();
    const auto isSelected = [&scenario](const std::string& name) { return scenario == "all" || scenario == name; };
    if (isSelected("noisy")) {
        measureNoisyNeighbour(12, 5.1, "the capacity left (5.1 servers)");
        measureNoisyNeighbour(12, 6, "the nominal capacity (6 servers)");
        measureNoisyNeighbour(60, 5.1, "the capacity left (5.1 servers)");
    }
    if (isSelected("chain"))
        measureCallChain();
    if (isSelected("cpu"))
        measureDecisionCost();
    if (isSelected("return"))
        measureReturningDataCentre();
    return 0;
}
