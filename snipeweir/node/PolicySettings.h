#pragma once

#include "snipeweir/admission/AdmissionTypes.h"
#include "snipeweir/configuration/Policy.h"
#include "snipeweir/core/PauseDetector.h"
#include "snipeweir/idempotency/KeyLedger.h"
#include "snipeweir/retry/HedgePolicy.h"
#include "snipeweir/retry/RetryPolicy.h"
#include "snipeweir/routing/RouterSettings.h"

namespace snipeweir {

/// Conversions from the policy in force to the settings of the modules that apply it.
AdmissionSettings admissionSettings(const Policy&);
KeyLedgerSettings ledgerSettings(const Policy&, const ServiceName&);
PauseDetectorSettings pauseDetectorSettings(const Policy&);
RetrySettings retrySettings(const Policy&);
HedgeSettings hedgeSettings(const Policy&);

/// @param callerIndex Position of this node among the callers, which determines its subset of endpoints.
RouterSettings routerSettings(const Policy&, const DataCentreName& ownDataCentre, std::optional<size_t> callerIndex);

}
