#pragma once

#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/control/Envelope.h"
#include "snipeweir/core/BoundedQueue.h"
#include "snipeweir/core/LoadReport.h"
#include "snipeweir/core/PauseDetector.h"
#include "snipeweir/distribution/PlatformReadSchedule.h"
#include "snipeweir/membership/EventLog.h"
#include "snipeweir/membership/Membership.h"
#include "snipeweir/node/RoutingView.h"
#include "snipeweir/platform/PlatformClient.h"
#include "snipeweir/telemetry/Metrics.h"
#include "snipeweir/transport/DatagramSocket.h"

#include <atomic>
#include <functional>
#include <json/json.h>
#include <memory>
#include <mutex>
#include <thread>

namespace snipeweir {

/// Callbacks from the control thread to the data plane. They run on the control thread and must return quickly.
struct ControlPlaneHooks {
    std::function<void(std::shared_ptr<const RoutingView>)> onView;
    std::function<std::vector<VmId>()> probesDue;
    std::function<void(const VmId&, const LoadReport&)> onLoadReport;
    std::function<LoadReport()> ownLoadReport;
};

/// Components of the node that the control plane uses; they must outlive it.
struct ControlPlaneDependencies {
    const NodeSettings& settings;
    const Clock& clock;
    Metrics& metrics;
    HttpClient& client;
    PauseDetector& pauseDetector;
    Incarnation incarnation;
    std::string chartDirectory;
};

/// Membership and documents of a node. One control thread owns all state machines, one thread receives datagrams into a
/// bounded queue, and two threads, one per document, read from the platform. Publishes a RoutingView after each change.
class ControlPlane {
public:
    /// @return The control plane, not yet started, or the error of the component that could not be created.
    static Result<std::unique_ptr<ControlPlane>> create(ControlPlaneDependencies, ControlPlaneHooks);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    void start();
    void stop();

    /// Announces to all members that this node is leaving. May be called from any thread.
    void leave();

    /// Reports whether a call could reach the node on a VM. May be called from any thread.
    void reportCallEvidence(const VmId&, OwnEvidence);

    const EventLog& events() const { return m_events; }

    /// @return JSON array of the documents with state, revision, hash, source and the time since which each is in
    /// force. May be called from any thread.
    Json::Value documents() const;

private:
    struct Datagram {
        Address from;
        std::string bytes;
    };
    struct CallEvidence {
        VmId vm;
        OwnEvidence evidence = OwnEvidence::None;
    };
    struct PlatformResponse {
        PlatformRead read;
        PlatformReadResult::Kind kind = PlatformReadResult::Kind::Failed;
        PublishedDocument document;
    };

    ControlPlane(ControlPlaneDependencies, ControlPlaneHooks, std::unique_ptr<DatagramSocket>);
    Result<void> createComponents();
    void addGauges();
    void runControlLoop();
    void runReceiveLoop();
    void runPlatformReads(DocumentName);
    void handleDatagram(const Datagram&);
    void handleProbe(const Address& from, const ControlMessage&);
    void handleProbeReply(const ControlMessage&);
    void handlePlatformResponse(PlatformResponse);
    void sendProbes();
    void checkPause();
    void startPlatformReads();
    std::optional<Error> validate(DocumentName, std::string_view text, Revision);
    void onDocumentTaken(DocumentName, const Document&);
    void publishView();
    void updateDocumentsSummary();
    void addEvent(std::string kind, std::string subject, std::string cause, std::string source);

    ControlPlaneDependencies m_dependencies;
    ControlPlaneHooks m_hooks;
    EventLog m_events;
    std::unique_ptr<DatagramSocket> m_socket;
    std::unique_ptr<Envelope> m_envelope;

    // Used only by the control thread once it runs.
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<DocumentStore> m_documentStore;
    std::unique_ptr<Distributor> m_distributor;
    std::unique_ptr<ReaderSelection> m_readerSelection;
    std::unique_ptr<PlatformReadSchedule> m_readSchedule;
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<const VmList> m_vmList;
    std::shared_ptr<const FleetConfiguration> m_validatedConfiguration;
    std::shared_ptr<const VmList> m_validatedVmList;
    uint64_t m_viewVersion = 0;
    uint64_t m_publishedMembersVersion = ~0ULL;
    bool m_hasUnpublishedDocument = true;
    bool m_publishedHasCaughtUp = false;
    uint64_t m_handledPauses = 0;
    bool m_isLeaving = false;

    // Queues from other threads to the control thread.
    BoundedQueue<Datagram> m_datagrams;
    BoundedQueue<CallEvidence> m_evidence;
    BoundedQueue<PlatformResponse> m_platformResponses;

    // Limits the load probes of the whole node; each called service also has a limit of its own. Used only by the
    // control thread.
    TokenBucket m_probeRateLimit;

    std::array<std::unique_ptr<BoundedQueue<PlatformRead>>, documentCount> m_platformReads;
    std::atomic<bool> m_isLeaveRequested { false };
    std::atomic<bool> m_isStopping { false };
    std::atomic<uint64_t> m_controlCpuNs { 0 };
    std::atomic<uint64_t> m_receiveCpuNs { 0 };
    std::atomic<uint64_t> m_probesSent { 0 };
    std::atomic<uint64_t> m_platformCalls { 0 };
    std::atomic<bool> m_isReader { false };

    // Guarded by m_summaryMutex.
    mutable std::mutex m_summaryMutex;
    Json::Value m_documentsSummary;

    std::vector<std::thread> m_threads;
};

}
