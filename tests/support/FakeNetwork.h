#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Random.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace snipeweir {

/// In-memory datagram network in virtual time. Drops, delays, duplicates, reorders and truncates datagrams by
/// a seeded random generator, and blocks links by rules. Not thread-safe.
class FakeNetwork {
public:
    using Receiver = std::function<void(const Address& from, const std::string& datagram)>;
    /// @return Whether to drop a datagram between these addresses.
    using Rule = std::function<bool(const Address& from, const Address& to)>;

    struct Faults {
        double lossProbability = 0;
        double duplicationProbability = 0;
        double truncationProbability = 0; ///< Share of datagrams that arrive truncated at a random length.
        std::chrono::microseconds minDelay { 200 };
        std::chrono::microseconds maxDelay { 2000 }; ///< Different delays reorder datagrams.
    };

    FakeNetwork(ManualClock& clock, uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
    }

    void setFaults(const Faults& faults) { m_faults = faults; }

    /// Drops all datagrams that match the rule. A rule with the same name is replaced.
    /// @param name Name with which unblock() removes the rule.
    void block(const std::string& name, Rule rule) { m_dropRules[name] = std::move(rule); }
    void unblock(const std::string& name) { m_dropRules.erase(name); }

    void attach(const Address& address, Receiver receiver) { m_receivers[address] = std::move(receiver); }
    void detach(const Address& address)
    {
        m_receivers.erase(address);
        m_heldDatagrams.erase(address);
        m_paused.erase(address);
    }

    /// Holds the datagrams to this address until resume(), as the socket buffer of a paused process does; drops those
    /// that exceed the buffer.
    void pause(const Address& address) { m_paused.insert(address); }
    /// Delivers the held datagrams at once.
    void resume(const Address& address)
    {
        m_paused.erase(address);
        std::vector<DatagramInFlight> heldDatagrams;
        heldDatagrams.swap(m_heldDatagrams[address]);
        for (const DatagramInFlight& inFlight : heldDatagrams)
            deliver(inFlight);
    }

    void send(const Address& from, const Address& to, const std::string& datagram)
    {
        ++m_sentCount;
        for (const auto& [name, rule] : m_dropRules) {
            if (rule(from, to))
                return;
        }
        if (m_random.nextDouble() < m_faults.lossProbability)
            return;
        const int copies = m_random.nextDouble() < m_faults.duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            DatagramInFlight inFlight { m_clock.now() + delay(), ++m_sequence, from, to, datagram };
            if (m_random.nextDouble() < m_faults.truncationProbability)
                inFlight.datagram.resize(m_random.below(inFlight.datagram.size() + 1));
            m_datagramsInFlight.push(std::move(inFlight));
        }
    }

    /// Delivers the datagrams that are due until the given time, in order, and advances the clock to it.
    void runUntil(SteadyTime end)
    {
        while (!m_datagramsInFlight.empty() && m_datagramsInFlight.top().at <= end) {
            const DatagramInFlight inFlight = m_datagramsInFlight.top();
            m_datagramsInFlight.pop();
            if (inFlight.at > m_clock.now())
                m_clock.moveTo(inFlight.at);
            deliver(inFlight);
        }
        m_clock.moveTo(end);
    }

    uint64_t sentCount() const { return m_sentCount; }

private:
    static constexpr size_t socketBufferCount = 256;

    struct DatagramInFlight {
        SteadyTime at;
        uint64_t sequence = 0;
        Address from;
        Address to;
        std::string datagram;
        bool operator<(const DatagramInFlight& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    std::chrono::microseconds delay()
    {
        const auto span = static_cast<uint64_t>((m_faults.maxDelay - m_faults.minDelay).count());
        return m_faults.minDelay + std::chrono::microseconds(m_random.below(span + 1));
    }

    void deliver(const DatagramInFlight& inFlight)
    {
        if (m_paused.contains(inFlight.to)) {
            if (m_heldDatagrams[inFlight.to].size() < socketBufferCount)
                m_heldDatagrams[inFlight.to].push_back(inFlight);
            return;
        }
        const auto receiver = m_receivers.find(inFlight.to);
        if (receiver != m_receivers.end())
            receiver->second(inFlight.from, inFlight.datagram);
    }

    ManualClock& m_clock;
    Random m_random;
    Faults m_faults;
    std::map<std::string, Rule> m_dropRules;
    std::map<Address, Receiver> m_receivers;
    std::set<Address> m_paused;
    std::map<Address, std::vector<DatagramInFlight>> m_heldDatagrams;
    std::priority_queue<DatagramInFlight> m_datagramsInFlight;
    uint64_t m_sequence = 0;
    uint64_t m_sentCount = 0;
};

}
