#include "KeyFixture.h"

#include "snipeweir/core/Random.h"

#include <doctest/doctest.h>

using namespace snipeweir;

namespace {

std::optional<ErrorCode> openError(const KeyIssuer& issuer, const std::string& text)
{
    const auto error = errorOf([&] { return issuer.open(text); });
    return error ? std::optional(error->code) : std::nullopt;
}

const std::string oldSecret(32, 'a');
const std::string newSecret(32, 'b');

}

TEST_CASE("A key survives the round trip within 200 URL-safe bytes, and names that do not fit give no key")
{
    const KeyFixture fixture;
    const auto uptime = std::chrono::milliseconds(123'456'789);
    const std::string text
        = fixture.issuer->issue(ServiceName(std::string(40, 's')), VmId(std::string(55, 'v')), { ~0ULL }, uptime);
    CHECK(text.size() <= maxKeyTextBytes);
    CHECK(text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") == text.npos);
    const IdempotencyKey key = fixture.issuer->open(text).value();
    CHECK(key.text == text);
    CHECK(key.service.text() == std::string(40, 's'));
    CHECK(key.executor.text() == std::string(55, 'v'));
    CHECK(key.incarnation == Incarnation { ~0ULL });
    CHECK(key.executorUptime == uptime);
    CHECK(fixture.issuer->issue(ServiceName(std::string(41, 's')), VmId(std::string(55, 'v')), { 1 }, uptime).empty());
    CHECK(fixture.key().nonce != fixture.key().nonce);
}

TEST_CASE("A changed, cut or random text never opens")
{
    const KeyFixture fixture;
    const std::string text = fixture.key().text;
    Random random(11);
    for (size_t i = 0; i < text.size(); ++i) {
        CHECK(openError(*fixture.issuer, text.substr(0, i)));
        std::string changed = text;
        changed[i] = changed[i] == 'x' ? 'y' : 'x';
        CHECK(openError(*fixture.issuer, changed));
    }
    for (int round = 0; round < 5000; ++round) {
        std::string noise(random.below(210), '\0');
        for (char& byte : noise)
            byte = static_cast<char>(random.next());
        CHECK(openError(*fixture.issuer, noise));
    }
    CHECK(openError(*fixture.issuer, text + "A"));
    CHECK(openError(*fixture.issuer, std::string(201, 'A')) == ErrorCode::TooLarge);
}

TEST_CASE("During a rotation both secrets open keys, and a secret that is gone is distinguished from a malformed text")
{
    const auto before = KeyIssuer::create({ { { 1, oldSecret } }, {} }).value();
    const auto during = KeyIssuer::create({ { { 2, newSecret }, { 1, oldSecret } }, {} }).value();
    const auto after = KeyIssuer::create({ { { 2, newSecret } }, {} }).value();
    const auto issue = [](const KeyIssuer& issuer) {
        return issuer.issue(ServiceName("s"), VmId("v"), Incarnation { 1 }, std::chrono::milliseconds(5));
    };
    CHECK_FALSE(openError(*during, issue(*before)));
    CHECK_FALSE(openError(*after, issue(*during)));
    // Such a key may have run, so its outcome must be unknown rather than not_run.
    CHECK(openError(*after, issue(*before)) == ErrorCode::Unauthenticated);
    CHECK(openError(*after, "no key") == ErrorCode::InvalidArgument);

    CHECK(errorOf([&] { return KeyIssuer::create({ {}, {} }); }));
    CHECK(errorOf([&] { return KeyIssuer::create({ { { 1, oldSecret }, { 1, newSecret } }, {} }); }));
    CHECK(errorOf([&] { return KeyIssuer::create({ { { 1, "short" } }, {} }); }));
}
