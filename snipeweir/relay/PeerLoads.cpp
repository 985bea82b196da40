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
    error_code ignored; // A datagram that cannot be sent is a lost one, which every message allows for.
    const asio::ip::udp::endpoint to(asio::ip::make_address(ip, ignored), m_socket.local_endpoint(ignored).port());
    m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
}

asio::awaitable<void> PeerLoads::receive()
{
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto [error, count] = co_await m_socket.async_receive_from(asio::buffer(m_received), from, asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            take(from, std::string_view(m_received.data(), count));
        // Take all that has arrived in one wake-up.
        error_code more;
        while (m_socket.available(more) > 0 && !more) {
            const size_t next = m_socket.receive_from(asio::buffer(m_received), from, 0, more);
            if (!more)
                take(from, std::string_view(m_received.data(), next));
        }
    }
}

void PeerLoads::take(const asio::ip::udp::endpoint& from, std::string_view bytes)
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
        reply.load = ownLoad();
        send(ip, reply);
        break;
    }
    case PeerMessage::Kind::LoadReply:
        takeReply(ip, *message);
        break;
    case PeerMessage::Kind::Announcement:
        onAnnouncement(ip, *message);
        break;
    case PeerMessage::Kind::Subscription:
        onSubscription(ip);
        break;
    }
}

void PeerLoads::takeReply(const std::string& ip, const PeerMessage& message)
{
    const SteadyTime now = m_clock.now();
    Peer& known = m_peers[ip];
    known.load = message.load;
    known.loadAt = now;
    known.unanswered = 0;
    // A reply that comes too late for its choice still says how slow the node is.
    const auto sample = std::chrono::duration_cast<std::chrono::microseconds>(now - known.askedAt);
    known.roundTrip = (known.roundTrip * 3 + sample) / 4;
    const auto found = m_questions.find(message.nonce);
    if (found == m_questions.end())
        return;
    Question& question = *found->second;
    ++question.replies;
    std::erase(question.open, ip);
    const bool isUsualWaitOver = now >= question.sentAt + m_settings.usualWait;
    if (question.open.empty() || isUsualWaitOver)
        question.timer.cancel();
    else if (question.replies == 1)
        question.timer.expires_at(question.sentAt + m_settings.usualWait);
}

asio::awaitable<void> PeerLoads::ask(const std::vector<std::string>& ips)
{
    const SteadyTime now = m_clock.now();
    const uint64_t nonce = m_nextNonce++;
    auto question = std::make_shared<Question>(m_executor);
    question->sentAt = now;
    PeerMessage query;
    query.nonce = nonce;
    for (const std::string& ip : ips) {
        Peer& known = m_peers[ip];
        if (now - known.loadAt < m_settings.freshFor)
            continue;
        known.askedAt = now;
        question->open.push_back(ip);
        send(ip, query);
    }
    if (question->open.empty())
        co_return;

    m_questions.emplace(nonce, question);
    // A reply moves the expiry, which ends the wait with operation_aborted; the loop waits on.
    question->timer.expires_at(now + m_settings.longestWait);
    while (!question->open.empty() && m_clock.now() < question->timer.expiry()) {
        co_await question->timer.async_wait(asTuple);
        if (question->replies > 0 && m_clock.now() >= question->sentAt + m_settings.usualWait)
            break;
    }
    m_questions.erase(nonce);
    const auto waited = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - now);
    for (const std::string& ip : question->open) {
        Peer& silent = m_peers[ip];
        ++silent.unanswered;
        silent.roundTrip = std::max(silent.roundTrip, waited);
    }
}

bool PeerLoads::isSilent(const std::string& ip) { return m_peers[ip].unanswered >= m_settings.silentAfter; }

void PeerLoads::keepOnly(const std::vector<std::string>& ips)
{
    const std::unordered_set<std::string_view> kept(ips.begin(), ips.end());
    std::erase_if(m_peers, [&](const auto& entry) { return !kept.contains(entry.first); });
}

}
