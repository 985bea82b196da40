#include "snipeweir/configuration/PolicyKeys.h"

#include <array>

namespace snipeweir {

namespace {

    const std::array keys {
        PolicyKey { "probe_budget_per_s", "probes per second", 0, 100, &Policy::probeBudgetPerSecond,
            "Bounds the load probes that a calling node sends for one service." },
        PolicyKey { "load_report_max_age_ms", "milliseconds", 10, 10'000, &Policy::loadReportMaxAge,
            "Age from which a load report is too old for choosing an endpoint without a probe." },
        PolicyKey { "subset_size_endpoints", "endpoints", 1, 64, &Policy::subsetSize,
            "Endpoints of a service that one calling node uses." },
        PolicyKey { "cross_data_centre_cost_us", "microseconds", 0, 100'000, &Policy::crossDataCentreCost,
            "Added to the estimated wait of an endpoint in another data centre." },
        PolicyKey { "outlier_failures_count", "failures", 1, 100, &Policy::outlierThreshold,
            "Consecutive failures after which a calling node ejects an endpoint." },
        PolicyKey { "ejection_ms", "milliseconds", 100, 600'000, &Policy::ejectionDuration,
            "Time for which an ejected endpoint gets no calls." },
        PolicyKey { "max_ejected_percent", "percent", 0, 90, &Policy::maxEjectedPercent,
            "Largest share of a service's endpoints that may be ejected at a time." },
        PolicyKey { "return_ramp_ms", "milliseconds", 0, 600'000, &Policy::rampDuration,
            "Time over which a returning data centre or endpoint comes back to its full share of calls." },
        PolicyKey {
            "slots_count", "calls", 1, 10'000, &Policy::slots, "Calls that a backend server runs at a time at most." },
        PolicyKey { "max_connections_count", "connections", 1, 10'000, &Policy::maxConnections,
            "Connections that a listener accepts at a time." },
        PolicyKey { "reserved_internal_slots_count", "calls", 0, 1'000, &Policy::reservedInternalSlots,
            "Slots that only calls of class internal may use." },
        PolicyKey { "queue_length_count", "calls", 0, 1'000, &Policy::queueLength,
            "Calls that wait for a slot at a time; more are refused." },
        PolicyKey { "queue_timeout_ms", "milliseconds", 0, 10'000, &Policy::queueTimeout,
            "Longest wait for a slot before the call is refused." },
        PolicyKey { "cold_initial_limit_count", "calls", 1, 1'000, &Policy::coldInitialLimit,
            "Calls that a cold backend server runs at a time at first." },
        PolicyKey { "retry_budget_percent", "percent of first attempts", 0, 100, &Policy::retryBudgetPercent,
            "Bounds the retries to a called service." },
        PolicyKey { "max_attempts_count", "attempts", 1, 5, &Policy::maxAttempts,
            "Attempts of one call, including the first." },
        PolicyKey { "hedge_budget_percent", "percent of first attempts", 0, 20, &Policy::hedgeBudgetPercent,
            "Bounds the hedges to a called service." },
        PolicyKey { "hedge_delay_ms", "milliseconds", 1, 10'000, &Policy::hedgeDelay,
            "Wait for a response to an idempotent call before a hedge is sent." },
        PolicyKey { "default_deadline_ms", "milliseconds", 10, 600'000, &Policy::defaultDeadline,
            "Deadline of a call that names none." },
        PolicyKey { "max_deadline_ms", "milliseconds", 10, 600'000, &Policy::maxDeadline,
            "Longest deadline that a caller may ask for." },
        PolicyKey { "no_progress_timeout_ms", "milliseconds", 300, 60'000, &Policy::noProgressTimeout,
            "Longest time without receiving a byte; a running call sends an interim response every 200 ms." },
        PolicyKey { "connect_timeout_ms", "milliseconds", 10, 5'000, &Policy::connectTimeout,
            "Longest wait for a new connection." },
        PolicyKey { "drain_timeout_ms", "milliseconds", 100, 3'600'000, &Policy::drainTimeout,
            "Longest wait for running calls when a node stops." },
        PolicyKey { "max_request_body_bytes", "bytes", 0, 1'048'576, &Policy::maxRequestBodyBytes,
            "Largest request body; larger ones are refused." },
        PolicyKey { "key_window_ms", "milliseconds", 10'000, 3'600'000, &Policy::keyWindow,
            "Time for which an idempotency key may be used after it was issued." },
        PolicyKey { "key_ledger_count", "keys", 100, 1'000'000, &Policy::keyLedgerSize,
            "Idempotency keys that a node holds; a full ledger refuses new keys." },
        PolicyKey { "kept_answer_bytes", "bytes", 0, 65'536, &Policy::keptResponseBytes,
            "Largest response that is kept for repeats of an idempotency key." },
        PolicyKey { "pause_bound_ms", "milliseconds", 50, 10'000, &Policy::pauseBound,
            "Gap in the process's time after which its view counts as stale." },
        PolicyKey { "pause_settle_ms", "milliseconds", 0, 10'000, &Policy::pauseSettle,
            "Time after a pause in which new requests are refused." },
    };

}

uint32_t PolicyKey::value(const Policy& policy) const
{
    return std::visit(
        [&](auto member) {
            if constexpr (requires { (policy.*member).count(); })
                return static_cast<uint32_t>((policy.*member).count());
            else
                return policy.*member;
        },
        field);
}

void PolicyKey::setValue(Policy& policy, uint32_t value) const
{
    std::visit(
        [&](auto member) {
            using Type = std::remove_reference_t<decltype(policy.*member)>;
            policy.*member = Type(value);
        },
        field);
}

std::span<const PolicyKey> policyKeys() { return keys; }

const PolicyKey* findPolicyKey(std::string_view name)
{
    for (const PolicyKey& key : keys) {
        if (key.name == name)
            return &key;
    }
    return nullptr;
}

std::string policyKeysAsMarkdown()
{
    std::string table = "| key | unit | range | default | what it does |\n| --- | --- | --- | --- | --- |\n";
    for (const PolicyKey& key : keys) {
        table += "| `" + std::string(key.name) + "` | " + std::string(key.unit) + " | " + std::to_string(key.minimum)
            + ".." + std::to_string(key.maximum) + " | " + std::to_string(key.defaultValue()) + " | "
            + std::string(key.description) + " |\n";
    }
    return table;
}

}
