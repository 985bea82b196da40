#include "snipeweir/idempotency/KeyedCall.h"

#include <doctest/doctest.h>

using namespace snipeweir;

TEST_CASE("Without a response from the executor not_run is reported only for a first attempt of which nothing was sent")
{
    KeyedCall first("k0", CallerAttempt::First, 1);
    CHECK(first.onNoResponse(Reason::EndpointUnreachable).outcome == Outcome::NotRun);
    first.onSending();
    CHECK(first.onNoResponse(Reason::EndpointUnreachable).outcome == Outcome::Unknown);
    const KeyedCall repeat("k0", CallerAttempt::Repeat, 1);
    CHECK(repeat.onNoResponse(Reason::ProcessPaused).outcome == Outcome::Unknown);
    CHECK(repeat.onNoResponse(Reason::ProcessPaused).reason == Reason::ProcessPaused);
}

TEST_CASE(
    "Recorded successors are followed to the end of the chain, and the outcome is unknown if the end is out of reach")
{
    KeyedCall call("k0", CallerAttempt::First, 1);
    call.onSending();
    const KeyedStep next = call.onResponse(Outcome::NotRun, Reason::QueueFull, "k1");
    CHECK(next.kind == KeyedStep::Kind::Send);
    CHECK(next.keyText == "k1");
    CHECK(call.keyText() == "k1");
    // Guards against not_run while another node may still follow the successor.
    CHECK(call.onResponse(Outcome::NotRun, Reason::QueueFull, "k2").outcome == Outcome::Unknown);
    CHECK(call.onNoResponse(Reason::EndpointUnreachable).outcome == Outcome::Unknown);
    CHECK(call.onResponse(Outcome::NotRun, Reason::QueueFull, "").outcome == Outcome::NotRun);
    CHECK(call.onResponse(Outcome::Done, Reason::None, "").outcome == Outcome::Done);
}
