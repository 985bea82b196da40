#include "snipeweir/relay/FleetFollower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>
#include <xxhash.h>
#include <zstd.h>

namespace snipeweir {

namespace {

    using End = HttpExchange::End;

    /// A backend server's entry lapses after several seconds of silence, so that a shorter outage makes none lapse.
    constexpr std::chrono::milliseconds outageLeast { 2500 };
    /// Entries may be missing for this long after an outage.
    constexpr std::chrono::milliseconds outageMemory { 3000 };
    /// A node that read this recently follows the operators' documents as well.
    constexpr std::chrono::milliseconds readerMemory { 1500 };
    /// A watch is answered by then; bounds how long a change stays unseen if the watch misses it.
    constexpr std::chrono::milliseconds operatorWait { 5000 };
    constexpr std::chrono::milliseconds operatorRetry { 300 };
    /// Time after which the backend servers are read whole again, in case that a report of changes missed one.
    constexpr std::chrono::milliseconds wholeReadInterval { 5000 };
    /// Time for a node to begin its answer with a document, and for the whole document to arrive.
    constexpr std::chrono::milliseconds fetchAnswerTimeout { 350 };
    constexpr std::chrono::milliseconds fetchTimeout { 1500 };
    /// Spread of the first reads of nodes that start together.
    constexpr uint64_t startSpreadMs = 1200;
    /// How often a node asks for announcements before it has heard one and later, and how long it gets them.
    constexpr std::chrono::milliseconds firstSubscriptionInterval { 150 };
    constexpr std::chrono::milliseconds subscriptionInterval { 2000 };
    constexpr std::chrono::milliseconds subscriptionLife { 7000 };
    constexpr size_t maxSubscribers = 4096;
    /// Nodes of the first ranks that are asked; one of them reads the source.
    constexpr size_t askedRanks = 2;
    /// Time for one level of the tree to receive a document, and how often a node asks for it beyond its level.
    constexpr std::chrono::milliseconds levelDelay { 120 };
    constexpr uint32_t sourceTries = 2;
    /// Rank of a node that lets all others read first.
    constexpr size_t lastRank = 1000;
    constexpr int compressionLevel = 3;
    constexpr uint64_t maxDocumentBytes = 64U << 20U;

    uint64_t hashOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

    std::string compress(std::string_view text)
    {
        std::string packed(ZSTD_compressBound(text.size()), '\0');
        const size_t size = ZSTD_compress(packed.data(), packed.size(), text.data(), text.size(), compressionLevel);
        packed.resize(ZSTD_isError(size) ? 0 : size);
        return packed;
    }

    std::optional<std::string> decompress(std::string_view packed)
    {
        const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
        if (size > maxDocumentBytes)
            return std::nullopt; // Unknown sizes and errors are above every bound as well.
        std::string text(size, '\0');
        const size_t written = ZSTD_decompress(text.data(), text.size(), packed.data(), packed.size());
        if (ZSTD_isError(written) || written != size)
            return std::nullopt;
        return text;
    }

    uint64_t digestOf(const FleetView& view)
    {
        std::string text;
        for (const BackendEntry& entry : view.backends())
            text.append(entry.instance)
                .append(entry.address.text())
                .append(entry.service.text())
                .append(entry.dataCentre.text())
                .append(entry.isDraining ? "d" : "r")
                .append(std::to_string(entry.slots));
        return hashOf(text);
    }

}

FleetFollower::FleetFollower(const asio::any_io_executor& executor, const Clock& clock, const RelaySettings& node,
    FleetSource source, FleetView& view, PeerLoads& peers, JsonLog& log, uint64_t run)
    : m_executor(executor)
    , m_clock(clock)
    , m_node(node)
    , m_source(std::move(source))
    , m_view(view)
    , m_peers(peers)
    , m_log(log)
    , m_pool(executor, clock, ConnectionPool::Settings())
    , m_turn(ReadTurn::Settings())
    , m_tree(DistributionTree::Settings())
    , m_run(run)
    , m_operatorTimer(executor)
{
    updateRank();
    std::chrono::milliseconds extra(hashOf(node.peers.ip) % startSpreadMs);
    // The seeds read first, since the others ask them.
    if (seedPosition())
        extra = std::chrono::milliseconds(0);
    m_turn.start(clock.now(), extra);
}

std::chrono::milliseconds FleetFollower::age() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_turn.age(m_clock.now()));
}

bool FleetFollower::isReader() const { return m_clock.now() - m_readAt < readerMemory; }

bool FleetFollower::isAfterOutage() const { return m_clock.now() - m_outageAt < outageMemory; }

void FleetFollower::onFresh(SteadyTime asOf)
{
    if (m_turn.freshAt() != SteadyTime {} && asOf - m_turn.freshAt() > outageLeast)
        m_outageAt = m_clock.now();
    m_turn.onFresh(asOf);
}

std::optional<SourceDocument> FleetFollower::packedDocument(std::string_view path)
{
    const bool isBackends = path == backendsPath;
    if (!isBackends && path != operatorsPath)
        return std::nullopt;
    const SourceDocument& document = isBackends ? m_backends : m_operators;
    if (document.revision.value == 0)
        return std::nullopt;
    std::string& packed = isBackends ? m_packedBackends : m_packedOperators;
    if (packed.empty())
        packed = compress(document.text);
    return SourceDocument { document.revision, packed };
}

void FleetFollower::takeBackends(SourceDocument document)
{
    if (document.revision < m_backends.revision)
        return;
    if (document.text == m_backends.text && m_backends.revision.value != 0) {
        m_backends.revision = document.revision;
        m_backendsMark.revision = document.revision.value;
        return;
    }
    BackendList list = m_source.decodeBackends(document);
    list.revision = document.revision;
    const bool isChanged = m_view.takeBackends(std::move(list), isAfterOutage());
    m_backends = std::move(document);
    m_packedBackends.clear();
    m_backendsMark = { m_backends.revision.value, digestOf(m_view) };
    if (!isChanged)
        return;
    m_log.belief("backends_changed",
        { { "revision", std::to_string(m_backends.revision.value) },
            { "entries", std::to_string(m_view.backends().size()) } });
    updateRank();
    onChanged();
}

void FleetFollower::takeOperators(SourceDocument document)
{
    if (document.revision < m_operators.revision)
        return;
    const uint64_t digest = hashOf(document.text);
    const bool isSame = digest == m_operatorsMark.digest;
    m_operatorsMark = { document.revision.value, digest };
    m_operators = std::move(document);
    if (!isSame)
        m_packedOperators.clear();
    if (isSame)
        return;
    OperatorState state = m_source.decodeOperators(m_operators);
    state.revision = m_operators.revision;
    if (!m_view.takeOperatorState(state))
        return;
    std::string evacuated;
    for (const DataCentreName& dataCentre : m_view.evacuated())
        evacuated.append(evacuated.empty() ? "" : ",").append(dataCentre.text());
    m_log.belief("configuration_taken",
        { { "version", std::to_string(m_view.routes() ? m_view.routes()->configuration().version.value : 0) },
            { "revision", std::to_string(m_operators.revision.value) }, { "evacuated", evacuated } });
    onChanged();
}

void FleetFollower::updateRank()
{
    std::set<std::pair<uint64_t, std::string>> order;
    order.emplace(hashOf(m_node.peers.ip), m_node.peers.ip);
    for (const BackendEntry& entry : m_view.backends())
        order.emplace(hashOf(entry.address.ip), entry.address.ip);
    std::vector<std::string> ips;
    ips.reserve(order.size());
    for (const auto& [hash, ip] : order)
        ips.push_back(ip);
    auto rank = static_cast<size_t>(std::find(ips.begin(), ips.end(), m_node.peers.ip) - ips.begin());
    // A node that is not registered leaves reading to the seeds and to those that are.
    if (!isRegistered() && !m_node.seeds.empty())
        rank = seedPosition().value_or(lastRank);
    m_turn.setRank(static_cast<uint32_t>(rank));
    m_peers.keepOnly(ips);
    std::erase_if(
        m_heard, [&](const auto& entry) { return std::find(ips.begin(), ips.end(), entry.first) == ips.end(); });
    m_tree.setOrder(std::move(ips));
}

std::optional<size_t> FleetFollower::seedPosition() const
{
    const auto seed = std::find(m_node.seeds.begin(), m_node.seeds.end(), m_node.peers.ip);
    if (seed == m_node.seeds.end())
        return std::nullopt;
    return static_cast<size_t>(seed - m_node.seeds.begin());
}

bool FleetFollower::isRegistered() const
{
    const auto& entries = m_view.backends();
    return std::any_of(entries.begin(), entries.end(),
        [this](const BackendEntry& entry) { return entry.address.ip == m_node.peers.ip; });
}

PeerMessage FleetFollower::makeAnnouncement()
{
    PeerMessage message;
    message.kind = PeerMessage::Kind::Announcement;
    message.backends = m_backendsMark;
    message.operators = m_operatorsMark;
    message.age = age();
    message.announcer = m_node.peers.ip;
    message.run = m_run;
    message.sequence = ++m_sequence;
    return message;
}

void FleetFollower::announce()
{
    PeerMessage message = makeAnnouncement();
    // Nodes that nobody knows of get it from here.
    std::erase_if(m_subscribers, [now = m_clock.now()](const auto& entry) { return entry.second <= now; });
    const auto& order = m_tree.order();
    for (const auto& [ip, until] : m_subscribers) {
        if (std::find(order.begin(), order.end(), ip) == order.end())
            m_peers.send(ip, message);
    }
    message.hopsLeft = m_tree.maxHops();
    for (message.tree = 0; message.tree < DistributionTree::treeCount; ++message.tree)
        passOn(message);
}

asio::awaitable<void> FleetFollower::subscribe()
{
    Timer timer(m_executor);
    for (;;) {
        if (!isRegistered()) {
            std::set<std::string> asked(m_node.seeds.begin(), m_node.seeds.end());
            const auto& order = m_tree.order();
            asked.insert(order.begin(), order.begin() + static_cast<ptrdiff_t>(std::min(order.size(), askedRanks)));
            asked.insert(m_lastAnnouncer);
            asked.erase(m_node.peers.ip);
            asked.erase(std::string());
            PeerMessage message;
            message.kind = PeerMessage::Kind::Subscription;
            for (const std::string& ip : asked)
                m_peers.send(ip, message);
        }
        timer.expires_after(m_lastAnnouncer.empty() ? firstSubscriptionInterval : subscriptionInterval);
        co_await timer.async_wait(asTuple);
    }
}

void FleetFollower::onSubscription(const std::string& ip)
{
    if (m_subscribers.size() >= maxSubscribers && !m_subscribers.contains(ip))
        return;
    m_subscribers[ip] = m_clock.now() + subscriptionLife;
    if (m_operatorsMark.revision != 0)
        m_peers.send(ip, makeAnnouncement());
}

void FleetFollower::passOn(PeerMessage message)
{
    if (message.hopsLeft == 0)
        return;
    --message.hopsLeft;
    for (const std::string& ip : m_tree.children(message.announcer, m_node.peers.ip, message.tree))
        m_peers.send(ip, message);
}

bool FleetFollower::isLatest(const PeerMessage& message)
{
    Heard& heard = m_heard[message.announcer];
    if (heard.run == message.run && message.sequence <= heard.sequence)
        return false;
    heard = { message.run, message.sequence };
    return true;
}

void FleetFollower::onAnnouncement(const std::string& ip, const PeerMessage& message)
{
    if (message.announcer == m_node.peers.ip || message.tree >= DistributionTree::treeCount)
        return;
    passOn(message);
    if (!isLatest(message))
        return;
    m_lastAnnouncer = message.announcer;
    const bool needsBackends
        = message.backends.revision > m_backendsMark.revision && message.backends.digest != m_backendsMark.digest;
    const bool needsOperators
        = message.operators.revision > m_operatorsMark.revision && message.operators.digest != m_operatorsMark.digest;
    if (!needsBackends && message.backends.revision >= m_backendsMark.revision)
        onFresh(m_clock.now() - message.age);
    if (needsBackends && !m_isFetchingBackends) {
        m_isFetchingBackends = true;
        asio::co_spawn(m_executor, fetch(message.announcer, ip, message.backends, true), asio::detached);
    }
    if (needsOperators && !m_isFetchingOperators) {
        m_isFetchingOperators = true;
        asio::co_spawn(m_executor, fetch(message.announcer, ip, message.operators, false), asio::detached);
    }
}

asio::awaitable<void> FleetFollower::fetch(
    std::string announcer, std::string passedOnBy, DocumentMark mark, bool isBackends)
{
    const SteadyTime asOf = m_clock.now();
    ++m_counters.fetches;
    const std::string_view path = isBackends ? backendsPath : operatorsPath;
    const DistributionTree::Source source = m_tree.documentSource(announcer, m_node.peers.ip);

    // The node above in the tree gets the document itself first; one that does not answer is passed over.
    Fetched fetched;
    Timer timer(m_executor);
    const uint32_t tries = source.ip == announcer ? 0 : source.level + sourceTries;
    for (uint32_t count = 0; !fetched.document && count < tries; ++count) {
        timer.expires_after(levelDelay);
        co_await timer.async_wait(asTuple);
        fetched = co_await fetchDocument(source.ip, path, mark);
        if (!fetched.isReachable)
            break;
    }
    if (!fetched.document)
        fetched = co_await fetchDocument(announcer, path, mark);
    // A node that a partition keeps from the announcer has still heard of the document from a node that it reaches.
    if (!fetched.document && passedOnBy != announcer)
        fetched = co_await fetchDocument(passedOnBy, path, mark);
    if (!fetched.document) {
        m_log.belief("fetch_failed", { { "from", announcer }, { "document", isBackends ? "backends" : "operators" } });
        // Backend servers are read when the view has grown old.
        if (!isBackends) {
            ++m_counters.sourceReads;
            fetched.document = co_await m_source.readOperators();
        }
    }
    (isBackends ? m_isFetchingBackends : m_isFetchingOperators) = false;
    if (!fetched.document)
        co_return;
    if (isBackends) {
        onFresh(asOf);
        takeBackends(std::move(*fetched.document));
    } else {
        takeOperators(std::move(*fetched.document));
    }
}

asio::awaitable<FleetFollower::Fetched> FleetFollower::fetchDocument(
    std::string ip, std::string_view path, DocumentMark mark)
{
    Fetched fetched;
    const SteadyTime start = m_clock.now();
    const Address from { std::move(ip), m_node.peers.port };
    auto connection = co_await m_pool.acquire(from, m_pool.settings().maxIdle, start + fetchAnswerTimeout);
    if (!connection)
        co_return fetched;
    HttpExchange exchange(m_pool, std::move(connection));
    std::string head("GET ");
    head.append(path).append(" HTTP/1.1\r\nHost: ").append(from.text()).append("\r\n\r\n");
    if (co_await exchange.send(std::move(head), std::string(), start + fetchAnswerTimeout) != End::Complete
        || co_await exchange.readHead(start + fetchAnswerTimeout) != End::Complete)
        co_return fetched;
    fetched.isReachable = true;
    SourceDocument document;
    document.revision.value = parseUnsigned(exchange.field(revisionField)).value_or(0);
    const bool isWanted = exchange.status() == 200 && document.revision.value >= mark.revision;
    std::string packed;
    End end = End::More;
    while (end == End::More)
        end = co_await exchange.readBody(packed, start + fetchTimeout);
    if (end != End::Complete || !isWanted)
        co_return fetched;
    auto text = decompress(packed);
    if (!text)
        co_return fetched;
    document.text = std::move(*text);
    fetched.document = std::move(document);
    co_return fetched;
}

asio::awaitable<void> FleetFollower::followBackends()
{
    Timer timer(m_executor);
    for (;;) {
        if (m_view.expireMissing()) {
            m_backendsMark.digest = digestOf(m_view);
            updateRank();
            onChanged();
        }
        const SteadyTime next = m_turn.nextRead();
        if (next > m_clock.now()) {
            timer.expires_at(next);
            co_await timer.async_wait(asTuple);
            continue;
        }
        co_await readBackends();
    }
}

asio::awaitable<void> FleetFollower::readBackends()
{
    const SteadyTime asOf = m_clock.now();
    // What has changed is one call, the whole list one for each page.
    std::optional<SourceDocument> document;
    const bool wasWholeReadLately = asOf - m_wholeReadAt < wholeReadInterval;
    if (wasWholeReadLately) {
        ++m_counters.sourceReads;
        const SourceDocument known = m_backends;
        document = co_await m_source.readBackendChanges(known);
    }
    if (!document) {
        ++m_counters.sourceReads;
        document = co_await m_source.readBackends();
        m_wholeReadAt = document ? asOf : SteadyTime {};
    }
    if (!document) {
        ++m_counters.sourceFailures;
        m_turn.onReadFailed(m_clock.now());
        if (!m_isSourceLost)
            m_log.belief("source_lost", { { "age_ms", std::to_string(age().count()) } });
        m_isSourceLost = true;
        co_return;
    }
    if (m_isSourceLost)
        m_log.belief("source_regained", { { "age_ms", std::to_string(age().count()) } });
    m_isSourceLost = false;
    const bool wasReader = isReader();
    m_readAt = m_clock.now();
    m_turn.onReadSucceeded();
    onFresh(asOf);
    takeBackends(std::move(*document));
    if (!wasReader)
        m_operatorTimer.cancel();
    announce();
}

asio::awaitable<void> FleetFollower::followOperators()
{
    constexpr int quietWaitsTrusted = 2;
    int quietWaits = 0;
    bool mustRead = true;
    for (;;) {
        if (!isReader()) {
            m_operatorTimer.expires_after(readerMemory);
            co_await m_operatorTimer.async_wait(asTuple);
            mustRead = true;
            continue;
        }
        std::optional<bool> hasChanged;
        if (!mustRead) {
            ++m_counters.sourceReads;
            hasChanged = co_await m_source.watchOperators(m_operators.revision, operatorWait);
            // A wait without an event needs no read, unless several in a row might hide a missed one.
            if (hasChanged && !*hasChanged && ++quietWaits < quietWaitsTrusted)
                continue;
        }
        quietWaits = 0;
        ++m_counters.sourceReads;
        auto document = co_await m_source.readOperators();
        mustRead = !document;
        if (document) {
            takeOperators(std::move(*document));
            announce();
        }
        if (!document || !m_view.routes()) {
            m_counters.sourceFailures += document ? 0 : 1;
            m_operatorTimer.expires_after(operatorRetry);
            co_await m_operatorTimer.async_wait(asTuple);
        }
    }
}

}
