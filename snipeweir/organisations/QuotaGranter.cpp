#include "snipeweir/organisations/QuotaGranter.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    constexpr double milliTokensPerToken = 1000;
    /// Largest number of tokens in one message.
    constexpr double maxTokens = 100'000;
    /// Sums of parts of a token may lack this much by rounding.
    constexpr double roundingError = 0.0005;
    constexpr std::chrono::milliseconds maxClaimInterval { 1000 };
    constexpr std::chrono::milliseconds maxReportedAge { 3'600'000 };

    uint32_t toMilliTokens(double tokens)
    {
        return static_cast<uint32_t>(std::clamp(tokens, 0.0, maxTokens) * milliTokensPerToken);
    }

    double toTokens(uint32_t milliTokens) { return std::min(milliTokens / milliTokensPerToken, maxTokens); }

    double seconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

}

double QuotaGranter::contactShare()
{
    const SteadyTime now = m_clock.now();
    const auto age = viewAge();
    if (m_hadOldView && age < m_settings.maxViewAge) {
        // Other nodes may have become granters meanwhile.
        m_members.rejoin();
        m_buckets.clear();
        m_active.clear();
    }
    m_hadOldView = age >= m_settings.maxViewAge;
    if (age < m_settings.probeAfter)
        return 1;
    if (now - m_probedAt >= m_settings.probeInterval) {
        m_contact = m_probesSent > 0 ? static_cast<double>(m_probeReplies) / static_cast<double>(m_probesSent) : 0;
        m_probedAt = now;
        m_probes.clear();
        m_probeReplies = 0;
        m_probesSent = 0;
        const auto& ips = m_members.ips();
        for (size_t i = 0; i < std::min(m_settings.probedNodes, ips.size()); ++i) {
            QuotaMessage probe;
            probe.nonce = m_random.next();
            probe.operation = QuotaMessage::Operation::Probe;
            m_probes.insert(probe.nonce);
            ++m_probesSent;
            sendRequest(ips[m_random.below(ips.size())], probe);
        }
    }
    if (age < m_settings.maxViewAge)
        return 1;
    // A node that has just joined or rejoined may not know the rest of the fleet.
    const bool hadStableView = now - age >= m_members.registeredSince() + m_settings.maxViewAge;
    const double contact = m_contact * m_members.presentShare();
    return hadStableView && contact >= m_settings.minContact ? contact : 0;
}

void QuotaGranter::refresh(uint64_t organisation, Bucket& bucket, const Organisation& limit)
{
    const SteadyTime now = m_clock.now();
    std::erase_if(bucket.predecessors, [&](const Predecessor& predecessor) { return predecessor.node.until <= now; });
    const double dataCentres = static_cast<double>(std::max<size_t>(1, m_members.dataCentreCount()));
    const double share = m_members.share() * contactShare();
    const bool mayRefill = bucket.predecessors.empty();
    if (!mayRefill)
        claim(organisation, bucket);
    bucket.tokens.setRate(mayRefill ? limit.requestsPerSecond * share : 0, now);
    const double extra = m_bounds.slack * m_settings.capacitySlackShare / dataCentres;
    bucket.tokens.setCapacity(limit.burst * share + extra, now);
}

QuotaGranter::Bucket* QuotaGranter::find(uint64_t organisation)
{
    // Without contact the bucket is kept: a new one would start with the tokens of its burst again.
    if (contactShare() == 0)
        return nullptr;
    const Organisation* limit = limitOf(organisation);
    if (!limit || !m_members.isGranter(organisation)) {
        m_buckets.erase(organisation);
        m_active.erase(organisation);
        return nullptr;
    }
    const auto found = m_buckets.find(organisation);
    Bucket* bucket = found == m_buckets.end() ? nullptr : &found->second;
    const SteadyTime now = m_clock.now();
    if (!bucket) {
        const SteadyTime since = std::min(now, m_members.onlyGranterSince(organisation));
        const double share = m_members.share();
        const double initial = m_bounds.slack * m_settings.startSlackShare * share
            + limit->requestsPerSecond * share * seconds(now - since);
        bucket = &m_buckets.emplace(organisation, Bucket(TokenBucket(0, initial, initial, now))).first->second;
        for (QuotaMembers::Predecessor& predecessor : m_members.predecessors(organisation))
            bucket->predecessors.push_back({ std::move(predecessor), m_random.next() });
        bucket->demandAt = now;
    }
    refresh(organisation, *bucket, *limit);
    return bucket;
}

void QuotaGranter::claim(uint64_t organisation, Bucket& bucket)
{
    const SteadyTime now = m_clock.now();
    for (Predecessor& predecessor : bucket.predecessors) {
        if (predecessor.askAt > now || predecessor.node.ip.empty())
            continue;
        predecessor.askAt = now + predecessor.interval;
        predecessor.interval = std::min(predecessor.interval * 2, maxClaimInterval);
        QuotaMessage request;
        request.nonce = predecessor.nonce;
        request.operation = predecessor.node.isLocal ? QuotaMessage::Operation::Claim : QuotaMessage::Operation::Join;
        request.organisation = organisation;
        m_active.insert(organisation);
        sendRequest(predecessor.node.ip, request);
    }
}

double QuotaGranter::available(const Bucket& bucket) const
{
    return bucket.tokens.available(m_clock.now()) + bucket.gathered;
}

void QuotaGranter::addDemand(Bucket& bucket, double tokens)
{
    const SteadyTime now = m_clock.now();
    bucket.demand = bucket.demand * std::exp(-seconds(now - bucket.demandAt)) + tokens;
    bucket.demandAt = now;
}

double QuotaGranter::stock(const Bucket& bucket) const
{
    // Less than one token is of use to other data centres only.
    return std::floor(bucket.demand * seconds(m_settings.stock));
}

void QuotaGranter::onViewChanged()
{
    const SteadyTime now = m_clock.now();
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        const auto& [organisation, bucket] = *entry;
        const bool isIdle = now - bucket.demandAt > m_settings.idleTime;
        if (isIdle || !limitOf(organisation) || !m_members.isGranter(organisation)) {
            m_active.erase(organisation);
            entry = m_buckets.erase(entry);
        } else {
            ++entry;
        }
    }
}

void QuotaGranter::reply(
    const std::string& ip, uint64_t nonce, QuotaMessage::Status status, double tokens, SteadyTime waitUntil)
{
    QuotaMessage message;
    message.nonce = nonce;
    message.status = status;
    message.milliTokens = toMilliTokens(tokens);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(waitUntil - m_clock.now());
    message.wait = std::max(std::chrono::milliseconds(0), wait);
    sendReply(ip, message);
}

void QuotaGranter::onRequest(const std::string& ip, const QuotaMessage& request)
{
    ++m_counters.requests;
    switch (request.operation) {
    case QuotaMessage::Operation::Take:
        handleTake(ip, request);
        break;
    case QuotaMessage::Operation::Transfer:
        handleTransfer(ip, request);
        break;
    case QuotaMessage::Operation::Claim:
        handleClaim(ip, request);
        break;
    case QuotaMessage::Operation::Join:
        handleJoin(ip, request);
        break;
    case QuotaMessage::Operation::Probe:
        reply(ip, request.nonce, QuotaMessage::Status::Granted, 0,
            m_clock.now() + std::min<std::chrono::milliseconds>(viewAge(), maxReportedAge));
        break;
    }
}

SteadyTime QuotaGranter::promise(Bucket& bucket)
{
    const SteadyTime now = m_clock.now();
    const double rate = bucket.tokens.rate();
    if (rate <= 0)
        return now + m_settings.minWait;
    // Each node that gets nothing is told a later time, so that they don't all ask again for the same token.
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(std::min(1 / rate, seconds(m_settings.maxWait))));
    const double missing = std::max(0.0, 1 - available(bucket));
    const auto first = std::chrono::duration_cast<std::chrono::nanoseconds>(interval * missing);
    bucket.promisedAt = std::max(bucket.promisedAt + interval, now + first);
    bucket.promisedAt = std::clamp(bucket.promisedAt, now + m_settings.minWait, now + m_settings.maxWait);
    return bucket.promisedAt;
}

void QuotaGranter::grant(Bucket& bucket, const std::string& ip, uint64_t nonce, double tokens)
{
    const SteadyTime now = m_clock.now();
    const double granted = std::clamp(std::floor(available(bucket) + roundingError), 0.0, tokens);
    const double fromOthers = std::min(granted, bucket.gathered);
    bucket.gathered -= fromOthers;
    bucket.tokens.charge(granted - fromOthers, now);
    m_counters.grantedTokens += static_cast<uint64_t>(granted);
    m_counters.denied += granted < 1 ? 1 : 0;
    reply(ip, nonce, QuotaMessage::Status::Granted, granted, granted < tokens ? promise(bucket) : SteadyTime());
}

void QuotaGranter::handleTake(const std::string& ip, const QuotaMessage& request)
{
    Bucket* bucket = find(request.organisation);
    if (!bucket) {
        reply(ip, request.nonce, QuotaMessage::Status::Unavailable, 0);
        return;
    }
    const double tokens = std::max(1.0, std::floor(toTokens(request.milliTokens)));
    addDemand(*bucket, tokens);
    const bool hasToken = available(*bucket) + roundingError >= 1;
    if (hasToken && bucket->pending.empty()) {
        grant(*bucket, ip, request.nonce, tokens);
        requestTransfers(request.organisation, *bucket);
        return;
    }
    bucket->pending.push_back({ ip, request.nonce, tokens, m_clock.now() + m_settings.maxPending });
    if (requestTransfers(request.organisation, *bucket)) {
        m_active.insert(request.organisation);
        reply(ip, request.nonce, QuotaMessage::Status::Pending, 0);
        return;
    }
    bucket->pending.pop_back();
    grant(*bucket, ip, request.nonce, tokens);
}

bool QuotaGranter::requestTransfers(uint64_t organisation, Bucket& bucket)
{
    const SteadyTime now = m_clock.now();
    for (const auto& [nonce, transfer] : bucket.transfers) {
        if (transfer.expiresAt > now)
            return true;
    }
    double needed = stock(bucket);
    for (const PendingTake& take : bucket.pending)
        needed = std::max(needed, take.tokens);
    const double missing = needed - available(bucket);
    if (missing <= 0)
        return false;
    std::vector<std::string> donors;
    for (const std::string& ip : m_members.granters(organisation)) {
        const auto excluded = bucket.backoff.find(ip);
        const bool isExcluded = excluded != bucket.backoff.end() && excluded->second > now;
        if (!isExcluded && ip != m_members.ips().at(*m_members.rank()))
            donors.push_back(ip);
    }
    if (donors.empty())
        return false;
    const size_t count = std::min(donors.size(), m_settings.maxDonors);
    const size_t first = m_random.below(donors.size());
    const double each = std::max(missing / static_cast<double>(count), std::min(missing, 1.0));
    for (size_t i = 0; i < count; ++i) {
        const std::string& ip = donors[(first + i) % donors.size()];
        QuotaMessage request;
        request.nonce = m_random.next();
        request.operation = QuotaMessage::Operation::Transfer;
        request.organisation = organisation;
        request.milliTokens = toMilliTokens(each);
        bucket.transfers.insert_or_assign(request.nonce, Transfer { ip, each, now + m_settings.transferTimeout });
        sendRequest(ip, request);
    }
    m_active.insert(organisation);
    return true;
}

void QuotaGranter::handleTransfer(const std::string& ip, const QuotaMessage& request)
{
    Bucket* bucket = find(request.organisation);
    if (!bucket) {
        reply(ip, request.nonce, QuotaMessage::Status::Unavailable, 0);
        return;
    }
    const SteadyTime now = m_clock.now();
    const double spare = bucket->pending.empty() ? bucket->tokens.available(now) - stock(*bucket) : 0;
    const double tokens = toTokens(toMilliTokens(std::clamp(spare, 0.0, toTokens(request.milliTokens))));
    bucket->tokens.charge(tokens, now);
    m_counters.transfers += tokens > 0 ? 1 : 0;
    reply(ip, request.nonce, QuotaMessage::Status::Granted, tokens);
}

void QuotaGranter::handleClaim(const std::string& ip, const QuotaMessage& request)
{
    m_members.addClaimant(ip);
    // The rest of the bucket moves to the new granter.
    double tokens = 0;
    const auto found = m_buckets.find(request.organisation);
    if (found != m_buckets.end() && !m_members.isGranter(request.organisation)) {
        tokens = found->second.tokens.available(m_clock.now());
        m_buckets.erase(found);
        m_active.erase(request.organisation);
    }
    // A node that ranks higher keeps granting; the sender will learn of it.
    const bool mayGrant
        = !m_members.isGranter(request.organisation) && !m_members.hasDepartedAbove(request.organisation, ip);
    replyToNewGranter(ip, request.nonce, mayGrant, tokens);
}

void QuotaGranter::replyToNewGranter(const std::string& ip, uint64_t nonce, bool mayGrant, double tokens)
{
    QuotaMessage message;
    message.nonce = nonce;
    message.status = mayGrant ? QuotaMessage::Status::Granted : QuotaMessage::Status::Unavailable;
    message.milliTokens = mayGrant ? toMilliTokens(tokens) : 0;
    message.nodes = static_cast<uint32_t>(m_members.ownHighestCount());
    sendReply(ip, message);
}

void QuotaGranter::handleJoin(const std::string& ip, const QuotaMessage& request)
{
    replyToNewGranter(ip, request.nonce, m_members.contains(ip) && contactShare() > 0, 0);
}

void QuotaGranter::onReply(const std::string& ip, const QuotaMessage& message)
{
    if (m_probes.erase(message.nonce) > 0) {
        // A node with a newer view may know of other granters.
        m_probeReplies += message.wait + m_settings.newerBy >= std::min(viewAge(), maxReportedAge) ? 1 : 0;
        return;
    }
    contactShare(); // May drop all buckets, so it precedes their use.
    const SteadyTime now = m_clock.now();
    for (const uint64_t organisation : m_active) {
        Bucket& bucket = m_buckets.at(organisation);
        const auto predecessor = std::find_if(bucket.predecessors.begin(), bucket.predecessors.end(),
            [&](const Predecessor& candidate) { return candidate.nonce == message.nonce && candidate.node.ip == ip; });
        if (predecessor != bucket.predecessors.end()) {
            m_members.learnCount(message.nodes);
            if (message.status != QuotaMessage::Status::Granted)
                return;
            bucket.predecessors.erase(predecessor);
            if (const Organisation* limit = limitOf(organisation))
                refresh(organisation, bucket, *limit);
            bucket.tokens.charge(-toTokens(message.milliTokens), now);
            servePending(organisation, bucket);
            return;
        }
        const auto found = bucket.transfers.find(message.nonce);
        if (found == bucket.transfers.end())
            continue;
        const Transfer transfer = found->second;
        bucket.transfers.erase(found);
        if (transfer.expiresAt <= now)
            return;
        const double tokens = toTokens(message.milliTokens);
        if (message.status != QuotaMessage::Status::Granted)
            bucket.backoff[ip] = now + m_settings.silentBackoff;
        else if (tokens + roundingError * 2 < transfer.tokens)
            bucket.backoff[ip] = now + m_settings.emptyBackoff;
        bucket.gathered += std::min(tokens, transfer.tokens);
        servePending(organisation, bucket);
        return;
    }
}

void QuotaGranter::servePending(uint64_t organisation, Bucket& bucket)
{
    const SteadyTime now = m_clock.now();
    while (!bucket.pending.empty()) {
        const PendingTake take = bucket.pending.front();
        const bool hasToken = available(bucket) + roundingError >= 1;
        // Once no other granter has any, all that wait are told at once.
        if (!hasToken && take.expiresAt > now && requestTransfers(organisation, bucket))
            return;
        bucket.pending.pop_front();
        grant(bucket, take.ip, take.nonce, take.tokens);
    }
    bucket.tokens.charge(-bucket.gathered, now);
    bucket.gathered = 0;
}

void QuotaGranter::advance()
{
    const SteadyTime now = m_clock.now();
    const std::set<uint64_t> active = m_active;
    for (const uint64_t organisation : active) {
        Bucket* bucket = find(organisation);
        if (!bucket) {
            // This node must not grant now; those that wait ask other granters.
            m_active.erase(organisation);
            if (const auto found = m_buckets.find(organisation); found != m_buckets.end()) {
                found->second.pending.clear();
                found->second.transfers.clear();
            }
            continue;
        }
        std::erase_if(bucket->transfers, [&](const auto& entry) {
            if (entry.second.expiresAt > now)
                return false;
            bucket->backoff[entry.second.ip] = now + m_settings.silentBackoff;
            return true;
        });
        std::erase_if(bucket->backoff, [&](const auto& entry) { return entry.second <= now; });
        servePending(organisation, *bucket);
        if (bucket->pending.empty() && bucket->transfers.empty() && bucket->predecessors.empty())
            m_active.erase(organisation);
    }
}

std::optional<SteadyTime> QuotaGranter::nextAdvance() const
{
    std::optional<SteadyTime> next;
    const auto consider = [&](SteadyTime time) { next = next ? std::min(*next, time) : time; };
    for (const uint64_t organisation : m_active) {
        const Bucket& bucket = m_buckets.at(organisation);
        for (const PendingTake& take : bucket.pending)
            consider(take.expiresAt);
        for (const auto& [nonce, transfer] : bucket.transfers)
            consider(transfer.expiresAt);
    }
    return next;
}

}
