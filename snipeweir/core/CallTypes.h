#pragma once

#include <optional>
#include <string_view>

namespace snipeweir {

/// Traffic class. Some slots are reserved for internal calls, so that these do not wait for public traffic.
enum class CallClass {
    Public,
    Internal,
};

/// Whether a request is safe to run twice. GET and HEAD are idempotent; every other method needs an idempotency key.
enum class RequestKind {
    Idempotent,
    Keyed,
};

/// What a caller can conclude from a response: whether the request was run.
enum class Outcome {
    Done,
    NotRun,
    Unknown,
};

/// Reason of a refusal or an unknown outcome. Each has its own counter.
enum class Reason {
    None,
    // Refusals by admission at the serving node.
    ServerLimit,
    ClassLimit,
    ColdLimit,
    RateLimit,
    QueueFull,
    QueueTimeout,
    ConnectionLimit,
    BodyMemory,
    Draining,
    DataCentreOut,
    VmOut,
    BackendShed,
    BackendUnreachable,
    /// A retry whose calls would exceed the retry budget of a service that the backend server calls.
    RetryLimit,
    // Refusals that depend on time.
    DeadlinePassed,
    CancelledBeforeStart,
    ProcessPaused,
    StaleView,
    // Refusals by the calling node.
    NoConfiguration,
    UnknownService,
    NoEndpoint,
    EndpointUnreachable,
    WrongEndpoint,
    DepthExceeded,
    ApiKeyMissing,
    ApiKeyUnknown,
    ConfigurationUnconfirmed,
    QuotaExceeded,
    // Malformed requests.
    BadRequest,
    BodyTooLarge,
    LengthRequired,
    AmbiguousLength,
    KeyMissing,
    KeyTooLong,
    KeyInvalid,
    KeyNotYetValid,
    KeyLedgerFull,
    KeySealed,
    // Unknown outcomes.
    ExecutorGone,
    KeyExpired,
    ConnectionLost,
    NoProgress,
    DeadlineWhileRunning,
    CancelledWhileRunning,
    ResponseTruncated,
    ResponseNotKept,
    /// The bytes that arrived are not a valid response.
    MalformedResponse,
};

constexpr int reasonCount = static_cast<int>(Reason::MalformedResponse) + 1;

/// Why a call was retried or not.
enum class RetryReason {
    AfterRefusal,
    AfterConnectFailure,
    AfterConnectionLost,
    AfterNoProgress,
    Hedge,
    DeniedByBudget,
    DeniedByDeadline,
    DeniedByAttempts,
    DeniedByKind,
    DeniedByLayer,
    /// The backend server failed while a service that it calls rejected calls for lack of capacity.
    DeniedByCalledService,
};

constexpr int retryReasonCount = static_cast<int>(RetryReason::DeniedByCalledService) + 1;

/// @return Stable snake_case name, as in headers, metrics and the documentation for operators.
std::string_view outcomeName(Outcome);
std::string_view reasonName(Reason);
std::string_view retryReasonName(RetryReason);
std::string_view callClassName(CallClass);

/// @return The value with that name; empty if there is none.
std::optional<Outcome> outcomeFromName(std::string_view);
std::optional<Reason> reasonFromName(std::string_view);

}
