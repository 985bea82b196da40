#include "snipeweir/relay/Quotas.h"

#include <boost/asio/post.hpp>
#include <cmath>

namespace snipeweir {

Quotas::Quotas(const asio::any_io_executor& executor, const Clock& clock, const RelaySettings& node,
    const FleetView& view, PeerLoads& peers, uint64_t seed)
    : m_executor(executor)
    , m_clock(clock)
    , m_node(node)
    , m_view(view)
    , m_peers(peers)
    , m_members(QuotaMembers::Settings(), clock, node.peersAddress.ip, node.dataCentre)
    , m_granter(QuotaGranter::Settings(), clock, m_members, seed)
    , m_client(QuotaClient::Settings(), clock, m_members, seed + 1)
    , m_timer(executor)
{
    m_granter.limitOf = [this](uint64_t organisation) {
        const auto found = m_limits.find(organisation);
        return found == m_limits.end() ? nullptr : &found->second;
    };
    m_granter.viewAge = [this] { return viewAge(); };
    m_granter.sendRequest = [this](const std::string& ip, const QuotaMessage& message) {
        send(ip, PeerMessage::Kind::QuotaRequest, message);
    };
    m_granter.sendReply = [this](const std::string& ip, const QuotaMessage& message) {
        send(ip, PeerMessage::Kind::QuotaGrant, message);
    };
    m_client.send = m_granter.sendRequest;
    m_client.onDecided = [this](uint64_t id, const QuotaDecision& decision) {
        const auto waiter = m_waiters.find(id);
        if (waiter == m_waiters.end())
            return;
        waiter->second->decision = decision;
        waiter->second->timer.cancel();
    };
}

void Quotas::setOrganisations(const std::vector<Organisation>& organisations)
{
    const bool hadNone = m_limits.empty();
    m_limits.clear();
    for (const Organisation& organisation : organisations) {
        const bool isLimited = std::isfinite(organisation.requestsPerSecond) && organisation.requestsPerSecond > 0;
        if (!isLimited)
            continue;
        Organisation& limit = m_limits[organisationHash(organisation.name)];
        limit = organisation;
        limit.burst = std::isfinite(limit.burst) && limit.burst > 0 ? limit.burst : 0;
    }
    if (hadNone || m_limits.empty())
        onViewChanged();
    else
        m_granter.onViewChanged();
}

void Quotas::onViewChanged()
{
    // Deployments without quotas need no list of members.
    if (m_limits.empty())
        return;
    m_granter.setBounds({ m_node.quotaWindow, m_node.quotaOverage, m_node.quotaSlack });
    m_client.setBounds({ m_node.quotaWindow, m_node.quotaOverage, m_node.quotaSlack });
    std::vector<QuotaMembers::Member> members;
    members.reserve(m_view.backends().size());
    for (const BackendEntry& entry : m_view.backends()) {
        if (m_view.findByAddress(entry.address) == &entry)
            members.push_back({ entry.address.ip, entry.dataCentre });
    }
    m_members.update(members);
    m_granter.onViewChanged();
}

void Quotas::send(const std::string& ip, PeerMessage::Kind kind, const QuotaMessage& quota)
{
    PeerMessage message;
    message.kind = kind;
    message.quota = quota;
    if (ip != m_node.peersAddress.ip) {
        m_peers.send(ip, message);
        return;
    }
    // This node is the granter itself. Posted, since the sender is in the middle of a decision.
    asio::post(m_executor, [this, ip, message] { onMessage(ip, message); });
}

void Quotas::onMessage(const std::string& ip, const PeerMessage& message)
{
    if (message.kind == PeerMessage::Kind::QuotaRequest) {
        m_granter.onRequest(ip, message.quota);
    } else {
        // Nonces are random numbers of 64 bits, so the reply concerns one of the two at most.
        m_granter.onReply(ip, message.quota);
        m_client.onReply(ip, message.quota);
    }
    schedule();
}

bool Quotas::isLimited(const std::string& organisation) const
{
    return !m_limits.empty() && !organisation.empty() && m_limits.contains(organisationHash(organisation));
}

asio::awaitable<QuotaDecision> Quotas::decide(const Organisation& limit)
{
    const uint64_t id = m_nextId++;
    const auto decision = m_client.acquire(id, limit);
    schedule();
    if (decision)
        co_return *decision;
    auto waiter = std::make_shared<Waiter>(m_executor);
    m_waiters.emplace(id, waiter);
    waiter->timer.expires_at(SteadyTime::max());
    while (!waiter->decision)
        co_await waiter->timer.async_wait(asTuple);
    m_waiters.erase(id);
    co_return *waiter->decision;
}

asio::awaitable<Quotas::Ticket> Quotas::acquire(std::string organisation)
{
    Ticket ticket;
    const auto limit = m_limits.find(organisationHash(organisation));
    if (limit == m_limits.end())
        co_return ticket;
    ticket.organisation = std::move(organisation);
    const Organisation copy = limit->second; // The limits may change meanwhile.
    ticket.decision = co_await decide(copy);
    ticket.unspent = ticket.decision.isAdmitted ? 1 : 0;
    co_return ticket;
}

bool Quotas::trySpend(Ticket& ticket)
{
    if (ticket.organisation.empty())
        return true;
    if (ticket.unspent == 0)
        return false;
    --ticket.unspent;
    return true;
}

asio::awaitable<bool> Quotas::spendAnother(Ticket& ticket)
{
    const Ticket another = co_await acquire(ticket.organisation);
    if (another.decision.isAdmitted)
        ticket.decision.expiresAt = another.decision.expiresAt;
    co_return another.decision.isAdmitted;
}

void Quotas::refund(Ticket& ticket)
{
    if (!ticket.organisation.empty())
        ++ticket.unspent;
}

void Quotas::close(Ticket& ticket)
{
    for (; ticket.unspent > 0; --ticket.unspent)
        m_client.giveBack(ticket.organisation, ticket.decision);
}

void Quotas::advance()
{
    m_granter.advance();
    m_client.advance();
    schedule();
}

void Quotas::schedule()
{
    const auto forGranter = m_granter.nextAdvance();
    const auto forClient = m_client.nextAdvance();
    const auto next
        = forGranter && forClient ? std::min(*forGranter, *forClient) : (forGranter ? forGranter : forClient);
    if (!next || (m_timerAt && *m_timerAt <= *next && *m_timerAt > m_clock.now()))
        return;
    m_timerAt = next;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](const error_code& error) {
        if (error)
            return;
        m_timerAt.reset();
        advance();
    });
}

}
