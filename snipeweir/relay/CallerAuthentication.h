#pragma once

#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/organisations/ConfigurationFreshness.h"
#include "snipeweir/organisations/OrganisationCounters.h"
#include "snipeweir/relay/RelayRequest.h"
#include "snipeweir/relay/WireNames.h"
#include "snipeweir/telemetry/JsonLog.h"
#include "snipeweir/telemetry/Metrics.h"

namespace snipeweir {

/// Finds the organisation of a request by its key, if the configuration in force has organisations. Without them, a
/// request is left as it is. For one thread.
class CallerAuthentication {
public:
    /// What a request carries in place of its key, to check the key again later.
    struct Credential {
        /// Digest of the key; empty if the request carries none.
        std::optional<KeyDigest> key;
    };

    /// Why a request must not run.
    struct Rejection {
        /// HTTP status of the response.
        unsigned status = 0;
        Reason reason = Reason::None;
    };

    CallerAuthentication(const FleetView&, const ConfigurationFreshness&, const WireNames&, JsonLog&, Metrics&);

    /// Takes the key and the organisation's name that the caller sent out of the fields of a new request, and sets
    /// the organisation that holds the key, its priority, and the field with its name for the backend server.
    /// @param credential Receives the digest of the key.
    /// @return The rejection; empty if the request may run.
    std::optional<Rejection> authenticate(const Route&, RelayRequest&, Credential& credential);

    /// Does the same again with the configuration in force now, before the request is sent or runs.
    /// @return The rejection; empty if the request may still run.
    std::optional<Rejection> recheck(const Route&, RelayRequest&, Credential& credential);

    /// @param organisation Name of the organisation with which the request was sent; empty if it had none.
    /// @return Whether a request that has waited since may still run with that name.
    bool mayStillRun(const Route&, const std::string& organisation, const Credential&) const;

    /// @return The organisations in force; null if there are none.
    std::shared_ptr<const OrganisationTable> organisations() const;

    /// Counts the final response of a request of an organisation.
    /// @param organisation Name of the organisation; nothing is counted if it is empty.
    void onResponse(const std::string& organisation, Outcome);

    /// @return HTTP status of the response to a request that did not run.
    static unsigned statusFor(Reason);

    /// @return The counters by organisation in the Prometheus text format.
    std::string metricsText() const { return m_counters.text(); }

private:
    std::optional<Rejection> check(const Route&, RelayRequest&, Credential&);
    /// Moves the key out of the fields to forward, and drops the caller's name of an organisation.
    void takeKey(RelayRequest&, Credential&) const;
    /// @return The rejection of a request without a known key.
    Rejection denial(const Credential&) const;
    /// Logs and counts a rejection.
    void report(const Rejection&, const Route&, const RelayRequest&);
    /// Logs once when requests begin or cease to be rejected because the configuration is too old.
    void reportFreshness(bool isTooOld);

    const FleetView& m_view;
    const ConfigurationFreshness& m_freshness;
    const WireNames& m_names;
    JsonLog& m_log;
    Metrics& m_metrics;
    OrganisationCounters m_counters;
    bool m_isTooOld = false;
};

}
