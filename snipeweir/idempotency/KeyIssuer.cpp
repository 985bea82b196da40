#include "snipeweir/idempotency/KeyIssuer.h"

#include <algorithm>
#include <sodium.h>

namespace snipeweir {

namespace {

    constexpr uint8_t formatVersion = 1;
    constexpr size_t macBytes = 16;
    // Version, secret id, incarnation, uptime, nonce, two length bytes and the MAC.
    constexpr size_t fixedBytes = 1 + 4 + 8 + 8 + 16 + 2 + macBytes;
    constexpr size_t maxRawBytes = maxKeyTextBytes / 4 * 3;
    constexpr size_t maxNamesBytes = maxRawBytes - fixedBytes;
    constexpr uint64_t maxUptimeMs = 1'000'000'000'000;
    constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

    // Domain separation from the MACs of control messages, which use the same secrets.
    constexpr std::string_view macDomain = "snipeweir idempotency key 1";

    const uint8_t* bytesOf(std::string_view text) { return reinterpret_cast<const uint8_t*>(text.data()); }

    void appendNumber(std::string& raw, uint64_t value, int bytes)
    {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            raw.push_back(static_cast<char>((value >> shift) & 0xff));
    }

    void appendName(std::string& raw, const std::string& name)
    {
        raw.push_back(static_cast<char>(name.size()));
        raw += name;
    }

    uint64_t readNumber(std::string_view& raw, int bytes)
    {
        uint64_t value = 0;
        for (int i = 0; i < bytes; ++i)
            value = value << 8 | static_cast<uint8_t>(raw[static_cast<size_t>(i)]);
        raw.remove_prefix(static_cast<size_t>(bytes));
        return value;
    }

    std::optional<std::string> readName(std::string_view& raw)
    {
        if (raw.empty())
            return std::nullopt;
        const auto size = static_cast<uint8_t>(raw.front());
        raw.remove_prefix(1);
        if (size == 0 || size > raw.size())
            return std::nullopt;
        std::string name(raw.substr(0, size));
        raw.remove_prefix(size);
        return name;
    }

}

Result<std::unique_ptr<KeyIssuer>> KeyIssuer::create(KeyIssuerSettings settings)
{
    if (sodium_init() < 0)
        return fail(ErrorCode::Unavailable, "The cryptographic library cannot be initialized.");
    const auto& secrets = settings.secrets;
    if (secrets.empty() || secrets.size() > 2 || (secrets.size() == 2 && secrets[0].id == secrets[1].id))
        return fail(ErrorCode::InvalidArgument, "One or two key secrets with different ids are needed.");
    std::unique_ptr<KeyIssuer> issuer(new KeyIssuer);
    for (const KeySecret& secret : secrets) {
        if (secret.bytes.size() < crypto_generichash_KEYBYTES_MIN
            || secret.bytes.size() > crypto_generichash_KEYBYTES_MAX)
            return fail(ErrorCode::InvalidArgument, "A key secret must have 16 to 64 bytes.");
        MacKey key;
        key.id = secret.id;
        crypto_generichash(key.bytes.data(), key.bytes.size(), bytesOf(macDomain), macDomain.size(),
            bytesOf(secret.bytes), secret.bytes.size());
        issuer->m_keys.push_back(key);
    }
    issuer->m_fillNonce = std::move(settings.fillNonce);
    return issuer;
}

std::string KeyIssuer::issue(const ServiceName& service, const VmId& executor, Incarnation incarnation,
    std::chrono::milliseconds executorUptime) const
{
    if (service.isEmpty() || executor.isEmpty() || service.text().size() + executor.text().size() > maxNamesBytes)
        return {};
    KeyNonce nonce {};
    if (m_fillNonce)
        m_fillNonce(nonce);
    else
        randombytes_buf(nonce.data(), nonce.size());

    std::string raw;
    raw.reserve(maxRawBytes);
    const MacKey& key = m_keys.front();
    appendNumber(raw, formatVersion, 1);
    appendNumber(raw, key.id, 4);
    appendNumber(raw, incarnation.value, 8);
    const auto uptime = static_cast<uint64_t>(std::max<int64_t>(executorUptime.count(), 0));
    appendNumber(raw, std::min(uptime, maxUptimeMs), 8);
    raw.append(nonce.begin(), nonce.end());
    appendName(raw, executor.text());
    appendName(raw, service.text());
    const Mac mac = computeMac(key, raw);
    raw.append(mac.begin(), mac.end());

    std::string text(sodium_base64_encoded_len(raw.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytesOf(raw), raw.size(), base64Variant);
    text.pop_back();
    return text;
}

Result<IdempotencyKey> KeyIssuer::open(std::string_view text) const
{
    if (text.size() > maxKeyTextBytes)
        return fail(ErrorCode::TooLarge, "The idempotency key is longer than 200 bytes.");
    std::string raw(maxRawBytes, '\0');
    size_t size = 0;
    const char* end = nullptr;
    // The decoder rejects non-canonical base64, so that each key has exactly one text.
    const int status = sodium_base642bin(reinterpret_cast<uint8_t*>(raw.data()), raw.size(), text.data(), text.size(),
        nullptr, &size, &end, base64Variant);
    if (status != 0 || end != text.data() + text.size() || size <= fixedBytes
        || static_cast<uint8_t>(raw.front()) != formatVersion)
        return fail(ErrorCode::InvalidArgument, "The idempotency key is malformed.");
    raw.resize(size);

    const std::string_view payload(raw.data(), size - macBytes);
    std::string_view rest = payload.substr(1);
    const auto id = static_cast<uint32_t>(readNumber(rest, 4));
    const auto key = std::ranges::find_if(m_keys, [&](const MacKey& candidate) { return candidate.id == id; });
    if (key == m_keys.end())
        return fail(ErrorCode::Unauthenticated, "The secret of the idempotency key is not known.");
    const Mac mac = computeMac(*key, payload);
    if (sodium_memcmp(mac.data(), raw.data() + payload.size(), macBytes) != 0)
        return fail(ErrorCode::Unauthenticated, "The idempotency key is not authentic.");

    IdempotencyKey opened;
    opened.text = text;
    opened.incarnation.value = readNumber(rest, 8);
    const uint64_t uptime = readNumber(rest, 8);
    std::copy_n(rest.begin(), opened.nonce.size(), opened.nonce.begin());
    rest.remove_prefix(opened.nonce.size());
    auto executor = readName(rest);
    auto service = readName(rest);
    if (!executor || !service || !rest.empty() || uptime > maxUptimeMs)
        return fail(ErrorCode::InvalidArgument, "The idempotency key is malformed.");
    opened.executorUptime = std::chrono::milliseconds(uptime);
    opened.executor = VmId(std::move(*executor));
    opened.service = ServiceName(std::move(*service));
    return opened;
}

KeyIssuer::Mac KeyIssuer::computeMac(const MacKey& key, std::string_view payload)
{
    Mac mac {};
    crypto_generichash(mac.data(), mac.size(), bytesOf(payload), payload.size(), key.bytes.data(), key.bytes.size());
    return mac;
}

}
