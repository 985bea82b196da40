#include "Fleet.h"

#include <doctest/doctest.h>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };

    StateChart memberChart()
    {
        return handleErrors(
            [] { return StateChart::load(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/charts/member.json"); },
            [](const Error& error) -> StateChart { throw std::runtime_error(error.message); });
    }

}

Fleet::Fleet(uint64_t seed)
    : network(clock, seed + 1)
    , m_random(seed)
{
}

Fleet::Node& Fleet::start(const std::string& vm, const std::string& dataCentre, const std::string& region,
    const std::optional<Address>& address)
{
    ++m_addressCount;
    auto created = std::make_unique<Node>();
    Node& node = *created;
    node.peer = { VmId(vm), DataCentreName(dataCentre), RegionName(region),
        address.value_or(Address {
            "10.0." + std::to_string(m_addressCount / 250) + "." + std::to_string(m_addressCount % 250), 7300 }),
        Incarnation { m_random.next() } };
    node.service = ServiceName(m_addressCount % 2 == 0 ? "fichas" : "informes");
    EnvelopeSettings settings;
    settings.keys = { { 1, std::string(32, 'k') } };
    node.envelope = handleErrors([&] { return Envelope::create(settings, node.peer.vm, node.peer.incarnation, clock); },
        [](const Error& error) -> std::unique_ptr<Envelope> { throw std::runtime_error(error.message); });
    const Address self = node.peer.controlAddress;
    MembershipHooks hooks;
    hooks.send = [this, &node, self](const Address& to, ControlMessageType type, const std::string& payload) {
        network.send(self, to, node.envelope->seal(type, payload));
    };
    hooks.onEvent = [&node](const Event& event) { node.events.push_back(event); };
    node.membership = handleErrors(
        [&] {
            return Membership::create(
                MembershipSettings {}, node.peer, node.service, memberChart(), clock, m_random.next(), hooks);
        },
        [](const Error& error) -> std::unique_ptr<Membership> { throw std::runtime_error(error.message); });
    network.attach(self, [&node](const Address& from, const std::string& datagram) {
        handleErrors(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(message, node.envelope->open(datagram));
                node.membership->receive(from, message);
                return true;
            },
            [](const Error&) { return false; });
    });
    m_peers[self] = node.peer;

    // Two running nodes serve as seeds.
    std::vector<Address> seeds;
    for (const auto& [name, other] : m_nodes) {
        if (seeds.size() < 2 && other->peer.dataCentre == node.peer.dataCentre)
            seeds.push_back(other->peer.controlAddress);
    }
    if (seeds.empty() && !m_nodes.empty())
        seeds.push_back(m_nodes.begin()->second->peer.controlAddress);
    node.membership->join(seeds);
    node.membership->onVmList(m_list);
    m_nodes[vm] = std::move(created);
    return node;
}

void Fleet::startDataCentre(const std::string& dataCentre, const std::string& region, int count)
{
    for (int i = 1; i <= count; ++i)
        start(dataCentre + "-" + std::to_string(i), dataCentre, region);
}

void Fleet::crash(const std::string& vm)
{
    network.detach(node(vm).peer.controlAddress);
    m_nodes.erase(vm);
}

void Fleet::pause(const std::string& vm)
{
    node(vm).isPaused = true;
    network.pause(node(vm).peer.controlAddress);
}

// As in the node program, the pause is detected before datagrams that waited in the socket buffer are handled.
void Fleet::resume(const std::string& vm)
{
    node(vm).isPaused = false;
    node(vm).membership->onPaused();
    network.resume(node(vm).peer.controlAddress);
}

void Fleet::publishVmList(const std::vector<VmListEntry>& list)
{
    m_list = list;
    for (auto& [vm, node] : m_nodes)
        node->membership->onVmList(list);
}

std::vector<VmListEntry> Fleet::currentVmList() const
{
    std::vector<VmListEntry> list;
    for (const auto& [vm, node] : m_nodes)
        list.push_back({ node->peer.vm, node->peer.dataCentre, node->peer.region, node->service,
            node->peer.controlAddress, false });
    return list;
}

void Fleet::tickAll()
{
    for (auto& [vm, node] : m_nodes) {
        if (!node->isPaused)
            node->membership->tick();
    }
}

void Fleet::run(std::chrono::milliseconds duration)
{
    const SteadyTime end = clock.now() + duration;
    while (clock.now() < end) {
        tickAll();
        network.runUntil(std::min(end, clock.now() + tickInterval));
    }
}

std::optional<std::chrono::milliseconds> Fleet::runUntil(
    const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    const SteadyTime begin = clock.now();
    while (!condition()) {
        if (clock.now() - begin >= bound)
            return std::nullopt;
        run(std::chrono::milliseconds(100));
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - begin);
}

std::optional<MemberState> Fleet::stateOf(const std::string& observer, const std::string& vm) const
{
    for (const MemberView& view : m_nodes.at(observer)->membership->members()) {
        if (view.peer.vm.text() == vm && view.peer.incarnation.value != 0)
            return view.state;
    }
    return std::nullopt;
}

int Fleet::countObservers(const std::string& vm, MemberState state) const
{
    int count = 0;
    for (const auto& [observer, node] : m_nodes)
        count += stateOf(observer, vm) == state ? 1 : 0;
    return count;
}

std::string Fleet::disagreement() const
{
    for (const auto& [observer, node] : m_nodes) {
        size_t seen = 0;
        for (const MemberView& view : node->membership->members()) {
            if (view.state == MemberState::Dead || view.peer.incarnation.value == 0)
                continue;
            const std::string subject = view.peer.vm.text();
            const auto running = m_nodes.find(subject);
            const std::string stateName(memberStateName(view.state));
            if (running == m_nodes.end() || running->second->peer.incarnation != view.peer.incarnation)
                return observer + " considers " + subject + " " + stateName + ", but it does not run";
            const MemberState expected = running->second->isLeaving ? MemberState::Leaving : MemberState::Alive;
            if (view.state != expected && !(view.isFlapping && expected == MemberState::Alive))
                return observer + " considers " + subject + " " + stateName;
            ++seen;
        }
        if (seen != m_nodes.size())
            return observer + " knows " + std::to_string(seen) + " of " + std::to_string(m_nodes.size());
    }
    return "";
}

bool Fleet::allAgree() const { return disagreement().empty(); }

DataCentreName Fleet::dataCentreOf(const Address& address) const { return m_peers.at(address).dataCentre; }
RegionName Fleet::regionOf(const Address& address) const { return m_peers.at(address).region; }
std::string Fleet::vmAt(const Address& address) const { return m_peers.at(address).vm.text(); }

}
