#include "snipeweir/retry/RetryPolicy.h"

namespace snipeweir {

namespace {

    /// @return Whether another endpoint may accept a call that one endpoint refused for this reason.
    bool isEndpointSpecificRefusal(Reason reason)
    {
        switch (reason) {
        case Reason::ServerLimit:
        case Reason::ClassLimit:
        case Reason::ColdLimit:
        case Reason::RateLimit:
        case Reason::QueueFull:
        case Reason::QueueTimeout:
        case Reason::ConnectionLimit:
        case Reason::BodyMemory:
        case Reason::Draining:
        case Reason::DataCentreOut:
        case Reason::VmOut:
        case Reason::BackendShed:
        case Reason::BackendUnreachable:
        case Reason::RetryLimit:
        case Reason::ProcessPaused:
        case Reason::StaleView:
        case Reason::NoConfiguration:
        case Reason::EndpointUnreachable:
        case Reason::WrongEndpoint:
        case Reason::KeyLedgerFull:
            return true;
        default:
            return false;
        }
    }

    /// @return Whether the attempt failed because its connection was lost or made no progress.
    bool isConnectionLoss(Reason reason)
    {
        return reason == Reason::ConnectionLost || reason == Reason::NoProgress || reason == Reason::ResponseTruncated
            || reason == Reason::MalformedResponse;
    }

    RetryReason retryReason(Reason reason)
    {
        if (reason == Reason::EndpointUnreachable)
            return RetryReason::AfterConnectFailure;
        if (reason == Reason::NoProgress)
            return RetryReason::AfterNoProgress;
        return isConnectionLoss(reason) ? RetryReason::AfterConnectionLost : RetryReason::AfterRefusal;
    }

    RetryDecision denied(RetryReason reason) { return { RetryDecision::Action::Stop, reason }; }

}

RetryPolicy::RetryPolicy(const RetrySettings& settings)
    : m_settings(settings)
    , m_budget(settings.retryBudgetPercent)
{
}

void RetryPolicy::setSettings(const RetrySettings& settings)
{
    m_settings = settings;
    m_budget.setPercent(settings.retryBudgetPercent);
}

RetryDecision RetryPolicy::decide(const RetryRequest& request)
{
    // A response from a backend server is final at this layer, whatever its status.
    if (request.layer == RetryLayer::BackendServer || request.outcome == Outcome::Done)
        return denied(RetryReason::DeniedByLayer);

    // Determine which kind of retry the outcome allows.
    RetryDecision::Action action = RetryDecision::Action::Stop;
    if (request.outcome == Outcome::NotRun && isEndpointSpecificRefusal(request.reason))
        action = RetryDecision::Action::OtherEndpoint;
    else if (request.outcome == Outcome::Unknown && isConnectionLoss(request.reason))
        action = request.kind == RequestKind::Idempotent ? RetryDecision::Action::OtherEndpoint
                                                         : RetryDecision::Action::SameEndpoint;
    if (action == RetryDecision::Action::Stop) {
        const bool isLate = request.reason == Reason::DeadlinePassed || request.reason == Reason::DeadlineWhileRunning;
        return denied(isLate ? RetryReason::DeniedByDeadline : RetryReason::DeniedByKind);
    }

    // Apply the limits. The budget comes last, because a consumed token is not returned.
    if (request.remaining < m_settings.minRemaining)
        return denied(RetryReason::DeniedByDeadline);
    if (request.attempts >= m_settings.maxAttempts)
        return denied(RetryReason::DeniedByAttempts);
    if (!m_budget.tryConsume())
        return denied(RetryReason::DeniedByBudget);
    return { action, retryReason(request.reason) };
}

}
