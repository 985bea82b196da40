/* Spin model of keyed calls with one key of a caller, two possible successor keys, two executors and two sends by the
   caller. It specifies the rules of section 5.4 of docs/design.md independently of the C++ code. Each of these macros
   disables one rule, and the verifier must then find an assertion violation:
     NO_INCARNATION_CHECK              a restarted executor runs keys that name its earlier incarnation
     NO_LEDGER_ENTRY                   a call is forwarded without marking its key as running
     NO_SEAL                           a refusal does not seal the key
     RETURN_PROPOSED_SUCCESSOR         a sealed key answers with the proposed successor instead of the recorded one
     UNREACHABLE_SUCCESSOR_IS_NOT_RUN  an executor that cannot be reached through a successor key gives not_run
     UNREACHABLE_REPEAT_IS_NOT_RUN     an executor that cannot be reached gives not_run for a repeat, too
     GIVE_UP_IS_NOT_RUN                giving up after a send gives not_run
     OVERLAPPING_SENDS                 the caller repeats while it still waits for its first send */

#define ABSENT 0
#define RUNNING 1
#define DONE 2
#define SEALED 3
#define LOST 4

#define NONE 0
#define O_DONE 1
#define O_NOT_RUN 2
#define O_UNKNOWN 3

/* Key 0 is the caller's key, for executor 0. Keys 1 and 2, for executor 1, are the successors that attempts 0 and 1
   propose. */
#define EXECUTOR(k) ((k) == 0 -> 0 : 1)

byte state[3];
byte successor[3];
byte forwarded[3];      /* calls forwarded to the backend server that have not run yet */
bit attached[6];        /* at attempt * 3 + key: the attempt waits for the end of the key's run */
bit restarted[2];
byte restartsLeft = 1;
byte resendsLeft = 1;
byte runs;
bit reportedNotRun, reportedDone;
bit abandoned[2], ended[2];

chan request[2] = [4] of { byte, byte };        /* attempt, key */
chan answer[2] = [4] of { byte, byte, byte };   /* key, outcome, successor */

/* A message to a full channel is lost. Any other loss is modelled as a message that is never received. */
inline reply(a, k, outcome, next)
{
    if
    :: nfull(answer[a]) -> answer[a]!k, outcome, next
    :: full(answer[a]) -> skip
    fi
}

inline endRun(k, outcome, next)
{
    if :: attached[k] -> attached[k] = 0; reply(0, k, outcome, next) :: else fi;
    if :: attached[3 + k] -> attached[3 + k] = 0; reply(1, k, outcome, next) :: else fi
}

inline sealKey(a, k)
{
    state[k] = SEALED;
    if
    :: k == 0 -> successor[k] = a + 1
    :: k == 0 -> successor[k] = 0
    :: k != 0 -> successor[k] = 0
    fi
}

inline reportOutcome(a, outcome)
{
    ended[a] = 1;
    if
    :: abandoned[a] -> skip
    :: else ->
        if
        :: outcome == O_NOT_RUN -> reportedNotRun = 1; assert(runs == 0)
        :: outcome == O_DONE -> reportedDone = 1; assert(runs == 1)
        :: else
        fi
    fi
}

inline handleRequest(a, k)
{
    if
#ifndef NO_INCARNATION_CHECK
    :: restarted[EXECUTOR(k)] -> reply(a, k, O_UNKNOWN, 0)
    :: !restarted[EXECUTOR(k)] && state[k] == ABSENT ->
#else
    :: state[k] == ABSENT ->
#endif
        if
        :: forwarded[k] < 2 ->
            forwarded[k]++;
            attached[a * 3 + k] = 1;
#ifndef NO_LEDGER_ENTRY
            state[k] = RUNNING
#endif
        ::
#ifdef NO_SEAL
            reply(a, k, O_NOT_RUN, 0)
#else
            sealKey(a, k);
            reply(a, k, O_NOT_RUN, successor[k])
#endif
        fi
    :: !restarted[EXECUTOR(k)] && state[k] == RUNNING -> attached[a * 3 + k] = 1
    :: !restarted[EXECUTOR(k)] && state[k] == DONE -> reply(a, k, O_DONE, 0)
    :: !restarted[EXECUTOR(k)] && state[k] == LOST -> reply(a, k, O_UNKNOWN, 0)
    :: !restarted[EXECUTOR(k)] && state[k] == SEALED ->
#ifdef RETURN_PROPOSED_SUCCESSOR
        if
        :: successor[k] != 0 -> reply(a, k, O_NOT_RUN, a + 1)
        :: else -> reply(a, k, O_NOT_RUN, 0)
        fi
#else
        reply(a, k, O_NOT_RUN, successor[k])
#endif
    fi
}

/* A forwarded call may run at any later time, even after the executor restarted. */
active proctype Backend()
{
    byte k;
end:
    do
    :: atomic {
        select(k : 0 .. 2);
        if
        :: forwarded[k] > 0 ->
            if
            :: forwarded[k]--; runs++; assert(runs <= 1); assert(!reportedNotRun);
                if
                :: !restarted[EXECUTOR(k)] && state[k] != SEALED -> state[k] = DONE; endRun(k, O_DONE, 0)
                :: else
                fi
            :: !restarted[EXECUTOR(k)] && state[k] == RUNNING -> state[k] = LOST; endRun(k, O_UNKNOWN, 0)
            :: !restarted[EXECUTOR(k)] && state[k] == RUNNING ->
                forwarded[k]--; sealKey(0, k); endRun(k, O_NOT_RUN, successor[k])
            fi
        :: else
        fi
    }
    od
}

proctype Executor(byte e)
{
    byte a, k;
end:
    do
    /* Messages of different attempts may be reordered. */
    :: atomic { request[e]??[0, k] -> request[e]??0, k; a = 0; handleRequest(a, k) }
    :: atomic { request[e]??[1, k] -> request[e]??1, k; a = 1; handleRequest(a, k) }
    :: atomic {
        restartsLeft > 0 && !restarted[e] ->
        restartsLeft--;
        restarted[e] = 1;
        for (k : 0 .. 2) {
            if
            :: EXECUTOR(k) == e -> state[k] = ABSENT; attached[k] = 0; attached[3 + k] = 0
            :: else
            fi
        }
    }
    od
}

/* The calling node that handles one attempt. */
proctype CallingNode(byte a)
{
    byte key = 0, outcome, next;
    bit hasSent = 0;
ready:
    if
    :: atomic {     /* No connection. */
        if
#ifdef UNREACHABLE_REPEAT_IS_NOT_RUN
        :: !hasSent -> reportOutcome(a, O_NOT_RUN)
#else
        :: !hasSent && a == 0 -> reportOutcome(a, O_NOT_RUN)
#endif
        :: else ->
#ifdef UNREACHABLE_SUCCESSOR_IS_NOT_RUN
            if :: key != 0 -> reportOutcome(a, O_NOT_RUN) :: else -> reportOutcome(a, O_UNKNOWN) fi
#else
            reportOutcome(a, O_UNKNOWN)
#endif
        fi;
        goto finished
    }
    :: atomic { hasSent = 1; request[EXECUTOR(key)]!a, key }
    fi;
waiting:
    if
    :: atomic {
        answer[a]??eval(key), outcome, next ->
        if
        :: outcome == O_NOT_RUN && next != 0 -> key = next; goto ready
        :: else -> reportOutcome(a, outcome); goto finished
        fi
    }
    :: atomic { resendsLeft > 0 -> resendsLeft--; request[EXECUTOR(key)]!a, key; goto waiting }
    :: atomic {     /* Gives up. */
#ifdef GIVE_UP_IS_NOT_RUN
        reportOutcome(a, O_NOT_RUN);
#else
        reportOutcome(a, O_UNKNOWN);
#endif
        goto finished
    }
    fi;
finished:
    skip
}

init
{
    atomic { run Executor(0); run Executor(1); run CallingNode(0) };
    /* The caller repeats the call after an unknown outcome, or after it has closed the connection of its first send. */
    if
    :: atomic { ended[0] && !reportedNotRun && !reportedDone -> run CallingNode(1) }
    :: atomic { !ended[0] ->
#ifndef OVERLAPPING_SENDS
        abandoned[0] = 1;
#endif
        run CallingNode(1) }
    :: atomic { reportedNotRun || reportedDone -> skip }
    fi
}
