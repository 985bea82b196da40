// Measures membership in virtual time. The state machines of a whole fleet run in one process and exchange sealed
// datagrams.
// Usage: MembershipMeasurement <chart file> <nodes> ...; prints one JSON object per line for each size.

#include "snipeweir/control/Envelope.h"
#include "snipeweir/membership/Membership.h"
#include "tests/support/FakeNetwork.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <json/json.h>
#include <numeric>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <xxhash.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t seed = 20'261'204;
constexpr size_t headerBytes = 28; // IP and UDP headers of a datagram.
constexpr std::chrono::milliseconds tickInterval { 100 };
constexpr size_t attachmentBytes = 24;
constexpr unsigned preloadThreads = 2;

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0, resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

/// @return Median, 99th percentile, maximum and number of the values.
Json::Value summarize(const std::vector<double>& values)
{
    Json::Value value;
    value["p50"] = percentile(values, 0.5);
    value["p99"] = percentile(values, 0.99);
    value["worst"] = values.empty() ? -1 : *std::max_element(values.begin(), values.end());
    value["samples"] = static_cast<Json::UInt64>(values.size());
    return value;
}

size_t dataCentresFor(size_t nodes) { return std::clamp<size_t>(nodes / 16, 3, 15); }

struct Traffic {
    uint64_t bytesOut = 0, bytesIn = 0, messagesOut = 0, messagesIn = 0;
};

struct SimulatedNode {
    Peer peer;
    ServiceName service;
    std::unique_ptr<Envelope> envelope;
    std::unique_ptr<Membership> membership;
    Traffic traffic;
    bool isRunning = true;
    bool isPaused = false;
    uint64_t startedSuspicions = 0;
};

/// Simulated fleet of a given size. Counts traffic and records when each node learns of a watched event.
class Simulation {
public:
    Simulation(size_t nodes, const StateChart& chart)
        : m_random(seed)
        , m_network(m_clock, seed)
        , m_dataCentres(dataCentresFor(nodes))
    {
        for (size_t i = 0; i < nodes; ++i)
            create(i, chart);
    }

    std::vector<std::unique_ptr<SimulatedNode>>& nodes() { return m_nodes; }
    ManualClock& clock() { return m_clock; }
    FakeNetwork& network() { return m_network; }
    Random& random() { return m_random; }
    size_t dataCentres() const { return m_dataCentres; }
    uint64_t decisionHash() const { return m_decisionHash; }

    /// Gives every node the whole member table, as a repair by a neighbour does, so that the measurement starts in the
    /// steady state. Sends and events are suppressed meanwhile.
    void preload()
    {
        std::map<DataCentreName, std::vector<std::string>> payloads;
        std::map<DataCentreName, std::vector<std::string>> records;
        for (const auto& node : m_nodes)
            records[node->peer.dataCentre].push_back(makeRecord(*node).encoded());
        for (const auto& [name, texts] : records) {
            constexpr size_t perPayload = 60;
            for (size_t first = 0; first < texts.size(); first += perPayload) {
                const size_t count = std::min(perPayload, texts.size() - first);
                CborWriter header;
                header.writeUnsigned(1).writeText(name.text()).writeUnsigned(0).writeUnsigned(0).writeArrayStart(count);
                std::string payload = header.take();
                for (size_t i = 0; i < count; ++i)
                    payload += texts[first + i];
                payloads[name].push_back(payload + CborWriter().writeArrayStart(0).take());
            }
        }
        m_isMuted = true;
        std::vector<std::thread> threads;
        for (unsigned thread = 0; thread < preloadThreads; ++thread) {
            threads.emplace_back([this, thread, &payloads] {
                for (size_t i = thread; i < m_nodes.size(); i += preloadThreads)
                    preloadNode(*m_nodes[i], payloads);
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        m_isMuted = false;
    }

    void run(std::chrono::milliseconds duration)
    {
        const SteadyTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            for (const auto& node : m_nodes) {
                if (node->isRunning && !node->isPaused)
                    node->membership->tick();
            }
            m_network.runUntil(std::min(end, m_clock.now() + tickInterval));
        }
    }

    void resetTraffic()
    {
        for (const auto& node : m_nodes)
            node->traffic = {};
    }

    void crash(SimulatedNode& node)
    {
        node.isRunning = false;
        m_network.detach(node.peer.controlAddress);
    }

    /// Starts to record when each node learns of this event. Clears the previous records.
    void watch(const std::string& kind, const VmId& subject)
    {
        m_watchedKind = kind;
        m_watchedSubject = subject.text();
        m_watchedSince = m_clock.now();
        m_learnDelays.clear();
    }

    /// @return Seconds from watch() until each node learned of the watched event; nodes that haven't are absent.
    const std::unordered_map<const SimulatedNode*, double>& learnDelays() const { return m_learnDelays; }

    /// @return The observers that declared each member dead, by VM name, since the map was last cleared.
    std::map<std::string, std::set<const SimulatedNode*>>& deaths() { return m_deaths; }

private:
    void create(size_t index, const StateChart& chart)
    {
        auto created = std::make_unique<SimulatedNode>();
        SimulatedNode& node = *created;
        const size_t dataCentreIndex = index % m_dataCentres;
        const std::string name = "r" + std::to_string(dataCentreIndex % 4) + "-dc" + std::to_string(dataCentreIndex);
        node.peer = { VmId(name + "-" + std::to_string(index / m_dataCentres)), DataCentreName(name),
            RegionName("region" + std::to_string(dataCentreIndex % 4)),
            Address { "10." + std::to_string(dataCentreIndex) + "." + std::to_string(index / m_dataCentres / 250) + "."
                    + std::to_string(index / m_dataCentres % 250),
                7300 },
            Incarnation { m_random.next() } };
        node.service = ServiceName("service-" + std::to_string(index % 110));
        EnvelopeSettings settings;
        settings.keys = { { 1, std::string(32, 'k') } };
        node.envelope
            = handleErrors([&] { return Envelope::create(settings, node.peer.vm, node.peer.incarnation, m_clock); },
                [](const Error& error) -> std::unique_ptr<Envelope> { throw std::runtime_error(error.message); });
        MembershipHooks hooks;
        hooks.send = [this, &node](const Address& to, ControlMessageType type, const std::string& payload) {
            send(node, to, type, payload);
        };
        hooks.pingAttachment = [] { return std::string(attachmentBytes, 'r'); };
        hooks.onEvent = [this, &node](const Event& event) { onEvent(node, event); };
        node.membership = handleErrors(
            [&] {
                return Membership::create(
                    MembershipSettings {}, node.peer, node.service, chart, m_clock, m_random.next(), hooks);
            },
            [](const Error& error) -> std::unique_ptr<Membership> { throw std::runtime_error(error.message); });
        m_network.attach(node.peer.controlAddress,
            [this, &node](const Address& from, const std::string& datagram) { receive(node, from, datagram); });
        m_nodes.push_back(std::move(created));
    }

    MemberRecord makeRecord(const SimulatedNode& node) const
    {
        MemberRecord record;
        record.peer = node.peer;
        record.service = node.service;
        record.start = static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch()).count());
        return record;
    }

    void preloadNode(SimulatedNode& node, const std::map<DataCentreName, std::vector<std::string>>& payloads)
    {
        const auto neighbour = std::find_if(m_nodes.begin(), m_nodes.end(),
            [&](const auto& other) { return other->peer.dataCentre == node.peer.dataCentre && other.get() != &node; });
        ControlMessage message { ControlMessageType::JoinReply, (*neighbour)->peer.vm, (*neighbour)->peer.incarnation,
            encodeRumours({ makeRecord(**neighbour).encoded() }, {}) };
        node.membership->receive((*neighbour)->peer.controlAddress, message);
        message.type = ControlMessageType::DataCentreDifference;
        for (const auto& [name, list] : payloads) {
            for (const std::string& payload : list) {
                message.payload = payload;
                node.membership->receive((*neighbour)->peer.controlAddress, message);
            }
        }
    }

    void send(SimulatedNode& node, const Address& to, ControlMessageType type, const std::string& payload)
    {
        if (m_isMuted)
            return;
        const std::string datagram = node.envelope->seal(type, payload);
        node.traffic.bytesOut += datagram.size() + headerBytes;
        ++node.traffic.messagesOut;
        m_decisionHash = XXH64(&to.port, sizeof(to.port), XXH64(payload.data(), payload.size(), m_decisionHash));
        m_network.send(node.peer.controlAddress, to, datagram);
    }

    static void receive(SimulatedNode& node, const Address& from, const std::string& datagram)
    {
        node.traffic.bytesIn += datagram.size() + headerBytes;
        ++node.traffic.messagesIn;
        handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(message, node.envelope->open(datagram));
                node.membership->receive(from, message);
                return true;
            },
            [](const Error&) { return false; });
    }

    void onEvent(SimulatedNode& node, const Event& event)
    {
        if (m_isMuted)
            return;
        if (event.kind == "member_suspected" && event.source == node.peer.vm.text())
            ++node.startedSuspicions;
        if (event.kind == "member_dead")
            m_deaths[event.subject].insert(&node);
        if (event.kind == m_watchedKind && event.subject == m_watchedSubject)
            m_learnDelays.try_emplace(&node, std::chrono::duration<double>(m_clock.now() - m_watchedSince).count());
    }

    ManualClock m_clock;
    Random m_random;
    FakeNetwork m_network;
    const size_t m_dataCentres;
    std::vector<std::unique_ptr<SimulatedNode>> m_nodes;
    bool m_isMuted = false;
    std::string m_watchedKind;
    std::string m_watchedSubject;
    SteadyTime m_watchedSince;
    std::unordered_map<const SimulatedNode*, double> m_learnDelays;
    std::map<std::string, std::set<const SimulatedNode*>> m_deaths;
    uint64_t m_decisionHash = 0;
};

/// @param isBridge Whether to summarize the bridges or the ordinary nodes.
/// @param seconds Time since the traffic counters were reset.
Json::Value summarizeTraffic(Simulation& simulation, bool isBridge, double seconds)
{
    double bytesIn = 0, bytesOut = 0, messagesIn = 0, messagesOut = 0, worst = 0;
    size_t count = 0;
    for (const auto& node : simulation.nodes()) {
        if (!node->isRunning || node->membership->isBridge() != isBridge)
            continue;
        ++count;
        const Traffic& traffic = node->traffic;
        bytesIn += static_cast<double>(traffic.bytesIn);
        bytesOut += static_cast<double>(traffic.bytesOut);
        messagesIn += static_cast<double>(traffic.messagesIn);
        messagesOut += static_cast<double>(traffic.messagesOut);
        worst = std::max(worst, static_cast<double>(traffic.bytesIn + traffic.bytesOut));
    }
    const double scale = count == 0 ? 0 : 1 / (seconds * static_cast<double>(count));
    Json::Value value;
    value["nodes"] = static_cast<Json::UInt64>(count);
    value["bytes_in_per_s"] = bytesIn * scale;
    value["bytes_out_per_s"] = bytesOut * scale;
    value["messages_in_per_s"] = messagesIn * scale;
    value["messages_out_per_s"] = messagesOut * scale;
    value["worst_node_bytes_per_s"] = worst / seconds;
    return value;
}

/// Measures how long it takes until the other nodes learn of a crash or leave. The nodes crash or leave one at a time.
/// @param kind "member_dead" for crashes, "member_leaving" for leaves.
/// @param wait Time after each event within which observers must learn of it.
Json::Value measureEventPropagation(
    Simulation& simulation, const std::string& kind, int count, std::chrono::milliseconds wait)
{
    std::vector<double> local, everywhere;
    uint64_t missed = 0;
    simulation.resetTraffic();
    for (int i = 0; i < count; ++i) {
        SimulatedNode* node = nullptr;
        do {
            node = simulation.nodes()[simulation.random().below(simulation.nodes().size())].get();
        } while (!node->isRunning);
        simulation.watch(kind, node->peer.vm);
        if (kind == "member_dead")
            simulation.crash(*node);
        else
            node->membership->leave();
        simulation.run(wait);
        for (const auto& observer : simulation.nodes()) {
            if (!observer->isRunning || observer.get() == node)
                continue;
            const auto delay = simulation.learnDelays().find(observer.get());
            if (delay == simulation.learnDelays().end()) {
                ++missed;
                continue;
            }
            everywhere.push_back(delay->second);
            if (observer->peer.dataCentre == node->peer.dataCentre)
                local.push_back(delay->second);
        }
        // Removes a node that left, so that it is not selected again.
        if (kind != "member_dead")
            simulation.crash(*node);
    }
    Json::Value value;
    value["events"] = count;
    value["own_data_centre_s"] = summarize(local);
    value["everywhere_s"] = summarize(everywhere);
    value["observers_not_told_in_time"] = static_cast<Json::UInt64>(missed);
    return value;
}

/// Counts suspicions and false deaths of nodes that run the whole time.
Json::Value measureFalseAlarms(Simulation& simulation, std::chrono::seconds duration)
{
    simulation.deaths().clear();
    size_t running = 0;
    for (const auto& node : simulation.nodes()) {
        node->startedSuspicions = 0;
        running += node->isRunning ? 1 : 0;
    }
    simulation.run(duration);
    uint64_t suspicions = 0;
    for (const auto& node : simulation.nodes())
        suspicions += node->startedSuspicions;
    size_t falseDeaths = 0, mostObservers = 0;
    for (const auto& node : simulation.nodes()) {
        const auto death = simulation.deaths().find(node->peer.vm.text());
        if (!node->isRunning || node->isPaused || death == simulation.deaths().end())
            continue;
        ++falseDeaths;
        mostObservers = std::max(mostObservers, death->second.size());
    }
    Json::Value value;
    value["seconds"] = static_cast<Json::Int64>(duration.count());
    value["suspicions_per_node_hour"]
        = static_cast<double>(suspicions) * 3600 / static_cast<double>(running) / static_cast<double>(duration.count());
    value["false_deaths"] = static_cast<Json::UInt64>(falseDeaths);
    value["most_observers_of_a_false_death"] = static_cast<Json::UInt64>(mostObservers);
    return value;
}

/// Pauses about 2% of the nodes for 10 s and counts false deaths of the other nodes after they resume.
Json::Value measurePauses(Simulation& simulation)
{
    std::vector<SimulatedNode*> paused;
    for (const auto& node : simulation.nodes()) {
        if (node->isRunning && simulation.random().below(50) == 0)
            paused.push_back(node.get());
    }
    if (paused.empty())
        paused.push_back(simulation.nodes().back().get());
    for (SimulatedNode* node : paused) {
        node->isPaused = true;
        simulation.network().pause(node->peer.controlAddress);
    }
    simulation.run(10s);
    simulation.deaths().clear();
    for (SimulatedNode* node : paused) {
        node->isPaused = false;
        node->membership->onPaused();
        simulation.network().resume(node->peer.controlAddress);
    }
    simulation.run(15s);
    size_t falseDeaths = 0;
    for (const auto& node : simulation.nodes()) {
        const bool wasPaused = std::find(paused.begin(), paused.end(), node.get()) != paused.end();
        if (node->isRunning && !wasPaused && simulation.deaths().contains(node->peer.vm.text()))
            ++falseDeaths;
    }
    Json::Value value;
    value["paused_nodes"] = static_cast<Json::UInt64>(paused.size());
    value["pause_s"] = 10;
    value["false_deaths_of_nodes_not_paused"] = static_cast<Json::UInt64>(falseDeaths);
    return value;
}

/// Baseline of full-state gossip: each second every node sends its whole heartbeat table to one random node.
class FullStateGossip {
public:
    explicit FullStateGossip(size_t nodes)
        : m_nodes(nodes)
        , m_random(seed)
    {
    }

    /// Measures bytes, messages and CPU of one node by sealing, opening and merging real tables.
    Json::Value measureCost() const
    {
        constexpr size_t perDatagram = 30;
        ManualClock clock;
        EnvelopeSettings settings;
        settings.keys = { { 1, std::string(32, 'k') } };
        settings.maxMessagesBurstCount = 1'000'000;
        const auto create = [&](const std::string& vm) {
            return handleErrors([&] { return Envelope::create(settings, VmId(vm), Incarnation { 1 }, clock); },
                [](const Error& error) -> std::unique_ptr<Envelope> { throw std::runtime_error(error.message); });
        };
        const auto sender = create("r0-dc0-0");
        const auto receiver = create("r0-dc0-1");
        std::unordered_map<std::string, uint64_t> table;
        double bytes = 0, messages = 0;
        constexpr int rounds = 20;
        const double cpuBefore = cpuSeconds();
        for (int round = 0; round < rounds; ++round) {
            for (size_t first = 0; first < m_nodes; first += perDatagram) {
                CborWriter writer;
                for (size_t i = first; i < std::min(first + perDatagram, m_nodes); ++i)
                    writer.writeText("r0-dc" + std::to_string(i % 15) + "-" + std::to_string(i / 15))
                        .writeUnsigned(0x9E3779B97F4A7C15ULL + i)
                        .writeUnsigned(100'000 + static_cast<uint64_t>(round));
                const std::string datagram = sender->seal(ControlMessageType::Rumours, writer.take());
                bytes += static_cast<double>(datagram.size() + headerBytes);
                messages += 1;
                handleErrors(
                    [&]() -> Result<bool> {
                        BOOST_LEAF_AUTO(message, receiver->open(datagram));
                        CborReader reader(message.payload);
                        while (const auto vm = reader.readText()) {
                            reader.readUnsigned();
                            uint64_t& known = table[std::string(*vm)];
                            known = std::max(known, reader.readUnsigned().value_or(0));
                        }
                        return true;
                    },
                    [](const Error& error) -> bool { throw std::runtime_error(error.message); });
            }
        }
        Json::Value value;
        value["bytes_in_and_out_per_s"] = 2 * bytes / rounds;
        value["messages_in_and_out_per_s"] = 2 * messages / rounds;
        value["cpu_percent_of_a_core"] = 100 * (cpuSeconds() - cpuBefore) / rounds;
        return value;
    }

    /// Measures the time until a crash is detected, and false deaths, at 5% loss.
    /// @param crashes Number of nodes that crash at the same time.
    Json::Value measureDetection(size_t crashes)
    {
        // A member is considered dead when its heartbeat has not advanced for this many rounds.
        constexpr uint32_t silentRounds = 12;
        std::vector<std::vector<uint32_t>> heartbeats(m_nodes, std::vector<uint32_t>(m_nodes, 1));
        std::vector<std::vector<uint32_t>> advancedAt(m_nodes, std::vector<uint32_t>(m_nodes, 0));
        constexpr uint32_t warmUp = 30;
        constexpr uint32_t rounds = 90;
        constexpr double loss = 0.05;
        std::vector<double> detection;
        uint64_t falseDeaths = 0;
        std::vector<std::vector<bool>> isConsideredDead(m_nodes, std::vector<bool>(m_nodes, false));
        for (uint32_t round = 1; round <= rounds; ++round) {
            const size_t crashedCount = round > warmUp ? crashes : 0;
            for (size_t node = crashedCount; node < m_nodes; ++node) {
                heartbeats[node][node] = round;
                advancedAt[node][node] = round;
                const size_t to = m_random.below(m_nodes);
                if (to == node || to < crashedCount)
                    continue;
                constexpr size_t perDatagram = 30;
                for (size_t subject = 0; subject < m_nodes; ++subject) {
                    // Whole datagrams are lost, so that all their heartbeats are missing.
                    if (subject % perDatagram == 0 && m_random.nextDouble() < loss) {
                        subject += perDatagram - 1;
                        continue;
                    }
                    if (heartbeats[node][subject] > heartbeats[to][subject]) {
                        heartbeats[to][subject] = heartbeats[node][subject];
                        advancedAt[to][subject] = round;
                    }
                }
            }
            for (size_t node = crashedCount; node < m_nodes; ++node) {
                for (size_t subject = 0; subject < m_nodes; ++subject) {
                    const bool isSilent = round - advancedAt[node][subject] >= silentRounds;
                    if (isSilent && !isConsideredDead[node][subject]) {
                        if (subject < crashedCount)
                            detection.push_back(round - warmUp);
                        else if (round > warmUp / 2)
                            ++falseDeaths;
                    }
                    isConsideredDead[node][subject] = isSilent;
                }
            }
        }
        Json::Value value;
        value["silent_rounds"] = silentRounds;
        value["detection_s"] = summarize(detection);
        value["false_deaths_by_all_observers"] = static_cast<Json::UInt64>(falseDeaths);
        return value;
    }

private:
    const size_t m_nodes;
    Random m_random;
};

Json::Value measure(size_t nodes, const StateChart& chart)
{
    const double memoryBefore = residentBytes();
    Simulation simulation(nodes, chart);
    simulation.preload();
    const double memoryPerNode = (residentBytes() - memoryBefore) / static_cast<double>(nodes);
    Json::Value value;
    value["nodes"] = static_cast<Json::UInt64>(nodes);
    value["data_centres"] = static_cast<Json::UInt64>(simulation.dataCentres());
    value["memory_bytes_per_node"] = memoryPerNode;

    // Steady state.
    simulation.run(10s);
    simulation.resetTraffic();
    constexpr std::chrono::seconds steady = 20s;
    const double cpuBefore = cpuSeconds();
    simulation.run(steady);
    const double seconds = std::chrono::duration<double>(steady).count();
    value["cpu_percent_of_a_core"] = 100 * (cpuSeconds() - cpuBefore) / seconds / static_cast<double>(nodes);
    value["ordinary"] = summarizeTraffic(simulation, false, seconds);
    value["bridge"] = summarizeTraffic(simulation, true, seconds);

    // In large fleets, few events give enough samples, because each event has many observers.
    const int events = nodes >= 1000 ? 3 : 8;
    value["crash"] = measureEventPropagation(simulation, "member_dead", nodes < 50 ? 3 : events, 15s);
    value["leave"] = measureEventPropagation(simulation, "member_leaving", nodes < 50 ? 2 : events, 5s);
    simulation.run(10s);

    FakeNetwork::Faults faults;
    faults.lossProbability = 0.05;
    faults.maxDelay = 10ms;
    simulation.network().setFaults(faults);
    simulation.run(5s);
    simulation.resetTraffic();
    const auto lossTime = nodes >= 1000 ? 20s : 300s;
    value["loss_5_percent"] = measureFalseAlarms(simulation, lossTime);
    const double lossSeconds = std::chrono::duration<double>(lossTime).count();
    value["loss_5_percent"]["ordinary"] = summarizeTraffic(simulation, false, lossSeconds);
    value["loss_5_percent"]["bridge"] = summarizeTraffic(simulation, true, lossSeconds);
    simulation.network().setFaults({});
    simulation.run(5s);
    value["paused_observers"] = measurePauses(simulation);

    FullStateGossip baseline(nodes);
    value["full_state_gossip"] = baseline.measureCost();
    // Detection of the baseline is not run above this size, because its work grows with the cube of the size.
    constexpr size_t maxBaselineNodes = 500;
    if (nodes <= maxBaselineNodes)
        value["full_state_gossip"]["loss_5_percent"] = baseline.measureDetection(std::max<size_t>(1, nodes / 50));
    value["seed"] = static_cast<Json::UInt64>(seed);
    value["decision_hash"] = static_cast<Json::UInt64>(simulation.decisionHash());
    return value;
}

/// @return One object for each role, with the figures that scripts/capacity.py extrapolates.
std::vector<Json::Value> summaryLinesByRole(const Json::Value& size)
{
    std::vector<Json::Value> lines;
    for (const auto& [role, key] : { std::pair("node", "ordinary"), std::pair("bridge", "bridge") }) {
        const Json::Value& traffic = size[key];
        if (traffic["nodes"].asUInt64() == 0)
            continue;
        Json::Value line;
        line["role"] = role;
        line["nodes"] = size["nodes"];
        line["bytes_per_s"] = traffic["bytes_in_per_s"].asDouble() + traffic["bytes_out_per_s"].asDouble();
        line["messages_per_s"] = traffic["messages_in_per_s"].asDouble() + traffic["messages_out_per_s"].asDouble();
        line["cpu_percent"] = size["cpu_percent_of_a_core"];
        line["memory_bytes"] = size["memory_bytes_per_node"];
        lines.push_back(std::move(line));
    }
    const Json::Value& gossip = size["full_state_gossip"];
    Json::Value line;
    line["role"] = "full_state_gossip";
    line["nodes"] = size["nodes"];
    line["bytes_per_s"] = gossip["bytes_in_and_out_per_s"];
    line["messages_per_s"] = gossip["messages_in_and_out_per_s"];
    line["cpu_percent"] = gossip["cpu_percent_of_a_core"];
    lines.push_back(std::move(line));
    return lines;
}

}

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "Usage: MembershipMeasurement <chart file> <nodes> ...\n";
        return 2;
    }
    const std::string path = argv[1];
    return handleErrors(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(chart, StateChart::load(path));
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            builder["precision"] = 5;
            for (int i = 2; i < argc; ++i) {
                const Json::Value size = measure(std::stoul(argv[i]), chart);
                std::cout << Json::writeString(builder, size) << std::endl;
                for (const Json::Value& line : summaryLinesByRole(size))
                    std::cout << Json::writeString(builder, line) << std::endl;
            }
            return 0;
        },
        [](const Error& error) {
            std::cerr << error.message << "\n";
            return 1;
        });
}
