#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/fleet/DistributionTree.h"
#include "snipeweir/fleet/EraTracker.h"
#include "snipeweir/fleet/OperatorDocument.h"
#include "snipeweir/fleet/SourceItems.h"
#include "snipeweir/fleet/SourcePollSchedule.h"
#include "snipeweir/relay/PeerMessage.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace snipeweir::simulation {

/// Sizes of what travels, in bytes.
struct SourceEraSizes {
    /// The documents between nodes, compressed.
    std::array<uint64_t, 2> documents { 0, 0 };
    /// One item of a backend server in a response of the store, and the operators' list.
    uint64_t storeItem = 270;
    uint64_t operatorsList = 4000;

    /// @return The sizes of the documents of a fleet with items as operators and backend servers write them.
    static SourceEraSizes of(size_t nodes);
    /// @return Items of backend servers.
    /// @param sequence Least sequence number.
    static std::vector<SourceItem> backendItems(size_t nodes, uint64_t sequence);
    /// @return The configuration in a version.
    static std::vector<SourceItem> operatorItems(size_t nodes, uint64_t version);
};

/// What happens in a run of SourceEraModel.
struct SourceEraCase {
    size_t nodes = 13;
    bool changesOperators = false;
    bool changesBackends = false;
    /// Whether the store is away before the changes.
    bool isAway = false;
    /// Whether it comes back from a copy, in a later era.
    bool isRestored = false;
    /// Whether 5% of the nodes are restarted while the store is away.
    bool hasRestarts = false;
    /// Whether they are restarted within lateRestarts after its return instead.
    bool hasLateRestarts = false;
    /// Number of nodes that reach the store; zero for all.
    size_t reachingNodes = 0;
    uint64_t seed = 1;
};

struct SourceEraResult {
    /// Calls that reached the store in the window, in the busiest second, and nodes that made them. Pages count alone.
    uint64_t calls = 0;
    uint64_t peakCalls = 0;
    size_t readingNodes = 0;
    /// Calls that got no response.
    uint64_t failedCalls = 0;
    /// From the write, or the return of the store, until all nodes have both documents; at most maxInForce.
    std::chrono::milliseconds inForce { 0 };
    /// Nodes that don't have them at the end of the window.
    size_t missing = 0;
    /// Bytes sent and received by each node in the window, and in its busiest second.
    std::vector<uint64_t> bytes;
    std::vector<uint64_t> peakBytes;
    uint64_t informs = 0;
    uint64_t fetches = 0;
    /// Fetches of nodes that lack the history, and fetches without a document.
    uint64_t historyFetches = 0;
    uint64_t failedFetches = 0;
};

/// Model of a fleet in virtual time that follows the store as FleetFollower and DocumentFetcher do, with their classes
/// for the schedule, the trees, the eras and the messages. Documents are represented by versions, digests and sizes.
/// Datagrams don't wait for documents on the links. Not thread-safe.
class SourceEraModel {
public:
    static constexpr std::chrono::microseconds storeResponseTime { 4000 };
    static constexpr std::chrono::microseconds nodeDelay { 900 };
    static constexpr double datagramLoss = 0.01;
    static constexpr double linkBytesPerSecond = 1'250'000;
    static constexpr size_t itemsPerPage = 500;
    static constexpr uint64_t datagramHeaderBytes = 28;
    /// Request and response heads with those of TCP, without the body.
    static constexpr uint64_t exchangeBytes = 600;
    static constexpr std::chrono::milliseconds heartbeat { 1500 };
    static constexpr std::chrono::milliseconds awayTime { 1300 };
    static constexpr std::chrono::milliseconds warmUp { 12000 };
    static constexpr std::chrono::milliseconds window { 8000 };
    /// Time after which a run ends although nodes lack the documents.
    static constexpr std::chrono::milliseconds maxInForce { 40000 };
    static constexpr std::chrono::milliseconds lateRestarts { 200 };
    static constexpr size_t restartedPercent = 5;
    static constexpr size_t seedCount = 3;

    SourceEraModel(const SourceEraCase&, const SourceEraSizes&);

    /// Runs the case once.
    SourceEraResult run();

    /// @return Number of calls for the full list of the backend servers.
    static size_t listPages(size_t nodes) { return (nodes + itemsPerPage - 1) / itemsPerPage; }

private:
    enum Document : size_t { Backends, Operators };
    using Message = std::shared_ptr<const PeerMessage>;

    struct Fetch {
        uint64_t id = 0;
        bool isActive = false;
        bool hasHistory = false;
        bool isAtTree = false;
        bool isWaiting = false;
        bool hasAskedAgain = false;
        SourceDocumentVersion wanted;
        DistributionTree::Source treeSource;
        size_t announcer = 0;
        std::vector<size_t> sources;
        /// Sources and numbers of the transfers of the wanted version.
        std::vector<std::pair<size_t, uint64_t>> transfers;
        size_t nextSource = 0;
        uint32_t treeAttempts = 0;
        size_t running = 0;
        size_t receiving = 0;
        size_t responses = 0;
        size_t responsesBefore = 0;
        size_t sourcesBefore = 0;
        SteadyTime nextSourceAt {};
        SteadyTime readAt {};
    };

    struct Transfer {
        uint64_t id = 0;
        double bytes = 0;
        size_t to = 0;
        std::function<void()> done;
    };

    struct Node {
        std::string ip;
        SourcePollSchedule schedule { SourcePollSchedule::Settings() };
        EraTracker eras;
        std::array<SourceDocumentVersion, 2> documents;
        std::array<Fetch, 2> fetches;
        uint64_t fetchedDigest = 0;
        bool hasHistory = false;
        bool reachesStore = true;
        bool isCheckingOperators = false;
        bool isReadingAll = false;
        bool isSeed = false;
        bool isComplete = false;
        /// Increases with each start; events of earlier runs are ignored.
        uint64_t run = 0;
        uint64_t sequence = 0;
        uint64_t confirmations = 0;
        uint64_t operatorsLoop = 0;
        int emptyWatches = 0;
        bool isWatching = false;
        SteadyTime readAt {};
        SteadyTime readStartedAt {};
        SteadyTime fullReadAt {};
        SteadyTime informedAt {};
        SteadyTime downFreeAt {};
        /// Last sequence numbers of the kinds, by announcer and incarnation.
        std::array<std::map<size_t, std::pair<uint64_t, uint64_t>>, 2> last;
        /// Transfers by the value of uplinkServed at which they end. They share the link evenly.
        std::multimap<double, Transfer> uplink;
        /// Bytes that each transfer would have got since the start of the run.
        double uplinkServed = 0;
        SteadyTime uplinkAt {};
        uint64_t uplinkToken = 0;
        std::vector<uint64_t> bytes;
    };

    using Action = std::function<void()>;
    struct Event {
        SteadyTime at;
        uint64_t number = 0;
        Action action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };

    void at(SteadyTime, Action);
    void after(std::chrono::nanoseconds delay, Action action) { at(m_clock.now() + delay, std::move(action)); }
    /// Runs an action unless the node was restarted meanwhile.
    void afterAt(size_t node, std::chrono::nanoseconds delay, Action);
    void runUntil(SteadyTime);
    bool isInWindow() const
    {
        return m_windowBegin != SteadyTime {} && m_clock.now() >= m_windowBegin
            && m_clock.now() < m_windowBegin + window;
    }
    void count(size_t node, uint64_t bytes);
    /// Makes a call of the store.
    /// @param done Called with whether the store responded.
    void call(size_t node, uint64_t responseBytes, std::function<void(bool)> done);
    bool isReader(const Node& node) const { return m_clock.now() - node.readAt < readerWindow; }
    bool isCatchingUp(const Node& node) const
    {
        return node.eras.isWithin(OperatorDocument::evacuationGrace, m_clock.now());
    }

    void start(size_t node);
    void restart(size_t node);
    void subscribe(size_t node);
    void follow(size_t node);
    void read(size_t node);
    void readList(size_t node, size_t page, SteadyTime asOf, SourceVersion, std::function<void(bool)> done);
    void finishList(size_t node, bool isRead, SteadyTime asOf);
    void finishRead(size_t node, SteadyTime asOf);
    void readOperators(size_t node, std::function<void(bool)> done);
    void checkOperators(size_t node);
    void followOperators(size_t node, uint64_t loop, bool mustRead);
    void endWatch(size_t node, bool isChange);
    void noteEra(Node&, uint64_t era, SteadyTime seenAt);
    void checkComplete(Node&);
    void take(size_t node, Document, const SourceDocumentVersion&);
    uint64_t sourceDigest(Document) const;
    SourceVersion sourceVersion() { return { Revision { ++m_version.revision.value }, m_version.era }; }

    PeerMessage makeAnnouncement(size_t node);
    void announce(size_t node);
    void confirm(size_t node);
    void broadcast(size_t node, PeerMessage);
    void forward(size_t node, const Message&, uint32_t tree, uint32_t hopsLeft);
    const std::vector<size_t>& children(size_t announcer, size_t node, uint32_t tree);
    void send(size_t from, size_t to, const Message&, uint32_t tree, uint32_t hopsLeft);
    void receive(size_t from, size_t node, const Message&, uint32_t tree, uint32_t hopsLeft);
    void inform(size_t node, size_t from, const PeerMessage&);

    void fetch(size_t node, Document, const SourceDocumentVersion&, const DistributionTree::Source&, size_t announcer,
        size_t forwarder, SteadyTime readAt, bool hasHistory);
    void stepFetch(size_t node, Document);
    void checkFetch(size_t node, Document, uint64_t id);
    void attempt(size_t node, Document, size_t source);
    void finishFetch(size_t node, Document, const SourceDocumentVersion&);
    void startTransfer(size_t from, Transfer);
    void cancelTransfer(size_t from, uint64_t id);
    void updateUplink(size_t from);

    static constexpr std::chrono::milliseconds readerWindow { 1500 };
    static constexpr std::chrono::milliseconds operatorsWatch { 5000 };
    static constexpr std::chrono::milliseconds operatorsRetry { 300 };
    static constexpr std::chrono::milliseconds fullReadInterval { 5000 };
    static constexpr uint64_t maxStartJitterMs = 1200;
    static constexpr std::chrono::milliseconds informInterval { 200 };
    static constexpr std::chrono::milliseconds initialSubscriptionInterval { 150 };
    static constexpr std::chrono::milliseconds subscriptionInterval { 2000 };
    static constexpr uint32_t unregisteredRank = 1000;
    static constexpr std::chrono::milliseconds keptTime { 2200 };
    static constexpr std::chrono::milliseconds nextSourceDelay { 350 };
    static constexpr std::chrono::milliseconds levelDelay { 120 };
    static constexpr uint32_t extraAttempts = 2;
    static constexpr std::chrono::milliseconds attemptTimeout { 1500 };
    static constexpr std::chrono::milliseconds bucket { 100 };
    static constexpr size_t bucketsPerSecond = 10;

    SourceEraCase m_case;
    SourceEraSizes m_sizes;
    ManualClock m_clock;
    Random m_random;
    DistributionTree m_tree { DistributionTree::Settings() };
    std::vector<Node> m_nodes;
    std::vector<size_t> m_seeds;
    std::map<std::string, size_t> m_indexes;
    std::map<std::tuple<size_t, size_t, uint32_t>, std::vector<size_t>> m_children;
    std::priority_queue<Event> m_events;
    uint64_t m_number = 0;

    // The store.
    bool m_isUp = true;
    SourceVersion m_version { Revision { 100'000 }, 4 };
    std::array<uint64_t, 2> m_digests { 1, 1 };
    SteadyTime m_restoredAt {};

    // What is measured, from the begin of the window.
    SteadyTime m_windowBegin {};
    std::vector<uint64_t> m_calls;
    std::set<size_t> m_readers;
    SourceEraResult m_result;
    SteadyTime m_completeAt {};
};

}
