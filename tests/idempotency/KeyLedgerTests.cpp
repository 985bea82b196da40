#include "KeyFixture.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;
using Kind = LedgerResult::Kind;

namespace {

void checkResult(const LedgerResult& result, Kind kind, Reason reason = Reason::None, const std::string& successor = {})
{
    CHECK(result.kind == kind);
    CHECK(reasonName(result.reason) == reasonName(reason));
    CHECK(result.successor == successor);
}

StoredResponse responseOfSize(size_t bytes) { return { 200, {}, std::string(bytes, 'x') }; }

}

TEST_CASE("A key runs once: repeats attach to the run and then get its response")
{
    KeyFixture f;
    const auto key = f.key();
    checkResult(f.ledger->lookUp(key), Kind::Absent);
    checkResult(f.ledger->begin(key), Kind::RunNow);
    checkResult(f.ledger->begin(key), Kind::AttachToRun);
    f.ledger->finish(key, responseOfSize(10));
    const auto repeat = f.ledger->begin(key);
    checkResult(repeat, Kind::Stored);
    CHECK(repeat.response->body == std::string(10, 'x'));
}

TEST_CASE("An unknown outcome stays unknown, and a complete response that comes later replaces it")
{
    KeyFixture f;
    const auto key = f.key();
    f.ledger->begin(key);
    f.ledger->finishUnknown(key, Reason::ConnectionLost);
    checkResult(f.ledger->begin(key), Kind::Unknown, Reason::ConnectionLost);
    f.ledger->finish(key, responseOfSize(1));
    checkResult(f.ledger->begin(key), Kind::Stored);
}

TEST_CASE("A sealed key never runs, and the first recorded successor stays")
{
    KeyFixture f;
    const auto key = f.key();
    const auto first = f.keyFor("vm-2", 9);
    const auto second = f.keyFor("vm-3", 9);
    f.ledger->begin(key);
    checkResult(f.ledger->seal(key, Reason::QueueFull, first), Kind::Sealed, Reason::QueueFull, first.text);
    // Guards against two runs through two successors of one key.
    checkResult(f.ledger->begin(key, second), Kind::Sealed, Reason::QueueFull, first.text);
    checkResult(f.ledger->seal(key, Reason::Draining, second), Kind::Sealed, Reason::QueueFull, first.text);
    checkResult(f.ledger->refuse(key, Reason::Draining, second), Kind::Sealed, Reason::QueueFull, first.text);

    const auto plain = f.key();
    checkResult(f.ledger->refuse(plain, Reason::Draining), Kind::Sealed, Reason::Draining);
    // A successor added after not_run was reported would run a call that must never run.
    checkResult(f.ledger->begin(plain, second), Kind::Sealed, Reason::Draining);
}

TEST_CASE("The refusal of a repeat does not seal the running call, and a run that is over cannot be sealed")
{
    KeyFixture f;
    const auto key = f.key();
    f.ledger->begin(key);
    checkResult(f.ledger->refuse(key, Reason::DeadlinePassed), Kind::AttachToRun);
    f.ledger->finish(key, responseOfSize(1));
    checkResult(f.ledger->seal(key, Reason::BackendShed), Kind::Stored);
}

TEST_CASE("A successor for the same process or for another service is not recorded")
{
    KeyFixture f;
    const auto key = f.key();
    checkResult(f.ledger->refuse(key, Reason::Draining, key), Kind::Sealed, Reason::Draining);
    checkResult(f.ledger->refuse(f.key(), Reason::Draining, f.key()), Kind::Sealed, Reason::Draining);
    checkResult(f.ledger->refuse(f.key(), Reason::Draining, f.keyFor("vm-2", 9, 0ms, "informes")), Kind::Sealed,
        Reason::Draining);
}

TEST_CASE("Only the VM and incarnation in the key run it, and only for its service")
{
    KeyFixture f;
    checkResult(f.ledger->begin(f.keyFor("vm-1", 8)), Kind::Unknown, Reason::ExecutorGone);
    checkResult(f.ledger->begin(f.keyFor("vm-2", 7)), Kind::Unknown, Reason::WrongEndpoint);
    checkResult(f.ledger->begin(f.keyFor("vm-1", 7, 0ms, "informes")), Kind::Refused, Reason::KeyInvalid);
    checkResult(f.ledger->refuse(f.keyFor("vm-1", 8), Reason::Draining), Kind::Unknown, Reason::ExecutorGone);
    CHECK(f.ledger->size() == 0);
    f.settings.service = ServiceName();
    CHECK(errorOf([&] { return KeyLedger::create(f.settings, VmId("vm-1"), { 7 }, f.clock, f.startedAt); }));
}

TEST_CASE("A repeat with another request neither attaches nor gets the first one's response")
{
    KeyFixture f;
    const auto key = f.key();
    f.ledger->begin(key, {}, 1);
    checkResult(f.ledger->begin(key, {}, 2), Kind::Unknown, Reason::KeyInvalid);
    f.ledger->finish(key, responseOfSize(1));
    checkResult(f.ledger->begin(key, {}, 2), Kind::Unknown, Reason::KeyInvalid);
    checkResult(f.ledger->begin(key, {}, 1), Kind::Stored);
}

TEST_CASE("An entry stays until its key expires by the executor's uptime, and never runs after that")
{
    KeyFixture f;
    const auto key = f.key();
    const auto neverSent = f.key();
    f.ledger->begin(key);
    f.ledger->finish(key, responseOfSize(100));
    f.clock.advance(f.settings.keyWindow - 1ms);
    f.ledger->expire();
    checkResult(f.ledger->begin(key), Kind::Stored);
    f.clock.advance(1ms);
    f.ledger->expire();
    CHECK(f.ledger->size() == 0);
    CHECK(f.ledger->keptBytes() == 0);
    checkResult(f.ledger->begin(key), Kind::Unknown, Reason::KeyExpired);
    checkResult(f.ledger->refuse(neverSent, Reason::Draining), Kind::Unknown, Reason::KeyExpired);

    // Guards against a second run after the configured window grows.
    const auto expiredUnused = f.key();
    f.clock.advance(f.settings.keyWindow);
    f.settings.keyWindow *= 4;
    f.ledger->setSettings(f.settings);
    checkResult(f.ledger->begin(key), Kind::Unknown, Reason::KeyExpired);
    checkResult(f.ledger->begin(expiredUnused), Kind::Unknown, Reason::KeyExpired);
}

TEST_CASE("A key that expires during its run stays known until the run ends")
{
    KeyFixture f;
    const auto key = f.key();
    f.ledger->begin(key);
    f.clock.advance(f.settings.keyWindow * 2);
    f.ledger->expire();
    checkResult(f.ledger->begin(key), Kind::AttachToRun);
    f.ledger->finish(key, responseOfSize(1));
    CHECK(f.ledger->size() == 0);
    CHECK(f.ledger->keptBytes() == 0);
    checkResult(f.ledger->begin(key), Kind::Unknown, Reason::KeyExpired);
}

TEST_CASE("A key with an uptime slightly ahead runs, one further ahead is sealed, one beyond the window is unknown")
{
    KeyFixture f;
    const auto little = f.key(5s);
    const auto far = f.key(6s);
    checkResult(f.ledger->begin(little), Kind::RunNow);
    f.ledger->finish(little, responseOfSize(1));
    checkResult(f.ledger->begin(far), Kind::Sealed, Reason::KeyNotYetValid);
    checkResult(f.ledger->begin(f.key(f.settings.keyWindow + 1ms)), Kind::Unknown, Reason::KeyNotYetValid);
    CHECK(f.ledger->size() == 2);

    // The entry must last as long as the key, which is longer than the window after its arrival.
    f.clock.advance(f.settings.keyWindow + 4s);
    f.ledger->expire();
    checkResult(f.ledger->begin(little), Kind::Stored);
    checkResult(f.ledger->begin(far), Kind::Sealed, Reason::KeyNotYetValid);
}

TEST_CASE("A full ledger evicts nothing, and what it refused never runs, also when there is room again")
{
    KeyLedgerSettings settings;
    settings.keyCount = 2;
    KeyFixture f(settings);
    const auto first = f.key();
    const auto second = f.key(100ms);
    const auto refused = f.key(50ms);
    f.ledger->begin(first);
    f.ledger->finish(first, responseOfSize(1));
    f.ledger->begin(second);
    checkResult(f.ledger->begin(refused), Kind::Refused, Reason::KeyLedgerFull);
    checkResult(f.ledger->refuse(refused, Reason::Draining, f.keyFor("vm-2", 9)), Kind::Refused, Reason::KeyLedgerFull);
    checkResult(f.ledger->begin(first), Kind::Stored);
    // Guards against a key with a future uptime that makes a full ledger refuse all new keys until that uptime.
    checkResult(f.ledger->begin(f.key(10s)), Kind::Unknown, Reason::KeyNotYetValid);

    f.clock.advance(f.settings.keyWindow);
    const auto later = f.key();
    checkResult(f.ledger->begin(later), Kind::RunNow);
    CHECK(f.ledger->size() == 2);
    checkResult(f.ledger->begin(refused), Kind::Refused, Reason::KeyLedgerFull);
    checkResult(f.ledger->lookUp(refused), Kind::Refused, Reason::KeyLedgerFull);
}

TEST_CASE(
    "Kept responses are bounded each and together; without its response a finished key is unknown and does not run")
{
    KeyLedgerSettings settings;
    settings.keptResponseBytes = 100;
    settings.keptResponsesTotalBytes = 150;
    KeyFixture f(settings);
    const auto large = f.key();
    const auto first = f.key();
    const auto second = f.key();
    for (const auto& [key, bytes] : { std::pair(large, 101), std::pair(first, 100), std::pair(second, 51) }) {
        f.ledger->begin(key);
        f.ledger->finish(key, responseOfSize(static_cast<size_t>(bytes)));
    }
    checkResult(f.ledger->begin(large), Kind::Unknown, Reason::ResponseNotKept);
    checkResult(f.ledger->begin(first), Kind::Stored);
    checkResult(f.ledger->begin(second), Kind::Unknown, Reason::ResponseNotKept);
    CHECK(f.ledger->keptBytes() == 100);
}
