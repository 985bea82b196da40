#pragma once

#include "snipeweir/core/Result.h"
#include "snipeweir/idempotency/IdempotencyKey.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace snipeweir {

/// A shared secret of the fleet (control_keys).
struct KeySecret {
    uint32_t id = 0;
    /// Raw bytes, 16 to 64.
    std::string bytes;
};

/// Settings of KeyIssuer.
struct KeyIssuerSettings {
    /// One secret, or two during a rotation. Keys are issued under the first and accepted under both. The second must
    /// be kept for at least key_window_ms; otherwise keys that have run can no longer be opened.
    std::vector<KeySecret> secrets;
    /// Source of nonces for replays; by default the operating system's random source.
    std::function<void(KeyNonce&)> fillNonce;
};

/// Issues idempotency keys, and verifies and decodes their texts. A MAC (keyed BLAKE2b) protects the key, including its
/// executor, so that any node can issue a key and any node can verify it. Immutable after creation; thread-safe if
/// fillNonce is.
class KeyIssuer {
public:
    /// @param settings One or two secrets with different ids.
    /// @return The issuer, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<KeyIssuer>> create(KeyIssuerSettings settings);

    /// @param service Service that the key is for.
    /// @param executor VM that may run it.
    /// @param incarnation Incarnation of that VM's node process.
    /// @param executorUptime Estimate of that process's uptime now: the last reported uptime plus the report's age.
    /// @return Text of a new key; empty if the two names are too long for a key (95 bytes together).
    std::string issue(const ServiceName& service, const VmId& executor, Incarnation incarnation,
        std::chrono::milliseconds executorUptime) const;

    /// @param text Text from a caller.
    /// @return The key. ErrorCode::TooLarge or ErrorCode::InvalidArgument if the text can never have been a key.
    /// ErrorCode::Unauthenticated if its secret is not known here or the MAC differs: a key under a secret that was
    /// rotated out may have run, so its outcome is unknown rather than not_run.
    Result<IdempotencyKey> open(std::string_view text) const;

private:
    struct MacKey {
        uint32_t id = 0;
        std::array<uint8_t, 32> bytes {};
    };
    using Mac = std::array<uint8_t, 16>;

    KeyIssuer() = default;

    static Mac computeMac(const MacKey& key, std::string_view payload);

    std::vector<MacKey> m_keys;
    std::function<void(KeyNonce&)> m_fillNonce;
};

}
