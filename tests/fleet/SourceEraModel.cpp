#include "tests/fleet/SourceEraModel.h"

#include "snipeweir/fleet/SourceItems.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>
#include <zstd.h>

namespace snipeweir::simulation {

using namespace std::chrono_literals;

namespace {

    std::chrono::nanoseconds transferTime(double bytes)
    {
        return std::chrono::nanoseconds(
            static_cast<int64_t>(bytes / SourceEraModel::linkBytesPerSecond * 1'000'000'000));
    }

    uint64_t maxOfSecond(const std::vector<uint64_t>& buckets, size_t perSecond)
    {
        uint64_t sum = 0;
        uint64_t most = 0;
        for (size_t i = 0; i < buckets.size(); ++i) {
            sum += buckets[i];
            if (i >= perSecond)
                sum -= buckets[i - perSecond];
            most = std::max(most, sum);
        }
        return most;
    }

}

SourceEraSizes SourceEraSizes::of(size_t nodes)
{
    constexpr int compressionLevel = 3;
    const auto compressedSize = [](const std::string& text) {
        std::string compressed(ZSTD_compressBound(text.size()), '\0');
        return ZSTD_compress(compressed.data(), compressed.size(), text.data(), text.size(), compressionLevel);
    };
    // Base64, and the names and the revision around key and value.
    const auto storeSize
        = [](const SourceItem& item) { return item.key.size() + (item.value.size() + 2) / 3 * 4 + 45; };
    const auto items = backendItems(nodes, 1);
    const auto operators = operatorItems(nodes, 1);
    SourceEraSizes sizes;
    sizes.documents = { compressedSize(encodeItems(items)), compressedSize(encodeItems(operators)) };
    sizes.storeItem = storeSize(items.front());
    sizes.operatorsList = storeSize(operators.front());
    return sizes;
}

std::vector<SourceItem> SourceEraSizes::backendItems(size_t nodes, uint64_t sequence)
{
    Random random(nodes);
    std::vector<SourceItem> items;
    for (size_t i = 0; i < nodes; ++i) {
        const std::string address = "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "."
            + std::to_string(i % 256) + ":8080";
        std::string instance(8, '0');
        for (char& digit : instance)
            digit = "0123456789abcdef"[random.below(16)];
        items.push_back({ "servers/i-" + instance + std::to_string(i),
            R"({"service":"service-)" + std::to_string(i % std::max<size_t>(4, nodes / 32)) + R"(","address":")"
                + address + R"(","zone":"zone-)" + std::to_string(i % 15) + R"(","slots":)"
                + std::to_string(4 + random.below(12))
                + R"(,"state":"ready","version":"1.4.2","coldRemaining":"0s","seq":)"
                + std::to_string(sequence + random.below(5000)) + R"(,"born":)"
                + std::to_string(1'796'600'000'000 + random.below(100'000'000)) + "}" });
    }
    return items;
}

std::vector<SourceItem> SourceEraSizes::operatorItems(size_t nodes, uint64_t version)
{
    constexpr size_t nodesOfService = 32;
    const size_t routes = std::max<size_t>(4, nodes / nodesOfService);
    constexpr size_t organisations = 40;
    Random random(1);
    std::string text = R"({"version":")" + std::to_string(version) + R"(","resources":[)";
    for (size_t i = 0; i < routes; ++i) {
        const std::string name = std::to_string(i);
        text += R"({"typeUrl":"services","metadata":{"name":"service-)" + name + R"("},"spec":{}},)"
            + R"({"typeUrl":"routes","metadata":{"name":"route-)" + name
            + R"("},"spec":{"host":"h.example","prefix":"/)" + name
            + R"(/","kind":"safe","timeout":"2000ms","targetLatency":"500ms","priority":1,"service":"service-)" + name
            + R"(","maxAttempts":2}},)";
    }
    for (size_t i = 0; i < organisations; ++i)
        text += R"({"typeUrl":"tenants","metadata":{"name":"organisation-)" + std::to_string(i)
            + R"("},"spec":{"apiKeys":["key-)" + std::to_string(random.next()) + R"("]}},)";
    text.back() = ']';
    return { { "op/config", text + "}" } };
}

SourceEraModel::SourceEraModel(const SourceEraCase& settings, const SourceEraSizes& sizes)
    : m_case(settings)
    , m_sizes(sizes)
    , m_random(settings.seed)
    , m_nodes(settings.nodes)
    , m_calls(window / bucket)
{
    std::vector<std::string> order;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].ip
            = "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256);
        m_nodes[i].bytes.resize(window / bucket);
        m_nodes[i].reachesStore = settings.reachingNodes == 0;
        m_indexes[m_nodes[i].ip] = i;
        order.push_back(m_nodes[i].ip);
    }
    m_tree.setOrder(std::move(order));
    for (size_t i = 0; i < std::min(settings.reachingNodes, m_nodes.size());) {
        Node& node = m_nodes[m_random.below(m_nodes.size())];
        i += node.reachesStore ? 0 : 1;
        node.reachesStore = true;
    }
    while (m_seeds.size() < seedCount) {
        const size_t node = m_random.below(m_nodes.size());
        if (!m_nodes[node].isSeed)
            m_seeds.push_back(node);
        m_nodes[node].isSeed = true;
    }
    const SourceDocumentVersion known { m_version, 1 };
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].documents = { known, known };
        m_nodes[i].eras.onEra(m_version.era, m_clock.now());
        m_nodes[i].schedule.onViewCurrent(m_clock.now());
        start(i);
    }
}

SourceEraResult SourceEraModel::run()
{
    const SteadyTime changeAt = m_clock.now() + warmUp + std::chrono::microseconds(m_random.below(700'000));
    m_windowBegin = changeAt - awayTime;
    runUntil(m_windowBegin);
    if (m_case.isAway) {
        m_isUp = false;
        for (size_t i = 0; i < m_nodes.size(); ++i)
            endWatch(i, false);
    }
    if (m_case.hasRestarts) {
        std::set<size_t> chosen;
        while (chosen.size() < std::max<size_t>(1, m_nodes.size() * restartedPercent / 100))
            chosen.insert(m_random.below(m_nodes.size()));
        const std::chrono::microseconds delay = m_case.hasLateRestarts ? awayTime : 0ms;
        const std::chrono::microseconds spread = m_case.hasLateRestarts ? lateRestarts : awayTime;
        for (const size_t node : chosen)
            after(delay + std::chrono::microseconds(m_random.below(static_cast<uint64_t>(spread.count()))),
                [this, node] { restart(node); });
    }
    runUntil(changeAt);
    m_isUp = true;
    if (m_case.isRestored) {
        m_version = { Revision { m_version.revision.value - 40 }, m_version.era + 1 };
        m_restoredAt = changeAt;
    }
    m_digests[Backends] += m_case.changesBackends ? 1 : 0;
    m_digests[Operators] += m_case.changesOperators ? 1 : 0;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].isComplete = false;
        checkComplete(m_nodes[i]);
        m_completeAt = changeAt;
        if (m_case.changesOperators)
            endWatch(i, true);
    }
    runUntil(m_windowBegin + window);
    const auto isMissing = [](const Node& node) { return !node.isComplete; };
    m_result.missing = static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), isMissing));
    while (std::any_of(m_nodes.begin(), m_nodes.end(), isMissing) && m_clock.now() < changeAt + maxInForce)
        runUntil(m_clock.now() + heartbeat);
    if (std::any_of(m_nodes.begin(), m_nodes.end(), isMissing))
        m_completeAt = changeAt + maxInForce;
    for (const Node& node : m_nodes) {
        uint64_t sum = 0;
        for (const uint64_t bytes : node.bytes)
            sum += bytes;
        m_result.bytes.push_back(sum);
        m_result.peakBytes.push_back(maxOfSecond(node.bytes, bucketsPerSecond));
    }
    for (const uint64_t calls : m_calls)
        m_result.calls += calls;
    m_result.peakCalls = maxOfSecond(m_calls, bucketsPerSecond);
    m_result.readingNodes = m_readers.size();
    m_result.inForce = std::chrono::ceil<std::chrono::milliseconds>(m_completeAt - changeAt);
    return m_result;
}

void SourceEraModel::at(SteadyTime time, Action action) { m_events.push({ time, ++m_number, std::move(action) }); }

void SourceEraModel::afterAt(size_t node, std::chrono::nanoseconds delay, Action action)
{
    after(delay, [this, node, run = m_nodes[node].run, action = std::move(action)] {
        if (m_nodes[node].run == run)
            action();
    });
}

void SourceEraModel::runUntil(SteadyTime end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.moveTo(std::max(m_clock.now(), event.at));
        event.action();
    }
    m_clock.moveTo(end);
}

void SourceEraModel::count(size_t node, uint64_t bytes)
{
    if (!isInWindow())
        return;
    const auto index = static_cast<size_t>((m_clock.now() - m_windowBegin) / bucket);
    if (index < m_nodes[node].bytes.size())
        m_nodes[node].bytes[index] += bytes;
}

void SourceEraModel::call(size_t index, uint64_t responseBytes, std::function<void(bool)> done)
{
    Node& node = m_nodes[index];
    if (!node.reachesStore || !m_isUp) {
        m_result.failedCalls += isInWindow() ? 1 : 0;
        count(index, exchangeBytes);
        afterAt(index, storeResponseTime, [done = std::move(done)] { done(false); });
        return;
    }
    if (isInWindow()) {
        ++m_calls[static_cast<size_t>((m_clock.now() - m_windowBegin) / bucket)];
        m_readers.insert(index);
    }
    const SteadyTime begin = std::max(node.downFreeAt, m_clock.now() + storeResponseTime);
    node.downFreeAt = begin + transferTime(static_cast<double>(responseBytes + exchangeBytes));
    afterAt(index, node.downFreeAt - m_clock.now(), [this, index, responseBytes, done = std::move(done)] {
        count(index, responseBytes + exchangeBytes);
        done(m_isUp);
    });
}

void SourceEraModel::start(size_t index)
{
    Node& node = m_nodes[index];
    const bool isRegistered = node.documents[Backends].version.isKnown();
    const auto seed = std::find(m_seeds.begin(), m_seeds.end(), index);
    const uint32_t rank = node.isSeed ? static_cast<uint32_t>(seed - m_seeds.begin()) : unregisteredRank;
    node.schedule.setRank(isRegistered ? static_cast<uint32_t>(index) : rank, m_nodes.size());
    const uint64_t jitter = XXH64(node.ip.data(), node.ip.size(), 0) % maxStartJitterMs;
    node.schedule.start(m_clock.now(), std::chrono::milliseconds(node.isSeed ? 0 : jitter));
    follow(index);
    followOperators(index, ++node.operatorsLoop, true);
}

void SourceEraModel::restart(size_t index)
{
    Node fresh;
    Node& node = m_nodes[index];
    fresh.ip = node.ip;
    fresh.run = node.run + 1;
    fresh.reachesStore = node.reachesStore;
    fresh.isSeed = node.isSeed;
    fresh.operatorsLoop = node.operatorsLoop;
    fresh.uplinkToken = node.uplinkToken;
    fresh.downFreeAt = m_clock.now();
    fresh.uplinkAt = m_clock.now();
    fresh.bytes = node.bytes;
    node = std::move(fresh);
    start(index);
    subscribe(index);
}

void SourceEraModel::subscribe(size_t index)
{
    if (m_nodes[index].documents[Backends].version.isKnown())
        return;
    for (const size_t seed : m_seeds) {
        if (seed == index)
            continue;
        count(index, datagramHeaderBytes + 1);
        if (m_random.nextDouble() < datagramLoss)
            continue;
        after(nodeDelay, [this, seed, index] {
            count(seed, datagramHeaderBytes + 1);
            if (m_nodes[seed].documents[Operators].version.isKnown())
                send(seed, index, std::make_shared<PeerMessage>(makeAnnouncement(seed)), 0, 0);
        });
    }
    const auto interval = m_nodes[index].last[0].empty() ? initialSubscriptionInterval : subscriptionInterval;
    afterAt(index, interval, [this, index] { subscribe(index); });
}

void SourceEraModel::follow(size_t index)
{
    Node& node = m_nodes[index];
    SteadyTime next = node.schedule.nextRead();
    if (const auto begin = node.eras.begin(); begin && isReader(node) && *begin + keptTime > node.readStartedAt)
        next = std::min(next, *begin + keptTime);
    if (next > m_clock.now()) {
        afterAt(index, next - m_clock.now(), [this, index] { follow(index); });
        return;
    }
    read(index);
}

void SourceEraModel::read(size_t index)
{
    Node& node = m_nodes[index];
    const SteadyTime asOf = m_clock.now();
    node.readStartedAt = asOf;
    const SourceVersion known = node.documents[Backends].version;
    if (!known.isKnown() || known.era != node.eras.era()) {
        readList(index, 0, asOf, {}, [this, index, asOf](bool isRead) { finishList(index, isRead, asOf); });
        return;
    }
    // Heartbeats are changes.
    const double share = std::min(1.0, std::chrono::duration<double>(asOf - node.readAt) / heartbeat);
    const auto events = known.era == m_version.era
        ? static_cast<uint64_t>(static_cast<double>(m_nodes.size()) * share) * m_sizes.storeItem
        : 0;
    call(index, events, [this, index, asOf, known](bool isRead) {
        Node& reader = m_nodes[index];
        if (isRead && known.era == m_version.era && known.era == reader.eras.era()) {
            take(index, Backends, { sourceVersion(), sourceDigest(Backends) });
            finishRead(index, asOf);
            if (!reader.isReadingAll && asOf - reader.fullReadAt >= fullReadInterval) {
                reader.fullReadAt = asOf;
                reader.isReadingAll = true;
                readList(index, 0, asOf, {}, [this, index](bool) { m_nodes[index].isReadingAll = false; });
            }
            follow(index);
            return;
        }
        announce(index);
        readList(index, 0, asOf, {}, [this, index, asOf](bool isReadAll) { finishList(index, isReadAll, asOf); });
    });
}

void SourceEraModel::readList(
    size_t index, size_t page, SteadyTime asOf, SourceVersion version, std::function<void(bool)> done)
{
    const uint64_t items = std::min(itemsPerPage, m_nodes.size() - page * itemsPerPage);
    call(index, items * m_sizes.storeItem, [this, index, page, asOf, version, done = std::move(done)](bool isRead) {
        const SourceVersion read = page == 0 ? sourceVersion() : version;
        if (isRead && read.era == m_version.era && page + 1 < listPages(m_nodes.size()))
            readList(index, page + 1, asOf, read, done);
        else
            done(isRead && read.era == m_version.era);
    });
}

void SourceEraModel::finishList(size_t index, bool isRead, SteadyTime asOf)
{
    Node& node = m_nodes[index];
    node.fullReadAt = isRead ? asOf : SteadyTime {};
    if (isRead) {
        noteEra(node, m_version.era, m_clock.now());
        take(index, Backends, { sourceVersion(), sourceDigest(Backends) });
        finishRead(index, asOf);
    } else {
        node.schedule.onReadFailed(m_clock.now());
        if (node.documents[Backends].version.isKnown() && node.documents[Operators].version.isKnown())
            announce(index);
    }
    follow(index);
}

void SourceEraModel::finishRead(size_t index, SteadyTime asOf)
{
    Node& node = m_nodes[index];
    const bool wasReader = isReader(node);
    node.readAt = m_clock.now();
    node.schedule.onReadSucceeded();
    node.schedule.onViewCurrent(asOf);
    node.fetchedDigest = 0;
    if (!wasReader)
        followOperators(index, ++node.operatorsLoop, true);
    announce(index);
    checkOperators(index);
    const SourceVersion operators = node.documents[Operators].version;
    if (operators.isKnown() && operators.era < node.eras.era())
        readOperators(index, [this, index](bool) { announce(index); });
}

void SourceEraModel::readOperators(size_t index, std::function<void(bool)> done)
{
    call(index, m_sizes.operatorsList, [this, index, done = std::move(done)](bool isRead) {
        if (isRead) {
            noteEra(m_nodes[index], m_version.era, m_clock.now());
            take(index, Operators, { sourceVersion(), sourceDigest(Operators) });
            confirm(index);
        }
        done(isRead);
    });
}

void SourceEraModel::checkOperators(size_t index)
{
    Node& node = m_nodes[index];
    if (!node.documents[Operators].version.isKnown() || node.isCheckingOperators)
        return;
    node.isCheckingOperators = true;
    const SourceDocumentVersion known = node.documents[Operators];
    call(index, 0, [this, index, known](bool isRead) {
        m_nodes[index].isCheckingOperators = false;
        const SourceDocumentVersion now = m_nodes[index].documents[Operators];
        if (now.version != known.version)
            return;
        if (isRead && known.digest == m_digests[Operators] && known.version.era == m_version.era)
            confirm(index);
        else
            readOperators(index, [this, index, known](bool) {
                if (m_nodes[index].documents[Operators].digest != known.digest)
                    announce(index);
            });
    });
}

void SourceEraModel::followOperators(size_t index, uint64_t loop, bool mustRead)
{
    Node& node = m_nodes[index];
    if (node.operatorsLoop != loop)
        return;
    node.isWatching = false;
    if (!isReader(node)) {
        afterAt(index, readerWindow, [this, index, loop] { followOperators(index, loop, true); });
        return;
    }
    if (!mustRead) {
        node.isWatching = true;
        call(index, 0, [](bool) {});
        afterAt(index, operatorsWatch,
            [this, index, loop] { followOperators(index, loop, ++m_nodes[index].emptyWatches % 2 == 0); });
        return;
    }
    readOperators(index, [this, index, loop](bool isRead) {
        if (m_nodes[index].operatorsLoop != loop)
            return;
        if (isRead) {
            announce(index);
            followOperators(index, loop, false);
        } else {
            afterAt(index, operatorsRetry, [this, index, loop] { followOperators(index, loop, true); });
        }
    });
}

void SourceEraModel::endWatch(size_t index, bool isChange)
{
    Node& node = m_nodes[index];
    if (!node.isWatching)
        return;
    node.isWatching = false;
    afterAt(index, isChange ? storeResponseTime : nodeDelay,
        [this, index, loop = ++node.operatorsLoop] { followOperators(index, loop, true); });
}

void SourceEraModel::noteEra(Node& node, uint64_t era, SteadyTime seenAt)
{
    if (node.eras.onEra(era, seenAt))
        node.hasHistory = node.documents[Backends].version.isKnown() && node.documents[Operators].version.isKnown();
}

uint64_t SourceEraModel::sourceDigest(Document document) const
{
    // Entries that the store lost and that aren't written again leave the list when their time is over.
    const bool isKeptOver
        = document == Backends && m_restoredAt != SteadyTime {} && m_clock.now() >= m_restoredAt + keptTime;
    return m_digests[document] + (isKeptOver ? 1 : 0);
}

void SourceEraModel::take(size_t index, Document document, const SourceDocumentVersion& taken)
{
    Node& node = m_nodes[index];
    if (taken.version < node.documents[document].version)
        return;
    const bool isRegistered = node.documents[Backends].version.isKnown();
    node.documents[document] = taken;
    if (!isRegistered && document == Backends)
        node.schedule.setRank(static_cast<uint32_t>(index), m_nodes.size());
    checkComplete(node);
}

void SourceEraModel::checkComplete(Node& node)
{
    if (node.isComplete || node.documents[Backends].digest < m_digests[Backends]
        || node.documents[Operators].digest < m_digests[Operators])
        return;
    node.isComplete = true;
    m_completeAt = m_clock.now();
}

PeerMessage SourceEraModel::makeAnnouncement(size_t index)
{
    Node& node = m_nodes[index];
    PeerMessage message;
    message.kind = PeerMessage::Kind::Announcement;
    message.backends = node.documents[Backends];
    message.operators = node.documents[Operators];
    message.age = std::chrono::duration_cast<std::chrono::milliseconds>(node.schedule.age(m_clock.now()));
    message.configuration.value = node.documents[Operators].version.isKnown() ? 1 : 0;
    if (node.hasHistory && node.eras.begin())
        message.eraAge = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - *node.eras.begin());
    message.announcer = node.ip;
    message.incarnation = node.run;
    message.sequence = ++node.sequence;
    return message;
}

void SourceEraModel::announce(size_t node) { broadcast(node, makeAnnouncement(node)); }

void SourceEraModel::confirm(size_t index)
{
    PeerMessage message;
    message.kind = PeerMessage::Kind::Confirmation;
    message.operators = m_nodes[index].documents[Operators];
    message.announcer = m_nodes[index].ip;
    message.incarnation = m_nodes[index].run;
    message.sequence = ++m_nodes[index].confirmations;
    broadcast(index, std::move(message));
}

void SourceEraModel::broadcast(size_t node, PeerMessage message)
{
    message.hopsLeft = m_tree.maxHops();
    const auto shared = std::make_shared<const PeerMessage>(std::move(message));
    for (uint32_t tree = 0; tree < DistributionTree::treeCount; ++tree)
        forward(node, shared, tree, shared->hopsLeft);
}

const std::vector<size_t>& SourceEraModel::children(size_t announcer, size_t node, uint32_t tree)
{
    const auto [found, isNew] = m_children.try_emplace({ announcer, node, tree });
    if (isNew) {
        for (const std::string& ip : m_tree.children(m_nodes[announcer].ip, m_nodes[node].ip, tree))
            found->second.push_back(m_indexes.at(ip));
    }
    return found->second;
}

void SourceEraModel::forward(size_t node, const Message& message, uint32_t tree, uint32_t hopsLeft)
{
    // A node without documents knows no other nodes. Those at the last hop have no children.
    if (hopsLeft == 0 || !m_nodes[node].documents[Backends].version.isKnown())
        return;
    for (const size_t child : children(m_indexes.at(message->announcer), node, tree))
        send(node, child, message, tree, hopsLeft - 1);
}

void SourceEraModel::send(size_t from, size_t to, const Message& message, uint32_t tree, uint32_t hopsLeft)
{
    const uint64_t bytes = message->encode().size() + datagramHeaderBytes;
    count(from, bytes);
    if (m_random.nextDouble() < datagramLoss)
        return;
    after(nodeDelay, [this, from, to, message, tree, hopsLeft, bytes] {
        count(to, bytes);
        receive(from, to, message, tree, hopsLeft);
    });
}

void SourceEraModel::receive(size_t from, size_t index, const Message& shared, uint32_t tree, uint32_t hopsLeft)
{
    const PeerMessage& message = *shared;
    Node& node = m_nodes[index];
    if (message.announcer == node.ip)
        return;
    forward(index, shared, tree, hopsLeft);
    const size_t announcer = m_indexes.at(message.announcer);
    const bool isConfirmation = message.kind == PeerMessage::Kind::Confirmation;
    auto& last = node.last[isConfirmation ? 1 : 0][announcer];
    if (last.first == message.incarnation && message.sequence <= last.second)
        return;
    last = { message.incarnation, message.sequence };
    if (isConfirmation)
        return;
    node.schedule.onReaderHeard(m_clock.now());
    const uint64_t era = std::max(message.backends.version.era, message.operators.version.era);
    noteEra(node, era, m_clock.now() - message.age);
    if (message.eraAge)
        node.eras.onBegin(era, m_clock.now() - *message.eraAge);
    inform(index, from, message);
    if (message.backends.version.era < node.eras.era())
        return;
    const bool lacksHistory = message.eraAge && !node.hasHistory && isCatchingUp(node);
    const auto isNew = [&](Document document, const SourceDocumentVersion& announced) {
        return announced.version > node.documents[document].version
            && announced.digest != node.documents[document].digest
            && !(document == Backends && announced.digest == node.fetchedDigest);
    };
    const bool hasNewBackends = isNew(Backends, message.backends);
    const bool hasNewOperators = isNew(Operators, message.operators);
    const SteadyTime readAt = m_clock.now() - message.age;
    if (!hasNewBackends && message.backends.version >= node.documents[Backends].version)
        node.schedule.onViewCurrent(readAt);
    DistributionTree::Source source { message.announcer, 0 };
    const bool startsFetch = (hasNewBackends && !node.fetches[Backends].isActive)
        || (hasNewOperators && !node.fetches[Operators].isActive);
    // A node without documents isn't in its own order.
    if (startsFetch && !lacksHistory && node.documents[Backends].version.isKnown())
        source = m_tree.documentSource(message.announcer, node.ip);
    if (hasNewBackends || lacksHistory)
        fetch(index, Backends, message.backends, source, announcer, from, readAt, lacksHistory);
    if (hasNewOperators || lacksHistory)
        fetch(index, Operators, message.operators, source, announcer, from, readAt, lacksHistory);
}

void SourceEraModel::inform(size_t index, size_t from, const PeerMessage& announcement)
{
    Node& node = m_nodes[index];
    if (m_nodes[from].ip != announcement.announcer || m_clock.now() - node.informedAt < informInterval)
        return;
    const bool lacksHistory = node.hasHistory && !announcement.eraAge && isCatchingUp(node);
    const bool isOutdated = announcement.backends.version.era < node.eras.era();
    const uint64_t configuration = node.documents[Operators].version.isKnown() ? 1 : 0;
    if (!lacksHistory && !isOutdated && announcement.configuration.value >= configuration)
        return;
    node.informedAt = m_clock.now();
    m_result.informs += isInWindow() ? 1 : 0;
    send(index, from, std::make_shared<PeerMessage>(makeAnnouncement(index)), 0, 0);
}

void SourceEraModel::fetch(size_t index, Document document, const SourceDocumentVersion& wanted,
    const DistributionTree::Source& source, size_t announcer, size_t forwarder, SteadyTime readAt, bool hasHistory)
{
    Fetch& fetch = m_nodes[index].fetches[document];
    const auto addSource = [&](size_t node) {
        if (std::find(fetch.sources.begin(), fetch.sources.end(), node) == fetch.sources.end())
            fetch.sources.push_back(node);
    };
    if (fetch.isActive) {
        addSource(announcer);
        checkFetch(index, document, fetch.id);
        return;
    }
    m_result.fetches += isInWindow() ? 1 : 0;
    m_result.historyFetches += isInWindow() && hasHistory ? 1 : 0;
    fetch = Fetch();
    fetch.id = ++m_number;
    fetch.isActive = true;
    fetch.hasHistory = hasHistory;
    fetch.isAtTree = source.ip != m_nodes[announcer].ip;
    fetch.wanted = wanted;
    fetch.treeSource = source;
    fetch.announcer = announcer;
    fetch.readAt = readAt;
    addSource(announcer);
    addSource(forwarder);
    stepFetch(index, document);
}

void SourceEraModel::stepFetch(size_t index, Document document)
{
    Fetch& fetch = m_nodes[index].fetches[document];
    const uint64_t id = fetch.id;
    const auto wait = [this, index, document, id] {
        Fetch& waiting = m_nodes[index].fetches[document];
        waiting.isWaiting = true;
        waiting.sourcesBefore = waiting.sources.size();
        waiting.nextSourceAt = m_clock.now() + nextSourceDelay;
        afterAt(index, nextSourceDelay, [this, index, document, id] { checkFetch(index, document, id); });
    };
    if (fetch.isAtTree) {
        if (fetch.treeAttempts++ < fetch.treeSource.level + extraAttempts) {
            afterAt(index, levelDelay, [this, index, document, id, wait] {
                Fetch& asking = m_nodes[index].fetches[document];
                if (asking.id != id || !asking.isActive)
                    return;
                asking.responsesBefore = asking.responses;
                attempt(index, document, m_indexes.at(asking.treeSource.ip));
                wait();
            });
            return;
        }
        fetch.isAtTree = false;
    }
    if (fetch.nextSource < fetch.sources.size()) {
        attempt(index, document, fetch.sources[fetch.nextSource++]);
    } else if (fetch.running == 0) {
        fetch.isActive = false;
        m_result.failedFetches += isInWindow() ? 1 : 0;
        if (document == Operators)
            readOperators(index, [](bool) {});
        return;
    } else if (!std::exchange(fetch.hasAskedAgain, true)) {
        attempt(index, document, fetch.announcer);
    }
    wait();
}

void SourceEraModel::checkFetch(size_t index, Document document, uint64_t id)
{
    Fetch& fetch = m_nodes[index].fetches[document];
    if (fetch.id != id || !fetch.isActive || !fetch.isWaiting)
        return;
    const bool hasTimedOut = fetch.receiving == 0 && m_clock.now() >= fetch.nextSourceAt;
    if (fetch.running > 0 && fetch.sources.size() == fetch.sourcesBefore && !hasTimedOut)
        return;
    fetch.isWaiting = false;
    if (fetch.isAtTree && fetch.responses == fetch.responsesBefore)
        fetch.isAtTree = false;
    stepFetch(index, document);
}

void SourceEraModel::attempt(size_t index, Document document, size_t source)
{
    Fetch& fetch = m_nodes[index].fetches[document];
    ++fetch.running;
    const uint64_t id = fetch.id;
    const uint64_t transfer = ++m_number;
    const auto isOver = std::make_shared<bool>(false);
    const auto wasWanted = std::make_shared<bool>(false);
    const auto end = [this, index, document, id, source, transfer, isOver, wasWanted] {
        Fetch& ending = m_nodes[index].fetches[document];
        if (std::exchange(*isOver, true) || ending.id != id)
            return false;
        cancelTransfer(source, transfer);
        --ending.running;
        ending.receiving -= *wasWanted ? 1 : 0;
        return ending.isActive;
    };
    afterAt(index, attemptTimeout, [this, index, document, id, end] {
        if (end())
            checkFetch(index, document, id);
    });
    // Connecting takes a round trip; the request and the head of the response take another.
    afterAt(index, 4 * nodeDelay, [this, index, document, id, source, transfer, isOver, wasWanted, end] {
        Fetch& asking = m_nodes[index].fetches[document];
        if (*isOver || asking.id != id || !asking.isActive)
            return;
        ++asking.responses;
        count(index, exchangeBytes);
        count(source, exchangeBytes);
        const SourceDocumentVersion given = m_nodes[source].documents[document];
        *wasWanted = given.version.isKnown() && given.version >= asking.wanted.version;
        asking.receiving += *wasWanted ? 1 : 0;
        const double bytes = given.version.isKnown() ? static_cast<double>(m_sizes.documents[document]) : 0.0;
        if (*wasWanted)
            asking.transfers.emplace_back(source, transfer);
        startTransfer(source, { transfer, bytes, index, [this, index, document, id, given, wasWanted, end] {
                                   const bool isWanted = *wasWanted;
                                   if (!end())
                                       return;
                                   if (isWanted)
                                       finishFetch(index, document, given);
                                   else
                                       checkFetch(index, document, id);
                               } });
    });
}

void SourceEraModel::finishFetch(size_t index, Document document, const SourceDocumentVersion& given)
{
    Node& node = m_nodes[index];
    Fetch& fetch = node.fetches[document];
    fetch.isActive = false;
    // Other attempts end once a document was received.
    for (const auto& [source, transfer] : std::exchange(fetch.transfers, {}))
        cancelTransfer(source, transfer);
    if (given.version.era < node.eras.era())
        return;
    noteEra(node, given.version.era, fetch.readAt);
    node.hasHistory = node.hasHistory || fetch.hasHistory;
    if (document == Backends) {
        node.schedule.onViewCurrent(fetch.readAt);
        if (given.version >= node.documents[Backends].version)
            node.fetchedDigest = given.version == fetch.wanted.version ? fetch.wanted.digest : 0;
    }
    take(index, document, given);
}

void SourceEraModel::startTransfer(size_t from, Transfer transfer)
{
    updateUplink(from);
    Node& node = m_nodes[from];
    const double end = node.uplinkServed + transfer.bytes;
    node.uplink.emplace(end, std::move(transfer));
    updateUplink(from);
}

void SourceEraModel::cancelTransfer(size_t from, uint64_t id)
{
    Node& node = m_nodes[from];
    const auto found = std::find_if(
        node.uplink.begin(), node.uplink.end(), [id](const auto& entry) { return entry.second.id == id; });
    if (found == node.uplink.end())
        return;
    updateUplink(from);
    const auto again = std::find_if(
        node.uplink.begin(), node.uplink.end(), [id](const auto& entry) { return entry.second.id == id; });
    if (again == node.uplink.end())
        return;
    const double left = again->first - node.uplinkServed;
    count(again->second.to, static_cast<uint64_t>(std::lround(std::max(0.0, again->second.bytes - left))));
    node.uplink.erase(again);
    updateUplink(from);
}

void SourceEraModel::updateUplink(size_t from)
{
    constexpr double almostNone = 0.5;
    Node& node = m_nodes[from];
    const double seconds = std::chrono::duration<double>(m_clock.now() - node.uplinkAt).count();
    node.uplinkAt = m_clock.now();
    const uint64_t token = ++node.uplinkToken;
    if (node.uplink.empty())
        return;
    const auto running = static_cast<double>(node.uplink.size());
    const double most = (std::prev(node.uplink.end())->first - node.uplinkServed) * running;
    const double sent = std::min(seconds * linkBytesPerSecond, std::max(0.0, most));
    count(from, static_cast<uint64_t>(std::lround(sent)));
    node.uplinkServed += sent / running;
    while (!node.uplink.empty() && node.uplink.begin()->first < node.uplinkServed + almostNone) {
        const Transfer& ended = node.uplink.begin()->second;
        count(ended.to, static_cast<uint64_t>(ended.bytes));
        after(nodeDelay, ended.done);
        node.uplink.erase(node.uplink.begin());
    }
    if (node.uplink.empty())
        return;
    const double left = (node.uplink.begin()->first - node.uplinkServed) * static_cast<double>(node.uplink.size());
    after(transferTime(left) + 1us, [this, from, token] {
        if (m_nodes[from].uplinkToken == token)
            updateUplink(from);
    });
}

}
