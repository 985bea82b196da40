// Measures in virtual time what it costs a fleet that the store was restored from a copy, beside ordinary changes, and
// the CPU time of a node that takes the documents. Prints one JSON object per line.
// Usage: SourceEraMeasurement [nodes ...]

#include "platform/Documents.h"
#include "snipeweir/fleet/BackendRegistry.h"
#include "snipeweir/fleet/OperatorDocument.h"
#include "tests/fleet/SourceEraModel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <numeric>
#include <string>

using namespace snipeweir;
using namespace snipeweir::simulation;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t seed = 20261207;
constexpr double changesPerDay = 2600;
constexpr double secondsPerDay = 86'400;
constexpr int cpuRounds = 5;
/// Nodes that reach the store in the last case.
constexpr size_t fewNodes = 3;
/// Time from the begin of the era until the documents are taken: within the time for which lost entries are kept.
constexpr auto afterEraBegin = 100ms;

double windowSeconds() { return std::chrono::duration<double>(SourceEraModel::window).count(); }

double middle(std::vector<uint64_t> values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(values.size() / 2), values.end());
    return static_cast<double>(values[values.size() / 2]);
}

double busiest(const std::vector<uint64_t>& values)
{
    return static_cast<double>(*std::max_element(values.begin(), values.end()));
}

/// Runs one case and prints its results.
/// @param quiet Results without a change; empty for the first case.
SourceEraResult measure(const char* name, SourceEraCase settings, const SourceEraResult* quiet)
{
    settings.seed = seed;
    SourceEraResult result = SourceEraModel(settings, SourceEraSizes::of(settings.nodes)).run();
    const double seconds = windowSeconds();
    const SourceEraResult& base = quiet ? *quiet : result;
    // A node's bytes on a day with as many of these changes as a day may have.
    const auto ofDay = [&](double bytes, double quietBytes) {
        return quietBytes / seconds + (bytes - quietBytes) * changesPerDay / secondsPerDay;
    };
    std::printf("{\"kind\":\"change\",\"case\":\"%s\",\"nodes\":%zu,\"calls\":%llu,\"peak_calls_per_s\":%llu,"
                "\"reading_nodes\":%zu,\"failed_calls\":%llu,\"in_force_ms\":%lld,\"missing\":%zu,"
                "\"middle_bytes_per_s\":%.0f,\"busiest_bytes_per_s\":%.0f,\"middle_peak_bytes\":%.0f,"
                "\"busiest_peak_bytes\":%.0f,\"middle_day_bytes_per_s\":%.0f,\"busiest_day_bytes_per_s\":%.0f,"
                "\"informs\":%llu,\"fetches\":%llu,\"history_fetches\":%llu,\"failed_fetches\":%llu}\n",
        name, settings.nodes, static_cast<unsigned long long>(result.calls),
        static_cast<unsigned long long>(result.peakCalls), result.readingNodes,
        static_cast<unsigned long long>(result.failedCalls), static_cast<long long>(result.inForce.count()),
        result.missing, middle(result.bytes) / seconds, busiest(result.bytes) / seconds, middle(result.peakBytes),
        busiest(result.peakBytes), ofDay(middle(result.bytes), middle(base.bytes)),
        ofDay(busiest(result.bytes), busiest(base.bytes)), static_cast<unsigned long long>(result.informs),
        static_cast<unsigned long long>(result.fetches), static_cast<unsigned long long>(result.historyFetches),
        static_cast<unsigned long long>(result.failedFetches));
    std::fflush(stdout);
    return result;
}

void measureCases(size_t nodes)
{
    const SourceEraCase unchanged { .nodes = nodes };
    const SourceEraResult quiet = measure("no change", unchanged, nullptr);
    SourceEraCase settings = unchanged;
    settings.changesOperators = true;
    measure("configuration", settings, &quiet);
    settings = unchanged;
    settings.changesBackends = true;
    measure("backend list", settings, &quiet);
    settings.changesOperators = true;
    settings.isAway = true;
    measure("away", settings, &quiet);
    settings.isRestored = true;
    measure("restored", settings, &quiet);
    settings.isRestored = false;
    settings.hasRestarts = true;
    measure("away, 5% restarted", settings, &quiet);
    settings.isRestored = true;
    measure("restored, 5% restarted", settings, &quiet);
    settings.hasLateRestarts = true;
    measure("restored, 5% restarted after it", settings, &quiet);
    settings.isRestored = false;
    measure("away, 5% restarted after it", settings, &quiet);
    settings.hasLateRestarts = false;
    settings.reachingNodes = fewNodes;
    settings.isRestored = false;
    measure("away, 5% restarted, 3 nodes reach the store", settings, &quiet);
    settings.isRestored = true;
    measure("restored, 5% restarted, 3 nodes reach the store", settings, &quiet);
}

/// A node's documents, with the real classes and the adapter's decoders.
struct Documents {
    ManualClock clock;
    BackendRegistry registry { clock, BackendRegistry::Settings(), platform::decodeBackend };
    OperatorDocument operators { platform::decodeOperators };

    explicit Documents(size_t nodes)
    {
        registry.takeDocument({ Revision { 1000 }, 4 }, SourceEraSizes::backendItems(nodes, 1));
        operators.take(
            { { Revision { 1000 }, 4 }, encodeItems(SourceEraSizes::operatorItems(nodes, 5)) }, std::nullopt);
        static_cast<void>(registry.list());
    }
};

/// @return CPU time in milliseconds of one call, the least of several rounds.
template <typename Prepare, typename Work> double cpuMilliseconds(Prepare&& prepare, Work&& work)
{
    double least = 1e9;
    for (int round = 0; round < cpuRounds; ++round) {
        auto state = prepare();
        const std::clock_t begin = std::clock();
        work(*state);
        least = std::min(least, 1000.0 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    }
    return least;
}

void measureCpu(size_t nodes)
{
    const auto prepare = [nodes] { return std::make_unique<Documents>(nodes); };
    const std::string ordinary = encodeItems(SourceEraSizes::backendItems(nodes, 2));
    const std::string copy = encodeItems(SourceEraSizes::backendItems(nodes, 0));
    const SourceVersion next { Revision { 1001 }, 4 };
    const SourceVersion restored { Revision { 960 }, 5 };
    const auto beginEra = [](Documents& node) {
        node.registry.setEraBegin(node.clock.now());
        node.clock.advance(afterEraBegin);
    };
    const double backends = cpuMilliseconds(prepare, [&](Documents& node) {
        node.registry.takeDocument(next, decodeItems(ordinary));
        static_cast<void>(node.registry.list());
    });
    const double restoredBackends = cpuMilliseconds(prepare, [&](Documents& node) {
        beginEra(node);
        node.registry.takeDocument(restored, decodeItems(copy));
        static_cast<void>(node.registry.list());
    });
    const double restoredList = cpuMilliseconds(prepare, [&](Documents& node) {
        beginEra(node);
        node.registry.takeList({ restored, decodeItems(copy) });
        static_cast<void>(node.registry.list());
    });
    const double operators = cpuMilliseconds(prepare, [&](Documents& node) {
        node.operators.take({ next, encodeItems(SourceEraSizes::operatorItems(nodes, 6)) }, std::nullopt);
    });
    const double restoredOperators = cpuMilliseconds(prepare, [&](Documents& node) {
        node.operators.take({ restored, encodeItems(SourceEraSizes::operatorItems(nodes, 4)) }, SteadyTime::max());
    });
    const SourceEraSizes sizes = SourceEraSizes::of(nodes);
    std::printf("{\"kind\":\"cpu\",\"nodes\":%zu,\"backends_ms\":%.3f,\"restored_backends_ms\":%.3f,"
                "\"restored_list_ms\":%.3f,\"operators_ms\":%.3f,\"restored_operators_ms\":%.3f,"
                "\"backends_bytes\":%llu,\"operators_bytes\":%llu,\"store_item_bytes\":%llu}\n",
        nodes, backends, restoredBackends, restoredList, operators, restoredOperators,
        static_cast<unsigned long long>(sizes.documents[0]), static_cast<unsigned long long>(sizes.documents[1]),
        static_cast<unsigned long long>(sizes.storeItem));
    std::fflush(stdout);
}

}

int main(int argc, char** argv)
{
    std::vector<size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoull(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = { 13, 342, 3500 };
    for (const size_t nodes : sizes) {
        measureCpu(nodes);
        measureCases(nodes);
    }
}
