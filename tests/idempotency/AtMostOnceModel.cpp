#include "AtMostOnceModel.h"

#include <algorithm>
#include <array>
#include <memory>

namespace snipeweir {

namespace {

    using Kind = LedgerResult::Kind;
    constexpr auto window = std::chrono::seconds(600);
    constexpr auto uptimeAtIssue = std::chrono::seconds(1000);

    // All ledgers read this clock; it is set to the model's own time before each step.
    ManualClock sharedClock;

    /// Key 0 is the caller's, for executor 0. Keys 1 and 2 are for executor 1, proposed by the calling nodes of the
    /// attempts 0 and 1.
    const std::vector<IdempotencyKey>& keys()
    {
        static const std::vector<IdempotencyKey> all = [] {
            const auto issuer = KeyIssuer::create({ { { 1, std::string(32, 'a') } }, {} }).value();
            std::vector<IdempotencyKey> issued;
            for (const char* vm : { "vm-0", "vm-1", "vm-1" })
                issued.push_back(issuer->open(issuer->issue(ServiceName("s"), VmId(vm), { 1 }, uptimeAtIssue)).value());
            return issued;
        }();
        return all;
    }

    /// Sorts messages, because states that differ only in their order are the same state.
    template <typename Items> void sortByOrder(Items& items)
    {
        std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) { return a.order() < b.order(); });
    }

    size_t executorOf(size_t key) { return key == 0 ? 0 : 1; }

    size_t keyOf(const std::string& text)
    {
        const auto position = std::ranges::find(keys(), text, &IdempotencyKey::text);
        return static_cast<size_t>(position - keys().begin());
    }

}

AtMostOnceModel::AtMostOnceModel(ModelBounds bounds, Rule disabledRule)
    : m_bounds(bounds)
    , m_disabledRule(disabledRule)
{
    sharedClock = ManualClock();
    m_now = sharedClock.now();
    for (int i = 0; i < bounds.attempts; ++i) {
        const bool isFirst = i == 0 || disabledRule == Rule::RepeatIsUnknown;
        m_attempts.push_back({ Phase::NotStarted, false,
            KeyedCall(keys()[0].text, isFirst ? CallerAttempt::First : CallerAttempt::Repeat, 2) });
    }
    for (size_t i = 0; i < 2; ++i) {
        const SteadyTime startedAt = m_now - uptimeAtIssue;
        m_executors.emplace_back(makeLedger(i, 1, startedAt, i == 0 && bounds.isFullAtFirst), 1, startedAt);
    }
}

KeyLedger AtMostOnceModel::makeLedger(size_t executor, uint64_t incarnation, SteadyTime startedAt, bool isFull)
{
    KeyLedgerSettings settings;
    settings.service = ServiceName("s");
    settings.keyCount = isFull ? 1 : 10;
    settings.keyWindow = window;
    const VmId vm(executor == 0 ? "vm-0" : "vm-1");
    KeyLedger ledger = *KeyLedger::create(settings, vm, { incarnation }, sharedClock, startedAt).value();
    if (isFull) {
        // Expires after half a window, before the keys of the model do.
        IdempotencyKey filler = keys()[0];
        filler.nonce.fill(0);
        filler.executorUptime -= window / 2;
        ledger.refuse(filler, Reason::Draining);
    }
    return ledger;
}

std::vector<AtMostOnceModel::Event> AtMostOnceModel::events() const
{
    std::vector<Event> all;
    const auto add = [&](bool isPossible, Action action, size_t index) {
        if (isPossible)
            all.push_back({ action, index });
    };
    for (size_t i = 0; i < m_attempts.size(); ++i) {
        const Attempt& attempt = m_attempts[i];
        // A caller repeats after an unknown outcome, or after it closed the connection of the earlier attempt.
        const bool mayStart = i == 0 || m_attempts[i - 1].isAbandoned
            || m_attempts[i - 1].phase == (m_disabledRule == Rule::OneSendAtATime ? Phase::Ready : Phase::Ended);
        add(attempt.phase == Phase::NotStarted && mayStart && !m_hasReportedNotRun && !m_hasReportedDone, Action::Start,
            i);
        const bool isOpen = attempt.phase == Phase::Ready || attempt.phase == Phase::Waiting;
        add(isOpen && !attempt.isAbandoned, Action::Abandon, i);
        add(attempt.phase == Phase::Ready, Action::ConnectFails, i);
        add(attempt.phase == Phase::Ready, Action::Send, i);
        add(attempt.phase == Phase::Waiting && m_bounds.resends > 0, Action::Resend, i);
        add(attempt.phase == Phase::Waiting, Action::GiveUp, i);
    }
    for (size_t i = 0; i < m_requests.size(); ++i) {
        for (const Action action : { Action::DeliverAndRun, Action::DeliverAndRefuse, Action::DeliverAndSeal })
            add(true, action, i);
    }
    for (size_t i = 0; i < m_responses.size(); ++i)
        add(true, Action::DeliverAnswer, i);
    for (size_t i = 0; i < m_work.size(); ++i) {
        add(!m_work[i].hasRun, Action::BackendRuns, i);
        add(!m_work[i].hasRun && m_work[i].isAlive, Action::BackendSheds, i);
        add(m_work[i].hasRun && m_work[i].isAlive, Action::BackendAnswers, i);
        add(m_work[i].isAlive, Action::BackendIsLost, i);
    }
    for (size_t i = 0; i < m_executors.size(); ++i) {
        add(m_bounds.restarts > 0, Action::Restart, i);
        add(m_bounds.restarts > 0 && m_disabledRule == Rule::NoEarlyEviction, Action::Evict, i);
    }
    add(m_bounds.halfWindows > 0, Action::TimePasses, 0);
    return all;
}

void AtMostOnceModel::apply(const Event& event)
{
    sharedClock.moveTo(m_now);
    m_trace.push_back(event);
    const size_t i = event.index;
    switch (event.action) {
    case Action::Start:
        m_attempts[i].phase = Phase::Ready;
        break;
    case Action::Abandon:
        m_attempts[i].isAbandoned = true;
        break;
    case Action::ConnectFails: {
        KeyedStep next = m_attempts[i].call.onNoResponse(Reason::EndpointUnreachable);
        if (m_disabledRule == Rule::ChainIsFollowedToItsEnd && keyOf(m_attempts[i].call.keyText()) != 0)
            next.outcome = Outcome::NotRun;
        step(i, next);
        break;
    }
    case Action::Resend:
        --m_bounds.resends;
        send(i);
        break;
    case Action::Send:
        send(i);
        break;
    case Action::GiveUp: {
        KeyedStep next = m_attempts[i].call.onNoResponse(Reason::NoProgress);
        if (m_disabledRule == Rule::SentIsUnknown)
            next.outcome = Outcome::NotRun;
        step(i, next);
        break;
    }
    case Action::DeliverAndRun:
    case Action::DeliverAndRefuse:
    case Action::DeliverAndSeal: {
        const Request request = m_requests[i];
        m_requests.erase(m_requests.begin() + static_cast<long>(i));
        deliver(request, event.action);
        break;
    }
    case Action::DeliverAnswer:
        receive(i);
        break;
    case Action::BackendRuns:
        m_work[i].hasRun = true;
        break;
    case Action::BackendSheds:
    case Action::BackendAnswers:
    case Action::BackendIsLost:
        endWork(i, event.action);
        break;
    case Action::Restart:
    case Action::Evict: {
        --m_bounds.restarts;
        Executor& executor = m_executors[i];
        const bool isRestart = event.action == Action::Restart;
        const uint64_t incarnation = executor.incarnation + (isRestart ? 1 : 0);
        const SteadyTime startedAt = isRestart ? m_now : executor.startedAt;
        std::destroy_at(&executor);
        std::construct_at(&executor, makeLedger(i, incarnation, startedAt, false), incarnation, startedAt);
        if (!isRestart)
            break;
        std::erase_if(m_attached, [&](const Request& request) { return executorOf(request.key) == i; });
        // What was forwarded may still run at the backend server.
        for (Work& work : m_work)
            work.isAlive = work.isAlive && executorOf(work.request.key) != i;
        break;
    }
    case Action::TimePasses:
        --m_bounds.halfWindows;
        m_now += window / 2;
        sharedClock.moveTo(m_now);
        for (Executor& executor : m_executors)
            executor.ledger.expire();
        break;
    }
    sortByOrder(m_requests);
    sortByOrder(m_responses);
    sortByOrder(m_attached);
    sortByOrder(m_work);
}

void AtMostOnceModel::send(size_t attempt)
{
    Attempt& sender = m_attempts[attempt];
    sender.call.onSending();
    sender.phase = Phase::Waiting;
    const size_t key = keyOf(sender.call.keyText());
    m_requests.push_back({ attempt, key, key == 0 && attempt < 2 ? std::optional(attempt + 1) : std::nullopt });
}

IdempotencyKey AtMostOnceModel::presentedKey(size_t key, const Executor& executor) const
{
    IdempotencyKey presented = keys()[key];
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - executor.startedAt);
    if (m_disabledRule == Rule::IncarnationIsChecked && presented.incarnation.value != executor.incarnation) {
        presented.incarnation.value = executor.incarnation;
        presented.executorUptime = uptime;
    }
    if (m_disabledRule == Rule::ExpiredKeysDoNotRun || m_disabledRule == Rule::FullLedgerRefusesPermanently)
        presented.executorUptime = uptime;
    return presented;
}

std::optional<IdempotencyKey> AtMostOnceModel::proposalOf(const Request& request) const
{
    return request.proposal ? std::optional(keys()[*request.proposal]) : std::nullopt;
}

void AtMostOnceModel::deliver(Request request, Action action)
{
    Executor& executor = m_executors[executorOf(request.key)];
    const IdempotencyKey key = presentedKey(request.key, executor);
    const auto proposal = proposalOf(request);
    if (action == Action::DeliverAndRefuse) {
        if (m_disabledRule == Rule::RefusalSeals && executor.ledger.lookUp(key).kind == Kind::Absent)
            respond(request, { Kind::Refused, Reason::Draining, {}, nullptr });
        else if (m_disabledRule == Rule::OnlyOwnerSeals)
            respond(request, executor.ledger.seal(key, Reason::Draining, proposal));
        else
            respond(request, executor.ledger.refuse(key, Reason::Draining, proposal));
        return;
    }
    LedgerResult result = m_disabledRule == Rule::EntryBeforeForwarding ? executor.ledger.lookUp(key)
                                                                        : executor.ledger.begin(key, proposal);
    if (result.kind != Kind::RunNow && result.kind != Kind::Absent)
        respond(request, result);
    else if (action == Action::DeliverAndRun)
        m_work.push_back({ request, true, false });
    else
        respond(request, executor.ledger.seal(key, Reason::QueueFull, proposal));
}

void AtMostOnceModel::respond(const Request& request, const LedgerResult& result)
{
    switch (result.kind) {
    case Kind::AttachToRun:
        m_attached.push_back(request);
        return;
    case Kind::Stored:
        m_responses.push_back({ request.attempt, request.key, Outcome::Done, {} });
        return;
    case Kind::Sealed:
    case Kind::Refused: {
        std::string successor = result.successor;
        if (m_disabledRule == Rule::FirstSuccessorStays && !successor.empty() && request.proposal)
            successor = keys()[*request.proposal].text;
        m_responses.push_back({ request.attempt, request.key, Outcome::NotRun, successor });
        return;
    }
    default:
        m_responses.push_back({ request.attempt, request.key, Outcome::Unknown, {} });
    }
}

void AtMostOnceModel::endWork(size_t index, Action action)
{
    Work& work = m_work[index];
    const Request owner = work.request;
    KeyLedger& ledger = m_executors[executorOf(owner.key)].ledger;
    const IdempotencyKey key = presentedKey(owner.key, m_executors[executorOf(owner.key)]);
    if (m_disabledRule == Rule::EntryBeforeForwarding)
        ledger.begin(key);
    work.isAlive = false;
    LedgerResult result { Kind::Unknown, Reason::ConnectionLost, {}, nullptr };
    if (action == Action::BackendAnswers) {
        result = { Kind::Stored, Reason::None, {}, nullptr };
        // With a rule disabled, the key may have been sealed during its run, which KeyLedger::finish() asserts against.
        if (ledger.lookUp(key).kind != Kind::Sealed)
            ledger.finish(key, StoredResponse {});
    } else if (action == Action::BackendIsLost) {
        ledger.finishUnknown(key, Reason::ConnectionLost);
    } else {
        m_work.erase(m_work.begin() + static_cast<long>(index));
        result = ledger.seal(key, Reason::BackendShed, proposalOf(owner));
    }
    respond(owner, result);
    for (const Request& attached : m_attached) {
        if (attached.key == owner.key)
            respond(attached, result);
    }
    std::erase_if(m_attached, [&](const Request& attached) { return attached.key == owner.key; });
}

void AtMostOnceModel::receive(size_t index)
{
    const Response response = m_responses[index];
    m_responses.erase(m_responses.begin() + static_cast<long>(index));
    Attempt& attempt = m_attempts[response.attempt];
    // A late response on a connection that the calling node has abandoned.
    if (attempt.phase != Phase::Waiting || keyOf(attempt.call.keyText()) != response.key)
        return;
    step(response.attempt, attempt.call.onResponse(response.outcome, Reason::None, response.successor));
}

void AtMostOnceModel::step(size_t attempt, const KeyedStep& next)
{
    Attempt& caller = m_attempts[attempt];
    if (next.kind == KeyedStep::Kind::Send) {
        caller.phase = Phase::Ready;
        return;
    }
    caller.phase = Phase::Ended;
    if (caller.isAbandoned)
        return;
    m_hasReportedNotRun = m_hasReportedNotRun || next.outcome == Outcome::NotRun;
    m_hasReportedDone = m_hasReportedDone || next.outcome == Outcome::Done;
}

int AtMostOnceModel::runs() const
{
    return static_cast<int>(std::ranges::count_if(m_work, [](const Work& work) { return work.hasRun; }));
}

bool AtMostOnceModel::hasRunSuccessor() const
{
    return std::ranges::any_of(m_work, [](const Work& work) { return work.hasRun && work.request.key != 0; });
}

std::string AtMostOnceModel::violation() const
{
    if (runs() > 1)
        return "ran twice";
    if (m_hasReportedNotRun && runs() > 0)
        return "not_run was reported, but the call ran";
    if (m_hasReportedDone && runs() == 0)
        return "done was reported, but the call did not run";
    return {};
}

std::string AtMostOnceModel::digest() const
{
    sharedClock.moveTo(m_now);
    std::string text;
    const auto add = [&](auto value) { text.push_back(static_cast<char>('0' + static_cast<int>(value))); };
    const auto addRequest = [&](const Request& request) {
        add(request.attempt);
        add(request.key);
        add(request.proposal ? *request.proposal : 0);
    };
    for (const Attempt& attempt : m_attempts) {
        add(attempt.phase);
        add(attempt.isAbandoned);
        add(keyOf(attempt.call.keyText()));
        // Shows whether the node has sent the call, which decides whether it may report not_run later.
        add(attempt.call.onNoResponse(Reason::None).outcome);
    }
    for (const Executor& executor : m_executors) {
        add(executor.incarnation);
        for (const IdempotencyKey& key : keys()) {
            const LedgerResult result = executor.ledger.lookUp(key);
            add(result.kind);
            add(result.reason);
            add(keyOf(result.successor));
            add(executor.ledger.size());
        }
    }
    for (const Request& request : m_requests)
        addRequest(request);
    text += '/';
    for (const Response& response : m_responses) {
        add(response.attempt);
        add(response.key);
        add(response.outcome);
        add(keyOf(response.successor));
    }
    text += '/';
    for (const Request& request : m_attached)
        addRequest(request);
    text += '/';
    for (const Work& work : m_work) {
        addRequest(work.request);
        add(work.isAlive);
        add(work.hasRun);
    }
    add(m_hasReportedNotRun);
    add(m_hasReportedDone);
    add(m_bounds.resends);
    add(m_bounds.restarts);
    add(m_bounds.halfWindows);
    return text;
}

std::string AtMostOnceModel::trace() const
{
    constexpr std::array<const char*, 17> names { "Start", "Abandon", "ConnectFails", "Send", "Resend", "GiveUp",
        "DeliverAndRun", "DeliverAndRefuse", "DeliverAndSeal", "DeliverAnswer", "BackendRuns", "BackendSheds",
        "BackendAnswers", "BackendIsLost", "Restart", "Evict", "TimePasses" };
    std::string text;
    for (const Event& event : m_trace)
        text += std::string(names.at(static_cast<size_t>(event.action))) + " " + std::to_string(event.index) + "; ";
    return text;
}

}
