#include "snipeweir/routes/TrafficSplitter.h"

namespace snipeweir {

const ServiceName& TrafficSplitter::next(const Route& route)
{
    if (route.shares.size() == 1)
        return route.shares.front().service;

    State& state = m_states[route.name];
    double total = 0;
    for (const ServiceShare& share : route.shares)
        total += share.weight;
    if (state.shares != route.shares) {
        state.shares = route.shares;
        state.credits.clear();
        for (size_t index = 0; index < route.shares.size(); ++index)
            state.credits.push_back(m_random.nextDouble() * total);
    }

    size_t best = 0;
    for (size_t index = 0; index < route.shares.size(); ++index) {
        state.credits[index] += route.shares[index].weight;
        if (state.credits[index] > state.credits[best])
            best = index;
    }
    state.credits[best] -= total;
    return route.shares[best].service;
}

}
