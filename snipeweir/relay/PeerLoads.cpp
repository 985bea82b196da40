#include "snipeweir/relay/PeerLoads.h"

#include <algorithm>
#include <unordered_set>

namespace snipeweir {

PeerLoads::PeerLoads(asio::any_io_executor executor, const Clock& clock, Settings settings)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_settings(settings)
    , m_socket(m_executor)
{
}

void PeerLoads::bind(const asio::ip::udp::endpoint& endpoint, error_code& error)
{
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind(endpoint, error);
}

void PeerLoads::send(const std::string& ip, const PeerMessage& message)
{
    const std::string bytes = message.encode();
    error_code ignored; // Every message tolerates loss, so a failed send needs no handling.
    const asio::ip::udp::endpoint to(asio::ip::make_address(ip, ignored), m_socket.local_endpoint(ignored).port());
    m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
}

asio::awaitable<void> PeerLoads::receive()
{
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto [error, count] = co_await m_socket.async_receive_from(asio::buffer(m_receiveBuffer), from, asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            handleDatagram(from, std::string_view(m_receiveBuffer.data(), count));
        // Handle all datagrams that have arrived in one wake-up.
        error_code more;
        while (m_socket.available(more) > 0 && !more) {
            const size_t next = m_socket.receive_from(asio::buffer(m_receiveBuffer), from, 0, more);
            if (!more)
                handleDatagram(from, std::string_view(m_receiveBuffer.data(), next));
        }
    }
}

void PeerLoads::handleDatagram(const asio::ip::udp::endpoint& from, std::string_view bytes)
{
    const auto message = PeerMessage::decode(bytes);
    if (!message)
        return;
    const std::string ip = from.address().to_string();
    switch (message->kind) {
    case PeerMessage::Kind::LoadQuery: {
        PeerMessage reply;
        reply.kind = PeerMessage::Kind::LoadReply;
        reply.nonce = message->nonce;
        reply.load = localLoad();
        send(ip, reply);
        break;
    }
    case PeerMessage::Kind::LoadReply:
        handleReply(ip, *message);
        break;
    case PeerMessage::Kind::Announcement:
        onAnnouncement(ip, *message);
        break;
    case PeerMessage::Kind::Subscription:
        onSubscription(ip);
        break;
    case PeerMessage::Kind::QuotaRequest:
    case PeerMessage::Kind::QuotaGrant:
        onQuota(ip, *message);
        break;
    }
}

void PeerLoads::handleReply(const std::string& ip, const PeerMessage& message)
{
    const SteadyTime now = m_clock.now();
    Peer& peer = m_peers[ip];
    peer.load = message.load;
    peer.loadAt = now;
    peer.unansweredQueries = 0;
    // A reply that arrives after its query timed out still updates the round-trip time.
    const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(now - peer.lastQueryAt);
    peer.roundTrip = (peer.roundTrip * 3 + sample) / 4;
    const auto found = m_pendingQueries.find(message.nonce);
    if (found == m_pendingQueries.end())
        return;
    PendingQuery& pending = *found->second;
    ++pending.replyCount;
    std::erase(pending.awaitedPeers, ip);
    const bool hasPartialTimeoutPassed = now >= pending.sentAt + m_settings.partialReplyTimeout;
    if (pending.awaitedPeers.empty() || hasPartialTimeoutPassed)
        pending.timer.cancel();
    else if (pending.replyCount == 1)
        pending.timer.expires_at(pending.sentAt + m_settings.partialReplyTimeout);
}

asio::awaitable<void> PeerLoads::queryLoads(const std::vector<std::string>& ips)
{
    const SteadyTime now = m_clock.now();
    const uint64_t nonce = m_nextNonce++;
    auto pending = std::make_shared<PendingQuery>(m_executor);
    pending->sentAt = now;
    PeerMessage query;
    query.nonce = nonce;
    for (const std::string& ip : ips) {
        Peer& peer = m_peers[ip];
        if (now - peer.loadAt < m_settings.cacheLifetime)
            continue;
        peer.lastQueryAt = now;
        pending->awaitedPeers.push_back(ip);
        send(ip, query);
    }
    if (pending->awaitedPeers.empty())
        co_return;

    m_pendingQueries.emplace(nonce, pending);
    // Setting a new expiry on a reply ends the wait with operation_aborted, so wait again until the expiry.
    pending->timer.expires_at(now + m_settings.noReplyTimeout);
    while (!pending->awaitedPeers.empty() && m_clock.now() < pending->timer.expiry()) {
        co_await pending->timer.async_wait(asTuple);
        if (pending->replyCount > 0 && m_clock.now() >= pending->sentAt + m_settings.partialReplyTimeout)
            break;
    }
    m_pendingQueries.erase(nonce);
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - now);
    for (const std::string& ip : pending->awaitedPeers) {
        Peer& peer = m_peers[ip];
        ++peer.unansweredQueries;
        peer.roundTrip = std::max(peer.roundTrip, waited);
    }
}

bool PeerLoads::isSilent(const std::string& ip) { return m_peers[ip].unansweredQueries >= m_settings.silentThreshold; }

void PeerLoads::keepOnly(const std::vector<std::string>& ips)
{
    const std::unordered_set<std::string_view> kept(ips.begin(), ips.end());
    std::erase_if(m_peers, [&](const auto& entry) { return !kept.contains(entry.first); });
}

}
