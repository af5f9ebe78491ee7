/*
 * Work that may run once, passed on by a host that does not reach the endpoint.
 *
 * Host 0 has accepted the request. It asks the forwarders one after the other;
 * each may be cut off from the endpoint as well, may be killed or restarted at
 * any step, and its link to host 0 may break at any step. Bytes that a
 * forwarder has written reach the endpoint later, at any time, also after its
 * end. The caller is told at the end: served, not run, or unknown.
 *
 * Rules: the endpoint runs the request once at most, and never when the caller
 * is told that it has not run. Each -D switches one rule off.
 */

#define FORWARDERS 3

/* What a forwarder has done with the request. */
#define IDLE 0
#define ASKED 1                 /* The request has arrived. */
#define CHECKED 2               /* It may be sent; nothing was written. */
#define WRITTEN 3               /* Bytes for the endpoint have left. */
#define DONE 4

/* What host 0 has heard of the forwarder that it asked. */
#define NOTHING 0
#define DECLINED 1              /* Nothing was sent to the endpoint. */
#define ANSWERED 2
#define BROKEN 3                /* The link broke, or an answer without outcome. */

/* What the caller was told. */
#define OPEN 0
#define SERVED 1
#define NOT_RUN 2
#define UNKNOWN 3

byte stage[FORWARDERS];
bit reaches[FORWARDERS];
bit link_up[FORWARDERS];
byte heard[FORWARDERS];
byte in_flight;                 /* Copies on their way to the endpoint. */
byte runs;
byte told;
byte asked;                     /* Next forwarder to ask. */

active proctype origin()
{
    byte now_asked;
    do
    :: told == OPEN && asked < FORWARDERS ->
        atomic {
            now_asked = asked;
            asked++;
            stage[now_asked] = ASKED;
        }
        if
        :: heard[now_asked] == ANSWERED -> told = SERVED
        :: heard[now_asked] == DECLINED -> skip
        :: heard[now_asked] == BROKEN ->
#ifdef RETRY_BROKEN
            skip                /* Asks the next one as after a refusal. */
#else
            told = UNKNOWN
#endif
        fi
    :: told == OPEN && asked == FORWARDERS ->
        /* No forwarder took it, and nothing was sent. */
        atomic { told = NOT_RUN; assert(runs == 0) }
    :: told != OPEN -> break
    od
}

proctype forwarder(byte id)
{
end:
    do
    :: stage[id] == ASKED && !reaches[id] ->
        atomic { stage[id] = DONE; heard[id] = (link_up[id] -> DECLINED : BROKEN) }
    :: stage[id] == ASKED && reaches[id] ->
        stage[id] = CHECKED
    :: stage[id] == CHECKED ->
        atomic {
#ifdef DECLINE_LATE
            /* Declines although the bytes have left, for a connect that seems to hang. */
            if
            :: in_flight++; stage[id] = DONE;
               heard[id] = (link_up[id] -> DECLINED : BROKEN)
            :: in_flight++; stage[id] = WRITTEN
            fi
#else
            /* The connection fails, or the bytes leave. */
            if
            :: stage[id] = DONE; heard[id] = (link_up[id] -> DECLINED : BROKEN)
            :: in_flight++; stage[id] = WRITTEN
            fi
#endif
        }
    :: stage[id] == WRITTEN && runs > 0 ->
        atomic { stage[id] = DONE; heard[id] = (link_up[id] -> ANSWERED : BROKEN) }
    :: stage[id] == WRITTEN ->
        /* The connection to the endpoint breaks. */
#ifdef RESEND
        in_flight++             /* Sends again on a new connection. */
#else
        atomic { stage[id] = DONE; heard[id] = BROKEN }
#endif
#ifdef SECOND_HOP
    :: stage[id] == WRITTEN && id + 1 < FORWARDERS && stage[id + 1] == IDLE ->
        stage[id + 1] = ASKED   /* Passes it on once more. */
#endif
    :: stage[id] == DONE -> break
    :: told != OPEN && stage[id] == IDLE -> break
    :: link_up[id] && stage[id] != IDLE && stage[id] != DONE ->
        /* The link breaks, or this host is killed: host 0 hears nothing more. */
        atomic {
            link_up[id] = 0;
#ifdef BROKEN_IS_DECLINED
            heard[id] = DECLINED
#else
            heard[id] = BROKEN
#endif
        }
    od
}

active proctype endpoint()
{
end:
    do
    :: in_flight > 0 ->
        atomic {
            in_flight--;
            if
            :: runs++;
               assert(runs <= 1);
               assert(told != NOT_RUN)
            :: skip             /* Lost on the way. */
            fi
        }
    od
}

init {
    atomic {
        byte id = 0;
        do
        :: id < FORWARDERS ->
            link_up[id] = 1;
            if
            :: reaches[id] = 1
            :: reaches[id] = 0
            fi;
            run forwarder(id);
            id++
        :: else -> break
        od
    }
}
