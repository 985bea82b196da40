#pragma once

#include <chrono>
#include <cstdint>

namespace snipeweir {

/// Request for tokens of an organisation's quota, or the reply to one.
struct QuotaMessage {
    enum class Operation : uint8_t {
        /// A node asks its granter for tokens, to spend them.
        Take = 0,
        /// A granter asks the granter of another data centre for tokens of its bucket.
        Transfer = 1,
        /// A node has become granter and asks the one that may have been granter before to stop granting.
        Claim = 2,
        /// A granter whose view of the fleet is old asks whether another node can be reached.
        Probe = 3,
        /// A node has become granter and asks the granter of another data centre whether that one counts it in its
        /// shares.
        Join = 4,
    };

    enum class Status : uint8_t {
        /// Final reply; the tokens have been removed from the bucket.
        Granted = 0,
        /// The granter waits for tokens of other granters. A final reply follows.
        Pending = 1,
        /// The receiver isn't granter of the organisation or must not grant at present.
        Unavailable = 2,
    };

    /// Identifies the request; copied into the replies.
    uint64_t nonce = 0;
    // Fields of requests.
    Operation operation = Operation::Take;
    /// Hash of the organisation's name; see organisationHash().
    uint64_t organisation = 0;
    // Fields of replies.
    Status status = Status::Granted;
    /// Time before which there are no further tokens; zero if that is not known. In replies to Operation::Probe, the
    /// age of the sender's view of the fleet.
    std::chrono::milliseconds wait { 0 };
    /// Highest count of registered nodes that the sender remembers, in replies to Operation::Claim and Operation::Join;
    /// a granter that has just started has no memory of its own.
    uint32_t nodes = 0;
    // Field of both.
    /// Requested or granted tokens, in thousandths: small quotas are spread over data centres in parts of a token.
    uint32_t milliTokens = 0;

    bool operator==(const QuotaMessage&) const = default;
};

}
