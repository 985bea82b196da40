#include "snipeweir/node/CallContext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace snipeweir {

namespace {

    constexpr std::string_view servicePathPrefix = "/services/";
    constexpr size_t maxServiceNameBytes = 64;
    constexpr size_t maxKeyBytes = 200;

    std::optional<uint64_t> parseNumber(std::string_view text, uint64_t max)
    {
        uint64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value > max)
            return std::nullopt;
        return value;
    }

    bool isTokenCharacter(char byte)
    {
        return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9')
            || byte == '-' || byte == '_' || byte == '.';
    }

    bool isToken(std::string_view text, size_t maxBytes)
    {
        return !text.empty() && text.size() <= maxBytes && std::all_of(text.begin(), text.end(), isTokenCharacter);
    }

    /// Reads a numeric header, which may be absent. @return false if it is malformed.
    bool readNumericHeader(
        const HttpServerExchange& exchange, const char* name, uint64_t max, std::optional<uint64_t>& value)
    {
        const auto text = exchange.header(name);
        if (!text)
            return true;
        value = parseNumber(*text, max);
        return value.has_value();
    }

}

std::variant<CallContext, CallRefusal> parseCall(
    const HttpServerExchange& exchange, CallOrigin origin, const Policy& policy, const CallId& newId)
{
    CallContext call;
    call.receivedAt = exchange.beganAt();
    call.method = exchange.method();

    // Split the path into the service and the target at the backend server.
    const std::string_view path = exchange.path();
    if (!path.starts_with(servicePathPrefix))
        return CallRefusal { 404, Reason::BadRequest };
    const std::string_view rest = path.substr(servicePathPrefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos || !isToken(rest.substr(0, slash), maxServiceNameBytes))
        return CallRefusal { 404, Reason::UnknownService };
    call.service = ServiceName(std::string(rest.substr(0, slash)));
    call.target = rest.substr(slash);
    if (!exchange.query().empty())
        call.target += "?" + std::string(exchange.query());

    // Read call id, class and depth.
    const auto id = exchange.header("Snipeweir-Call-Id");
    if (id && !isToken(*id, maxCallIdBytes))
        return CallRefusal {};
    call.id = id ? CallId(std::string(*id)) : newId;
    const auto callClass = exchange.header("Snipeweir-Class");
    if (callClass && *callClass != "public" && *callClass != "internal")
        return CallRefusal {};
    call.callClass = callClass == "internal" ? CallClass::Internal : CallClass::Public;
    std::optional<uint64_t> depth;
    std::optional<uint64_t> attempt;
    std::optional<uint64_t> remainingMs;
    constexpr uint64_t maxCountValue = 1'000'000;
    if (!readNumericHeader(exchange, "Snipeweir-Depth", maxCountValue, depth)
        || !readNumericHeader(exchange, "Snipeweir-Attempt", maxCountValue, attempt)
        || !readNumericHeader(exchange, "Snipeweir-Deadline-Ms", UINT32_MAX, remainingMs))
        return CallRefusal {};
    call.depth = static_cast<uint32_t>(depth.value_or(0)) + (origin == CallOrigin::Caller ? 1 : 0);
    call.attempt = static_cast<uint32_t>(attempt.value_or(0));
    if (call.depth > maxCallDepth)
        return CallRefusal { 503, Reason::DepthExceeded };

    // The deadline is relative to the time of receipt.
    const auto requestedTimeout = remainingMs ? std::chrono::milliseconds(*remainingMs) : policy.defaultDeadline;
    call.deadline = call.receivedAt + std::min(requestedTimeout, policy.maxDeadline);

    // Every method that is not read-only needs an idempotency key, except a caller's request for a key.
    call.kind = call.method == "GET" || call.method == "HEAD" ? RequestKind::Idempotent : RequestKind::Keyed;
    const auto key = exchange.header("Idempotency-Key");
    const bool isKeyRequest = origin == CallOrigin::Caller && call.method == "POST" && call.target == "/keys";
    if (call.kind == RequestKind::Keyed && !isKeyRequest) {
        if (!key || key->empty())
            return CallRefusal { 400, Reason::KeyMissing };
        if (key->size() > maxKeyBytes)
            return CallRefusal { 400, Reason::KeyTooLong };
        call.idempotencyKey = *key;
    }
    return call;
}

std::variant<std::string, CallRefusal> readRequestBody(
    HttpServerExchange& exchange, const Policy& policy, SteadyTime deadline)
{
    if (exchange.headerCount("Content-Length") + exchange.headerCount("Transfer-Encoding") > 1)
        return CallRefusal { 400, Reason::AmbiguousLength };
    std::string body;
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(body, exchange.readBody(policy.maxRequestBodyBytes, deadline));
        return {};
    });
    if (!error)
        return body;
    if (error->code == ErrorCode::TooLarge)
        return CallRefusal { 413, Reason::BodyTooLarge };
    if (error->code == ErrorCode::Timeout)
        return CallRefusal { 408, Reason::DeadlinePassed };
    return CallRefusal { 400, Reason::BadRequest };
}

bool isHopByHopHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
        "Expect" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view hopByHopName) {
        return hopByHopName.size() == name.size()
            && strncasecmp(hopByHopName.data(), name.data(), hopByHopName.size()) == 0;
    });
}

Outcome outcomeOfRefusal(const HttpServerExchange& exchange)
{
    const bool isIdempotent = exchange.method() == "GET" || exchange.method() == "HEAD";
    const bool isFirstAttempt = !exchange.header("Idempotency-Key") || exchange.header("Snipeweir-Attempt") == "1";
    return isIdempotent || isFirstAttempt ? Outcome::NotRun : Outcome::Unknown;
}

int httpStatusFor(Outcome outcome, Reason reason)
{
    if (outcome == Outcome::Unknown)
        return 504;
    switch (reason) {
    case Reason::UnknownService:
        return 404;
    case Reason::BadRequest:
    case Reason::AmbiguousLength:
    case Reason::KeyMissing:
    case Reason::KeyTooLong:
    case Reason::KeyInvalid:
        return 400;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::LengthRequired:
        return 411;
    default:
        return 503;
    }
}

void respondOutcome(HttpServerExchange& exchange, const CallId& id, Outcome outcome, Reason reason,
    std::vector<HttpHeader> extraHeaders)
{
    const std::string outcomeText(outcomeName(outcome));
    const std::string reasonText(reasonName(reason));
    std::vector<HttpHeader> headers = std::move(extraHeaders);
    headers.push_back({ "Content-Type", "application/json" });
    headers.push_back({ "Snipeweir-Outcome", outcomeText });
    headers.push_back({ "Snipeweir-Reason", reasonText });
    headers.push_back({ "Snipeweir-Call-Id", id.text() });
    exchange.respond(httpStatusFor(outcome, reason), headers,
        "{\"outcome\":\"" + outcomeText + "\",\"reason\":\"" + reasonText + "\",\"call_id\":\"" + id.text() + "\"}\n");
}

}
