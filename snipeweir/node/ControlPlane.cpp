#include "snipeweir/node/ControlPlane.h"

#include "snipeweir/core/Cbor.h"
#include "snipeweir/telemetry/Log.h"

#include <ctime>
#include <sodium.h>

namespace snipeweir {

namespace {

    constexpr size_t eventLogCapacity = 2000;
    constexpr size_t datagramQueueSize = 2048;
    constexpr size_t evidenceQueueSize = 512;
    constexpr size_t platformResponseQueueSize = 8;
    constexpr size_t platformReadQueueSize = 2;

    // Allows a node that has just started to probe the endpoints of a service at once.
    constexpr double probeBurst = 20;
    constexpr std::chrono::milliseconds tickInterval { 20 };
    constexpr std::chrono::milliseconds receiveWait { 100 };

    const Log logger("control");

    uint64_t threadCpuNs()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<uint64_t>(time.tv_sec) * 1'000'000'000ULL + static_cast<uint64_t>(time.tv_nsec);
    }

    uint64_t randomSeed()
    {
        uint64_t seed = 0;
        randombytes_buf(&seed, sizeof seed);
        return seed;
    }

}

Result<std::unique_ptr<ControlPlane>> ControlPlane::create(
    ControlPlaneDependencies dependencies, ControlPlaneHooks hooks)
{
    BOOST_LEAF_AUTO(socket, DatagramSocket::create({ dependencies.settings.ip, dependencies.settings.controlPort }));
    std::unique_ptr<ControlPlane> plane(new ControlPlane(std::move(dependencies), std::move(hooks), std::move(socket)));
    BOOST_LEAF_CHECK(plane->createComponents());
    plane->addGauges();
    return plane;
}

ControlPlane::ControlPlane(
    ControlPlaneDependencies dependencies, ControlPlaneHooks hooks, std::unique_ptr<DatagramSocket> socket)
    : m_dependencies(std::move(dependencies))
    , m_hooks(std::move(hooks))
    , m_events(eventLogCapacity)
    , m_socket(std::move(socket))
    , m_datagrams(datagramQueueSize)
    , m_evidence(evidenceQueueSize)
    , m_platformResponses(platformResponseQueueSize)
    , m_probeRateLimit(Policy {}.probeBudgetPerSecond, probeBurst, probeBurst, m_dependencies.clock.now())
{
    for (auto& queue : m_platformReads)
        queue = std::make_unique<BoundedQueue<PlatformRead>>(platformReadQueueSize);
}

Result<void> ControlPlane::createComponents()
{
    const NodeSettings& settings = m_dependencies.settings;
    EnvelopeSettings envelopeSettings;
    envelopeSettings.keys = settings.controlKeys;
    BOOST_LEAF_ASSIGN(m_envelope,
        Envelope::create(std::move(envelopeSettings), settings.vm, m_dependencies.incarnation, m_dependencies.clock));
    const ControlSender send = [this](const Address& to, ControlMessageType type, const std::string& payload) {
        m_socket->send(to, m_envelope->seal(type, payload));
    };

    // Create the document store.
    BOOST_LEAF_AUTO(documentChart, StateChart::load(m_dependencies.chartDirectory + "/document.json"));
    DocumentHooks documentHooks;
    documentHooks.validate = [this](DocumentName name, std::string_view text, Revision revision) {
        return validate(name, text, revision);
    };
    documentHooks.onAccepted = [this](DocumentName name, const Document& document) { onDocumentTaken(name, document); };
    documentHooks.onRefused
        = [this](DocumentName name, Revision revision, const Error& error, const std::string& source) {
              m_dependencies.metrics.count("snipeweir_documents_refused_total");
              logger.error("Revision " + std::to_string(revision.value) + " of " + std::string(documentName(name))
                  + " is refused: " + error.message);
              addEvent("revision_refused", std::string(documentName(name)) + " " + std::to_string(revision.value),
                  error.message, source);
          };
    documentHooks.onConflict
        = [this](DocumentName name, Revision revision, uint64_t, uint64_t, const std::string& source) {
              m_dependencies.metrics.count("snipeweir_document_conflicts_total");
              logger.error("Two different contents of " + std::string(documentName(name)) + " have revision "
                  + std::to_string(revision.value) + ".");
              addEvent("revision_conflict", std::string(documentName(name)) + " " + std::to_string(revision.value),
                  "two contents under one revision", source);
          };
    BOOST_LEAF_ASSIGN(m_documentStore,
        DocumentStore::create(std::move(documentChart), m_dependencies.clock, std::move(documentHooks)));

    // Create the membership, whose pings carry the document revisions.
    BOOST_LEAF_AUTO(memberChart, StateChart::load(m_dependencies.chartDirectory + "/member.json"));
    Peer self { settings.vm, settings.dataCentre, settings.region, { settings.ip, settings.controlPort },
        m_dependencies.incarnation };
    MembershipHooks membershipHooks;
    membershipHooks.send = send;
    membershipHooks.pingAttachment = [this] { return m_distributor ? m_distributor->pingAttachment() : std::string(); };
    membershipHooks.onPingAttachment
        = [this](const Peer& from, std::string_view bytes) { m_distributor->onPingAttachment(from, bytes); };
    membershipHooks.onEvent = [this](const Event& event) {
        m_dependencies.metrics.count("snipeweir_event_" + event.kind + "_total");
        m_events.add(event);
    };
    BOOST_LEAF_ASSIGN(m_membership,
        Membership::create(MembershipSettings {}, std::move(self), settings.service, std::move(memberChart),
            m_dependencies.clock, randomSeed(), std::move(membershipHooks)));

    // Create the distribution of documents and the reads from the platform.
    BOOST_LEAF_ASSIGN(m_distributor,
        Distributor::create(
            DistributorSettings {}, *m_documentStore, *m_membership, m_dependencies.clock, randomSeed(), send));
    BOOST_LEAF_ASSIGN(m_readerSelection,
        ReaderSelection::create(
            ReaderSelectionSettings {}, *m_membership, *m_distributor, *m_documentStore, m_dependencies.clock));
    BOOST_LEAF_ASSIGN(m_readSchedule,
        PlatformReadSchedule::create(PlatformReadSettings {}, *m_readerSelection, *m_documentStore, *m_distributor,
            m_dependencies.clock, randomSeed()));
    return {};
}

void ControlPlane::addGauges()
{
    Metrics& metrics = m_dependencies.metrics;
    metrics.addGauge("snipeweir_control_bytes", [this] { return static_cast<double>(m_socket->bytes()); });
    metrics.addGauge("snipeweir_control_datagrams", [this] { return static_cast<double>(m_socket->datagrams()); });
    metrics.addGauge("snipeweir_control_cpu_seconds",
        [this] { return static_cast<double>(m_controlCpuNs + m_receiveCpuNs) * 1e-9; });
    metrics.addGauge("snipeweir_control_ring_dropped", [this] { return static_cast<double>(m_datagrams.dropped()); });
    metrics.addGauge("snipeweir_load_probes_sent", [this] { return static_cast<double>(m_probesSent); });
    metrics.addGauge("snipeweir_platform_calls", [this] { return static_cast<double>(m_platformCalls); });
    metrics.addGauge("snipeweir_is_reader", [this] { return m_isReader ? 1.0 : 0.0; });
    for (size_t i = 0; i < envelopeRefusalCount; ++i) {
        const auto refusal = static_cast<EnvelopeRefusal>(i);
        metrics.addGauge("snipeweir_control_refused_" + std::string(envelopeRefusalName(refusal)),
            [this, refusal] { return static_cast<double>(m_envelope->refusedCount(refusal)); });
    }
}

ControlPlane::~ControlPlane() { stop(); }

void ControlPlane::start()
{
    m_threads.emplace_back([this] { runReceiveLoop(); });
    m_threads.emplace_back([this] { runControlLoop(); });
    m_threads.emplace_back([this] { runPlatformReads(DocumentName::Configuration); });
    m_threads.emplace_back([this] { runPlatformReads(DocumentName::Vms); });
}

void ControlPlane::stop()
{
    m_isStopping = true;
    m_datagrams.close();
    for (auto& queue : m_platformReads)
        queue->close();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void ControlPlane::leave() { m_isLeaveRequested = true; }

void ControlPlane::reportCallEvidence(const VmId& vm, OwnEvidence evidence) { m_evidence.push({ vm, evidence }); }

void ControlPlane::runReceiveLoop()
{
    while (!m_isStopping) {
        if (auto received = m_socket->receive(receiveWait))
            m_datagrams.push({ std::move(received->first), std::move(received->second) });
        m_receiveCpuNs = threadCpuNs();
    }
}

void ControlPlane::runControlLoop()
{
    m_membership->join(m_dependencies.settings.seedAddresses);
    SteadyTime nextTick = m_dependencies.clock.now();
    while (!m_isStopping) {
        // Handle datagrams until the next tick.
        const SteadyTime now = m_dependencies.clock.now();
        if (now < nextTick) {
            if (const auto datagram = m_datagrams.pop(nextTick - now))
                handleDatagram(*datagram);
            continue;
        }
        nextTick = std::max(nextTick + tickInterval, now);

        // Detect a pause before acting on a view that may be outdated.
        checkPause();
        while (const auto evidence = m_evidence.pop(std::chrono::nanoseconds(0)))
            m_membership->onCallEvidence(evidence->vm, evidence->evidence);
        while (auto response = m_platformResponses.pop(std::chrono::nanoseconds(0)))
            handlePlatformResponse(std::move(*response));
        if (m_isLeaveRequested && !m_isLeaving) {
            m_isLeaving = true;
            m_membership->leave();
        }
        m_membership->tick();
        m_distributor->tick();
        startPlatformReads();
        sendProbes();
        publishView();
        m_controlCpuNs = threadCpuNs();
    }
}

void ControlPlane::checkPause()
{
    const uint64_t pauses = m_dependencies.pauseDetector.pauseCount();
    if (pauses != m_handledPauses) {
        m_handledPauses = pauses;
        m_dependencies.metrics.count("snipeweir_pauses_total");
        logger.warning("The process was paused. Peers are asked to confirm the view of the fleet.");
        addEvent("process_paused", m_dependencies.settings.vm.text(), "gap of the steady clock", "pause guard");
        m_membership->onPaused();
        m_distributor->onPaused();
        return;
    }
    if (m_distributor->hasCaughtUp())
        m_dependencies.pauseDetector.onViewConfirmed(m_handledPauses);
}

void ControlPlane::handleDatagram(const Datagram& datagram)
{
    const auto message = handleErrors(
        [&]() -> Result<std::optional<ControlMessage>> {
            BOOST_LEAF_AUTO(opened, m_envelope->open(datagram.bytes));
            return std::optional<ControlMessage>(std::move(opened));
        },
        [](const Error&) { return std::optional<ControlMessage>(); });
    if (!message)
        return;
    switch (message->type) {
    case ControlMessageType::LoadProbe:
        return handleProbe(datagram.from, *message);
    case ControlMessageType::LoadProbeReply:
        return handleProbeReply(*message);
    case ControlMessageType::DocumentPush:
    case ControlMessageType::DocumentPull:
    case ControlMessageType::DocumentChunk:
    case ControlMessageType::DocumentRevisions:
        return m_distributor->receive(datagram.from, *message);
    default:
        return m_membership->receive(datagram.from, *message);
    }
}

void ControlPlane::handleProbe(const Address& from, const ControlMessage&)
{
    CborWriter writer;
    writer.writeText(m_hooks.ownLoadReport().toHeader());
    m_socket->send(from, m_envelope->seal(ControlMessageType::LoadProbeReply, writer.take()));
}

void ControlPlane::handleProbeReply(const ControlMessage& message)
{
    CborReader reader(message.payload);
    const auto text = reader.readText();
    const auto report = text ? LoadReport::fromHeader(*text) : std::nullopt;
    if (report && reader.isComplete() && report->incarnation == message.senderIncarnation)
        m_hooks.onLoadReport(message.sender, *report);
    else
        m_dependencies.metrics.count("snipeweir_control_malformed_total");
}

void ControlPlane::sendProbes()
{
    if (!m_vmList || !m_configuration)
        return;
    const NodeSettings& settings = m_dependencies.settings;
    const SteadyTime now = m_dependencies.clock.now();
    m_probeRateLimit.setRate(
        m_configuration->policyFor(settings.service, settings.dataCentre, settings.vm).probeBudgetPerSecond, now);
    for (const VmId& vm : m_hooks.probesDue()) {
        // The load of this node is known locally, and the envelope refuses datagrams that this node sent.
        if (vm == settings.vm) {
            m_hooks.onLoadReport(vm, m_hooks.ownLoadReport());
            continue;
        }
        const VmRecord* record = m_vmList->find(vm);
        if (!record || !m_probeRateLimit.take(1, now))
            continue;
        ++m_probesSent;
        m_socket->send({ record->ip, record->controlPort }, m_envelope->seal(ControlMessageType::LoadProbe, {}));
    }
}

std::optional<Error> ControlPlane::validate(DocumentName name, std::string_view text, Revision revision)
{
    // Keep the parsed document for onDocumentTaken(), since parsing a large VM list takes 50 ms on the control thread.
    return errorOf([&]() -> Result<void> {
        Revision documentRevision;
        if (name == DocumentName::Configuration) {
            BOOST_LEAF_ASSIGN(m_validatedConfiguration, FleetConfiguration::parse(text));
            documentRevision = m_validatedConfiguration->revision();
        } else {
            BOOST_LEAF_ASSIGN(m_validatedVmList, VmList::parse(text));
            documentRevision = m_validatedVmList->revision();
        }
        if (documentRevision != revision)
            return fail(ErrorCode::InvalidDocument, "The revision in the text differs from the published one.");
        return {};
    });
}

void ControlPlane::onDocumentTaken(DocumentName name, const Document& document)
{
    // The store calls this directly after validate() for the same text, so the validated document is the taken one.
    if (name == DocumentName::Configuration)
        m_configuration = std::move(m_validatedConfiguration);
    else {
        m_vmList = std::move(m_validatedVmList);
        std::vector<VmListEntry> entries;
        for (const VmRecord& record : m_vmList->vms())
            entries.push_back({ record.vm, record.dataCentre, record.region, record.service,
                { record.ip, record.controlPort }, record.isLeaving });
        m_membership->onVmList(entries);
        m_readSchedule->setFleetSize(entries.size());
    }
    m_hasUnpublishedDocument = true;
    logger.info("Revision " + std::to_string(document.revision.value) + " of " + std::string(documentName(name))
        + " is in force, from " + document.source + ".");
    addEvent("revision_taken", std::string(documentName(name)) + " " + std::to_string(document.revision.value),
        "newer revision", document.source);
}

void ControlPlane::startPlatformReads()
{
    while (const auto read = m_readSchedule->nextRead()) {
        ++m_platformCalls;
        m_platformReads.at(indexOf(read->document))->push(*read);
    }
    const bool isReader = m_readSchedule->role() == ReaderRole::Reader;
    if (isReader != m_isReader) {
        m_isReader = isReader;
        addEvent(isReader ? "reader_started" : "reader_stopped", m_dependencies.settings.vm.text(),
            "rendezvous over live members", "reader selection");
    }
}

void ControlPlane::runPlatformReads(DocumentName name)
{
    PlatformClient platform(m_dependencies.client, m_dependencies.clock, m_dependencies.settings.platformAddresses);
    auto& reads = *m_platformReads.at(indexOf(name));
    while (!m_isStopping) {
        const auto read = reads.pop(std::chrono::milliseconds(200));
        if (!read)
            continue;
        PlatformResponse response;
        response.read = *read;
        response.kind = handleErrors(
            [&]() -> Result<PlatformReadResult::Kind> {
                BOOST_LEAF_AUTO(document,
                    platform.read(
                        std::string(documentName(name)), read->after, read->wait, [this] { return !m_isStopping; }));
                if (!document)
                    return PlatformReadResult::Kind::NotModified;
                response.document = std::move(*document);
                return PlatformReadResult::Kind::Document;
            },
            [](const Error& error) {
                logger.debug(error.message);
                return PlatformReadResult::Kind::Failed;
            });
        m_platformResponses.push(std::move(response));
    }
}

void ControlPlane::handlePlatformResponse(PlatformResponse response)
{
    if (response.kind == PlatformReadResult::Kind::Document)
        m_distributor->onPublished(
            response.read.document, response.document.revision, std::move(response.document.text));
    m_readSchedule->onReadDone(response.read, { response.kind, response.document.revision });
}

void ControlPlane::publishView()
{
    const bool hasCaughtUp = m_distributor->hasCaughtUp();
    const uint64_t members = m_membership->version();
    if (!m_hasUnpublishedDocument && members == m_publishedMembersVersion && hasCaughtUp == m_publishedHasCaughtUp)
        return;
    m_hasUnpublishedDocument = false;
    m_publishedMembersVersion = members;
    m_publishedHasCaughtUp = hasCaughtUp;
    auto view = std::make_shared<RoutingView>();
    view->version = ++m_viewVersion;
    view->configuration = m_configuration;
    view->vmList = m_vmList;
    view->members = m_membership->members();
    for (size_t i = 0; i < view->members.size(); ++i)
        view->memberIndex[view->members[i].peer.vm] = i;
    view->hasCaughtUp = hasCaughtUp;
    view->createdAt = m_dependencies.clock.now();
    updateDocumentsSummary();
    m_hooks.onView(std::move(view));
}

void ControlPlane::updateDocumentsSummary()
{
    Json::Value summary(Json::arrayValue);
    for (const DocumentName name : { DocumentName::Configuration, DocumentName::Vms }) {
        Json::Value entry;
        entry["document"] = std::string(documentName(name));
        entry["state"] = m_documentStore->state(name);
        if (const Document* document = m_documentStore->current(name)) {
            entry["revision"] = Json::UInt64(document->revision.value);
            entry["hash"] = Json::UInt64(document->hash);
            entry["source"] = document->source;
            const auto wall = m_dependencies.clock.wallTime()
                - std::chrono::duration_cast<SystemTime::duration>(m_dependencies.clock.now() - document->acceptedAt);
            entry["taken_at_ms"]
                = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count());
        }
        summary.append(entry);
    }
    const std::lock_guard lock(m_summaryMutex);
    m_documentsSummary = std::move(summary);
}

Json::Value ControlPlane::documents() const
{
    const std::lock_guard lock(m_summaryMutex);
    return m_documentsSummary;
}

void ControlPlane::addEvent(std::string kind, std::string subject, std::string cause, std::string source)
{
    m_dependencies.metrics.count("snipeweir_event_" + kind + "_total");
    m_events.add({ m_dependencies.clock.wallTime(), std::move(kind), std::move(subject), std::move(cause),
        std::move(source), {} });
}

}
