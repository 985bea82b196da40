#pragma once

#include "snipeweir/idempotency/KeyIssuer.h"
#include "snipeweir/idempotency/KeyLedger.h"
#include "snipeweir/idempotency/KeyedCall.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace snipeweir {

/// A rule that the model can run without, to show that the checks find the violation that the rule prevents.
enum class Rule {
    None,
    IncarnationIsChecked,
    EntryBeforeForwarding,
    RefusalSeals,
    FirstSuccessorStays,
    OnlyOwnerSeals,
    ChainIsFollowedToItsEnd,
    NoEarlyEviction,
    ExpiredKeysDoNotRun,
    FullLedgerRefusesPermanently,
    SentIsUnknown,
    RepeatIsUnknown,
    OneSendAtATime,
};

/// Bounds on the events of one history.
struct ModelBounds {
    int attempts = 2;
    int resends = 1;
    int restarts = 1;
    int halfWindows = 2;
    /// Whether the first executor's ledger starts full.
    bool isFullAtFirst = false;
};

/// Model of one call with one key and its possible successors: two executors with the real KeyLedger, calling nodes
/// with the real KeyedCall, messages that are delivered late, twice or never, refusals, restarts, expiry and repeats by
/// the caller. A pause of a process is modelled as a delay of everything it does. A copy is an independent model.
class AtMostOnceModel {
public:
    AtMostOnceModel(ModelBounds bounds, Rule disabledRule);

    enum class Action {
        Start,
        Abandon,
        ConnectFails,
        Send,
        Resend,
        GiveUp,
        DeliverAndRun,
        DeliverAndRefuse,
        DeliverAndSeal,
        DeliverAnswer,
        BackendRuns,
        BackendSheds,
        BackendAnswers,
        BackendIsLost,
        Restart,
        Evict,
        TimePasses,
    };
    struct Event {
        Action action;
        size_t index;
    };

    /// @return All events that can happen next.
    std::vector<Event> events() const;
    void apply(const Event& event);

    /// @return Description of the violated property; empty if there is none.
    std::string violation() const;

    /// @return Text that is equal for states with the same future.
    std::string digest() const;
    std::string trace() const;

    int runs() const;
    bool hasReportedNotRun() const { return m_hasReportedNotRun; }
    bool hasReportedDone() const { return m_hasReportedDone; }
    /// @return Whether a successor key ran.
    bool hasRunSuccessor() const;

private:
    enum class Phase {
        NotStarted,
        Ready,
        Waiting,
        Ended,
    };
    struct Attempt {
        Phase phase = Phase::NotStarted;
        bool isAbandoned = false;
        KeyedCall call;
    };
    struct Executor {
        Executor(KeyLedger ownLedger, uint64_t ownIncarnation, SteadyTime start)
            : ledger(std::move(ownLedger))
            , incarnation(ownIncarnation)
            , startedAt(start)
        {
        }
        KeyLedger ledger;
        uint64_t incarnation;
        SteadyTime startedAt;
    };
    struct Request {
        size_t attempt;
        size_t key;
        std::optional<size_t> proposal;
        auto order() const { return std::tie(attempt, key, proposal); }
    };
    struct Response {
        size_t attempt;
        size_t key;
        Outcome outcome;
        std::string successor;
        auto order() const { return std::tie(attempt, key, outcome, successor); }
    };
    /// A call that was forwarded to a backend server.
    struct Work {
        Request request;
        bool isAlive;
        bool hasRun;
        auto order() const { return std::tuple(request.order(), isAlive, hasRun); }
    };

    static KeyLedger makeLedger(size_t executor, uint64_t incarnation, SteadyTime startedAt, bool isFull);
    IdempotencyKey presentedKey(size_t key, const Executor& executor) const;
    std::optional<IdempotencyKey> proposalOf(const Request& request) const;
    void send(size_t attempt);
    void deliver(Request request, Action action);
    void respond(const Request& request, const LedgerResult& result);
    void respondToWaiting(const Request& owner, const LedgerResult& result);
    void step(size_t attempt, const KeyedStep& step);
    void endWork(size_t index, Action action);
    void receive(size_t index);

    ModelBounds m_bounds;
    Rule m_disabledRule;
    SteadyTime m_now;
    std::vector<Attempt> m_attempts;
    std::vector<Executor> m_executors;
    std::vector<Request> m_requests;
    std::vector<Response> m_responses;
    std::vector<Request> m_attached;
    std::vector<Work> m_work;
    bool m_hasReportedNotRun = false;
    bool m_hasReportedDone = false;
    std::vector<Event> m_trace;
};

}
