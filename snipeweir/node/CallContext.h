#pragma once

#include "snipeweir/configuration/Policy.h"
#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/transport/HttpServer.h"

#include <optional>
#include <string>
#include <variant>

namespace snipeweir {

constexpr uint32_t maxCallDepth = 11; ///< Maximum of CallContext::depth; deeper calls are refused.
constexpr size_t maxCallIdBytes = 64;

/// Properties of a call, parsed from the request line and headers.
struct CallContext {
    CallId id;
    ServiceName service;
    std::string target; ///< Path and query for the backend server.
    std::string method;
    CallClass callClass = CallClass::Public;
    RequestKind kind = RequestKind::Idempotent;
    uint32_t depth = 1; ///< Number of hops between services so far, including this one.
    uint32_t attempt = 0; ///< Number of times that the caller has sent this key, by its own count; 0 if not given.
    SteadyTime receivedAt;
    SteadyTime deadline;
    std::string idempotencyKey;
};

/// Reason for refusing a request, with the HTTP status to respond with.
struct CallRefusal {
    int httpStatus = 400;
    Reason reason = Reason::BadRequest;
};

/// Sender of a request. Only a caller may request a new key; the depth is incremented for a caller's request.
enum class CallOrigin {
    Caller,
    Node,
};

/// Parses a request for /services/<service>/<path>. A refused request has not been run.
/// @param newId Call id to use if the request has none.
std::variant<CallContext, CallRefusal> parseCall(
    const HttpServerExchange&, CallOrigin, const Policy&, const CallId& newId);

/// Reads the body of a request, at most until the deadline.
/// @return The body, or a refusal if its length is ambiguous, it is too large, it was not received in time, or the
/// connection failed.
std::variant<std::string, CallRefusal> readRequestBody(HttpServerExchange&, const Policy&, SteadyTime deadline);

/// @return Whether a header is hop-by-hop and must not be forwarded.
bool isHopByHopHeader(std::string_view name);

/// @return Outcome to report for a refusal made without consulting the executor's ledger: not_run, or unknown for a
/// keyed request that may be a repeat, because an earlier attempt may have run.
Outcome outcomeOfRefusal(const HttpServerExchange&);

/// @return HTTP status for a refusal or an unknown outcome.
int httpStatusFor(Outcome, Reason);

/// Responds to a call that was refused or whose outcome is unknown.
/// @param extraHeaders Additional headers, for example the load report.
void respondOutcome(HttpServerExchange&, const CallId&, Outcome, Reason, std::vector<HttpHeader> extraHeaders = {});

}
