#include "RouterFixture.h"

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("Callers with the same view do not all pick the endpoint that is momentarily empty")
{
    constexpr size_t callers = 2000;
    size_t hits = 0;
    for (size_t caller = 0; caller < callers; ++caller) {
        RouterFixture fixture(6, caller);
        for (size_t i = 0; i < 6; ++i)
            fixture.router->onLoadReport(RouterFixture::vm(i), fixture.report(i == 2 ? 0 : 9));
        hits += fixture.router->choose({})->vm == RouterFixture::vm(2) ? 1 : 0;
    }
    // Three draws out of six include it half of the time; 3% is more than two standard deviations of the count.
    CHECK(hits > callers / 6);
    CHECK(hits < callers * 53 / 100);
}

TEST_CASE("A report that claims an idle, fast endpoint does not outweigh slow own calls")
{
    RouterFixture fixture(6);
    const auto slow = [](const VmId& vm) {
        return CallResult { CallResult::Kind::Succeeded, vm == RouterFixture::vm(3) ? 100'000us : 5000us };
    };
    const auto counts = fixture.countCalls(3000, slow);
    const auto found = counts.find(RouterFixture::vm(3));
    CHECK((found == counts.end() ? 0 : found->second) < 3000 / 12);
}

TEST_CASE("Own calls sent since a lagging report count at once")
{
    RouterFixture fixture(2);
    for (int i = 0; i < 10; ++i)
        fixture.router->onSent(RouterFixture::vm(0));
    fixture.clock.advance(1ms);
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.router->choose({})->vm == RouterFixture::vm(1));
}

TEST_CASE("A server that stopped responding loses calls before its first late response arrives")
{
    RouterFixture fixture(6);
    fixture.countCalls(200, success);
    fixture.router->onSent(RouterFixture::vm(4));
    fixture.clock.advance(60ms);
    size_t hits = 0;
    for (int i = 0; i < 600; ++i)
        hits += fixture.router->choose({})->vm == RouterFixture::vm(4) ? 1 : 0;
    CHECK(hits < 600 / 12);
}

TEST_CASE("Fast failures attract no calls and lead to ejection, which ends in slow start")
{
    RouterFixture fixture(6);
    const auto failing = [](const VmId& vm) {
        return vm == RouterFixture::vm(1) ? CallResult { CallResult::Kind::Failed, 100us } : success(vm);
    };
    fixture.countCalls(200, success);
    const auto counts = fixture.countCalls(400, failing);
    const auto found = counts.find(RouterFixture::vm(1));
    CHECK((found == counts.end() ? 0 : found->second) <= 5);

    fixture.fail(1, 5);
    CHECK(fixture.ejectedCount() == 1);
    for (int i = 0; i < 200; ++i)
        CHECK(fixture.router->choose({})->vm != RouterFixture::vm(1));
    fixture.clock.advance(RouterSettings().ejectionDuration);
    fixture.router->choose({});
    const EndpointSnapshot back = fixture.router->snapshot().at(1);
    CHECK(back.phase == EndpointPhase::Starting);
    CHECK(back.rampPercent < 10);
}

TEST_CASE("An endpoint that fails two calls of three is ejected although it never fails five in a row")
{
    RouterFixture fixture(6);
    for (int i = 0; i < 10; ++i) {
        fixture.fail(1, 2);
        fixture.router->onFinished(RouterFixture::vm(1), success({}));
    }
    CHECK(fixture.ejectedCount() == 1);
}

TEST_CASE("Ejection stops at the allowed share, and a service of which half is ejected keeps taking calls")
{
    RouterFixture fixture(6);
    for (size_t i = 0; i < 6; ++i)
        fixture.fail(i, 20);
    CHECK(fixture.ejectedCount() == 3);

    // With 90% allowed, five of six are ejected, and become candidates again because fewer than half are left.
    RouterSettings settings;
    settings.maxEjectedPercent = 90;
    RouterFixture lenient(6, 1, settings);
    for (size_t i = 0; i < 6; ++i)
        lenient.fail(i, 20);
    CHECK(lenient.ejectedCount() == 5);
    lenient.clock.advance(2s);
    std::map<VmId, size_t> counts;
    for (int i = 0; i < 600; ++i)
        ++counts[lenient.router->choose({})->vm];
    CHECK(counts.size() == 6);

    // A single endpoint is never ejected.
    RouterFixture single(1);
    single.fail(0, 50);
    CHECK(single.router->choose({}));
}

TEST_CASE("Draining, leaving and out-of-service endpoints are never chosen, whatever else happens")
{
    RouterFixture fixture(9);
    Random random(5);
    for (int round = 0; round < 3000; ++round) {
        auto& candidate = fixture.view[random.below(9)];
        candidate.isInService = random.below(2) == 0;
        candidate.isLeaving = random.below(3) == 0;
        candidate.isAlive = random.below(4) != 0;
        fixture.router->updateEndpoints(fixture.view);
        fixture.fail(random.below(9), static_cast<int>(random.below(7)));
        LoadReport report = fixture.report();
        report.phase = static_cast<EndpointPhase>(random.below(6));
        const size_t reporter = random.below(9);
        fixture.router->onLoadReport(RouterFixture::vm(reporter), report);
        fixture.clock.advance(std::chrono::milliseconds(random.below(900)));
        const auto choice = fixture.router->choose({});
        if (!choice)
            continue;
        for (size_t i = 0; i < 9; ++i) {
            if (choice->vm != RouterFixture::vm(i))
                continue;
            CHECK(fixture.view[i].isInService);
            CHECK_FALSE(fixture.view[i].isLeaving);
            CHECK(fixture.router->snapshot()[i].phase != EndpointPhase::Draining);
        }
    }
}

TEST_CASE("A drain reported by the endpoint itself stops its calls at once")
{
    RouterFixture fixture(2);
    LoadReport report = fixture.report();
    report.phase = EndpointPhase::Draining;
    fixture.router->onLoadReport(RouterFixture::vm(0), report);
    for (int i = 0; i < 100; ++i)
        CHECK(fixture.router->choose({})->vm == RouterFixture::vm(1));
}

TEST_CASE("A view that declares every endpoint dead does not stop the service")
{
    RouterFixture fixture(3);
    for (auto& candidate : fixture.view)
        candidate.isAlive = false;
    fixture.router->updateEndpoints(fixture.view);
    CHECK(fixture.router->choose({}));
}

TEST_CASE("The share of a returning data centre ramps up instead of jumping")
{
    RouterFixture fixture(9);
    const auto setService = [&fixture](bool isInService) {
        for (size_t i = 0; i < 9; i += 3)
            fixture.view[i].isInService = isInService;
        fixture.router->updateEndpoints(fixture.view);
    };
    const auto share = [&fixture] {
        const auto counts = fixture.countCalls(200, success);
        size_t returning = 0;
        for (size_t i = 0; i < 9; i += 3) {
            const auto found = counts.find(RouterFixture::vm(i));
            returning += found == counts.end() ? 0 : found->second;
        }
        return static_cast<double>(returning) / 200;
    };
    setService(false);
    CHECK(share() == 0);
    setService(true);

    // 200 calls take one second; the ramp lasts ten. At full weight the share is a third.
    CHECK(share() <= 0.1);
    fixture.clock.advance(3s);
    const double middle = share();
    CHECK(middle > 0.03);
    CHECK(middle < 0.3);
    fixture.clock.advance(6s);
    CHECK(share() > 0.25);
}

TEST_CASE("A refusal diverts calls at once and no longer counts a second later")
{
    RouterFixture fixture(2);
    fixture.countCalls(100, success);
    fixture.router->onSent(RouterFixture::vm(0));
    fixture.router->onFinished(RouterFixture::vm(0), { CallResult::Kind::Refused, 1000us });
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.router->choose({})->vm == RouterFixture::vm(1));
    CHECK(fixture.router->snapshot()[0].phase == EndpointPhase::Serving);
    fixture.clock.advance(1s);
    for (size_t i = 0; i < 2; ++i)
        fixture.router->onLoadReport(RouterFixture::vm(i), fixture.report());
    CHECK(fixture.countCalls(200, success)[RouterFixture::vm(0)] > 50);
}

TEST_CASE("A cold endpoint with one slot gets a small part of the calls")
{
    RouterFixture fixture(6);
    std::map<VmId, size_t> counts;
    for (int i = 0; i < 1000; ++i) {
        LoadReport cold = fixture.report();
        cold.phase = EndpointPhase::Cold;
        cold.limit = 1;
        fixture.router->onLoadReport(RouterFixture::vm(0), cold);
        ++counts[fixture.call(success)];
    }
    // Its share of the slots is 1 of 51, and up to three draws are made per call.
    CHECK(counts[RouterFixture::vm(0)] < 1000 * 4 / 51);
}

TEST_CASE("Late and out-of-order reports do not replace newer ones")
{
    RouterFixture fixture(1);
    fixture.clock.advance(1s);
    const LoadReport newer = fixture.report(9);
    LoadReport older = fixture.report(0);
    older.uptime -= 500ms;
    fixture.router->onLoadReport(RouterFixture::vm(0), newer);
    fixture.router->onLoadReport(RouterFixture::vm(0), older);
    CHECK(fixture.router->snapshot()[0].report == newer);

    LoadReport restarted = fixture.report(1);
    restarted.incarnation = Incarnation { 8 };
    restarted.uptime = 10ms;
    fixture.router->onLoadReport(RouterFixture::vm(0), restarted);
    CHECK(fixture.router->snapshot()[0].rampPercent < 10);
    fixture.router->onLoadReport(RouterFixture::vm(0), fixture.report(9));
    CHECK(fixture.router->choose({})->incarnation == Incarnation { 8 });
    fixture.clock.advance(40ms);
    CHECK(fixture.router->choose({})->uptime == 50ms);
}

TEST_CASE("A snapshot taken before the first call shows which endpoints may be chosen")
{
    RouterFixture fixture(2);
    fixture.view[0].isLeaving = true;
    fixture.router->updateEndpoints(fixture.view);
    CHECK_FALSE(fixture.router->snapshot()[0].isCandidate);
    CHECK(fixture.router->snapshot()[1].isCandidate);
}

TEST_CASE("Excluded endpoints are not chosen, and none is left when all are excluded")
{
    RouterFixture fixture(3);
    for (int i = 0; i < 50; ++i) {
        ChooseRequest request;
        request.excluded = { RouterFixture::vm(0), RouterFixture::vm(2) };
        CHECK(fixture.router->choose(request)->vm == RouterFixture::vm(1));
        request.excluded.push_back(RouterFixture::vm(1));
        CHECK_FALSE(fixture.router->choose(request));
    }
}

TEST_CASE("Probes stay within their budget, ask the oldest first and stop when there are no calls")
{
    RouterFixture fixture(12);
    size_t probes = 0;
    for (int step = 0; step < 1000; ++step) {
        fixture.clock.advance(10ms);
        fixture.router->choose({});
        for (const VmId& vm : fixture.router->probesDue()) {
            ++probes;
            fixture.router->onLoadReport(vm, fixture.report());
        }
    }
    CHECK(probes <= 55);
    CHECK(probes >= 45);
    fixture.clock.advance(5s);
    CHECK(fixture.router->probesDue().empty());
}

TEST_CASE("The same seed and trace give the same decisions, another seed gives others")
{
    const auto run = [](uint64_t seed) {
        RouterFixture fixture(12, seed);
        Random random(9);
        std::string decisions;
        for (int i = 0; i < 2000; ++i) {
            decisions += fixture
                             .call([&random](const VmId&) {
                                 const auto kind
                                     = static_cast<CallResult::Kind>(random.below(20) == 0 ? random.below(4) : 0);
                                 return CallResult { kind, std::chrono::microseconds(random.below(20'000)) };
                             })
                             .text();
            for (const auto& endpoint : fixture.router->snapshot())
                decisions += std::to_string(endpoint.estimatedCost.count());
        }
        return decisions;
    };
    CHECK(run(3) == run(3));
    CHECK(run(3) != run(4));
}

TEST_CASE("A chart with other states than the phases of an endpoint is refused")
{
    const auto member = StateChart::load(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/charts/member.json").value();
    const ManualClock clock;
    CHECK(errorOf([&] { return Router::create({}, member, clock, 1); })->code == ErrorCode::InvalidDocument);
}
