#pragma once

#include "snipeweir/distribution/DocumentCodec.h"
#include "tests/distribution/SimulatedPlatform.h"

#include <queue>
#include <stdexcept>

namespace snipeweir::simulation {

/// Faults of the simulated network, as probabilities per datagram.
struct NetworkFaults {
    double loss = 0;
    double duplicate = 0;
    double delay = 0; ///< Delivered up to 500 ms late, which also reorders datagrams.
    double truncation = 0; ///< Cut off at a random length.
};

/// Size, network and settings of a simulated fleet. Delays are one-way.
struct FleetSettings {
    size_t nodes = 10;
    size_t dataCentres = 1;
    size_t regions = 1;
    std::chrono::microseconds intraDataCentreDelay { 500 };
    std::chrono::microseconds interDataCentreDelay { 1000 };
    std::chrono::microseconds interRegionDelay { 60'000 };
    std::chrono::milliseconds tickInterval { 50 };
    NetworkFaults faults;
    DistributorSettings distributor;
    PlatformReadSettings reads;
    uint64_t seed = 1;
};

/// Traffic of one node. Each datagram counts as its payload plus 28 bytes of IP and UDP headers and 60 bytes of
/// envelope. For pings only the attachment counts, because membership sends them anyway.
struct Traffic {
    uint64_t bytes = 0;
    uint64_t messages = 0;
};

/// Simulates a fleet of nodes in one process and in virtual time: their distribution state machines, a lossy network
/// that carries encoded messages, pings with attachments, and a simulated platform. Runs with the same seed are
/// identical.
class SimulatedFleet {
public:
    static constexpr size_t datagramOverheadBytes = 88;

    /// Maximum number of datagrams queued in the socket buffer of a paused node.
    static constexpr size_t maxInbox = 256;

    struct Node final : PeerDirectory {
        Peer own;
        size_t dataCentre = 0;
        size_t region = 0;
        std::vector<Peer> local;
        std::vector<Peer> bridges;
        bool isOwnBridge = false;
        bool isAlive = true;
        bool isPaused = false;
        bool knowsPeers = true;
        uint64_t epoch = 0;
        std::deque<std::pair<Address, ControlMessage>> inbox;
        std::unique_ptr<DocumentStore> store;
        std::unique_ptr<Distributor> distributor;
        std::unique_ptr<ReaderSelection> selection;
        std::unique_ptr<PlatformReadSchedule> schedule;
        std::array<SteadyTime, documentCount> acceptedAt;
        std::array<DocumentVersion, documentCount> lastVersion;
        uint64_t refusals = 0;
        uint64_t conflicts = 0;
        Traffic sent;
        Traffic received;

        const Peer& self() const override { return own; }
        const std::vector<Peer>& localPeers() const override { return local; }
        std::vector<Peer> remoteBridges() const override { return bridges; }
        bool isBridge() const override { return isOwnBridge; }
    };

    SimulatedFleet(FleetSettings settings, StateChart chart)
        : m_settings(settings)
        , m_chart(std::move(chart))
        , m_random(settings.seed)
    {
        for (size_t i = 0; i < settings.nodes; ++i) {
            auto node = std::make_unique<Node>();
            node->dataCentre = i % settings.dataCentres;
            node->region = node->dataCentre % settings.regions;
            node->own.vm = VmId("vm-" + std::to_string(i));
            node->own.dataCentre = DataCentreName("dc-" + std::to_string(node->dataCentre));
            node->own.region = RegionName("region-" + std::to_string(node->region));
            node->own.controlAddress = Address { "127.0.0.1", static_cast<uint16_t>(i) };
            m_nodes.push_back(std::move(node));
        }
        refreshMembers();
        for (size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }

    std::function<bool(size_t from, size_t to)> blocks; ///< If set, datagrams for which it returns true are dropped.
    std::function<bool(size_t node)> blocksPlatform; ///< If set, selects nodes whose platform calls fail.
    NetworkFaults& faults() { return m_settings.faults; }
    SimulatedPlatform& platform() { return m_platform; }
    Node& node(size_t index) { return *m_nodes[index]; }
    size_t size() const { return m_nodes.size(); }
    SteadyTime now() const { return m_clock.now(); }
    bool hasRevisionRegressed() const { return m_hasRevisionRegressed; }

    /// Advances virtual time by the duration and runs all events that are due.
    void run(std::chrono::nanoseconds duration)
    {
        const SteadyTime end = m_clock.now() + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            Event event = std::move(const_cast<Event&>(m_events.top()));
            m_events.pop();
            m_clock.moveTo(event.at);
            event.action();
        }
        m_clock.moveTo(end);
    }

    /// Runs until the condition holds, checking it every 10 ms of virtual time.
    /// @return Virtual time until the condition held; empty if the limit passed first.
    std::optional<std::chrono::nanoseconds> runUntil(
        const std::function<bool()>& condition, std::chrono::nanoseconds limit)
    {
        const SteadyTime begin = m_clock.now();
        while (!condition()) {
            if (m_clock.now() - begin >= limit)
                return std::nullopt;
            run(std::chrono::milliseconds(10));
        }
        return m_clock.now() - begin;
    }

    /// @return Whether every running node has this revision in force with the same content.
    bool agreeOn(DocumentName name, uint64_t revision) const
    {
        std::optional<uint64_t> hash;
        for (const auto& node : m_nodes) {
            if (!node->isAlive || node->isPaused)
                continue;
            const Document* document = node->store->current(name);
            if (!document || document->revision.value != revision || hash.value_or(document->hash) != document->hash)
                return false;
            hash = document->hash;
        }
        return true;
    }

    bool haveCaughtUp() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
            [](const auto& node) { return !node->isAlive || node->isPaused || node->distributor->hasCaughtUp(); });
    }

    std::vector<size_t> indexesOf(ReaderRole role) const
    {
        std::vector<size_t> found;
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i]->isAlive && m_nodes[i]->schedule->role() == role)
                found.push_back(i);
        }
        return found;
    }

    void stop(size_t index) { m_nodes[index]->isAlive = false; }

    void restart(size_t index)
    {
        m_nodes[index]->isAlive = true;
        m_nodes[index]->isPaused = false;
        start(index);
    }

    void pause(size_t index) { m_nodes[index]->isPaused = true; }

    /// Resumes a paused node. The node first notices the pause, then handles the queued datagrams.
    void resume(size_t index)
    {
        Node& node = *m_nodes[index];
        node.isPaused = false;
        node.distributor->onPaused();
        while (!node.inbox.empty()) {
            node.distributor->receive(node.inbox.front().first, node.inbox.front().second);
            node.inbox.pop_front();
        }
    }

    /// Updates the member view of every node to the live members.
    void refreshMembers()
    {
        std::vector<std::vector<Peer>> members(m_settings.dataCentres);
        for (const auto& node : m_nodes) {
            if (node->isAlive && node->knowsPeers)
                members[node->dataCentre].push_back(node->own);
        }
        std::vector<Peer> bridges;
        for (const auto& list : members)
            bridges.insert(
                bridges.end(), list.begin(), list.begin() + static_cast<ptrdiff_t>(std::min<size_t>(3, list.size())));
        for (const auto& node : m_nodes) {
            node->local.clear();
            node->bridges.clear();
            node->isOwnBridge = false;
            if (!node->knowsPeers)
                continue;
            for (const auto& peer : members[node->dataCentre]) {
                if (peer.vm != node->own.vm)
                    node->local.push_back(peer);
            }
            for (const auto& bridge : bridges) {
                if (bridge.dataCentre != node->own.dataCentre)
                    node->bridges.push_back(bridge);
                else
                    node->isOwnBridge = node->isOwnBridge || bridge.vm == node->own.vm;
            }
        }
    }

private:
    struct Event {
        SteadyTime at;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action)
    {
        m_events.push({ m_clock.now() + delay, m_sequence++, std::move(action) });
    }

    std::chrono::nanoseconds randomDelay(std::chrono::nanoseconds bound)
    {
        return std::chrono::nanoseconds(m_random.below(static_cast<uint64_t>(bound.count())));
    }

    template <typename T> static T valueOrThrow(const std::function<Result<T>()>& make)
    {
        return handleErrors(make, [](const Error& error) -> T { throw std::runtime_error(error.message); });
    }

    void start(size_t index)
    {
        Node& node = *m_nodes[index];
        ++node.epoch;
        node.inbox.clear();
        node.lastVersion = {};
        node.acceptedAt = {};
        node.own.incarnation = Incarnation { m_random.next() };
        DocumentHooks hooks;
        hooks.validate = [](DocumentName, std::string_view text, Revision) -> std::optional<Error> {
            if (text.starts_with("bad"))
                return Error { ErrorCode::InvalidDocument, "The text starts with \"bad\"." };
            return std::nullopt;
        };
        hooks.onAccepted = [this, &node](DocumentName name, const Document& document) {
            DocumentVersion& last = node.lastVersion[indexOf(name)];
            if (document.revision.value < last.revision.value
                || (document.revision == last.revision && document.hash >= last.hash))
                m_hasRevisionRegressed = true;
            last = versionOf(document);
            node.acceptedAt[indexOf(name)] = m_clock.now();
        };
        hooks.onRefused = [&node](DocumentName, Revision, const Error&, const std::string&) { ++node.refusals; };
        hooks.onConflict
            = [&node](DocumentName, Revision, uint64_t, uint64_t, const std::string&) { ++node.conflicts; };
        node.schedule.reset();
        node.selection.reset();
        node.distributor.reset();
        node.store = valueOrThrow<std::unique_ptr<DocumentStore>>(
            [&] { return DocumentStore::create(m_chart, m_clock, hooks); });
        node.distributor = valueOrThrow<std::unique_ptr<Distributor>>([&] {
            return Distributor::create(m_settings.distributor, *node.store, node, m_clock, m_random.next(),
                [this, index](const Address& to, ControlMessageType type, const std::string& payload) {
                    send(index, to, type, payload);
                });
        });
        node.selection = valueOrThrow<std::unique_ptr<ReaderSelection>>(
            [&] { return ReaderSelection::create({}, node, *node.distributor, *node.store, m_clock); });
        node.schedule = valueOrThrow<std::unique_ptr<PlatformReadSchedule>>([&] {
            return PlatformReadSchedule::create(
                m_settings.reads, *node.selection, *node.store, *node.distributor, m_clock, m_random.next());
        });
        schedule(randomDelay(m_settings.tickInterval), [this, index, epoch = node.epoch] { tick(index, epoch); });
        schedule(randomDelay(std::chrono::seconds(1)), [this, index, epoch = node.epoch] { ping(index, epoch); });
    }

    void tick(size_t index, uint64_t epoch)
    {
        Node& node = *m_nodes[index];
        if (node.epoch != epoch || !node.isAlive)
            return;
        if (!node.isPaused) {
            node.distributor->tick();
            while (const auto read = node.schedule->nextRead())
                readPlatform(index, epoch, *read);
        }
        if (m_clock.now() >= m_nextPoll) {
            m_nextPoll = m_clock.now() + std::chrono::milliseconds(5);
            m_platform.poll(m_clock.now());
        }
        schedule(m_settings.tickInterval, [this, index, epoch] { tick(index, epoch); });
    }

    void readPlatform(size_t index, uint64_t epoch, const PlatformRead& read)
    {
        const auto done = [this, index, epoch, read](const SimulatedPlatform::Response& response) {
            schedule(std::chrono::milliseconds(3), [this, index, epoch, read, response] {
                Node& node = *m_nodes[index];
                if (node.epoch != epoch || !node.isAlive || node.isPaused)
                    return;
                if (response.result.kind == PlatformReadResult::Kind::Document)
                    node.distributor->onPublished(read.document, response.result.revision, *response.text);
                node.schedule->onReadDone(read, response.result);
            });
        };
        if (blocksPlatform && blocksPlatform(index))
            done({});
        else
            m_platform.read(read, m_clock.now(), done);
    }

    /// Sends a ping to a random member of the data centre. The ping and its ack carry the senders' attachments.
    void ping(size_t index, uint64_t epoch)
    {
        Node& node = *m_nodes[index];
        if (node.epoch != epoch || !node.isAlive)
            return;
        if (!node.isPaused && !node.local.empty()) {
            const size_t to = node.local[m_random.below(node.local.size())].controlAddress.port;
            sendAttachment(index, to, [this, index, to] { sendAttachment(to, index, [] {}); });
        }
        schedule(std::chrono::seconds(1), [this, index, epoch] { ping(index, epoch); });
    }

    void sendAttachment(size_t from, size_t to, std::function<void()> then)
    {
        std::string attachment = m_nodes[from]->distributor->pingAttachment();
        m_nodes[from]->sent.bytes += attachment.size();
        if (isLost(from, to))
            return;
        schedule(delayOf(from, to), [this, from, to, attachment = std::move(attachment), then = std::move(then)] {
            Node& node = *m_nodes[to];
            if (!node.isAlive || node.isPaused)
                return;
            node.received.bytes += attachment.size();
            node.distributor->onPingAttachment(m_nodes[from]->own, attachment);
            then();
        });
    }

    void send(size_t from, const Address& to, ControlMessageType type, const std::string& payload)
    {
        if (payload.size() > maxPayloadBytes)
            throw std::runtime_error("A payload is larger than maxPayloadBytes.");
        Node& node = *m_nodes[from];
        node.sent.bytes += payload.size() + datagramOverheadBytes;
        ++node.sent.messages;
        const auto& faults = m_settings.faults;
        const size_t copies = faults.duplicate > 0 && m_random.nextDouble() < faults.duplicate ? 2 : 1;
        for (size_t copy = 0; copy < copies; ++copy) {
            if (isLost(from, to.port))
                continue;
            std::chrono::nanoseconds delay = delayOf(from, to.port);
            if (faults.delay > 0 && m_random.nextDouble() < faults.delay)
                delay += std::chrono::milliseconds(m_random.below(500));
            ControlMessage message { type, node.own.vm, node.own.incarnation, payload };
            if (faults.truncation > 0 && m_random.nextDouble() < faults.truncation)
                message.payload.resize(m_random.below(payload.size()));
            schedule(delay, [this, source = node.own.controlAddress, target = to.port, message = std::move(message)] {
                deliver(source, target, message);
            });
        }
    }

    void deliver(const Address& from, size_t to, const ControlMessage& message)
    {
        Node& node = *m_nodes[to];
        if (!node.isAlive)
            return;
        node.received.bytes += message.payload.size() + datagramOverheadBytes;
        ++node.received.messages;
        if (!node.isPaused)
            node.distributor->receive(from, message);
        else if (node.inbox.size() < maxInbox)
            node.inbox.emplace_back(from, message);
    }

    bool isLost(size_t from, size_t to)
    {
        return (m_settings.faults.loss > 0 && m_random.nextDouble() < m_settings.faults.loss)
            || (blocks && blocks(from, to));
    }

    std::chrono::nanoseconds delayOf(size_t from, size_t to) const
    {
        const Node& left = *m_nodes[from];
        const Node& right = *m_nodes[to];
        if (left.region != right.region)
            return m_settings.interRegionDelay;
        return left.dataCentre != right.dataCentre ? m_settings.interDataCentreDelay : m_settings.intraDataCentreDelay;
    }

    FleetSettings m_settings;
    const StateChart m_chart;
    ManualClock m_clock;
    Random m_random;
    SimulatedPlatform m_platform;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::priority_queue<Event> m_events;
    uint64_t m_sequence = 0;
    SteadyTime m_nextPoll;
    bool m_hasRevisionRegressed = false;
};

}
