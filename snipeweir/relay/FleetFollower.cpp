#include "snipeweir/relay/FleetFollower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>
#include <unordered_set>
#include <xxhash.h>
#include <zstd.h>

namespace snipeweir {

namespace {

    /// A node that has read the source within this time also watches the operators' documents.
    constexpr std::chrono::milliseconds readerWindow { 1500 };
    /// Duration of one watch; bounds the delay of a change that the watch misses.
    constexpr std::chrono::milliseconds operatorsWatchDuration { 5000 };
    constexpr std::chrono::milliseconds operatorsRetryDelay { 300 };
    /// Interval between full reads of the backend servers, in case an incremental read missed a change.
    constexpr std::chrono::milliseconds fullReadInterval { 5000 };
    /// Jitter on the first read, in milliseconds, so that nodes that start together don't all read the source at once.
    constexpr uint64_t maxStartJitterMs = 1200;
    /// Intervals between subscriptions before and after the first announcement, and the lifetime of a subscription.
    constexpr std::chrono::milliseconds initialSubscriptionInterval { 150 };
    constexpr std::chrono::milliseconds subscriptionInterval { 2000 };
    constexpr std::chrono::milliseconds subscriptionLifetime { 7000 };
    constexpr size_t maxSubscribers = 4096;
    /// Maximum number of nodes that are subscribed at once when their backend servers leave; a lost data centre has
    /// more.
    constexpr size_t maxDroppedSubscribers = 32;
    /// Number of lowest-ranked nodes to subscribe to; one of them reads the source.
    constexpr size_t subscribedRanks = 2;
    /// Duration of the watch that only asks whether there is a change.
    constexpr std::chrono::milliseconds minWatchDuration { 1 };
    /// Age of the last confirmation at which this node asks the source itself, and its increase per rank up to a
    /// maximum. Confirmations arrive every 0.7 s, and unknown keys are denied up to an age of 2 s.
    constexpr std::chrono::milliseconds maxConfirmationAge { 1500 };
    constexpr std::chrono::milliseconds confirmationStep { 100 };
    constexpr size_t maxConfirmationRank = 40;
    /// Rank of an unregistered node that is not a seed, so that all other nodes read first.
    constexpr size_t lastRank = 1000;
    /// Log lines on skipped items for one document; the metric counts all.
    constexpr size_t maxSkippedLogged = 32;
    constexpr int compressionLevel = 3;
    /// Minimum interval between replies to announcers that know less.
    constexpr std::chrono::milliseconds informInterval { 200 };
    /// Number of nodes that reply to one announcer.
    constexpr size_t maxInformers = 4;
    /// Nodes asked at once whether they could read the source during a gap, and the time for their replies. With a
    /// third of the fleet partitioned off at once, one of eight nodes is unaffected in all but 1 of 6,500 cases.
    constexpr size_t continuityTargets = 8;
    constexpr std::chrono::milliseconds continuityInterval { 200 };
    constexpr size_t continuityRounds = 5;
    /// Maximum age of a query whose reply is used; a suspended process may receive replies much later.
    constexpr std::chrono::milliseconds maxContinuityReplyTime { 1000 };

    /// @return Settings of the connections for documents, which are also fetched over full links.
    ConnectionPool::Settings documentPoolSettings()
    {
        ConnectionPool::Settings settings;
        settings.connectTimeout = DocumentFetcher::attemptTimeout;
        return settings;
    }

    uint64_t hashOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

    std::string compress(std::string_view text)
    {
        std::string compressed(ZSTD_compressBound(text.size()), '\0');
        const size_t size
            = ZSTD_compress(compressed.data(), compressed.size(), text.data(), text.size(), compressionLevel);
        compressed.resize(ZSTD_isError(size) ? 0 : size);
        return compressed;
    }

    /// @return Number of instances that are in the first list only.
    size_t countDropped(const std::vector<BackendEntry>& before, const std::vector<BackendEntry>& after)
    {
        std::set<std::string_view> instances;
        for (const BackendEntry& entry : after)
            instances.insert(entry.instance);
        return static_cast<size_t>(std::count_if(before.begin(), before.end(),
            [&](const BackendEntry& entry) { return !instances.contains(entry.instance); }));
    }

    /// @param kept Instances that the source has lost. Other nodes must learn when it has them again.
    /// @param excluded Instances to leave out.
    uint64_t digestOf(
        const FleetView& view, const std::vector<std::string>& kept, const std::vector<std::string>& excluded = {})
    {
        std::string text;
        for (const std::string& instance : kept)
            text.append(instance).append("k");
        for (const BackendEntry& entry : view.backends()) {
            if (std::find(excluded.begin(), excluded.end(), entry.instance) != excluded.end())
                continue;
            text.append(entry.instance)
                .append(entry.address.text())
                .append(entry.service.text())
                .append(entry.dataCentre.text())
                .append(entry.isDraining ? "d" : "r")
                .append(std::to_string(entry.slots))
                .append("@")
                .append(std::to_string(entry.startedAtMs));
        }
        return hashOf(text);
    }

}

FleetFollower::FleetFollower(const asio::any_io_executor& executor, const Clock& clock, const RelaySettings& node,
    FleetSource source, FleetView& view, PeerLoads& peers, JsonLog& log, uint64_t incarnation)
    : m_executor(executor)
    , m_clock(clock)
    , m_node(node)
    , m_source(std::move(source))
    , m_view(view)
    , m_peers(peers)
    , m_log(log)
    , m_pool(executor, clock, documentPoolSettings())
    , m_backendsFetcher(executor, clock, m_pool, node.peersAddress.port, backendsPath)
    , m_operatorsFetcher(executor, clock, m_pool, node.peersAddress.port, operatorsPath)
    , m_pollSchedule(SourcePollSchedule::Settings())
    , m_registry(clock, BackendRegistry::Settings(), m_source.decodeBackend)
    , m_operators(m_source.decodeOperators)
    , m_tree(DistributionTree::Settings())
    , m_freshness(clock)
    , m_incarnation(incarnation)
    , m_backendsTimer(executor)
    , m_operatorTimer(executor)
{
    m_pool.onMalformedResponse = malformedResponseLogger(log);
    m_freshness.setSettings(node.keyRevocation);
    updateRank();
    std::chrono::milliseconds jitter(hashOf(node.peersAddress.ip) % maxStartJitterMs);
    // Seeds read without delay, since other nodes subscribe to them.
    if (seedIndex())
        jitter = std::chrono::milliseconds(0);
    m_pollSchedule.start(clock.now(), jitter);
    m_registry.isKnownService = [this](const ServiceName& service) { return m_view.isKnownService(service); };
    m_backendsFetcher.onFetched = [this](DocumentFetcher::Fetched fetched) { takeFetched(std::move(fetched)); };
    m_operatorsFetcher.onFetched = [this](const DocumentFetcher::Fetched& fetched) { takeFetchedOperators(fetched); };
    // Only the operators' document is read at once; followBackends() reads the backend servers once the view is old.
    m_backendsFetcher.onFailed
        = [this](const DocumentFetcher::Failure& failure) { logFailedFetch("backends", failure); };
    m_operatorsFetcher.onFailed = [this](const DocumentFetcher::Failure& failure) {
        logFailedFetch("operators", failure);
        asio::co_spawn(m_executor, readOperatorsOnce(), asio::detached);
    };
}

std::chrono::milliseconds FleetFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_pollSchedule.age(m_clock.now()));
}

bool FleetFollower::isReader() const { return m_clock.now() - m_readAt < readerWindow; }

void FleetFollower::markViewCurrent(SteadyTime asOf)
{
    m_pollSchedule.onViewCurrent(asOf);
    if (m_outages.onViewCurrent(asOf) && !m_isConfirmingOutage)
        asio::co_spawn(m_executor, confirmOutage(), asio::detached);
}

asio::awaitable<void> FleetFollower::confirmOutage()
{
    m_isConfirmingOutage = true;
    Timer timer(m_executor);
    size_t next = 0;
    for (size_t round = 0; round < continuityRounds && m_outages.hasOutage(); ++round) {
        // Each node asks those after it in the common order, so that a node gets about as many queries as it sends.
        const std::vector<std::string> order = m_tree.order();
        const auto own
            = static_cast<size_t>(std::find(order.begin(), order.end(), m_node.peersAddress.ip) - order.begin());
        PeerMessage query;
        query.kind = PeerMessage::Kind::ContinuityQuery;
        query.nonce = ++m_continuityNonce;
        m_continuityAskedAt = m_clock.now();
        for (size_t count = 0; count < std::min(continuityTargets, order.size()); ++count) {
            const std::string& ip = order[(own + ++next) % order.size()];
            if (ip != m_node.peersAddress.ip)
                m_peers.send(ip, query);
        }
        timer.expires_after(continuityInterval);
        co_await timer.async_wait(asTuple);
    }
    m_isConfirmingOutage = false;
}

void FleetFollower::onContinuity(const std::string& ip, const PeerMessage& message)
{
    if (message.kind == PeerMessage::Kind::ContinuityQuery) {
        PeerMessage reply;
        reply.kind = PeerMessage::Kind::ContinuityReply;
        reply.nonce = message.nonce;
        reply.continuity = continuity();
        m_peers.send(ip, reply);
        return;
    }
    const SteadyTime now = m_clock.now();
    if (message.nonce != m_continuityNonce || now - m_continuityAskedAt > maxContinuityReplyTime)
        return;
    limitOutage(message.continuity, m_continuityAskedAt, now);
    expireMissing();
}

void FleetFollower::limitOutage(const SourceContinuity& other, SteadyTime requestedAt, SteadyTime receivedAt)
{
    if (m_outages.onContinuity(other, requestedAt, receivedAt))
        m_view.limitMissing(m_outages.outageEnd());
}

void FleetFollower::expireMissing()
{
    const SteadyTime currentAt = m_pollSchedule.lastCurrentAt();
    if (m_registry.expireKept(currentAt))
        applyBackends();
    if (!m_view.expireMissing(currentAt))
        return;
    m_backendsVersion.digest = digestOf(m_view, m_registry.keptInstances());
    m_compressedBackends.clear();
    updateRank();
    onChanged();
}

void FleetFollower::expireKeptEvacuations()
{
    if (!m_operators.dropKept(m_pollSchedule.lastCurrentAt()))
        return;
    m_compressedOperators.clear();
    updateOperatorState();
}

void FleetFollower::noteEra(uint64_t era)
{
    const bool lackedHistory = isSourceCatchingUp() && !hasHistory();
    if (!m_eras.onEra(era, m_clock.now()))
        return;
    ++m_counters.eraChanges;
    m_hasBackendHistory = m_backendsVersion.version.isKnown() && !lackedHistory;
    m_hasOperatorHistory = m_operatorsVersion.version.isKnown() && !lackedHistory;
    m_registry.setEraBegin(*m_eras.begin());
}

void FleetFollower::noteEraOf(const PeerMessage& announcement)
{
    const uint64_t era = std::max(announcement.backends.version.era, announcement.operators.version.era);
    noteEra(era);
    noteEraBegin(era, announcement.eraAge);
}

void FleetFollower::noteEraBegin(uint64_t era, std::optional<std::chrono::milliseconds> eraAge)
{
    if (!eraAge)
        return;
    m_eras.onBegin(era, m_clock.now() - *eraAge);
    if (m_eras.begin())
        m_registry.setEraBegin(*m_eras.begin());
}

std::optional<std::chrono::milliseconds> FleetFollower::eraAge() const
{
    if (!hasHistory() || !m_eras.begin() || !isInCurrentEra())
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - *m_eras.begin());
}

void FleetFollower::confirmVersions(const PeerMessage& announcement)
{
    const SourceDocumentVersion& backends = announcement.backends;
    if (backends.version.era > m_backendsVersion.version.era && backends.digest == m_backendsVersion.digest) {
        m_registry.confirmVersion(backends.version);
        applyBackends();
    }
    const SourceDocumentVersion& operators = announcement.operators;
    if (operators.version.era > m_operatorsVersion.version.era && operators.digest == m_operatorsVersion.digest) {
        const SourceVersion before = m_operators.version();
        m_operators.confirmVersion(operators.version);
        m_operatorsVersion.version = operators.version;
        logEraChange("operators", before, operators.version, std::string(), 0);
    }
}

void FleetFollower::dropKeptWith(const PeerMessage& announcement, SteadyTime readAt)
{
    const auto expiry = m_registry.nextExpiry();
    if (!expiry || readAt < *expiry || announcement.backends.version < m_backendsVersion.version)
        return;
    if (announcement.backends.digest == digestOf(m_view, {}, m_registry.keptInstances())
        && m_registry.expireKept(readAt))
        applyBackends();
}

bool FleetFollower::lacksHistoryOf(const PeerMessage& announcement) const
{
    return announcement.eraAge && !hasHistory() && isSourceCatchingUp();
}

bool FleetFollower::isInCurrentEra() const
{
    return m_backendsVersion.version.era == m_eras.era() && m_operatorsVersion.version.era == m_eras.era();
}

void FleetFollower::informAnnouncer(const std::string& ip, const PeerMessage& announcement)
{
    if (announcement.backends.version.era == 0 || !isInCurrentEra() || ip != announcement.announcer
        || m_clock.now() - m_informedAt < informInterval)
        return;
    // The announcer fetches from each node that replies.
    const std::vector<std::string> informers = m_tree.children(ip, ip, 0);
    const auto end = informers.begin() + static_cast<ptrdiff_t>(std::min(informers.size(), maxInformers));
    if (std::find(informers.begin(), end, m_node.peersAddress.ip) == end)
        return;
    const bool lacksHistory = hasHistory() && !announcement.eraAge && isSourceCatchingUp();
    const bool isOutdated = announcement.backends.version.era < m_eras.era();
    if (!lacksHistory && !isOutdated && announcement.configuration >= m_operators.configurationVersion())
        return;
    m_informedAt = m_clock.now();
    m_peers.send(ip, makeAnnouncement());
}

void FleetFollower::confirmInstance(const std::string& instance)
{
    m_registry.confirm(m_node.backendAddress, instance);
    if (m_backendsVersion.version.isKnown())
        applyBackends();
}

void FleetFollower::takeFetched(DocumentFetcher::Fetched fetched)
{
    const SourceVersion version = fetched.document.version;
    if (version.era < m_eras.era())
        return;
    noteEra(version.era);
    markViewCurrent(fetched.readAt);
    if (fetched.continuity)
        limitOutage(*fetched.continuity, fetched.requestedAt, fetched.receivedAt);
    noteEraBegin(version.era, fetched.eraAge);
    m_hasBackendHistory = m_hasBackendHistory || fetched.eraAge;
    const bool isOlder = version < m_registry.version();
    if (isOlder && (!fetched.eraAge || !isSourceCatchingUp())) {
        expireMissing();
        return;
    }
    const std::vector<SourceItem> items = decodeItems(fetched.document.text);
    if (isOlder) {
        m_registry.takeLost(items);
    } else {
        m_registry.takeDocument(version, items);
        m_fetchedDigest = version == fetched.announced.version ? fetched.announced.digest : 0;
    }
    applyBackends();
    expireMissing();
}

void FleetFollower::takeFetchedOperators(const DocumentFetcher::Fetched& fetched)
{
    if (fetched.document.version.era < m_eras.era())
        return;
    noteEra(fetched.document.version.era);
    noteEraBegin(fetched.document.version.era, fetched.eraAge);
    m_hasOperatorHistory = m_hasOperatorHistory || fetched.eraAge;
    applyOperators(fetched.document);
}

std::optional<SourceDocument> FleetFollower::compressedDocument(std::string_view path)
{
    const bool isBackends = path == backendsPath;
    if (!isBackends && path != operatorsPath)
        return std::nullopt;
    const SourceVersion version = isBackends ? m_backendsVersion.version : m_operators.version();
    if (!version.isKnown())
        return std::nullopt;
    std::string& compressed = isBackends ? m_compressedBackends : m_compressedOperators;
    if (compressed.empty() && isBackends) {
        const auto isKept = [this](const std::string& instance) { return m_view.isMissing(instance); };
        compressed = compress(encodeItems(m_registry.document(isKept)));
    } else if (compressed.empty()) {
        compressed = compress(m_operators.text());
    }
    return SourceDocument { version, compressed };
}

void FleetFollower::applyBackends()
{
    BackendList list = m_registry.list();
    const SourceVersion version = list.version;
    const SourceVersion versionBefore = m_view.backendVersion();
    const std::vector<BackendEntry> before
        = version.era == versionBefore.era ? std::vector<BackendEntry>() : m_view.backends();
    reportSkipped(m_skippedBackends, std::move(list.skipped), version);
    const bool isChanged
        = m_view.updateBackends(std::move(list), m_outages.outageEnd(), m_pollSchedule.lastCurrentAt());
    m_compressedBackends.clear();
    m_backendsVersion = { version, digestOf(m_view, m_registry.keptInstances()) };
    if (version.era != versionBefore.era && versionBefore.isKnown())
        logEraChange("backends", versionBefore, version, std::to_string(m_registry.keptInstances().size()),
            countDropped(before, m_view.backends()));
    if (!isChanged)
        return;
    m_log.logStateChange("backends_changed",
        { { "revision", version.text() }, { "entries", std::to_string(m_view.backends().size()) } });
    updateRank();
    onChanged();
}

void FleetFollower::logEraChange(std::string_view document, const SourceVersion& before, const SourceVersion& version,
    const std::string& kept, size_t dropped)
{
    m_log.logStateChange("source_era_changed",
        { { "document", std::string(document) }, { "before", before.text() }, { "version", version.text() },
            { "kept", kept }, { "dropped", std::to_string(dropped) } });
}

void FleetFollower::reportSkipped(
    SkippedEntries& history, std::vector<SkippedEntry> skipped, const SourceVersion& version)
{
    const std::vector<SkippedEntry> added = history.update(std::move(skipped));
    m_counters.skippedEntries += added.size();
    for (size_t i = 0; i < std::min(added.size(), maxSkippedLogged); ++i)
        m_log.logStateChange("entry_skipped",
            { { "key", added[i].key }, { "reason", added[i].reason }, { "revision", version.text() } });
}

bool FleetFollower::checkRead(std::string_view document, const SourceVersion& read, const SourceVersion& known)
{
    const bool isEarlierEra = read.era < m_eras.era();
    if (read >= known && !isEarlierEra) {
        const auto found = m_outdatedDocuments.find(document);
        if (found != m_outdatedDocuments.end())
            m_outdatedDocuments.erase(found);
        return true;
    }
    ++m_counters.outdatedReads;
    if (m_outdatedDocuments.emplace(document).second)
        m_log.logStateChange("source_outdated",
            { { "document", std::string(document) }, { "revision", read.text() },
                { "known", std::max(known, SourceVersion({}, m_eras.era())).text() } });
    return !isEarlierEra;
}

void FleetFollower::applyOperators(const SourceDocument& document)
{
    const OperatorState before = m_operators.state();
    std::optional<SteadyTime> keepUntil;
    if (isSourceCatchingUp())
        keepUntil = *m_eras.begin() + OperatorDocument::evacuationGrace;
    const bool isChanged = m_operators.take(document, keepUntil);
    m_operatorsVersion = { m_operators.version(), m_operators.digest() };
    m_freshness.onDocument(m_operators.digest());
    const OperatorState& state = m_operators.state();
    if (before.version.isKnown() && state.version.era != before.version.era) {
        std::string kept;
        if (m_operators.isConfigurationKept())
            kept = "configuration " + std::to_string(state.configuration->version.value);
        for (const DataCentreName& dataCentre : m_operators.keptEvacuations())
            kept.append(kept.empty() ? "" : ", ").append("evacuation ").append(dataCentre.text());
        const auto dropped = std::count_if(before.evacuated.begin(), before.evacuated.end(),
            [&](const DataCentreName& dataCentre) { return !state.evacuated.contains(dataCentre); });
        logEraChange("operators", before.version, state.version, kept, static_cast<size_t>(dropped));
    }
    reportSkipped(m_skippedOperatorItems, state.skipped, state.version);
    if (!isChanged)
        return;
    m_compressedOperators.clear();
    updateOperatorState();
}

void FleetFollower::updateOperatorState()
{
    if (!m_view.updateOperatorState(m_operators.state()))
        return;
    std::string evacuated;
    for (const DataCentreName& dataCentre : m_view.evacuated())
        evacuated.append(evacuated.empty() ? "" : ",").append(dataCentre.text());
    const auto routes = m_view.routes();
    const auto organisations = routes ? routes->configuration().organisations : nullptr;
    m_log.logStateChange("configuration_taken",
        { { "version", std::to_string(routes ? routes->configuration().version.value : 0) },
            { "revision", m_operators.version().text() }, { "evacuated", evacuated },
            { "organisations", std::to_string(organisations ? organisations->organisationCount() : 0) },
            { "keys", std::to_string(organisations ? organisations->keyCount() : 0) } });
    // Entries of a service that the configuration now names compete for their addresses.
    if (m_backendsVersion.version.isKnown())
        applyBackends();
    onChanged();
}

void FleetFollower::updateRank()
{
    std::set<std::pair<uint64_t, std::string>> order;
    order.emplace(hashOf(m_node.peersAddress.ip), m_node.peersAddress.ip);
    for (const BackendEntry& entry : m_view.backends())
        order.emplace(hashOf(entry.address.ip), entry.address.ip);
    std::vector<std::string> ips;
    ips.reserve(order.size());
    for (const auto& [hash, ip] : order)
        ips.push_back(ip);
    auto rank = static_cast<size_t>(std::find(ips.begin(), ips.end(), m_node.peersAddress.ip) - ips.begin());
    // Registered nodes and seeds read the source before an unregistered node does.
    if (!isRegistered() && !m_node.seeds.empty())
        rank = seedIndex().value_or(lastRank);
    m_rank = rank;
    m_pollSchedule.setRank(static_cast<uint32_t>(rank), ips.size());
    m_peers.keepOnly(ips);
    for (LastAnnouncements* last : { &m_lastAnnouncements, &m_lastConfirmations })
        std::erase_if(
            *last, [&](const auto& entry) { return std::find(ips.begin(), ips.end(), entry.first) == ips.end(); });
    subscribeDropped(ips);
    m_tree.setOrder(std::move(ips));
}

void FleetFollower::subscribeDropped(const std::vector<std::string>& order)
{
    const std::unordered_set<std::string_view> remaining(order.begin(), order.end());
    size_t count = 0;
    for (const std::string& ip : m_tree.order()) {
        if (count == maxDroppedSubscribers || m_subscribers.size() >= maxSubscribers)
            return;
        if (remaining.contains(ip))
            continue;
        m_subscribers[ip] = m_clock.now() + subscriptionLifetime;
        ++count;
    }
}

std::optional<size_t> FleetFollower::seedIndex() const
{
    const auto seed = std::find(m_node.seeds.begin(), m_node.seeds.end(), m_node.peersAddress.ip);
    if (seed == m_node.seeds.end())
        return std::nullopt;
    return static_cast<size_t>(seed - m_node.seeds.begin());
}

bool FleetFollower::isRegistered() const
{
    const auto& entries = m_view.backends();
    return std::any_of(entries.begin(), entries.end(),
        [this](const BackendEntry& entry) { return entry.address.ip == m_node.peersAddress.ip; });
}

PeerMessage FleetFollower::makeAnnouncement()
{
    PeerMessage message;
    message.kind = PeerMessage::Kind::Announcement;
    message.backends = m_backendsVersion;
    message.operators = m_operatorsVersion;
    message.age = age();
    message.configuration = m_operators.configurationVersion();
    message.eraAge = eraAge();
    message.announcer = m_node.peersAddress.ip;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    return message;
}

void FleetFollower::announce() { broadcast(makeAnnouncement()); }

void FleetFollower::broadcast(PeerMessage message)
{
    // Unregistered nodes are not in the tree, so their subscriptions are served directly.
    std::erase_if(m_subscribers, [now = m_clock.now()](const auto& entry) { return entry.second <= now; });
    const auto& order = m_tree.order();
    for (const auto& [ip, until] : m_subscribers) {
        if (std::find(order.begin(), order.end(), ip) == order.end())
            m_peers.send(ip, message);
    }
    message.hopsLeft = m_tree.maxHops();
    for (message.tree = 0; message.tree < DistributionTree::treeCount; ++message.tree)
        forwardAnnouncement(message);
}

void FleetFollower::announceAttempt()
{
    // A node without documents has nothing to say that others could rely on.
    if (m_backendsVersion.version.isKnown() && m_operatorsVersion.version.isKnown())
        announce();
}

asio::awaitable<void> FleetFollower::subscribe()
{
    Timer timer(m_executor);
    for (;;) {
        if (!isRegistered()) {
            std::set<std::string> targets(m_node.seeds.begin(), m_node.seeds.end());
            const auto& order = m_tree.order();
            targets.insert(
                order.begin(), order.begin() + static_cast<ptrdiff_t>(std::min(order.size(), subscribedRanks)));
            targets.insert(m_lastAnnouncer);
            targets.erase(m_node.peersAddress.ip);
            targets.erase(std::string());
            PeerMessage message;
            message.kind = PeerMessage::Kind::Subscription;
            for (const std::string& ip : targets)
                m_peers.send(ip, message);
        }
        timer.expires_after(m_lastAnnouncer.empty() ? initialSubscriptionInterval : subscriptionInterval);
        co_await timer.async_wait(asTuple);
    }
}

void FleetFollower::onSubscription(const std::string& ip)
{
    if (m_subscribers.size() >= maxSubscribers && !m_subscribers.contains(ip))
        return;
    m_subscribers[ip] = m_clock.now() + subscriptionLifetime;
    if (m_operatorsVersion.version.isKnown())
        m_peers.send(ip, makeAnnouncement());
    if (const auto confirmation = makeConfirmation())
        m_peers.send(ip, *confirmation);
}

void FleetFollower::forwardAnnouncement(PeerMessage message)
{
    if (message.hopsLeft == 0)
        return;
    --message.hopsLeft;
    for (const std::string& ip : m_tree.children(message.announcer, m_node.peersAddress.ip, message.tree))
        m_peers.send(ip, message);
}

bool FleetFollower::recordIfNewer(LastAnnouncements& announcements, const PeerMessage& message)
{
    LastAnnouncement& last = announcements[message.announcer];
    if (last.incarnation == message.incarnation && message.sequence <= last.sequence)
        return false;
    last = { message.incarnation, message.sequence };
    return true;
}

void FleetFollower::onAnnouncement(const std::string& ip, const PeerMessage& message)
{
    if (message.announcer == m_node.peersAddress.ip || message.tree >= DistributionTree::treeCount)
        return;
    forwardAnnouncement(message);
    if (message.kind == PeerMessage::Kind::Confirmation) {
        if (recordIfNewer(m_lastConfirmations, message))
            m_freshness.onConfirmed(message.operators.digest, m_clock.now() - message.age);
        return;
    }
    if (!recordIfNewer(m_lastAnnouncements, message))
        return;
    m_lastAnnouncer = message.announcer;
    m_pollSchedule.onReaderHeard(m_clock.now());
    noteEraOf(message);
    informAnnouncer(ip, message);
    if (message.backends.version.era < m_eras.era())
        return;
    const bool lacksHistory = lacksHistoryOf(message);
    const SteadyTime readAt = m_clock.now() - message.age;
    dropKeptWith(message, readAt);
    // Entries that the announcer kept may be gone without a later version. While entries are written again, nodes that
    // know different things about one need not judge it differently for long.
    const bool isLaterOrDropped = message.backends.version > m_backendsVersion.version
        || (message.backends.version == m_backendsVersion.version && !m_registry.keptInstances().empty());
    const bool wasFetched = message.backends.digest == m_fetchedDigest && !isSourceCatchingUp();
    const bool hasNewBackends = isLaterOrDropped && message.backends.digest != m_backendsVersion.digest && !wasFetched;
    const bool hasNewOperators = message.operators.version > m_operatorsVersion.version
        && message.operators.digest != m_operatorsVersion.digest;
    const bool hasLaterConfiguration = message.operators.version.era >= m_operatorsVersion.version.era
        && message.configuration > m_operators.configurationVersion();
    if (!hasNewBackends && message.backends.version >= m_backendsVersion.version) {
        markViewCurrent(readAt);
        expireMissing();
        if (!hasNewOperators)
            expireKeptEvacuations();
    }
    confirmVersions(message);
    DistributionTree::Source source = m_tree.documentSource(message.announcer, m_node.peersAddress.ip);
    // Other nodes than the announcer may have no history either.
    if (lacksHistory)
        source = { message.announcer };
    if (hasNewBackends || lacksHistory) {
        ++m_counters.fetches;
        m_backendsFetcher.fetch({ message.backends, source, message.announcer, ip, readAt });
    }
    if (hasNewOperators || hasLaterConfiguration || lacksHistory) {
        ++m_counters.fetches;
        m_operatorsFetcher.fetch({ message.operators, source, message.announcer, ip, readAt });
    }
}

void FleetFollower::logFailedFetch(std::string_view document, const DocumentFetcher::Failure& failure)
{
    m_log.logStateChange("fetch_failed",
        { { "from", failure.announcer }, { "document", std::string(document) },
            { "attempts", std::to_string(failure.attempts) }, { "responses", std::to_string(failure.responses) },
            { "took_ms", std::to_string(failure.took.count()) } });
}

asio::awaitable<void> FleetFollower::readOperatorsOnce()
{
    const SteadyTime asOf = m_clock.now();
    ++m_counters.sourceReads;
    auto document = co_await m_source.readOperators();
    if (!document || !checkRead("operators", document->version, m_operators.version()))
        co_return;
    noteEra(document->version.era);
    applyOperators(*document);
    confirmOperators(asOf);
}

asio::awaitable<void> FleetFollower::readOperatorsOfNewEra()
{
    co_await readOperatorsOnce();
    announce();
}

bool FleetFollower::hasOrganisations() const
{
    const auto routes = m_view.routes();
    return routes && routes->configuration().organisations;
}

std::optional<PeerMessage> FleetFollower::makeConfirmation()
{
    if (!hasOrganisations() || m_freshness.age() == std::chrono::nanoseconds::max())
        return std::nullopt;
    PeerMessage message;
    message.kind = PeerMessage::Kind::Confirmation;
    message.operators = m_operatorsVersion;
    message.age = std::chrono::ceil<std::chrono::milliseconds>(m_freshness.age());
    message.announcer = m_node.peersAddress.ip;
    message.incarnation = m_incarnation;
    message.sequence = ++m_confirmationSequence;
    return message;
}

void FleetFollower::confirmOperators(SteadyTime asOf)
{
    m_freshness.onConfirmed(m_operatorsVersion.digest, asOf);
    if (auto confirmation = makeConfirmation())
        broadcast(std::move(*confirmation));
}

asio::awaitable<void> FleetFollower::checkOperators()
{
    m_isCheckingOperators = true;
    m_operatorsCheckedAt = m_clock.now();
    const SteadyTime asOf = m_operatorsCheckedAt;
    const SourceVersion known = m_operators.version();
    const uint64_t knownDigest = m_operatorsVersion.digest;
    ++m_counters.sourceReads;
    const std::optional<bool> hasChanged = co_await m_source.watchOperators(known, minWatchDuration);
    const bool wasReadMeanwhile = m_operators.version() != known;
    if (hasChanged && !*hasChanged && !wasReadMeanwhile)
        confirmOperators(asOf);
    else if (!wasReadMeanwhile)
        co_await readOperatorsOnce();
    if (m_operatorsVersion.digest != knownDigest && !wasReadMeanwhile)
        announce();
    m_isCheckingOperators = false;
}

void FleetFollower::startOperatorsCheck()
{
    if (hasOrganisations() && !m_isCheckingOperators)
        asio::co_spawn(m_executor, checkOperators(), asio::detached);
}

void FleetFollower::checkOperatorsIfUnconfirmed()
{
    const auto wait = maxConfirmationAge + confirmationStep * std::min(m_rank, maxConfirmationRank);
    // While nobody can read the source, further attempts would only add to its load.
    const bool isSourceAvailable = age() <= maxConfirmationAge;
    if (isSourceAvailable && m_freshness.age() > wait && m_clock.now() - m_operatorsCheckedAt > wait)
        startOperatorsCheck();
}

asio::awaitable<void> FleetFollower::followBackends()
{
    for (;;) {
        checkOperatorsIfUnconfirmed();
        SteadyTime next = m_pollSchedule.nextRead();
        // Missing entries are removed once the view was current after their grace period, so the reading node reads
        // then.
        for (const std::optional<SteadyTime> expiry : { m_view.nextExpiry(), m_registry.nextExpiry() }) {
            if (expiry && isReader() && *expiry > m_readStartedAt)
                next = std::min(next, *expiry);
        }
        if (next > m_clock.now()) {
            m_backendsTimer.expires_at(next);
            co_await m_backendsTimer.async_wait(asTuple);
            continue;
        }
        co_await readBackends();
    }
}

asio::awaitable<void> FleetFollower::readBackends()
{
    const SteadyTime asOf = m_clock.now();
    m_readStartedAt = asOf;
    const uint64_t era = m_registry.version().era;
    const bool hasDocument = m_backendsVersion.version.isKnown() && era == m_eras.era();
    // An incremental read takes one call, a full read one call for each page.
    if (hasDocument) {
        ++m_counters.sourceReads;
        const auto changes = co_await m_source.readBackendChanges(m_registry.version().revision);
        if (changes && changes->version.era == m_registry.version().era && changes->version.era == m_eras.era()) {
            m_registry.takeChanges(*changes);
            finishRead(asOf);
            // A full read hides writes, so it follows the changes as closely as possible.
            if (!m_isReadingAll && asOf - m_fullReadAt >= fullReadInterval) {
                m_fullReadAt = asOf;
                m_isReadingAll = true;
                asio::co_spawn(m_executor, readAllBackends(), asio::detached);
            }
            co_return;
        }
        announceAttempt();
    }
    ++m_counters.sourceReads;
    auto items = co_await m_source.readBackends();
    m_fullReadAt = items ? asOf : SteadyTime {};
    if (items && checkRead("backends", items->version, m_registry.version())) {
        noteEra(items->version.era);
        m_registry.takeList(*items);
        finishRead(asOf);
        co_return;
    }
    ++m_counters.sourceFailures;
    m_pollSchedule.onReadFailed(m_clock.now());
    if (!m_isSourceUnavailable)
        m_log.logStateChange("source_lost", { { "age_ms", std::to_string(age().count()) } });
    m_isSourceUnavailable = true;
    announceAttempt();
}

asio::awaitable<void> FleetFollower::readAllBackends()
{
    ++m_counters.sourceReads;
    auto items = co_await m_source.readBackends();
    if (!items || !co_await takeFullRead(std::move(*items)))
        ++m_counters.sourceFailures;
    m_isReadingAll = false;
}

asio::awaitable<bool> FleetFollower::takeFullRead(SourceItems items)
{
    if (items.version.era < m_eras.era())
        co_return false;
    noteEra(items.version.era);
    // Incremental reads may have gone on meanwhile, so the list may be older or newer than the registry.
    if (items.version < m_registry.version() || m_registry.hidesWrites(items)) {
        ++m_counters.sourceReads;
        const SourceVersion since = std::min(items.version, m_registry.version());
        const auto changes = co_await m_source.readBackendChanges(since.revision);
        if (!changes || changes->version.era != since.era || items.version.era != m_eras.era())
            co_return false;
        m_registry.takeChanges(*changes);
        items = applyChanges(std::move(items), *changes);
    }
    m_registry.takeList(items);
    const uint64_t digest = m_backendsVersion.digest;
    applyBackends();
    if (m_backendsVersion.digest != digest)
        announce();
    co_return true;
}

void FleetFollower::finishRead(SteadyTime asOf)
{
    if (m_isSourceUnavailable)
        m_log.logStateChange("source_regained", { { "age_ms", std::to_string(age().count()) } });
    m_isSourceUnavailable = false;
    const bool wasReader = isReader();
    m_readAt = m_clock.now();
    m_pollSchedule.onReadSucceeded();
    markViewCurrent(asOf);
    m_fetchedDigest = 0;
    m_registry.expireKept(asOf);
    applyBackends();
    expireKeptEvacuations();
    if (!wasReader)
        m_operatorTimer.cancel();
    announce();
    startOperatorsCheck();
    // The watch on the operators' document may not have noticed yet.
    if (m_operators.version().isKnown() && m_operators.version().era < m_eras.era())
        asio::co_spawn(m_executor, readOperatorsOfNewEra(), asio::detached);
}

asio::awaitable<void> FleetFollower::followOperators()
{
    constexpr int maxEmptyWatches = 2;
    int emptyWatches = 0;
    bool mustRead = true;
    for (;;) {
        if (!isReader()) {
            m_operatorTimer.expires_after(readerWindow);
            co_await m_operatorTimer.async_wait(asTuple);
            mustRead = true;
            continue;
        }
        std::optional<bool> hasChanged;
        if (!mustRead) {
            ++m_counters.sourceReads;
            hasChanged = co_await m_source.watchOperators(m_operators.version(), operatorsWatchDuration);
            // A watch without an event needs no read, unless several in a row may have missed one.
            if (hasChanged && !*hasChanged && ++emptyWatches < maxEmptyWatches)
                continue;
        }
        emptyWatches = 0;
        ++m_counters.sourceReads;
        const SteadyTime asOf = m_clock.now();
        auto document = co_await m_source.readOperators();
        if (document && !checkRead("operators", document->version, m_operators.version()))
            document.reset();
        mustRead = !document;
        if (document) {
            noteEra(document->version.era);
            applyOperators(*document);
            announce();
            confirmOperators(asOf);
        }
        if (!document || !m_view.routes()) {
            m_counters.sourceFailures += document ? 0 : 1;
            m_operatorTimer.expires_after(operatorsRetryDelay);
            co_await m_operatorTimer.async_wait(asTuple);
        }
    }
}

}
