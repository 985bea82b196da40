#include "snipeweir/core/CallTypes.h"

#include <array>

namespace snipeweir {

namespace {

    constexpr std::array<std::string_view, 3> outcomeNames {
        "done",
        "not_run",
        "unknown",
    };

    constexpr std::array<std::string_view, 48> reasonNames {
        "none",
        "server_limit",
        "class_limit",
        "cold_limit",
        "rate_limit",
        "queue_full",
        "queue_timeout",
        "connection_limit",
        "body_memory",
        "draining",
        "data_centre_out",
        "vm_out",
        "backend_shed",
        "backend_unreachable",
        "retry_limit",
        "deadline_passed",
        "cancelled_before_start",
        "process_paused",
        "stale_view",
        "no_configuration",
        "unknown_service",
        "no_endpoint",
        "endpoint_unreachable",
        "wrong_endpoint",
        "depth_exceeded",
        "api_key_missing",
        "api_key_unknown",
        "configuration_unconfirmed",
        "quota_exceeded",
        "bad_request",
        "body_too_large",
        "length_required",
        "ambiguous_length",
        "key_missing",
        "key_too_long",
        "key_invalid",
        "key_not_yet_valid",
        "key_ledger_full",
        "key_sealed",
        "executor_gone",
        "key_expired",
        "connection_lost",
        "no_progress",
        "deadline_while_running",
        "cancelled_while_running",
        "answer_cut_short",
        "answer_not_kept",
        "answer_malformed",
    };

    constexpr std::array<std::string_view, 11> retryReasonNames {
        "after_refusal",
        "after_connect_failure",
        "after_connection_lost",
        "after_no_progress",
        "hedge",
        "denied_by_budget",
        "denied_by_deadline",
        "denied_by_attempts",
        "denied_by_kind",
        "denied_by_layer",
        "denied_by_called_service",
    };

    static_assert(reasonNames.size() == reasonCount);
    static_assert(retryReasonNames.size() == retryReasonCount);

    template <typename Value, size_t size>
    std::optional<Value> valueFromName(const std::array<std::string_view, size>& names, std::string_view name)
    {
        for (size_t i = 0; i < size; ++i) {
            if (names.at(i) == name)
                return static_cast<Value>(i);
        }
        return std::nullopt;
    }

}

std::string_view outcomeName(Outcome outcome) { return outcomeNames.at(static_cast<size_t>(outcome)); }

std::string_view reasonName(Reason reason) { return reasonNames.at(static_cast<size_t>(reason)); }

std::string_view retryReasonName(RetryReason reason) { return retryReasonNames.at(static_cast<size_t>(reason)); }

std::string_view callClassName(CallClass callClass) { return callClass == CallClass::Public ? "public" : "internal"; }

std::optional<Outcome> outcomeFromName(std::string_view name) { return valueFromName<Outcome>(outcomeNames, name); }

std::optional<Reason> reasonFromName(std::string_view name) { return valueFromName<Reason>(reasonNames, name); }

}
