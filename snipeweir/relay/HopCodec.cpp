#include "snipeweir/relay/HopCodec.h"

#include "snipeweir/core/ProductField.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cmath>
#include <sstream>

namespace snipeweir::hop_codec {

namespace {

    constexpr std::string_view hopField = "Snipeweir-Hop";
    constexpr std::string_view organisationField = "Snipeweir-Organisation";
    constexpr std::string_view outcomeField = "Snipeweir-Outcome";
    /// Size up to which a body is sent without waiting for the serving node: it fits into the receive buffer of the
    /// connection, and the wait costs a round trip.
    constexpr size_t maxUnannouncedBodyBytes = Connection::receiveBufferBytes;
    /// In a request: microseconds until the response is no longer awaited, if that is later than the deadline.
    constexpr std::string_view responseDeadlineField = "Snipeweir-Response-Deadline";
    constexpr std::string_view runField = "Snipeweir-Run";
    /// In a request: whether it is a retry, and retryProbability in thousandths. In a response: the retry report.
    constexpr std::string_view retryField = "Snipeweir-Retry";
    constexpr int64_t maxResends = 100;

    int64_t microseconds(std::chrono::nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    }

    /// @return The numbers of a field, separated by spaces; none if there are fewer than required.
    std::vector<int64_t> numbers(std::string_view value, size_t count)
    {
        std::istringstream text { std::string(value) };
        std::vector<int64_t> result(count);
        for (int64_t& number : result)
            text >> number;
        return text.fail() ? std::vector<int64_t>() : result;
    }

}

std::string statusLine(unsigned status)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
}

void appendFields(std::string& head, const std::vector<HeaderField>& fields)
{
    for (const HeaderField& field : fields)
        head.append(field.name).append(": ").append(field.value).append("\r\n");
}

std::vector<HeaderField> forwardedFields(
    const InboundConnection::Request& request, const std::vector<std::string>& excluded)
{
    // Fields listed in the Connection field are hop-by-hop.
    const std::string connection(request[boost::beast::http::field::connection]);
    std::vector<HeaderField> fields;
    for (const auto& field : request) {
        const std::string name(field.name_string());
        const bool isExcluded = std::any_of(excluded.begin(), excluded.end(),
            [&](const std::string& excludedName) { return equalsIgnoringCase(name, excludedName); });
        const bool isListed = boost::beast::http::token_list(connection).exists(name);
        if (!isHopByHop(name) && !isProductField(name) && !isExcluded && !isListed)
            fields.push_back({ name, std::string(field.value()) });
    }
    return fields;
}

bool mustWaitForContinue(const RelayRequest& request) { return request.bodySize() > maxUnannouncedBodyBytes; }

std::string requestHead(const RelayRequest& request, const std::string& callIdField, SteadyTime now)
{
    std::string head;
    head.reserve(640);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendFields(head, request.headers);
    head.append(callIdField).append(": ").append(request.id.text()).append("\r\n");
    head.append(hopField).append(": ").append(request.service.text());
    head.append(" ").append(request.instance).append(" ").append(request.callerService.text());
    for (const int64_t number : { static_cast<int64_t>(request.kind), static_cast<int64_t>(request.priority),
             microseconds(request.targetAt - now), microseconds(request.deadline - now),
             request.expectedServiceTime.count() })
        head.append(" ").append(std::to_string(number));
    if (request.responseDeadline > request.deadline)
        head.append("\r\n")
            .append(responseDeadlineField)
            .append(": ")
            .append(std::to_string(microseconds(request.responseDeadline - now)));
    if (!request.organisation.empty())
        head.append("\r\n").append(organisationField).append(": ").append(request.organisation);
    if (request.retryProbability > 0) {
        head.append("\r\n").append(retryField).append(request.isRetry ? ": 1 " : ": 0 ");
        head.append(std::to_string(std::lround(request.retryProbability * 1000)));
    }
    head.append("\r\nContent-Length: ").append(std::to_string(request.bodySize())).append("\r\n");
    if (mustWaitForContinue(request))
        head.append("Expect: 100-continue\r\n");
    head.append("\r\n");
    return head;
}

std::optional<RelayRequest> decodeRequest(
    InboundConnection::Request& message, const std::string& callIdField, SteadyTime now)
{
    const auto hop = message.find(std::string(hopField));
    if (hop == message.end())
        return std::nullopt;
    std::istringstream fields { std::string(hop->value()) };
    std::string service;
    std::string instance;
    std::string callerService;
    int64_t kind = 0;
    int64_t priority = 0;
    int64_t timeToTarget = 0;
    int64_t timeToDeadline = 0;
    int64_t expectedServiceTime = 0;
    fields >> service >> instance >> callerService >> kind >> priority >> timeToTarget >> timeToDeadline
        >> expectedServiceTime;
    if (fields.fail() || kind < 0 || kind > static_cast<int64_t>(RouteKind::Download))
        return std::nullopt;

    RelayRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = forwardedFields(message, { callIdField });
    request.id = CallId(std::string(message[callIdField]));
    request.service = ServiceName(service);
    request.instance = instance;
    request.callerService = ServiceName(callerService);
    request.organisation = std::string(message[std::string(organisationField)]);
    request.kind = static_cast<RouteKind>(kind);
    request.priority = static_cast<uint32_t>(priority);
    request.targetAt = now + std::chrono::microseconds(timeToTarget);
    request.deadline = now + std::chrono::microseconds(timeToDeadline);
    // Absent if it is the deadline, and from nodes of the previous version.
    const std::vector<int64_t> timeToResponse = numbers(message[std::string(responseDeadlineField)], 1);
    request.responseDeadline = request.deadline;
    if (!timeToResponse.empty())
        request.responseDeadline = std::max(request.deadline, now + std::chrono::microseconds(timeToResponse.front()));
    request.expectedServiceTime = std::chrono::microseconds(expectedServiceTime);
    // Absent from nodes of the previous version; the request then counts as a first attempt.
    const std::vector<int64_t> retry = numbers(message[std::string(retryField)], 2);
    if (!retry.empty()) {
        request.isRetry = retry[0] != 0;
        request.retryProbability
            = request.isRetry ? 1 : static_cast<double>(std::clamp<int64_t>(retry[1], 0, 1000)) / 1000;
    }
    return request;
}

std::string responseHead(const Response& response)
{
    std::string head = statusLine(response.kind == Response::Kind::Served ? response.status : 500);
    appendFields(head, response.headers);
    head.append(outcomeField).append(": ").append(std::to_string(static_cast<int>(response.kind)));
    head.append(" ").append(reasonName(response.reason)).append(response.wasSent ? " 1\r\n" : " 0\r\n");
    head.append(runField).append(": ").append(std::to_string(response.serviceTime.count()));
    head.append(" ").append(std::to_string(response.slownessPercent)).append("\r\n");
    const RetryReport& report = response.retryReport;
    if (report != RetryReport()) {
        head.append(retryField).append(report.isFutile ? ": 1 " : ": 0 ");
        head.append(std::to_string(report.resends)).append(" ");
        head.append(std::to_string(std::lround(report.fanout * 100))).append("\r\n");
    }
    return head;
}

std::optional<Response> decodeResponse(const HttpExchange& exchange)
{
    std::istringstream outcome { std::string(exchange.field(outcomeField)) };
    int kind = -1;
    std::string reason;
    int wasSent = 1;
    outcome >> kind >> reason >> wasSent;
    if (outcome.fail() || kind < 0 || kind > static_cast<int>(Response::Kind::Unknown))
        return std::nullopt;
    Response response;
    response.kind = static_cast<Response::Kind>(kind);
    response.reason = reasonFromName(reason).value_or(Reason::None);
    response.wasSent = wasSent != 0;
    std::istringstream timing { std::string(exchange.field(runField)) };
    int64_t serviceTime = 0;
    timing >> serviceTime >> response.slownessPercent;
    response.serviceTime = std::chrono::microseconds(serviceTime);
    const std::vector<int64_t> retry = numbers(exchange.field(retryField), 3);
    if (!retry.empty())
        response.retryReport = { retry[0] != 0, static_cast<uint32_t>(std::clamp<int64_t>(retry[1], 0, maxResends)),
            static_cast<double>(retry[2]) / 100 };
    if (response.kind == Response::Kind::Served) {
        response.status = exchange.status();
        response.headers = exchange.endToEndFields();
    }
    return response;
}

}
