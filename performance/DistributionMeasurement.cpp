// Measures document distribution in virtual time. The state machines of a whole fleet run in one process and exchange
// encoded messages over a simulated network with delays and loss. A stand-in replaces the configuration service.
// Prints one JSON object per line.
// Usage: DistributionMeasurement <path of charts/document.json> [nodes ...]

#include "tests/distribution/SimulatedFleet.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <xxhash.h>

using namespace snipeweir;
using namespace snipeweir::simulation;
using namespace std::chrono_literals;

namespace {

constexpr auto configuration = DocumentName::Configuration;
constexpr uint64_t seed = 20261204;
constexpr size_t configurationBytes = 65'536;
constexpr size_t largestDocumentBytes = 1'000'000;

// Size of one VM's entry in the VM list, from section 7 of the design page.
constexpr size_t vmEntryBytes = 190;

double seconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

double cpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

double heapBytes() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); }

std::string chartPath;

StateChart documentChart()
{
    return handleErrors([] { return StateChart::load(chartPath); },
        [](const Error& error) -> StateChart { throw std::runtime_error(error.message); });
}

std::string makeDocumentText(size_t bytes)
{
    Random random(seed);
    std::string text;
    while (text.size() < bytes)
        text += "{\"vm\":\"vm-" + std::to_string(random.below(1'000'000)) + "\",\"address\":\"10."
            + std::to_string(random.below(256)) + "." + std::to_string(random.below(256))
            + "\",\"state\":\"live\",\"public_port\":" + std::to_string(random.below(60'000)) + "},";
    text.resize(bytes);
    return text;
}

// Changes one number in the middle of the text, as a typical edit by an operator does.
std::string editDocumentText(std::string text, uint64_t revision)
{
    const std::string digits = std::to_string(1'000'000 + revision);
    return text.replace(text.size() / 2, digits.size(), digits);
}

// Sorts the values and returns the one at the given fraction; 0 if there are none.
double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<size_t>(fraction * static_cast<double>(values.size())))];
}

FleetSettings fleetSettings(size_t nodes)
{
    FleetSettings settings;
    settings.nodes = nodes;
    settings.dataCentres = std::clamp<size_t>(nodes / 33, 3, 15);
    settings.regions = std::clamp<size_t>(settings.dataCentres / 3, 1, 4);
    settings.tickInterval = 100ms;
    settings.faults.loss = 0.01;
    settings.reads.fleetNodesCount = nodes;
    settings.seed = seed;
    return settings;
}

struct TrafficTotals {
    uint64_t bytes = 0;
    uint64_t messages = 0;
};

TrafficTotals trafficTotals(const SimulatedFleet::Node& node)
{
    return { node.sent.bytes + node.received.bytes, node.sent.messages + node.received.messages };
}

// Measures one fleet size and prints the results.
class Measurement {
public:
    explicit Measurement(size_t nodes)
        : m_nodes(nodes)
        , m_heapBefore(heapBytes())
        , m_fleet(fleetSettings(nodes), documentChart())
        , m_text(makeDocumentText(configurationBytes))
    {
        m_fleet.platform().publish(configuration, m_revision, m_text);
        m_fleet.platform().publish(
            DocumentName::Vms, 1, makeDocumentText(std::min(nodes * vmEntryBytes, largestDocumentBytes)));
    }

    void run()
    {
        measureFleetStart();
        m_fleet.run(10s);
        measureSteadyState();
        measureChanges();
        measureDataCentreRestart();
        measureServiceOutage();
        std::printf("{\"kind\":\"decisions\",\"nodes\":%zu,\"hash\":\"%016llx\"}\n", m_nodes,
            static_cast<unsigned long long>(decisionHash()));
        std::fflush(stdout);
    }

private:
    void printPlatformCalls(const char* phase, double duration, double recovery)
    {
        std::printf("{\"kind\":\"platform\",\"design\":\"readers\",\"phase\":\"%s\",\"nodes\":%zu,\"calls_per_s\":%.2f,"
                    "\"peak_calls_per_s\":%zu,\"waiting_calls\":%zu,\"recovery_s\":%.2f}\n",
            phase, m_nodes, static_cast<double>(m_fleet.platform().callCount()) / duration,
            m_fleet.platform().peakCallsPerSecond(), m_fleet.platform().waitingCount(), recovery);
        m_fleet.platform().resetCalls();
    }

    // All nodes start at the same time without any document.
    void measureFleetStart()
    {
        const auto elapsed = m_fleet.runUntil([&] { return m_fleet.haveCaughtUp(); }, 60s);
        m_fleet.run(60s - elapsed.value_or(60s));
        printPlatformCalls("fleet_restart", 60, elapsed ? seconds(*elapsed) : -1);
    }

    void measureSteadyState()
    {
        constexpr auto duration = 30s;
        std::vector<TrafficTotals> before;
        for (size_t i = 0; i < m_nodes; ++i)
            before.push_back(trafficTotals(m_fleet.node(i)));
        const auto readers = m_fleet.indexesOf(ReaderRole::Reader);
        m_fleet.platform().resetCalls();
        const double cpuBefore = cpuSeconds();
        m_fleet.run(duration);
        const double cpu = (cpuSeconds() - cpuBefore) / seconds(duration) / static_cast<double>(m_nodes) * 100;
        const double memory = (heapBytes() - m_heapBefore) / static_cast<double>(m_nodes);
        printPlatformCalls("steady", seconds(duration), 0);

        // A node that is both reader and bridge counts in both roles.
        for (const std::string role : { "node", "reader", "bridge" }) {
            double bytes = 0;
            double messages = 0;
            double count = 0;
            for (size_t i = 0; i < m_nodes; ++i) {
                const bool isReader = std::find(readers.begin(), readers.end(), i) != readers.end();
                const bool isBridge = m_fleet.node(i).isBridge();
                if (role == "node" ? (isReader || isBridge) : (role == "reader" ? !isReader : !isBridge))
                    continue;
                const TrafficTotals after = trafficTotals(m_fleet.node(i));
                bytes += static_cast<double>(after.bytes - before[i].bytes);
                messages += static_cast<double>(after.messages - before[i].messages);
                ++count;
            }
            if (count == 0)
                continue;
            std::printf(
                "{\"kind\":\"steady\",\"role\":\"%s\",\"nodes\":%zu,\"bytes_per_s\":%.1f,\"messages_per_s\":%.2f,"
                "\"cpu_percent\":%.4f,\"memory_bytes\":%.0f}\n",
                role.c_str(), m_nodes, bytes / count / seconds(duration), messages / count / seconds(duration), cpu,
                memory);
        }
    }

    void measureChanges()
    {
        constexpr int changes = 4;
        constexpr auto interval = 5s;
        std::vector<double> latencies;
        size_t missing = 0;
        std::vector<TrafficTotals> before;
        for (size_t i = 0; i < m_nodes; ++i)
            before.push_back(trafficTotals(m_fleet.node(i)));
        m_fleet.platform().resetCalls();
        const double cpuBefore = cpuSeconds();
        for (int change = 0; change < changes; ++change) {
            const SteadyTime publishedAt = m_fleet.now();
            m_text = editDocumentText(m_text, ++m_revision);
            m_fleet.platform().publish(configuration, m_revision, m_text);
            m_fleet.run(interval);
            for (size_t i = 0; i < m_nodes; ++i) {
                const auto& node = m_fleet.node(i);
                if (node.lastVersion[indexOf(configuration)].revision.value == m_revision)
                    latencies.push_back(seconds(node.acceptedAt[indexOf(configuration)] - publishedAt) * 1000);
                else
                    ++missing;
            }
        }
        const double cpu = (cpuSeconds() - cpuBefore) / static_cast<double>(m_nodes) / changes;
        std::vector<double> bytes;
        double messages = 0;
        for (size_t i = 0; i < m_nodes; ++i) {
            const TrafficTotals after = trafficTotals(m_fleet.node(i));
            bytes.push_back(static_cast<double>(after.bytes - before[i].bytes) / changes);
            messages += static_cast<double>(after.messages - before[i].messages) / changes;
        }
        double sum = 0;
        for (const double value : bytes)
            sum += value;
        std::printf(
            "{\"kind\":\"change\",\"design\":\"readers\",\"nodes\":%zu,\"data_centres\":%zu,\"document_bytes\":%zu,"
            "\"p50_ms\":%.1f,\"p99_ms\":%.1f,\"worst_ms\":%.1f,\"missing\":%zu,\"bytes_per_node\":%.0f,"
            "\"worst_bytes_per_node\":%.0f,\"messages_per_node\":%.1f,\"cpu_ms_per_node\":%.3f,"
            "\"window_s\":%.0f}\n",
            m_nodes, fleetSettings(m_nodes).dataCentres, m_text.size(), percentile(latencies, 0.5),
            percentile(latencies, 0.99), percentile(latencies, 1), missing, sum / static_cast<double>(m_nodes),
            percentile(bytes, 1), messages / static_cast<double>(m_nodes), cpu * 1000, seconds(interval));
        printPlatformCalls("change", changes * seconds(interval), 0);
    }

    void measureDataCentreRestart()
    {
        const size_t dataCentres = fleetSettings(m_nodes).dataCentres;
        for (size_t i = 0; i < m_nodes; i += dataCentres)
            m_fleet.stop(i);
        m_fleet.refreshMembers();
        m_fleet.run(5s);
        for (size_t i = 0; i < m_nodes; i += dataCentres)
            m_fleet.restart(i);
        m_fleet.refreshMembers();
        m_fleet.platform().resetCalls();
        const auto elapsed = m_fleet.runUntil([&] { return m_fleet.haveCaughtUp(); }, 30s);
        m_fleet.run(30s - elapsed.value_or(30s));
        printPlatformCalls("data_centre_restart", 30, elapsed ? seconds(*elapsed) : -1);
    }

    void measureServiceOutage()
    {
        m_fleet.platform().setMode(SimulatedPlatform::Mode::Down);
        m_fleet.platform().resetCalls();
        m_fleet.run(60s);
        printPlatformCalls("service_down", 60, 0);
        m_text = editDocumentText(m_text, ++m_revision);
        m_fleet.platform().publish(configuration, m_revision, m_text);
        m_fleet.platform().setMode(SimulatedPlatform::Mode::Up);
        const auto elapsed = m_fleet.runUntil([&] { return m_fleet.agreeOn(configuration, m_revision); }, 30s);
        m_fleet.run(30s - elapsed.value_or(30s));
        printPlatformCalls("service_back", 30, elapsed ? seconds(*elapsed) : -1);
    }

    // The hash differs if any node accepted another revision, at another time or with other messages.
    uint64_t decisionHash()
    {
        uint64_t hash = 0;
        for (size_t i = 0; i < m_nodes; ++i) {
            const auto& node = m_fleet.node(i);
            const std::array<uint64_t, 4> hashInput { node.lastVersion[0].hash, node.sent.bytes, node.received.messages,
                static_cast<uint64_t>(node.acceptedAt[0].time_since_epoch().count()) };
            hash = XXH3_64bits_withSeed(hashInput.data(), sizeof(hashInput), hash);
        }
        return hash;
    }

    const size_t m_nodes;
    const double m_heapBefore;
    SimulatedFleet m_fleet;
    std::string m_text;
    uint64_t m_revision = 1;
};

// Baseline: each node holds its own watch on both documents and reads again as soon as a watch ends. The service
// handles at most 2,000 calls/s; further calls wait in its queue.
void measureEveryNodeWatching(size_t nodes)
{
    constexpr double serviceRate = 2000;
    constexpr double watchSeconds = 9;
    Random random(seed);
    std::vector<double> latencies;
    std::vector<double> calls;
    for (size_t i = 0; i < nodes; ++i) {
        const double respondedAt = static_cast<double>(i) / serviceRate + 0.004 * random.nextDouble();
        latencies.push_back(respondedAt * 1000);
        calls.push_back(respondedAt);
    }

    // In steady operation, the first end of each watch is at a random time within the watch timeout.
    std::vector<double> steady;
    for (size_t i = 0; i < 2 * nodes; ++i) {
        for (double at = watchSeconds * random.nextDouble(); at < 60; at += watchSeconds)
            steady.push_back(at);
    }
    const double inFirstSecond
        = static_cast<double>(std::count_if(calls.begin(), calls.end(), [](double at) { return at < 1; }));
    std::printf("{\"kind\":\"change\",\"design\":\"every_node_watches\",\"nodes\":%zu,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
                "\"worst_ms\":%.1f,\"bytes_per_node\":%zu,\"messages_per_node\":2}\n",
        nodes, percentile(latencies, 0.5), percentile(latencies, 0.99), percentile(latencies, 1), configurationBytes);
    std::printf("{\"kind\":\"platform\",\"design\":\"every_node_watches\",\"phase\":\"steady\",\"nodes\":%zu,"
                "\"calls_per_s\":%.1f,\"waiting_calls\":%zu}\n",
        nodes, static_cast<double>(steady.size()) / 60, 2 * nodes);
    std::printf("{\"kind\":\"platform\",\"design\":\"every_node_watches\",\"phase\":\"change\",\"nodes\":%zu,"
                "\"peak_calls_per_s\":%.0f,\"demanded_calls_per_s\":%zu,\"waiting_calls\":%zu}\n",
        nodes, inFirstSecond + static_cast<double>(steady.size()) / 60, nodes, 2 * nodes);
}

// Baseline: each node sends its whole compressed state to one random member a second; bridges also to another data
// centre. Uses the same datagram sizes and delays as the measured design.
void measureFullStateGossip(size_t nodes)
{
    const FleetSettings settings = fleetSettings(nodes);
    const auto frame = handleErrors([] { return compressDocument(makeDocumentText(configurationBytes), {}); },
        [](const Error&) { return std::string(); });
    const size_t datagrams = (frame.size() + documentChunkBytes - 1) / documentChunkBytes;
    const double stateBytes = static_cast<double>(
        frame.size() + datagrams * (SimulatedFleet::datagramOverheadBytes + maxPayloadBytes - documentChunkBytes));

    // A state is accepted only if all its datagrams arrive.
    double deliveryProbability = 1;
    for (size_t i = 0; i < datagrams; ++i)
        deliveryProbability *= 1 - settings.faults.loss;
    Random random(seed);
    constexpr double never = 1e9;
    std::vector<double> informedAt(nodes, never);
    for (size_t i = 0; i < std::min(nodes, 3 * settings.dataCentres); ++i)
        informedAt[i] = 0.004;
    std::vector<std::pair<double, size_t>> rounds;
    for (size_t i = 0; i < nodes; ++i) {
        const double phase = random.nextDouble();
        for (int round = 0; round < 60; ++round)
            rounds.emplace_back(phase + round, i);
    }
    std::sort(rounds.begin(), rounds.end());
    for (const auto& [at, from] : rounds) {
        const size_t dataCentre = from % settings.dataCentres;
        const size_t members = (nodes - dataCentre + settings.dataCentres - 1) / settings.dataCentres;
        const size_t to = dataCentre + settings.dataCentres * random.below(members);
        if (informedAt[from] <= at && random.nextDouble() < deliveryProbability)
            informedAt[to] = std::min(informedAt[to], at + seconds(settings.intraDataCentreDelay));
    }
    std::vector<double> latencies;
    latencies.reserve(nodes);
    for (const double at : informedAt)
        latencies.push_back(at * 1000);
    const auto missing = static_cast<size_t>(std::count(informedAt.begin(), informedAt.end(), never));
    std::printf("{\"kind\":\"change\",\"design\":\"full_state_gossip\",\"nodes\":%zu,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
                "\"worst_ms\":%.1f,\"missing\":%zu}\n",
        nodes, percentile(latencies, 0.5), percentile(latencies, 0.99), percentile(latencies, 1), missing);
    std::printf("{\"kind\":\"steady\",\"design\":\"full_state_gossip\",\"role\":\"full_state_gossip\",\"nodes\":%zu,"
                "\"bytes_per_s\":%.0f,\"messages_per_s\":%zu}\n",
        nodes, 2 * stateBytes, 2 * datagrams);
}

// Measures memory with both documents at their maximum size and all previous texts, cached frames and deltas held.
void measureLargestDocuments()
{
    constexpr size_t nodes = 13;
    const double before = heapBytes();
    auto settings = fleetSettings(nodes);
    SimulatedFleet fleet(settings, documentChart());
    std::string text = makeDocumentText(largestDocumentBytes);
    for (uint64_t revision = 1; revision <= 8; ++revision) {
        text = editDocumentText(text, revision);
        for (const auto name : allDocuments)
            fleet.platform().publish(name, revision, text);
        fleet.run(20s);
    }
    const SteadyTime publishedAt = fleet.now();
    std::vector<uint64_t> bytesBefore;
    for (size_t i = 0; i < nodes; ++i)
        bytesBefore.push_back(trafficTotals(fleet.node(i)).bytes);
    const double cpuBefore = cpuSeconds();
    fleet.platform().publish(configuration, 9, editDocumentText(text, 9));
    const auto elapsed = fleet.runUntil([&] { return fleet.agreeOn(configuration, 9); }, 10s);
    const double cpu = cpuSeconds() - cpuBefore;
    double worst = 0;
    for (size_t i = 0; i < nodes; ++i)
        worst = std::max(worst, static_cast<double>(trafficTotals(fleet.node(i)).bytes - bytesBefore[i]));
    std::printf("{\"kind\":\"largest_documents\",\"nodes\":%zu,\"document_bytes\":%zu,\"memory_bytes\":%.0f,"
                "\"worst_ms\":%.0f,\"worst_bytes_per_node\":%.0f,\"cpu_ms_per_node\":%.2f}\n",
        nodes, largestDocumentBytes, (heapBytes() - before) / nodes,
        elapsed ? seconds(fleet.now() - publishedAt) * 1000 : -1, worst, cpu * 1000 / nodes);
}

// Measures the transfer of a 1 MB text that shares nothing with the previous one, so that every node pulls it in
// chunks. The three data centres have the design size.
void measureFullText()
{
    constexpr size_t nodes = 699;
    auto settings = fleetSettings(nodes);
    settings.dataCentres = 3;
    settings.regions = 1;
    SimulatedFleet fleet(settings, documentChart());
    for (const auto name : allDocuments)
        fleet.platform().publish(name, 1, "first");
    fleet.run(20s);
    std::vector<uint64_t> bytesBefore;
    for (size_t i = 0; i < nodes; ++i)
        bytesBefore.push_back(trafficTotals(fleet.node(i)).bytes);
    fleet.platform().publish(configuration, 2, makeDocumentText(largestDocumentBytes));
    const auto elapsed = fleet.runUntil([&] { return fleet.agreeOn(configuration, 2); }, 30s);
    double sum = 0;
    double worst = 0;
    for (size_t i = 0; i < nodes; ++i) {
        const auto bytes = static_cast<double>(trafficTotals(fleet.node(i)).bytes - bytesBefore[i]);
        sum += bytes;
        worst = std::max(worst, bytes);
    }
    std::printf("{\"kind\":\"full_text\",\"nodes\":%zu,\"data_centres\":3,\"document_bytes\":%zu,\"worst_ms\":%.0f,"
                "\"bytes_per_node\":%.0f,\"worst_bytes_per_node\":%.0f}\n",
        nodes, largestDocumentBytes, elapsed ? seconds(*elapsed) * 1000 : -1, sum / nodes, worst);
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2) {
        std::fprintf(stderr, "Usage: DistributionMeasurement <path of charts/document.json> [nodes ...]\n");
        return 2;
    }
    chartPath = arguments[1];
    std::vector<size_t> sizes;
    for (int i = 2; i < argumentCount; ++i)
        sizes.push_back(std::stoul(arguments[i]));
    if (sizes.empty())
        sizes = { 13, 50, 100, 200, 500, 1000, 2000, 3500 };
    measureLargestDocuments();
    measureFullText();
    for (const size_t nodes : sizes) {
        Measurement(nodes).run();
        measureEveryNodeWatching(nodes);
        measureFullStateGossip(nodes);
        std::fflush(stdout);
    }
    return 0;
}
