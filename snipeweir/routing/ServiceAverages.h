#pragma once

namespace snipeweir {

/// Exponential moving averages over all endpoints of a service. Cost estimates fall back to them as an endpoint's own
/// data ages.
struct ServiceAverages {
    /// Reported median service time, in microseconds. The initial value only matters until the first report.
    double serviceTime = 1000;
    /// Latency of own successful calls, in microseconds; zero before the first.
    double latency = 0;
    /// Load caused by other callers, per slot of the limit, at the time of the reports.
    double othersPerSlot = 0;
    /// Own load, per slot of the limit, at the time of the reports.
    double ownPerSlot = 0;
    double limit = 1;

    /// @param average Average to move towards the sample.
    static void update(double& average, double sample)
    {
        // The weight of one sample; about the last 20 samples count.
        constexpr double weight = 0.05;
        average += weight * (sample - average);
    }
};

}
