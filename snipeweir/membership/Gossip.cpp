#include "snipeweir/membership/Gossip.h"

#include <algorithm>
#include <bit>

namespace snipeweir {

namespace {

    constexpr size_t maxPiggybackBytes = 500;
    constexpr size_t maxPiggybackMembers = 6;
    constexpr size_t maxPiggybackLinks = 6;
    constexpr size_t maxQueuedPushes = 256;
    constexpr size_t maxListBytes = maxPayloadBytes - 16;
    constexpr size_t maxListCount = 60;

}

std::string encodeRumours(const std::vector<std::string>& members, const std::vector<std::string>& links)
{
    std::string text = CborWriter().writeArrayStart(members.size()).take();
    for (const std::string& member : members)
        text += member;
    text += CborWriter().writeArrayStart(links.size()).take();
    for (const std::string& link : links)
        text += link;
    return text;
}

Gossip::Gossip(const MembershipSettings& settings, const MemberTable& table, Random& random, const Clock& clock,
    ControlSender send)
    : m_settings(settings)
    , m_table(table)
    , m_random(random)
    , m_clock(clock)
    , m_send(std::move(send))
    , m_budget(settings.pushBytesPerSecond, settings.pushBurstBytes, clock.now())
{
}

// The number of transmissions with which a rumour reaches all members with high probability grows with the logarithm of
// the number of members.
uint32_t Gossip::transmissionCount() const
{
    return 2 * static_cast<uint32_t>(std::bit_width(m_table.localPeers().size() + 1));
}

void Gossip::addPush(std::vector<std::string>& batch, std::string text)
{
    if (batch.size() < maxQueuedPushes)
        batch.push_back(std::move(text));
}

void Gossip::spread(const MemberRecord& record, Urgency urgency)
{
    std::string text = record.encoded();
    if (urgency == Urgency::Push)
        addPush(m_memberPushes, text);
    m_memberRumours.add(record.peer.vm.text(), std::move(text), transmissionCount());
}

void Gossip::spread(const LinkReport& report, Urgency urgency)
{
    std::string text = report.encoded();
    if (urgency == Urgency::Push)
        addPush(m_linkPushes, text);
    m_linkRumours.add(report.dataCentre.text() + "/" + report.reporter.text(), std::move(text), transmissionCount());
}

void Gossip::sendRecord(const Address& to, const MemberRecord& record)
{
    m_send(to, ControlMessageType::Rumours, encodeRumours({ record.encoded() }, {}));
}

void Gossip::flushPushes(uint32_t fanoutCount, const VmId& exclude)
{
    if (m_memberPushes.empty() && m_linkPushes.empty())
        return;
    const std::vector<Peer>& peers = m_table.localPeers();

    // Fill payloads up to the size of a datagram.
    std::vector<std::string> payloads;
    std::vector<std::string> members, links;
    size_t bytes = 0;
    const auto add = [&](std::vector<std::string>& list, std::string& text) {
        if (bytes + text.size() > maxListBytes || members.size() + links.size() >= maxListCount) {
            payloads.push_back(encodeRumours(members, links));
            members.clear();
            links.clear();
            bytes = 0;
        }
        bytes += text.size();
        list.push_back(std::move(text));
    };
    for (std::string& text : m_memberPushes)
        add(members, text);
    for (std::string& text : m_linkPushes)
        add(links, text);
    payloads.push_back(encodeRumours(members, links));
    m_memberPushes.clear();
    m_linkPushes.clear();

    // Draw distinct receivers.
    std::vector<size_t> chosen;
    const size_t wanted = std::min<size_t>(fanoutCount, peers.size());
    for (size_t draw = 0; draw < 4 * wanted && chosen.size() < wanted; ++draw) {
        const size_t pick = m_random.below(peers.size());
        if (peers[pick].vm != exclude && std::find(chosen.begin(), chosen.end(), pick) == chosen.end())
            chosen.push_back(pick);
    }
    for (const std::string& payload : payloads) {
        for (const size_t pick : chosen) {
            if (m_budget.take(payload.size(), m_clock.now()))
                m_send(peers[pick].controlAddress, ControlMessageType::Rumours, payload);
        }
    }
}

std::string Gossip::takePiggyback(const MemberRecord* first)
{
    std::vector<std::string> members;
    if (first)
        members.push_back(first->encoded());
    size_t bytes = 0;
    for (std::string& text : m_memberRumours.take(maxPiggybackBytes, maxPiggybackMembers)) {
        bytes += text.size();
        members.push_back(std::move(text));
    }
    const size_t rest = bytes < maxPiggybackBytes ? maxPiggybackBytes - bytes : 0;
    return encodeRumours(members, m_linkRumours.take(rest, maxPiggybackLinks));
}

}
