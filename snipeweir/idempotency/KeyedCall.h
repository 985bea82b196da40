#pragma once

#include "snipeweir/core/CallTypes.h"

#include <cstdint>
#include <string>
#include <utility>

namespace snipeweir {

/// Whether the caller declared this to be its only attempt with the key (Snipeweir-Attempt: 1).
enum class CallerAttempt {
    First,
    Repeat,
};

/// What the calling node does next for a keyed call.
struct KeyedStep {
    enum class Kind {
        /// Send the call with keyText to the executor named in it.
        Send,
        /// Respond to the caller.
        Finish,
    };
    Kind kind = Kind::Finish;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::string keyText;
};

/// The calling node's rules for one keyed call: which outcome it may report and which key it may continue with. Only an
/// executor's ledger can guarantee that a key never runs; without its response, not_run is valid only for a first
/// attempt of which nothing was sent. Used by one thread.
class KeyedCall {
public:
    /// @param keyText Text of the caller's key.
    /// @param attempt What the caller declared; Repeat if it declared nothing.
    /// @param maxSuccessors Maximum number of successor keys to follow.
    KeyedCall(std::string keyText, CallerAttempt attempt, uint32_t maxSuccessors)
        : m_keyText(std::move(keyText))
        , m_attempt(attempt)
        , m_successorsLeft(maxSuccessors)
    {
    }

    /// @return Text of the key to send with.
    const std::string& keyText() const { return m_keyText; }

    /// Must be called once a connection is established, before the first byte is written to it.
    void onSending() { m_hasSent = true; }

    /// Ends the call without a response from the executor: it could not be reached, the connection was lost, or this
    /// node refuses the call itself. To retry with the same key, send again instead of calling this.
    /// @param reason Reason to report to the caller.
    /// @return The response to the caller: not_run only if the key can never have left this node.
    KeyedStep onNoResponse(Reason reason) const;

    /// Handles the executor's response.
    /// @param outcome Outcome in the response.
    /// @param reason Reason in the response.
    /// @param successor Text of the successor key in the response; empty if there is none. Must be one that the
    /// executor recorded, not one that was only proposed.
    /// @return The response to the caller, or the successor to send with.
    KeyedStep onResponse(Outcome outcome, Reason reason, const std::string& successor);

private:
    std::string m_keyText;
    CallerAttempt m_attempt;
    uint32_t m_successorsLeft;
    bool m_hasSent = false;
};

}
