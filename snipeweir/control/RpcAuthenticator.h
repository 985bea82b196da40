#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/ControlKey.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace snipeweir {

struct RpcAuthenticatorSettings {
    /// One key, or two during a key rotation. The first signs sent messages; received ones may use either.
    std::vector<ControlKey> keys;
    std::chrono::seconds maxAge { 30 }; ///< Maximum difference between the time of signing and this node's wall clock.
    /// Capacity of the nonce memory. A nonce is kept for twice maxAge, so the default allows 273 requests/s. While the
    /// memory is full, requests are refused: a request whose nonce was dropped early could be replayed.
    size_t maxNoncesCount = 16384;
};

/// Reason for refusing a request or a response. Refusals are counted per reason.
enum class RpcRefusal {
    Missing,
    Malformed,
    UnknownKey,
    BadMac,
    OutOfTime,
    Replayed,
    NonceMemoryFull,
};

constexpr size_t rpcRefusalCount = static_cast<size_t>(RpcRefusal::NonceMemoryFull) + 1;

/// @return Stable snake_case name for metrics.
std::string_view rpcRefusalName(RpcRefusal);

/// Value of the header Snipeweir-Mac, and the nonce in it.
struct RpcSignature {
    std::string header;
    uint64_t nonce = 0;
};

/// Authenticated sender of a request, and the nonce of that request.
struct RpcCaller {
    VmId vm;
    uint64_t nonce = 0;
};

/// Signs and verifies JSON-RPC requests and responses between nodes with the control keys, which also sign datagrams.
/// The header Snipeweir-Mac is "<key id>.<vm>.<unix ms>.<nonce>.<hex mac>". The keyed BLAKE2b MAC also covers the
/// direction, the body, and either the destination address of a request or the nonce of the request that a response
/// belongs to. A request is therefore valid at one address only, and a response for one request only. Safe for
/// concurrent use.
class RpcAuthenticator {
public:
    static constexpr const char* headerName = "Snipeweir-Mac";

    /// @return The authenticator, ErrorCode::InvalidArgument for invalid keys or an invalid VM name, or
    /// ErrorCode::Unavailable if libsodium cannot be initialised.
    static Result<std::unique_ptr<RpcAuthenticator>> create(RpcAuthenticatorSettings, VmId self, const Clock&);

    /// @param to Internal address of the node that the request is sent to, "ip:port".
    RpcSignature signRequest(std::string_view to, std::string_view body) const;

    /// @param header Value of the header; empty if absent.
    /// @param self Internal address of this node, "ip:port".
    /// @return The sender, or ErrorCode::Unauthenticated, Stale, Replayed or Unavailable (nonce memory full).
    Result<RpcCaller> openRequest(std::optional<std::string_view> header, std::string_view self, std::string_view body);

    /// @param requestNonce Nonce of the request that the response belongs to.
    /// @return Value of the header Snipeweir-Mac.
    std::string signResponse(uint64_t requestNonce, std::string_view body) const;

    /// @param header Value of the header; empty if absent.
    /// @param requestNonce Nonce of the request that this node sent.
    /// @return The VM that sent the response, or ErrorCode::Unauthenticated or Stale.
    Result<VmId> openResponse(std::optional<std::string_view> header, uint64_t requestNonce, std::string_view body);

    uint64_t refusedCount(RpcRefusal) const;

private:
    struct Fields;

    RpcAuthenticator(RpcAuthenticatorSettings, VmId self, const Clock&);
    RpcSignature sign(const std::string& context, std::string_view body) const;
    std::optional<RpcRefusal> verify(
        std::optional<std::string_view> header, const std::string& context, std::string_view body, Fields&) const;
    std::optional<RpcRefusal> recordNonce(uint64_t nonce);
    boost::leaf::error_id refuse(RpcRefusal);
    int64_t wallClockMs() const;

    const RpcAuthenticatorSettings m_settings;
    const VmId m_self;
    const Clock& m_clock;
    std::array<std::atomic<uint64_t>, rpcRefusalCount> m_refusedCounts {};

    // Guarded by m_mutex.
    std::mutex m_mutex;
    std::unordered_set<uint64_t> m_nonces;
    std::deque<std::pair<SteadyTime, uint64_t>> m_nonceOrder;
};

}
