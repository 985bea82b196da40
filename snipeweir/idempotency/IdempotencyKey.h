#pragma once

#include "snipeweir/core/Identity.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace snipeweir {

/// Maximum length of an idempotency key's text, in bytes.
constexpr size_t maxKeyTextBytes = 200;

/// Random part of a key. Two keys never share one, so it identifies the key in the ledger.
using KeyNonce = std::array<uint8_t, 16>;

/// An authentic idempotency key, as KeyIssuer::open() returns it.
struct IdempotencyKey {
    /// Text that callers send; URL-safe characters.
    std::string text;
    ServiceName service;
    /// The only VM that may run the key, and the incarnation of its node process.
    VmId executor;
    Incarnation incarnation;
    /// The issuer's estimate of the executor's uptime at issue.
    std::chrono::milliseconds executorUptime { 0 };
    KeyNonce nonce {};
};

}
