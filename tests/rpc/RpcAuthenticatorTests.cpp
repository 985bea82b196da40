#include "snipeweir/control/RpcAuthenticator.h"

#include <doctest/doctest.h>

using namespace snipeweir;

namespace {

constexpr const char* address = "127.0.0.1:9001";

ControlKey testKey(uint8_t id, char fill) { return { id, std::string(32, fill) }; }

std::unique_ptr<RpcAuthenticator> createAuthenticator(
    const Clock& clock, const std::string& vm, std::vector<ControlKey> keys, size_t maxNonces = 16384)
{
    RpcAuthenticatorSettings settings;
    settings.keys = std::move(keys);
    settings.maxNoncesCount = maxNonces;
    return handleErrors([&] { return RpcAuthenticator::create(settings, VmId(vm), clock); },
        [](const Error& error) -> std::unique_ptr<RpcAuthenticator> {
            FAIL(error.message);
            return nullptr;
        });
}

std::optional<ErrorCode> openError(RpcAuthenticator& receiver, std::optional<std::string_view> header,
    std::string_view body, std::string_view to = address)
{
    const auto error = errorOf([&] { return receiver.openRequest(header, to, body); });
    return error ? std::optional(error->code) : std::nullopt;
}

}

TEST_CASE("A request is refused if its header, body or destination was changed, and if it is replayed")
{
    ManualClock clock;
    const auto sender = createAuthenticator(clock, "dar.kariakoo-1", { testKey(1, 'a') });
    const auto receiver = createAuthenticator(clock, "b", { testKey(1, 'a') });
    const std::string header = sender->signRequest(address, "body").header;
    for (size_t i = 0; i < header.size(); ++i) {
        std::string changed = header;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CHECK(openError(*receiver, changed, "body") == ErrorCode::Unauthenticated);
        CHECK(openError(*receiver, header.substr(0, i), "body") == ErrorCode::Unauthenticated);
    }
    CHECK(openError(*receiver, std::nullopt, "body") == ErrorCode::Unauthenticated);
    CHECK(receiver->refusedCount(RpcRefusal::Missing) == 1);
    CHECK(openError(*receiver, header, "bodY") == ErrorCode::Unauthenticated);
    CHECK(openError(*receiver, header, "body", "127.0.0.1:9002") == ErrorCode::Unauthenticated);

    handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(caller, receiver->openRequest(header, address, "body"));
            CHECK(caller.vm == VmId("dar.kariakoo-1"));
            return true;
        },
        [](const Error& error) {
            FAIL(error.message);
            return false;
        });
    clock.advance(std::chrono::seconds(29));
    CHECK(openError(*receiver, header, "body") == ErrorCode::Replayed);
    CHECK(receiver->refusedCount(RpcRefusal::Replayed) == 1);
}

TEST_CASE("An unknown key is refused, and both keys are accepted during a key rotation")
{
    ManualClock clock;
    const auto receiver = createAuthenticator(clock, "b", { testKey(2, 'b'), testKey(1, 'a') });
    for (const ControlKey& key : { testKey(1, 'a'), testKey(2, 'b') })
        CHECK_FALSE(
            openError(*receiver, createAuthenticator(clock, "a", { key })->signRequest(address, "").header, ""));
    const auto sameId = createAuthenticator(clock, "a", { testKey(1, 'x') });
    CHECK(openError(*receiver, sameId->signRequest(address, "").header, "") == ErrorCode::Unauthenticated);
    CHECK(receiver->refusedCount(RpcRefusal::BadMac) == 1);
    const auto otherId = createAuthenticator(clock, "a", { testKey(3, 'a') });
    CHECK(openError(*receiver, otherId->signRequest(address, "").header, "") == ErrorCode::Unauthenticated);
    CHECK(receiver->refusedCount(RpcRefusal::UnknownKey) == 1);
}

TEST_CASE("A request signed over 30 s before or after now is refused, and its nonce is kept while it is valid")
{
    ManualClock clock, ahead;
    ahead.advance(std::chrono::seconds(30));
    const auto sender = createAuthenticator(ahead, "a", { testKey(1, 'a') });
    const auto receiver = createAuthenticator(clock, "b", { testKey(1, 'a') }, 2);
    const std::string early = sender->signRequest(address, "").header;
    CHECK_FALSE(openError(*receiver, early, ""));
    clock.advance(std::chrono::seconds(60));
    CHECK(openError(*receiver, early, "") == ErrorCode::Replayed);
    clock.advance(std::chrono::milliseconds(1));
    CHECK(openError(*receiver, early, "") == ErrorCode::Stale);
    ahead.advance(std::chrono::seconds(61));
    CHECK(openError(*receiver, sender->signRequest(address, "").header, "") == ErrorCode::Stale);
    CHECK(receiver->refusedCount(RpcRefusal::OutOfTime) == 2);

    // Requests are refused while the nonce memory is full, and accepted again after its nonces have expired.
    const auto inSync = createAuthenticator(clock, "c", { testKey(1, 'a') });
    CHECK_FALSE(openError(*receiver, inSync->signRequest(address, "").header, ""));
    CHECK_FALSE(openError(*receiver, inSync->signRequest(address, "").header, ""));
    CHECK(openError(*receiver, inSync->signRequest(address, "").header, "") == ErrorCode::Unavailable);
    CHECK(receiver->refusedCount(RpcRefusal::NonceMemoryFull) == 1);
    clock.advance(std::chrono::seconds(61));
    CHECK_FALSE(openError(*receiver, inSync->signRequest(address, "").header, ""));
}

TEST_CASE("A response is accepted only for its own request, and a request is not accepted as a response")
{
    ManualClock clock;
    const auto caller = createAuthenticator(clock, "a", { testKey(1, 'a') });
    const auto server = createAuthenticator(clock, "b", { testKey(1, 'a') });
    const RpcSignature request = caller->signRequest(address, "x");
    const std::string response = server->signResponse(request.nonce, "x");
    const auto isRefused = [&](std::string_view header, uint64_t nonce, std::string_view body) {
        return errorOf([&] { return caller->openResponse(header, nonce, body); }).has_value();
    };
    CHECK_FALSE(isRefused(response, request.nonce, "x"));
    CHECK(isRefused(response, request.nonce + 1, "x"));
    CHECK(isRefused(response, request.nonce, "y"));
    CHECK(isRefused(request.header, request.nonce, "x"));
    CHECK(openError(*server, response, "x") == ErrorCode::Unauthenticated);
    CHECK(caller->refusedCount(RpcRefusal::BadMac) == 3);
}
