#include "snipeweir/control/Envelope.h"

#include "snipeweir/core/Random.h"

#include <doctest/doctest.h>
#include <functional>

using namespace snipeweir;

namespace {

ControlKey testKey(uint8_t id) { return { id, std::string(32, static_cast<char>('a' + id)) }; }

std::unique_ptr<Envelope> createEnvelope(
    const Clock& clock, const std::string& vm, uint64_t incarnation, std::vector<ControlKey> keys = { testKey(1) })
{
    EnvelopeSettings settings;
    settings.keys = std::move(keys);
    return handleErrors([&] { return Envelope::create(settings, VmId(vm), Incarnation { incarnation }, clock); },
        [](const Error& error) -> std::unique_ptr<Envelope> {
            FAIL(error.message);
            return nullptr;
        });
}

std::optional<ErrorCode> openError(Envelope& receiver, const std::string& datagram)
{
    const auto error = errorOf([&] { return receiver.open(datagram); });
    return error ? std::optional(error->code) : std::nullopt;
}

}

TEST_CASE("A datagram is accepted once; a modified, truncated or reflected datagram is refused")
{
    ManualClock clock;
    const auto sender = createEnvelope(clock, "mvd-a-1", 11);
    const auto receiver = createEnvelope(clock, "mvd-a-2", 22);
    const std::string datagram = sender->seal(ControlMessageType::Ping, "payload");
    CHECK(datagram.size() == std::string("mvd-a-1payload").size() + 39);

    Random random(3);
    for (size_t i = 0; i < datagram.size(); ++i) {
        std::string changed = datagram;
        changed[i] = static_cast<char>(changed[i] ^ static_cast<char>(1U << random.below(8)));
        CHECK(openError(*receiver, changed));
        CHECK(openError(*receiver, datagram.substr(0, i)));
    }
    CHECK(openError(*receiver, std::string(maxDatagramBytes + 1, 'x')) == ErrorCode::TooLarge);

    handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, receiver->open(datagram));
            CHECK(message.type == ControlMessageType::Ping);
            CHECK(message.sender == VmId("mvd-a-1"));
            CHECK(message.senderIncarnation == Incarnation { 11 });
            CHECK(message.payload == "payload");
            return true;
        },
        [](const Error& error) {
            FAIL(error.message);
            return false;
        });
    CHECK(openError(*receiver, datagram) == ErrorCode::Replayed);
    CHECK(openError(*sender, datagram) == ErrorCode::Replayed);
    CHECK(receiver->refusedCount(EnvelopeRefusal::Replayed) == 1);
    CHECK(sender->refusedCount(EnvelopeRefusal::Reflected) == 1);
    CHECK(receiver->openedCount() == 1);
}

TEST_CASE("Reordered datagrams are each accepted at most once, also when some are lost")
{
    ManualClock clock;
    const auto sender = createEnvelope(clock, "a", 1);
    const auto receiver = createEnvelope(clock, "b", 2);
    Random random(5);
    std::vector<std::string> inFlight;
    size_t opened = 0, sent = 0;
    for (int i = 0; i < 5000; ++i) {
        clock.advance(std::chrono::milliseconds(10));
        inFlight.push_back(sender->seal(ControlMessageType::Ping, ""));
        ++sent;
        if (inFlight.size() < 60)
            continue;
        const size_t pick = random.below(inFlight.size());
        opened += openError(*receiver, inFlight[pick]) ? 0 : 1;
        CHECK(openError(*receiver, inFlight[pick]) == ErrorCode::Replayed);
        inFlight.erase(inFlight.begin() + static_cast<ptrdiff_t>(pick));
    }
    // A datagram that is delivered after more than 192 later ones may be refused as too old, but none is accepted
    // twice.
    CHECK(opened + receiver->refusedCount(EnvelopeRefusal::Replayed) == 2 * (sent - 59));
    CHECK(opened > sent * 9 / 10);
}

TEST_CASE("Datagrams of an earlier incarnation are refused after a restart of the sender, of the receiver, and of both")
{
    ManualClock clock;
    const auto first = createEnvelope(clock, "a", 1);
    const std::string early = first->seal(ControlMessageType::Ping, "early");
    const std::string seen = first->seal(ControlMessageType::Ping, "seen");
    auto receiver = createEnvelope(clock, "b", 2);
    CHECK_FALSE(openError(*receiver, seen));

    // After a restart of the sender, datagrams of its new incarnation are accepted and those of the previous one are
    // refused, also if they were not received before.
    clock.advance(std::chrono::seconds(1));
    const auto second = createEnvelope(clock, "a", 7);
    CHECK_FALSE(openError(*receiver, second->seal(ControlMessageType::Ping, "")));
    CHECK(openError(*receiver, early) == ErrorCode::Stale);
    CHECK(openError(*receiver, first->seal(ControlMessageType::Ping, "late")) == ErrorCode::Stale);
    CHECK_FALSE(openError(*receiver, second->seal(ControlMessageType::Ping, "")));

    // A restarted receiver that knows only the new incarnation refuses the previous one by its time of sealing.
    receiver = createEnvelope(clock, "b", 3);
    CHECK_FALSE(openError(*receiver, second->seal(ControlMessageType::Ping, "")));
    CHECK(openError(*receiver, early) == ErrorCode::Stale);

    // A restarted receiver that knows no sender refuses datagrams older than maxClockSkew (120 s).
    clock.advance(std::chrono::seconds(121));
    receiver = createEnvelope(clock, "b", 4);
    CHECK(openError(*receiver, early) == ErrorCode::Stale);
    CHECK(receiver->refusedCount(EnvelopeRefusal::ClockSkew) == 1);
}

TEST_CASE("Both keys are accepted during a key rotation, and an unknown key is refused")
{
    ManualClock clock;
    const auto oldOnly = createEnvelope(clock, "a", 1, { testKey(1) });
    const auto bothKeys = createEnvelope(clock, "b", 2, { testKey(2), testKey(1) });
    const auto newOnly = createEnvelope(clock, "c", 3, { testKey(2) });
    CHECK_FALSE(openError(*bothKeys, oldOnly->seal(ControlMessageType::Ping, "")));
    CHECK_FALSE(openError(*newOnly, bothKeys->seal(ControlMessageType::Ping, "")));
    CHECK(openError(*newOnly, oldOnly->seal(ControlMessageType::Ping, "")) == ErrorCode::Unauthenticated);
    CHECK(newOnly->refusedCount(EnvelopeRefusal::UnknownKey) == 1);

    EnvelopeSettings settings;
    CHECK(errorOf([&] { return Envelope::create(settings, VmId("a"), Incarnation { 1 }, clock); }));
    settings.keys = { { 1, "short" } };
    CHECK(errorOf([&] { return Envelope::create(settings, VmId("a"), Incarnation { 1 }, clock); }));
}

TEST_CASE("The message rate per sender and the number of tracked senders are limited")
{
    ManualClock clock;
    const auto sender = createEnvelope(clock, "a", 1);
    const auto receiver = createEnvelope(clock, "b", 2);
    for (int i = 0; i < 1000; ++i)
        openError(*receiver, sender->seal(ControlMessageType::Ping, ""));
    CHECK(receiver->openedCount() == 400);
    CHECK(receiver->refusedCount(EnvelopeRefusal::RateExceeded) == 600);

    EnvelopeSettings settings;
    settings.keys = { testKey(1) };
    settings.maxSendersCount = 10;
    const auto smallTable
        = handleErrors([&] { return Envelope::create(settings, VmId("c"), Incarnation { 3 }, clock); },
            [](const Error&) -> std::unique_ptr<Envelope> { return nullptr; });
    for (int i = 0; i < 20; ++i)
        openError(*smallTable, createEnvelope(clock, "s" + std::to_string(i), 100)->seal(ControlMessageType::Ping, ""));
    CHECK(smallTable->openedCount() == 10);
    CHECK(smallTable->refusedCount(EnvelopeRefusal::SenderTableFull) == 10);

    // Senders that have sent nothing for long are dropped, which frees entries for new ones.
    clock.advance(std::chrono::seconds(300));
    CHECK_FALSE(openError(*smallTable, createEnvelope(clock, "new", 100)->seal(ControlMessageType::Ping, "")));
}
