#pragma once

#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/organisations/QuotaClient.h"
#include "snipeweir/organisations/QuotaGranter.h"
#include "snipeweir/relay/PeerLoads.h"
#include "snipeweir/relay/RelaySettings.h"

namespace snipeweir {

/// Quotas of organisations at this node: connects QuotaClient and QuotaGranter to the datagrams of the fleet and to the
/// requests that wait for tokens. Not thread-safe; all calls must come from the thread that runs the executor.
class Quotas {
public:
    /// Tokens of one request of a caller. Each send to a server takes one.
    struct Ticket {
        /// Empty if the request's organisation has no limit.
        std::string organisation;
        uint32_t unspent = 0;
        QuotaDecision decision;
    };

    Quotas(
        const asio::any_io_executor&, const Clock&, const RelaySettings&, const FleetView&, PeerLoads&, uint64_t seed);

    /// Sets the limits in force. Organisations without a limit are ignored.
    void setOrganisations(const std::vector<Organisation>&);

    /// Applies the fleet view and the settings. Call after either has changed.
    void onViewChanged();

    /// @param ip Sender of the datagram, a quota request or a quota grant.
    void onMessage(const std::string& ip, const PeerMessage&);

    /// Returns the time since the view of the backend servers was last known to be up to date.
    std::function<std::chrono::milliseconds()> viewAge;

    /// @return Whether the organisation has a limit.
    bool isLimited(const std::string& organisation) const;

    /// Obtains the first token of a request, within QuotaClient::Settings::maxWait.
    /// @return Whether the request is admitted; a ticket for its sends.
    asio::awaitable<Ticket> acquire(std::string organisation);

    /// Spends a token of the ticket for one send.
    /// @return Whether there was one, or none is needed.
    static bool trySpend(Ticket&);

    /// Obtains and spends another token, for a send to a second server.
    /// @return Whether the request may be sent again.
    asio::awaitable<bool> spendAnother(Ticket&);

    /// Returns the token of a send that did not reach a server to the ticket.
    static void refund(Ticket&);

    /// Gives the unspent tokens of a ticket to other requests.
    void close(Ticket&);

    const QuotaClient::Counters& clientCounters() const { return m_client.counters(); }
    const QuotaGranter::Counters& granterCounters() const { return m_granter.counters(); }

private:
    struct Waiter {
        explicit Waiter(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        Timer timer;
        std::optional<QuotaDecision> decision;
    };

    asio::awaitable<QuotaDecision> decide(const Organisation&);
    void send(const std::string& ip, PeerMessage::Kind, const QuotaMessage&);
    void advance();
    /// Sets the timer for the next call of advance().
    void schedule();

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    const RelaySettings& m_node;
    const FleetView& m_view;
    PeerLoads& m_peers;
    QuotaMembers m_members;
    QuotaGranter m_granter;
    QuotaClient m_client;
    /// Organisations with a limit, by the hash of their names.
    std::unordered_map<uint64_t, Organisation> m_limits;
    uint64_t m_nextId = 1;
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    Timer m_timer;
    std::optional<SteadyTime> m_timerAt;
};

}
