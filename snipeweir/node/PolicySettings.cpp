#include "snipeweir/node/PolicySettings.h"

namespace snipeweir {

AdmissionSettings admissionSettings(const Policy& policy)
{
    AdmissionSettings settings;
    settings.slots = policy.slots;
    settings.reservedInternalSlots = policy.reservedInternalSlots;
    settings.queueLength = policy.queueLength;
    settings.queueTimeout = policy.queueTimeout;
    settings.coldInitialLimit = policy.coldInitialLimit;
    return settings;
}

KeyLedgerSettings ledgerSettings(const Policy& policy, const ServiceName& service)
{
    KeyLedgerSettings settings;
    settings.service = service;
    settings.keyCount = policy.keyLedgerSize;
    settings.keyWindow = policy.keyWindow;
    settings.keptResponseBytes = policy.keptResponseBytes;
    return settings;
}

PauseDetectorSettings pauseDetectorSettings(const Policy& policy) { return { policy.pauseBound, policy.pauseSettle }; }

RetrySettings retrySettings(const Policy& policy)
{
    RetrySettings settings;
    settings.retryBudgetPercent = policy.retryBudgetPercent;
    settings.maxAttempts = policy.maxAttempts;
    return settings;
}

HedgeSettings hedgeSettings(const Policy& policy)
{
    return { policy.hedgeBudgetPercent, policy.hedgeDelay, policy.maxAttempts };
}

RouterSettings routerSettings(
    const Policy& policy, const DataCentreName& ownDataCentre, std::optional<size_t> callerIndex)
{
    RouterSettings settings;
    settings.ownDataCentre = ownDataCentre;
    settings.loadReportMaxAge = policy.loadReportMaxAge;
    settings.crossDataCentreCost = policy.crossDataCentreCost;
    settings.probeBudgetPerSecond = policy.probeBudgetPerSecond;
    settings.subsetSize = policy.subsetSize;
    settings.callerIndex = callerIndex;
    settings.outlierThreshold = policy.outlierThreshold;
    settings.ejectionDuration = policy.ejectionDuration;
    settings.maxEjectedPercent = policy.maxEjectedPercent;
    settings.rampDuration = policy.rampDuration;
    return settings;
}

}
