#include "snipeweir/idempotency/KeyLedger.h"

#include <algorithm>
#include <cassert>

namespace snipeweir {

namespace {

    bool isValid(const KeyLedgerSettings& settings)
    {
        return !settings.service.isEmpty() && settings.keyCount > 0 && settings.keyWindow.count() > 0
            && settings.futureTolerance.count() >= 0;
    }

}

Result<std::unique_ptr<KeyLedger>> KeyLedger::create(
    KeyLedgerSettings settings, VmId self, Incarnation selfIncarnation, const Clock& clock, SteadyTime startedAt)
{
    if (!isValid(settings) || self.isEmpty())
        return fail(ErrorCode::InvalidArgument, "Key ledger settings are out of range, or service or VM is not named.");
    return std::unique_ptr<KeyLedger>(
        new KeyLedger(std::move(settings), std::move(self), selfIncarnation, clock, startedAt));
}

KeyLedger::KeyLedger(
    KeyLedgerSettings settings, VmId self, Incarnation selfIncarnation, const Clock& clock, SteadyTime startedAt)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_selfIncarnation(selfIncarnation)
    , m_clock(clock)
    , m_startedAt(startedAt)
{
}

void KeyLedger::setSettings(const KeyLedgerSettings& settings)
{
    if (!isValid(settings) || settings.service != m_settings.service)
        return;
    // Expires by the old window first: entries removed under it must stay expired under a longer one.
    expire();
    m_settings = settings;
}

LedgerResult KeyLedger::begin(
    const IdempotencyKey& key, const std::optional<IdempotencyKey>& proposedSuccessor, uint64_t requestHash)
{
    if (auto result = rejectMisdirected(key))
        return *result;
    if (const auto known = m_entries.find(key.nonce); known != m_entries.end()) {
        const Entry& entry = known->second;
        // A different request must get neither the response nor the outcome of the first one.
        if (requestHash != 0 && entry.requestHash != 0 && requestHash != entry.requestHash)
            return { LedgerResult::Kind::Unknown, Reason::KeyInvalid, {}, nullptr };
        return resultOf(entry);
    }
    Entry entry;
    entry.requestHash = requestHash;
    LedgerResult result = insertEntry(key, std::move(entry), proposedSuccessor);
    if (result.kind == LedgerResult::Kind::AttachToRun)
        result.kind = LedgerResult::Kind::RunNow;
    return result;
}

LedgerResult KeyLedger::refuse(
    const IdempotencyKey& key, Reason reason, const std::optional<IdempotencyKey>& proposedSuccessor)
{
    if (auto result = rejectMisdirected(key))
        return *result;
    if (const auto known = m_entries.find(key.nonce); known != m_entries.end())
        return resultOf(known->second);
    Entry entry;
    entry.state = State::Sealed;
    entry.reason = reason;
    return insertEntry(key, std::move(entry), proposedSuccessor);
}

LedgerResult KeyLedger::insertEntry(
    const IdempotencyKey& key, Entry entry, const std::optional<IdempotencyKey>& successor)
{
    expire();
    const auto unknown = [](Reason reason) {
        return LedgerResult { LedgerResult::Kind::Unknown, reason, {}, nullptr };
    };
    // The entry of an expired key may have been removed after a run.
    if (key.executorUptime <= m_expiredThrough)
        return unknown(Reason::KeyExpired);

    const auto now = uptime();
    const bool isFull = m_entries.size() >= m_settings.keyCount;
    if (key.executorUptime > now + m_settings.futureTolerance) {
        // Sealed, so that the caller gets not_run and requests a new key. A key beyond the window would occupy its
        // entry for too long, and m_refusedThrough must not exceed the current uptime; in both cases the key may still
        // run later, so its outcome is unknown.
        if (isFull || key.executorUptime > now + m_settings.keyWindow)
            return unknown(Reason::KeyNotYetValid);
        entry.state = State::Sealed;
        entry.reason = Reason::KeyNotYetValid;
    } else if (isFull || key.executorUptime <= m_refusedThrough) {
        // A refusal must be permanent, but there is no room to record it. So all keys without an entry that were issued
        // up to this one are refused permanently: none of them has run, because entries of unexpired keys are never
        // removed.
        m_refusedThrough = std::max(m_refusedThrough, key.executorUptime);
        return { LedgerResult::Kind::Refused, Reason::KeyLedgerFull, {}, nullptr };
    }

    if (entry.state == State::Sealed)
        entry.successor = acceptedSuccessor(key, successor);
    entry.uptime = key.executorUptime;
    m_expiries.emplace(entry.uptime, key.nonce);
    return resultOf(m_entries.emplace(key.nonce, std::move(entry)).first->second);
}

LedgerResult KeyLedger::seal(const IdempotencyKey& key, Reason reason, const std::optional<IdempotencyKey>& successor)
{
    const auto position = m_entries.find(key.nonce);
    if (position == m_entries.end())
        return refuse(key, reason, successor);
    Entry& entry = position->second;
    if (entry.state == State::Running) {
        entry.state = State::Sealed;
        entry.reason = reason;
        entry.successor = acceptedSuccessor(key, successor);
    }
    LedgerResult result = resultOf(entry);
    removeIfExpired(position);
    return result;
}

void KeyLedger::finish(const IdempotencyKey& key, std::optional<StoredResponse> response)
{
    const auto position = m_entries.find(key.nonce);
    if (position == m_entries.end())
        return;
    Entry& entry = position->second;
    assert(entry.state != State::Sealed);
    if (entry.state != State::Running && entry.state != State::UnknownOutcome)
        return;
    entry.state = State::Done;
    entry.reason = Reason::None;
    const size_t bytes = response ? response->size() : 0;
    if (response && bytes <= m_settings.keptResponseBytes
        && m_keptBytes + bytes <= m_settings.keptResponsesTotalBytes) {
        m_keptBytes += bytes;
        entry.response = std::make_shared<const StoredResponse>(std::move(*response));
    }
    removeIfExpired(position);
}

void KeyLedger::finishUnknown(const IdempotencyKey& key, Reason reason)
{
    const auto position = m_entries.find(key.nonce);
    if (position == m_entries.end() || position->second.state != State::Running)
        return;
    position->second.state = State::UnknownOutcome;
    position->second.reason = reason;
    removeIfExpired(position);
}

LedgerResult KeyLedger::lookUp(const IdempotencyKey& key) const
{
    if (auto result = rejectMisdirected(key))
        return *result;
    if (const auto known = m_entries.find(key.nonce); known != m_entries.end())
        return resultOf(known->second);
    if (key.executorUptime <= std::max(m_expiredThrough, uptime() - m_settings.keyWindow))
        return { LedgerResult::Kind::Unknown, Reason::KeyExpired, {}, nullptr };
    if (key.executorUptime <= m_refusedThrough)
        return { LedgerResult::Kind::Refused, Reason::KeyLedgerFull, {}, nullptr };
    return { LedgerResult::Kind::Absent, Reason::None, {}, nullptr };
}

void KeyLedger::expire()
{
    m_expiredThrough = std::max(m_expiredThrough, uptime() - m_settings.keyWindow);
    while (!m_expiries.empty() && m_expiries.top().first <= m_expiredThrough) {
        const auto position = m_entries.find(m_expiries.top().second);
        m_expiries.pop();
        if (position == m_entries.end())
            continue;
        position->second.hasExpired = true;
        removeIfExpired(position);
    }
}

std::optional<LedgerResult> KeyLedger::rejectMisdirected(const IdempotencyKey& key) const
{
    // Only the executor in the key knows whether it ran.
    if (key.executor != m_self)
        return LedgerResult { LedgerResult::Kind::Unknown, Reason::WrongEndpoint, {}, nullptr };
    if (key.incarnation != m_selfIncarnation)
        return LedgerResult { LedgerResult::Kind::Unknown, Reason::ExecutorGone, {}, nullptr };
    // This process is the only possible executor and never runs the key, so not_run is certain.
    if (key.service != m_settings.service)
        return LedgerResult { LedgerResult::Kind::Refused, Reason::KeyInvalid, {}, nullptr };
    return std::nullopt;
}

LedgerResult KeyLedger::resultOf(const Entry& entry) const
{
    switch (entry.state) {
    case State::Running:
        return { LedgerResult::Kind::AttachToRun, Reason::None, {}, nullptr };
    case State::Sealed:
        return { LedgerResult::Kind::Sealed, entry.reason, entry.successor, nullptr };
    case State::UnknownOutcome:
        return { LedgerResult::Kind::Unknown, entry.reason, {}, nullptr };
    case State::Done:
        break;
    }
    if (entry.response)
        return { LedgerResult::Kind::Stored, Reason::None, {}, entry.response };
    return { LedgerResult::Kind::Unknown, Reason::ResponseNotKept, {}, nullptr };
}

std::string KeyLedger::acceptedSuccessor(
    const IdempotencyKey& key, const std::optional<IdempotencyKey>& successor) const
{
    // A successor for this process would lead back to the ledger that has just refused the call.
    if (!successor || successor->nonce == key.nonce || successor->service != key.service
        || (successor->executor == m_self && successor->incarnation == m_selfIncarnation))
        return {};
    return successor->text;
}

std::chrono::milliseconds KeyLedger::uptime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startedAt);
}

void KeyLedger::removeIfExpired(std::unordered_map<KeyNonce, Entry, NonceHash>::iterator position)
{
    Entry& entry = position->second;
    if (!entry.hasExpired || entry.state == State::Running)
        return;
    if (entry.response)
        m_keptBytes -= entry.response->size();
    m_entries.erase(position);
}

}
