#include "snipeweir/relay/HopCodec.h"
#include "snipeweir/relay/ResponseTimeLimit.h"

#include <boost/beast/http/parser.hpp>
#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start { 100s };
constexpr SteadyTime deadline = start + 1200ms;

ResponseTimeLimit limitFrom(SteadyTime now) { return { ResponseTimeLimit::Settings(), deadline, now }; }

}

TEST_CASE("A response that stands still is awaited beyond its deadline, or not until it")
{
    CHECK(limitFrom(start).end() == deadline);
    ResponseTimeLimit limit = limitFrom(start);
    limit.onProgress(deadline - 150ms);
    CHECK(limit.end() == deadline);
}

TEST_CASE("A response that moves at its deadline ends there, or half a second later")
{
    ResponseTimeLimit limit = limitFrom(start);
    for (auto late = -50ms; late < 400ms; late += 50ms) {
        limit.onProgress(deadline + late);
        CHECK(limit.end() > deadline + late);
        CHECK(limit.end() < deadline + 500ms);
    }
    limit.onProgress(deadline + 50ms);
    CHECK(limit.end() < deadline + 200ms);
    CHECK(limitFrom(deadline + 10s).end() == limit.latestEnd());
    CHECK(limit.latestEnd() < deadline + 500ms);
}

TEST_CASE("The node beside the server ends a response when the run has to end, though the caller waits for longer")
{
    RelayRequest sent;
    sent.method = "GET";
    sent.target = "/";
    sent.id = CallId("1");
    sent.service = ServiceName("a");
    sent.instance = "i";
    sent.callerService = ServiceName("b");
    for (const auto timeout : { 1200ms, 8000ms }) {
        sent.deadline = deadline;
        sent.responseDeadline = start + timeout;
        boost::beast::http::request_parser<boost::beast::http::buffer_body> parser;
        boost::beast::error_code error;
        parser.put(boost::asio::buffer(hop_codec::requestHead(sent, "Request-Id", start)), error);
        REQUIRE_FALSE(error);
        InboundConnection::Request message = parser.release();
        auto received = hop_codec::decodeRequest(message, "Request-Id", start);
        REQUIRE(received);
        CHECK(received->deadline == deadline);
        CHECK(received->responseDeadline == start + timeout);
        // A node of the previous version sends no time for the response.
        message.erase("Snipeweir-Response-Deadline");
        received = hop_codec::decodeRequest(message, "Request-Id", start);
        REQUIRE(received);
        CHECK(received->responseDeadline == deadline);
    }
}
