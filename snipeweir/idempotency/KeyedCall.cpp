#include "snipeweir/idempotency/KeyedCall.h"

namespace snipeweir {

KeyedStep KeyedCall::onNoResponse(Reason reason) const
{
    // For a repeat, it is not known whether an earlier attempt is still on its way to the executor.
    const bool neverSent = m_attempt == CallerAttempt::First && !m_hasSent;
    return { KeyedStep::Kind::Finish, neverSent ? Outcome::NotRun : Outcome::Unknown, reason, {} };
}

KeyedStep KeyedCall::onResponse(Outcome outcome, Reason reason, const std::string& successor)
{
    if (outcome != Outcome::NotRun || successor.empty())
        return { KeyedStep::Kind::Finish, outcome, reason, {} };
    // A repeat through another node may follow the successor and run it, so the chain must be followed to its end.
    if (m_successorsLeft == 0)
        return { KeyedStep::Kind::Finish, Outcome::Unknown, reason, {} };
    --m_successorsLeft;
    m_keyText = successor;
    return { KeyedStep::Kind::Send, Outcome::Unknown, Reason::None, m_keyText };
}

}
