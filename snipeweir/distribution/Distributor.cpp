#include "snipeweir/distribution/Distributor.h"

#include "snipeweir/distribution/DocumentCodec.h"
#include "snipeweir/distribution/PeerChoice.h"

#include <algorithm>

namespace snipeweir {

namespace {

    // Overhead of a datagram in addition to its payload: IP and UDP headers, envelope and MAC.
    constexpr double datagramOverheadBytes = 88;

    // Frames kept per document. With texts of 1 MB they take up to 4 MB.
    constexpr size_t maxCachedFrames = 4;

    // Burst capacity of the reply limit, in seconds at its rate.
    constexpr double limitBurstSeconds = 2;

    // If two contents exist under one revision, the lower hash wins.
    bool isNewer(const DocumentVersion& left, const DocumentVersion& right)
    {
        return left.revision.value > right.revision.value
            || (left.revision == right.revision && left.hash < right.hash);
    }

}

Result<std::unique_ptr<Distributor>> Distributor::create(DistributorSettings settings, DocumentStore& store,
    const PeerDirectory& peers, const Clock& clock, uint64_t seed, ControlSender send)
{
    const auto zero = std::chrono::milliseconds(0);
    if (settings.fanoutCount == 0 || settings.maxFetchFailuresCount < 1 || settings.compressionsPerSecondCount == 0)
        return fail(ErrorCode::InvalidArgument,
            "fanoutCount, maxFetchFailuresCount and compressionsPerSecondCount must be at least 1.");
    if (settings.retryDelay <= zero || settings.bridgeInterval <= zero || settings.peerReplyTimeout <= zero)
        return fail(
            ErrorCode::InvalidArgument, "retryDelay, bridgeInterval and peerReplyTimeout must be greater than 0 ms.");
    if (settings.serveBytesPerSecond <= 0 || settings.serveBurstBytes < maxDatagramBytes || !send)
        return fail(ErrorCode::InvalidArgument,
            "The distributor needs serveBytesPerSecond above 0, serveBurstBytes of at least one datagram, and a "
            "sender.");
    return std::unique_ptr<Distributor>(new Distributor(settings, store, peers, clock, seed, std::move(send)));
}

Distributor::Distributor(DistributorSettings settings, DocumentStore& store, const PeerDirectory& peers,
    const Clock& clock, uint64_t seed, ControlSender send)
    : m_settings(settings)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
    , m_random(seed)
    , m_send(std::move(send))
    , m_slots { makeSlot(DocumentName::Configuration), makeSlot(DocumentName::Vms) }
    , m_serveLimit(settings.serveBytesPerSecond, settings.serveBurstBytes, settings.serveBurstBytes, clock.now())
    , m_replyLimit(settings.repliesPerSecond, limitBurstSeconds * settings.repliesPerSecond,
          limitBurstSeconds * settings.repliesPerSecond, clock.now())
    , m_nextBridgeExchange(clock.now())
    , m_catchUp(settings.peerReplyTimeout, settings.replySettleTime)
{
    onPaused();
}

Distributor::Slot Distributor::makeSlot(DocumentName name) const
{
    return Slot { FrameCache(name, m_store, static_cast<double>(m_settings.compressionsPerSecondCount), m_clock.now()),
        {}, {}, {}, {}, {} };
}

void Distributor::tick()
{
    const SteadyTime now = m_clock.now();
    pushNewVersions();
    announceRevisions(now);
    retryFetches(now);
    exchangeWithBridge(now);
    queryPeers(now);
    updateCatchUp(now);
}

void Distributor::receive(const Address& from, const ControlMessage& message)
{
    switch (message.type) {
    case ControlMessageType::DocumentPush:
        receivePush(from, message);
        break;
    case ControlMessageType::DocumentPull:
        receivePull(from, message);
        break;
    case ControlMessageType::DocumentChunk:
        receiveChunk(message);
        break;
    case ControlMessageType::DocumentRevisions:
        receiveRevisions(from, message);
        break;
    default:
        return;
    }
    pushNewVersions();
}

std::string Distributor::pingAttachment() const { return summary().encode(); }

void Distributor::onPingAttachment(const Peer& from, std::string_view attachment)
{
    if (const auto summary = RevisionSummary::decode(attachment))
        handleSummary(*summary, from.controlAddress);
    else
        ++m_counters.malformedReceived;
}

OfferResult Distributor::onPublished(DocumentName name, Revision revision, std::string text)
{
    const OfferResult result = m_store.offer(name, revision, std::move(text), "platform");
    pushNewVersions();
    return result;
}

void Distributor::onPlatformContact() { m_platformContactAt = m_clock.now(); }

std::optional<std::chrono::nanoseconds> Distributor::platformContactAge() const
{
    if (!m_platformContactAt)
        return std::nullopt;
    return m_clock.now() - *m_platformContactAt;
}

void Distributor::onPaused() { m_catchUp.restart(m_random.next() | 1U, m_clock.now()); }

void Distributor::pushNewVersions()
{
    for (const auto name : allDocuments) {
        Slot& slot = m_slots[indexOf(name)];
        const DocumentVersion version = currentVersion(name);
        if (version == slot.lastPushed)
            continue;
        push(name);
        slot.lastPushed = version;
        slot.announceAt = m_clock.now() + m_settings.announceDelay;

        // Cancel a fetch whose version is no longer wanted.
        if (slot.fetch && !m_store.isWanted(name, slot.fetch->wanted().revision, slot.fetch->wanted().hash))
            slot.fetch.reset();
        if (!slot.fetch && m_store.isWanted(name, slot.advertised.revision, slot.advertised.hash))
            startFetch(name);
    }
}

void Distributor::push(DocumentName name)
{
    // Forward the received frame unchanged. Only the node that starts the push has to compress one.
    Slot& slot = m_slots[indexOf(name)];
    const Document& document = *m_store.current(name);
    const FrameCache::Frame* frame = slot.frames.findByTarget(versionOf(document));
    if (!frame)
        frame = slot.frames.findOrCompress(document, slot.lastPushed, m_clock.now());

    std::vector<Address> targets = chooseLocalPeers(m_settings.fanoutCount);
    if (m_peers.isBridge()) {
        const auto bridges = chooseRemoteBridges(m_settings.fanoutCount);
        targets.insert(targets.end(), bridges.begin(), bridges.end());
    }

    // A frame larger than a chunk is announced by its header only. Peers that lack the version pull it in chunks.
    FramePart part;
    part.header.name = name;
    part.header.target = versionOf(document);
    if (frame) {
        part.header = frame->header;
        if (frame->bytes.size() <= documentChunkBytes)
            part.bytes = frame->bytes;
    }
    for (const auto& target : targets) {
        FramePart sent = part;
        const double bytes = static_cast<double>(part.bytes.size()) + datagramOverheadBytes;
        if (!part.bytes.empty() && !m_serveLimit.take(bytes, m_clock.now())) {
            ++m_counters.servesRateLimited;
            sent.bytes = {};
        }
        ++m_counters.pushesSent;
        sendTo(target, ControlMessageType::DocumentPush, sent.encode());
    }
}

void Distributor::announceRevisions(SteadyTime now)
{
    bool isDue = false;
    for (auto& slot : m_slots) {
        if (slot.announceAt && now >= *slot.announceAt) {
            slot.announceAt.reset();
            isDue = true;
        }
    }
    if (!isDue)
        return;
    for (const auto& address : chooseLocalPeers(m_settings.announceFanoutCount))
        sendRevisions(address, 0, false);
}

void Distributor::exchangeWithBridge(SteadyTime now)
{
    if (now < m_nextBridgeExchange)
        return;
    const double interval = std::chrono::duration<double>(m_settings.bridgeInterval).count();
    m_nextBridgeExchange = now
        + std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(interval * (0.75 + 0.5 * m_random.nextDouble())));
    if (!m_peers.isBridge())
        return;
    for (const auto& address : chooseRemoteBridges(1))
        sendRevisions(address, 0, true);
}

void Distributor::handleSummary(const RevisionSummary& summary, const Address& holder)
{
    if (summary.platformContactAge) {
        const SteadyTime contactAt = m_clock.now() - *summary.platformContactAge;
        if (!m_platformContactAt || contactAt > *m_platformContactAt)
            m_platformContactAt = contactAt;
    }
    for (const auto name : allDocuments)
        handleAdvertisedVersion(name, summary.versions[indexOf(name)], holder);
}

void Distributor::handleAdvertisedVersion(DocumentName name, const DocumentVersion& version, const Address& holder)
{
    if (!m_store.isWanted(name, version.revision, version.hash))
        return;
    m_store.markBehind(name);

    // Keep the newest advertised version and the peers that hold it.
    Slot& slot = m_slots[indexOf(name)];
    const bool isStale = !m_store.isWanted(name, slot.advertised.revision, slot.advertised.hash);
    if (isStale || isNewer(version, slot.advertised)) {
        slot.advertised = version;
        slot.holders.assign(1, holder);
    } else if (version == slot.advertised && slot.holders.size() < DocumentFetch::maxSources
        && std::find(slot.holders.begin(), slot.holders.end(), holder) == slot.holders.end()) {
        slot.holders.push_back(holder);
    }

    // Finish a fetch that has received chunks before fetching a newer version. Restarting it for each new version might
    // never finish when documents change often.
    if (slot.fetch && slot.fetch->wanted() == version)
        slot.fetch->addSource(holder);
    else if (!slot.fetch || (!slot.fetch->hasChunks() && isNewer(version, slot.fetch->wanted())))
        startFetch(name);
}

void Distributor::startFetch(DocumentName name)
{
    Slot& slot = m_slots[indexOf(name)];
    slot.fetch.emplace(name, slot.advertised, m_clock.now());
    for (const auto& holder : slot.holders)
        slot.fetch->addSource(holder);
    sendPull(name);
}

void Distributor::sendPull(DocumentName name)
{
    DocumentFetch& fetch = *m_slots[indexOf(name)].fetch;
    DocumentPull pull;
    pull.name = name;
    pull.wanted = fetch.wanted();
    pull.held = currentVersion(name);
    pull.ranges = fetch.nextRanges();
    ++m_counters.pullsSent;
    sendTo(fetch.source(), ControlMessageType::DocumentPull, pull.encode());
}

void Distributor::retryFetches(SteadyTime now)
{
    for (const auto name : allDocuments) {
        Slot& slot = m_slots[indexOf(name)];
        if (!slot.fetch || now - slot.fetch->lastProgressAt() < m_settings.retryDelay)
            continue;
        slot.fetch->recordFailure(now);
        if (slot.fetch->failures() <= m_settings.maxFetchFailuresCount) {
            sendPull(name);
            continue;
        }

        // No holder replies. The next advertisement from any peer starts a new fetch.
        ++m_counters.fetchesAbandoned;
        slot.fetch.reset();
        slot.advertised = {};
        slot.holders.clear();
    }
}

void Distributor::finishFetch(DocumentName name, const std::string& source)
{
    Slot& slot = m_slots[indexOf(name)];
    const DocumentFetch fetch = std::move(*slot.fetch);
    slot.fetch.reset();
    if (slot.advertised == fetch.wanted())
        slot.advertised = {};
    applyFrame(fetch.header(), fetch.frame(), source);
    if (m_store.isWanted(name, slot.advertised.revision, slot.advertised.hash))
        startFetch(name);
}

bool Distributor::applyFrame(const FrameHeader& header, std::string_view frame, const std::string& source)
{
    // Find the base of a delta.
    std::shared_ptr<const std::string> base;
    if (header.base.revision.value != 0) {
        const Document* held = m_store.find(header.name, header.base.revision, header.base.hash);
        if (!held)
            return false;
        base = held->text;
    }

    // Verify the frame before decompression and the text after it.
    std::string text;
    const auto error = errorOf([&]() -> Result<void> {
        if (header.textBytes > DocumentStore::maxDocumentBytes || documentHash(frame) != header.frameHash)
            return fail(ErrorCode::InvalidDocument, "The frame's hash does not match, or its text is too large.");
        BOOST_LEAF_ASSIGN(
            text, decompressDocument(frame, base ? std::string_view(*base) : std::string_view(), header.textBytes));
        return {};
    });
    if (error || documentHash(text) != header.target.hash) {
        ++m_counters.framesRefused;
        return false;
    }
    if (m_store.offer(header.name, header.target.revision, std::move(text), source) == OfferResult::Accepted)
        m_slots[indexOf(header.name)].frames.insert({ header, std::string(frame) });
    return true;
}

void Distributor::receivePush(const Address& from, const ControlMessage& message)
{
    const auto part = FramePart::decode(message.payload);
    if (!part) {
        ++m_counters.malformedReceived;
        return;
    }
    const auto& header = part->header;
    if (!m_store.isWanted(header.name, header.target.revision, header.target.hash)) {
        ++m_counters.duplicatesReceived;

        // Tell a sender that is behind about the newer revision at once.
        if (isNewer(currentVersion(header.name), header.target) && m_replyLimit.take(1, m_clock.now()))
            sendRevisions(from, 0, false);
        return;
    }
    if (part->bytes.empty() || part->bytes.size() != header.frameBytes
        || !applyFrame(header, part->bytes, message.sender.text()))
        handleAdvertisedVersion(header.name, header.target, from);
}

void Distributor::receivePull(const Address& from, const ControlMessage& message)
{
    const auto pull = DocumentPull::decode(message.payload);
    if (!pull) {
        ++m_counters.malformedReceived;
        return;
    }
    const Document* document = m_store.find(pull->name, pull->wanted.revision, pull->wanted.hash);
    if (!document) {
        if (isNewer(currentVersion(pull->name), pull->wanted) && m_replyLimit.take(1, m_clock.now()))
            sendRevisions(from, 0, false);
        return;
    }
    const FrameCache::Frame* frame
        = m_slots[indexOf(pull->name)].frames.findOrCompress(*document, pull->held, m_clock.now());
    if (!frame) {
        ++m_counters.servesRateLimited;
        return;
    }

    // Send at most one window of chunks, within the rate limit. The requester pulls missing ones again.
    uint64_t left = DocumentFetch::windowChunks;
    for (const auto& range : pull->ranges) {
        for (uint64_t i = 0; i < range.count && left > 0; ++i, --left) {
            const uint64_t index = range.first + i;
            if (index < range.first || index >= (frame->bytes.size() + documentChunkBytes - 1) / documentChunkBytes)
                break;
            FramePart part;
            part.header = frame->header;
            part.index = index;
            part.bytes = std::string_view(frame->bytes).substr(index * documentChunkBytes, documentChunkBytes);
            std::string payload = part.encode();
            if (!m_serveLimit.take(static_cast<double>(payload.size()) + datagramOverheadBytes, m_clock.now())) {
                ++m_counters.servesRateLimited;
                return;
            }
            ++m_counters.chunksSent;
            sendTo(from, ControlMessageType::DocumentChunk, std::move(payload));
        }
    }
}

void Distributor::receiveChunk(const ControlMessage& message)
{
    const auto part = FramePart::decode(message.payload);
    if (!part) {
        ++m_counters.malformedReceived;
        return;
    }
    const DocumentName name = part->header.name;
    auto& fetch = m_slots[indexOf(name)].fetch;
    if (!fetch || !fetch->addChunk(*part, m_clock.now())) {
        ++m_counters.duplicatesReceived;
        return;
    }
    if (fetch->isComplete())
        finishFetch(name, message.sender.text());
    else if (fetch->needsNextWindow())
        sendPull(name);
}

void Distributor::receiveRevisions(const Address& from, const ControlMessage& message)
{
    const auto exchange = RevisionExchange::decode(message.payload);
    if (!exchange) {
        ++m_counters.malformedReceived;
        return;
    }
    handleSummary(exchange->summary, from);
    if (exchange->wantsReply) {
        if (m_replyLimit.take(1, m_clock.now()))
            sendRevisions(from, exchange->roundId, false);
        return;
    }
    if (exchange->summary.isCaughtUp)
        m_catchUp.recordReply(exchange->roundId, m_clock.now());
    updateCatchUp(m_clock.now());
}

void Distributor::queryPeers(SteadyTime now)
{
    if (!m_catchUp.startQueryIfDue(now))
        return;
    auto queried = chooseLocalPeers(CatchUp::queryFanout);

    // If the whole data centre has restarted, only other data centres can reply.
    if (queried.empty() || m_catchUp.queryCount() > 1) {
        const auto bridges = chooseRemoteBridges(queried.empty() ? CatchUp::queryFanout : 1);
        queried.insert(queried.end(), bridges.begin(), bridges.end());
    }
    m_catchUp.recordQueried(queried.size());
    for (const auto& address : queried)
        sendRevisions(address, m_catchUp.roundId(), true);
}

void Distributor::updateCatchUp(SteadyTime now)
{
    const bool holdsNewest = std::all_of(allDocuments.begin(), allDocuments.end(), [this](DocumentName name) {
        const auto& advertised = m_slots[indexOf(name)].advertised;
        return m_store.current(name) && !m_store.isWanted(name, advertised.revision, advertised.hash);
    });
    m_catchUp.update(holdsNewest, !m_peers.localPeers().empty() || !m_peers.remoteBridges().empty(), now);
}

void Distributor::sendRevisions(const Address& to, uint64_t roundId, bool wantsReply)
{
    RevisionExchange exchange;
    exchange.summary = summary();
    exchange.roundId = roundId;
    exchange.wantsReply = wantsReply;
    sendTo(to, ControlMessageType::DocumentRevisions, exchange.encode());
}

RevisionSummary Distributor::summary() const
{
    RevisionSummary summary;
    for (const auto name : allDocuments)
        summary.versions[indexOf(name)] = currentVersion(name);
    if (const auto age = platformContactAge())
        summary.platformContactAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
    summary.isCaughtUp = m_catchUp.isDone();
    return summary;
}

DocumentVersion Distributor::currentVersion(DocumentName name) const
{
    const Document* document = m_store.current(name);
    return document ? versionOf(*document) : DocumentVersion {};
}

std::vector<Address> Distributor::chooseLocalPeers(size_t count)
{
    return choosePeers(m_peers.localPeers(), count, m_random);
}

std::vector<Address> Distributor::chooseRemoteBridges(size_t count)
{
    return choosePeers(m_peers.remoteBridges(), count, m_random);
}

void Distributor::sendTo(const Address& to, ControlMessageType type, std::string payload)
{
    if (to != m_peers.self().controlAddress)
        m_send(to, type, std::move(payload));
}

}
