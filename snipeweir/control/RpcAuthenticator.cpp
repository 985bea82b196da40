#include "snipeweir/control/RpcAuthenticator.h"

#include <charconv>
#include <sodium.h>

namespace snipeweir {

namespace {

    // Differs from the 16 bytes of a datagram MAC. BLAKE2b mixes the output length into the hash, so neither kind of
    // MAC is valid as the other, although both use the same keys.
    constexpr size_t macBytes = 32;
    constexpr size_t nonceDigits = 16;
    constexpr size_t maxVmBytes = 64;
    constexpr size_t maxHeaderBytes = 256;

    constexpr std::array<std::string_view, rpcRefusalCount> refusalNames { "mac_missing", "mac_malformed",
        "unknown_key", "bad_mac", "out_of_time", "replayed", "nonce_memory_full" };

    std::string hexOf(const unsigned char* data, size_t size)
    {
        std::string text(2 * size + 1, '\0');
        sodium_bin2hex(text.data(), text.size(), data, size);
        text.pop_back();
        return text;
    }

    std::string nonceText(uint64_t nonce)
    {
        std::array<unsigned char, sizeof nonce> bytes {};
        for (size_t i = 0; i < bytes.size(); ++i)
            bytes.at(i) = static_cast<unsigned char>(nonce >> (8 * (bytes.size() - 1 - i)));
        return hexOf(bytes.data(), bytes.size());
    }

    std::string computeMac(
        const std::string& context, std::string_view fields, std::string_view body, const ControlKey& key)
    {
        crypto_generichash_state state;
        const auto add = [&state](std::string_view text) {
            crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
        };
        crypto_generichash_init(
            &state, reinterpret_cast<const unsigned char*>(key.secret.data()), key.secret.size(), macBytes);
        add(context);
        add("\n");
        add(fields);
        add("\n");
        add(body);
        std::array<unsigned char, macBytes> mac {};
        crypto_generichash_final(&state, mac.data(), mac.size());
        return hexOf(mac.data(), mac.size());
    }

    template <typename Number> bool readNumber(std::string_view text, Number& number, int base = 10)
    {
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
        return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    }

    // Removes the last dot and the field after it, which is returned.
    std::optional<std::string_view> splitLastField(std::string_view& text)
    {
        const size_t dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const std::string_view last = text.substr(dot + 1);
        text = text.substr(0, dot);
        return last;
    }

    std::string requestContext(std::string_view to) { return "snipeweir rpc request\n" + std::string(to); }
    std::string responseContext(uint64_t nonce) { return "snipeweir rpc answer\n" + nonceText(nonce); }

    ErrorCode errorCodeFor(RpcRefusal refusal)
    {
        switch (refusal) {
        case RpcRefusal::OutOfTime:
            return ErrorCode::Stale;
        case RpcRefusal::Replayed:
            return ErrorCode::Replayed;
        case RpcRefusal::NonceMemoryFull:
            return ErrorCode::Unavailable;
        default:
            return ErrorCode::Unauthenticated;
        }
    }

}

struct RpcAuthenticator::Fields {
    uint8_t keyId = 0;
    std::string_view vm;
    int64_t signedMs = 0;
    uint64_t nonce = 0;
};

std::string_view rpcRefusalName(RpcRefusal refusal) { return refusalNames.at(static_cast<size_t>(refusal)); }

Result<std::unique_ptr<RpcAuthenticator>> RpcAuthenticator::create(
    RpcAuthenticatorSettings settings, VmId self, const Clock& clock)
{
    if (sodium_init() < 0)
        return fail(ErrorCode::Unavailable, "libsodium cannot be initialised.");
    if (self.isEmpty() || self.text().size() > maxVmBytes)
        return fail(ErrorCode::InvalidArgument, "A VM name needs 1 to 64 bytes.");
    if (settings.keys.empty())
        return fail(ErrorCode::InvalidArgument, "JSON-RPC between nodes needs a key.");
    for (const ControlKey& key : settings.keys) {
        if (key.secret.size() < crypto_generichash_KEYBYTES_MIN || key.secret.size() > crypto_generichash_KEYBYTES_MAX)
            return fail(ErrorCode::InvalidArgument, "A control key needs 16 to 64 bytes.");
    }
    return std::unique_ptr<RpcAuthenticator>(new RpcAuthenticator(std::move(settings), std::move(self), clock));
}

RpcAuthenticator::RpcAuthenticator(RpcAuthenticatorSettings settings, VmId self, const Clock& clock)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_clock(clock)
{
}

int64_t RpcAuthenticator::wallClockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch()).count();
}

RpcSignature RpcAuthenticator::sign(const std::string& context, std::string_view body) const
{
    const ControlKey& key = m_settings.keys.front();
    RpcSignature signature;
    randombytes_buf(&signature.nonce, sizeof signature.nonce);
    const std::string fields = std::to_string(key.id) + "." + m_self.text() + "." + std::to_string(wallClockMs()) + "."
        + nonceText(signature.nonce);
    signature.header = fields + "." + computeMac(context, fields, body, key);
    return signature;
}

RpcSignature RpcAuthenticator::signRequest(std::string_view to, std::string_view body) const
{
    return sign(requestContext(to), body);
}

std::string RpcAuthenticator::signResponse(uint64_t requestNonce, std::string_view body) const
{
    return sign(responseContext(requestNonce), body).header;
}

std::optional<RpcRefusal> RpcAuthenticator::verify(
    std::optional<std::string_view> header, const std::string& context, std::string_view body, Fields& fields) const
{
    if (!header)
        return RpcRefusal::Missing;
    if (header->size() > maxHeaderBytes)
        return RpcRefusal::Malformed;

    // The VM name may contain dots, so the fields after it are split off from the end.
    std::string_view rest = *header;
    const auto mac = splitLastField(rest);
    const std::string_view signedFields = rest;
    const auto nonce = splitLastField(rest);
    const auto time = splitLastField(rest);
    const size_t firstDot = rest.find('.');
    if (!mac || !nonce || !time || firstDot == std::string_view::npos)
        return RpcRefusal::Malformed;
    fields.vm = rest.substr(firstDot + 1);
    if (!readNumber(rest.substr(0, firstDot), fields.keyId) || fields.vm.empty() || fields.vm.size() > maxVmBytes
        || !readNumber(*time, fields.signedMs) || nonce->size() != nonceDigits || !readNumber(*nonce, fields.nonce, 16)
        || mac->size() != 2 * macBytes)
        return RpcRefusal::Malformed;

    for (const ControlKey& key : m_settings.keys) {
        if (key.id != fields.keyId)
            continue;
        const std::string expected = computeMac(context, signedFields, body, key);
        if (sodium_memcmp(expected.data(), mac->data(), expected.size()) != 0)
            return RpcRefusal::BadMac;
        const int64_t maxAgeMs = std::chrono::milliseconds(m_settings.maxAge).count();
        const int64_t now = wallClockMs();
        if (fields.signedMs < now - maxAgeMs || fields.signedMs > now + maxAgeMs)
            return RpcRefusal::OutOfTime;
        return std::nullopt;
    }
    return RpcRefusal::UnknownKey;
}

// Keeps a nonce for twice maxAge: a request stays acceptable for that long if the sender's clock is ahead by maxAge.
std::optional<RpcRefusal> RpcAuthenticator::recordNonce(uint64_t nonce)
{
    const std::lock_guard lock(m_mutex);
    const SteadyTime now = m_clock.now();
    while (!m_nonceOrder.empty() && now - m_nonceOrder.front().first > 2 * m_settings.maxAge) {
        m_nonces.erase(m_nonceOrder.front().second);
        m_nonceOrder.pop_front();
    }
    if (m_nonces.contains(nonce))
        return RpcRefusal::Replayed;
    if (m_nonces.size() >= m_settings.maxNoncesCount)
        return RpcRefusal::NonceMemoryFull;
    m_nonces.insert(nonce);
    m_nonceOrder.emplace_back(now, nonce);
    return std::nullopt;
}

boost::leaf::error_id RpcAuthenticator::refuse(RpcRefusal refusal)
{
    m_refusedCounts.at(static_cast<size_t>(refusal)).fetch_add(1, std::memory_order_relaxed);
    return fail(errorCodeFor(refusal), "The message is refused: " + std::string(rpcRefusalName(refusal)) + ".");
}

Result<RpcCaller> RpcAuthenticator::openRequest(
    std::optional<std::string_view> header, std::string_view self, std::string_view body)
{
    Fields fields;
    if (const auto refusal = verify(header, requestContext(self), body, fields))
        return refuse(*refusal);
    if (const auto refusal = recordNonce(fields.nonce))
        return refuse(*refusal);
    return RpcCaller { VmId(std::string(fields.vm)), fields.nonce };
}

// Responses need no nonce memory: each is bound to the nonce of one request, and a request has one response.
Result<VmId> RpcAuthenticator::openResponse(
    std::optional<std::string_view> header, uint64_t requestNonce, std::string_view body)
{
    Fields fields;
    if (const auto refusal = verify(header, responseContext(requestNonce), body, fields))
        return refuse(*refusal);
    return VmId(std::string(fields.vm));
}

uint64_t RpcAuthenticator::refusedCount(RpcRefusal refusal) const
{
    return m_refusedCounts.at(static_cast<size_t>(refusal)).load(std::memory_order_relaxed);
}

}
