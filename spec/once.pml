/*
 * At-most-once execution of one key (docs/protocol.md maps rules to code).
 *
 * Two claimants compete for the key. Claimant 1 succeeds claimant 0: it is a
 * newer lifetime of the same name, or the owner under the next epoch. Three
 * other owners vote. A voter that has received a claim of claimant 1 (or has
 * moved to the next epoch) never again acknowledges claimant 0, unless it
 * restarts and loses its state. A claim and its acknowledgement take no time,
 * which is the best case for the claimant; loss, delay and partition are votes
 * that do not happen. A paused claimant takes no step for any length of time.
 *
 * All events happen at whole times. Counters are capped, so that the state
 * space is finite without a bound on time. Each -D switches one rule off.
 */

#ifndef L
#define L 2                     /* Lease. */
#endif
#define R 1                     /* resend_max_age. */
#define SKEW 1                  /* clock_skew. */
#ifndef RESTARTS
#define RESTARTS 1
#endif

#if defined(MINTED)
#define VOTERS 0                /* A minted key needs no lease. */
#define QUORUM 0
#elif defined(SELF_VOTE)
#define VOTERS 2                /* Three owners; each counts its own vote. */
#define QUORUM 1
#else
#define VOTERS 3                /* Four owners; the own vote does not count. */
#define QUORUM 2
#endif

#if defined(ONE_LEASE_ACK_DELAY)
#define ACK_DELAY L
#elif defined(NO_ACK_DELAY)
#define ACK_DELAY 0
#else
#define ACK_DELAY (2 * L)
#endif

#ifdef NO_LEASE_WAIT
#define LEASE_WAIT 0
#else
#define LEASE_WAIT L
#endif

#ifdef SHORT_RETENTION
#define RETENTION 1
#else
#define RETENTION (R + SKEW)
#endif

#define CAP (L + R + SKEW + 1)  /* Longest holding time that matters. */

/* States of the key in a claimant's ledger. */
#define NONE 0
#define ADMITTED 1
#define IN_FLIGHT 2             /* Permit checked; the bytes leave at any time. */
#define COMPLETED 3
#define CLOSED 4

byte lease_left[6];             /* Remaining lease by claimant and voter. */
byte held_time[2];              /* Time since the lease began. */
bit fresh[2];                   /* First attempt made in exclusive time. */
byte ledger[2];
byte retention[2];              /* Remaining time for which an entry is kept. */
bit up[2];
bit unknown[2];                 /* The claimant answered `unknown`. */
byte ack_delay[3];              /* Remaining time without acknowledgements. */
bit knows_newer[3];             /* Voter has received a claim of claimant 1. */
byte age;                       /* Time since the first attempt. */
bit sent;
bit timed;                      /* The key comes with Request-Time. */
byte restarts = RESTARTS;       /* Remaining restarts of voters and claimants. */
byte runs;

#define VOTES(i) ((lease_left[3*(i)] > 0) + (lease_left[3*(i)+1] > 0) + (lease_left[3*(i)+2] > 0))
#ifdef NO_PREVIOUS
#define HOLDS(i) (up[i] && ((i) == 1 || VOTES(i) >= QUORUM))
#else
#define HOLDS(i) (up[i] && VOTES(i) >= QUORUM)
#endif
#define EXCLUSIVE(i) (HOLDS(i) && held_time[i] >= LEASE_WAIT)

#ifdef NO_ORDER
#define ORDERED(i, x) true
#else
#define ORDERED(i, x) ((i) == 1 || !knows_newer[x])
#endif

#ifdef NO_AGE
#define WITHIN_AGE true
#else
#define WITHIN_AGE (age <= R)
#endif

#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) (held_time[i] >= LEASE_WAIT + R + SKEW + 1)
#endif

#ifdef MINTED
#ifdef MINT_ANYWHERE
#define PERMIT(i) (up[i] && WITHIN_AGE)
#else
#define PERMIT(i) (up[i] && (i) == 0 && minter_up && WITHIN_AGE)
#endif
#define REFUSED(i) true
#else
#define PERMIT(i) (EXCLUSIVE(i) && (timed -> (fresh[i] && WITHIN_AGE) : WAITED(i)))
#define REFUSED(i) EXCLUSIVE(i)
#endif
bit minter_up = 1;              /* The lifetime that minted the key still runs. */

/* The key has not run, and no bytes are in flight. */
#define NOT_RUN (runs == 0 && ledger[0] != IN_FLIGHT && ledger[1] != IN_FLIGHT)

inline execute() {
	runs++;
#ifdef FIND_TIMED               /* Fails if the case is reached. */
	assert(!timed || ledger[1] != IN_FLIGHT);
#endif
#ifdef FIND_WAITED
	assert(timed || ledger[1] != IN_FLIGHT);
#endif
	assert(runs <= 1);
}

inline reset(i) {
	lease_left[3*i] = 0; lease_left[3*i+1] = 0; lease_left[3*i+2] = 0;
	held_time[i] = 0; fresh[i] = 0; ledger[i] = NONE; retention[i] = 0; unknown[i] = 0;
}

inline lose_lease(i) {
	held_time[i] = 0;
#ifndef OWN_START
	fresh[i] = 0;
#endif
}

inline advance(i) {
	if
	:: HOLDS(i) -> held_time[i] = (held_time[i] < CAP -> held_time[i] + 1 : CAP)
	:: else -> lose_lease(i)
	fi;
	if
	:: retention[i] > 0 ->
		retention[i]--;
		if
		:: retention[i] == 0 -> ledger[i] = NONE
		:: else -> skip
		fi
	:: else -> skip
	fi
}

inline tick() {
	k = 0;
	do
	:: k < 6 -> lease_left[k] = (lease_left[k] > 0 -> lease_left[k] - 1 : 0); k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < 3 -> ack_delay[k] = (ack_delay[k] > 0 -> ack_delay[k] - 1 : 0); k++
	:: else -> break
	od;
	advance(0);
	advance(1);
	if
	:: sent && age <= R + SKEW -> age++
	:: else -> skip
	fi;
	k = 0
}

inline vote(i, x) {
	if
	:: (x) < VOTERS && up[i] && ack_delay[x] == 0 && lease_left[3*i+x] < L && ORDERED(i, x) ->
		if
		:: i == 1 -> knows_newer[x] = 1
		:: else -> skip
		fi;
		lease_left[3*i+x] = L
	fi
}

/* The first attempt. A clock may be wrong by SKEW, which the rule allows for. */
inline first() {
	sent = 1;
#ifdef OWN_START
	fresh[0] = up[0]; fresh[1] = up[1];
#else
#ifdef NO_SKEW
	fresh[0] = (HOLDS(0) && held_time[0] + SKEW >= LEASE_WAIT);
	fresh[1] = (HOLDS(1) && held_time[1] + SKEW >= LEASE_WAIT);
#else
	fresh[0] = EXCLUSIVE(0); fresh[1] = EXCLUSIVE(1);
#endif
#endif
	if
	:: timed = 1
	:: timed = 0
	fi
}

/* An attempt reaches claimant i. */
inline arrive(i) {
	if
#ifdef FULL_FIRST
	:: ledger[i] == NONE -> assert(NOT_RUN)
#endif
	:: ledger[i] == NONE && PERMIT(i) -> ledger[i] = ADMITTED
	:: ledger[i] == NONE && PERMIT(i) -> assert(NOT_RUN)    /* KeptFull. */
	:: ledger[i] == NONE && !PERMIT(i) ->
		unknown[i] = 1;
#ifndef NO_CLOSE
		if
		:: REFUSED(i) -> ledger[i] = CLOSED; retention[i] = RETENTION
		:: else -> skip
		fi
#endif
	:: ledger[i] == COMPLETED -> assert(runs == 1)               /* Stored answer. */
	:: ledger[i] != NONE && ledger[i] != COMPLETED -> skip
	fi
}

inline dispatch(i) {
	if
	:: PERMIT(i) -> assert(!unknown[i]); ledger[i] = IN_FLIGHT
	:: !PERMIT(i) -> ledger[i] = CLOSED; retention[i] = RETENTION; unknown[i] = 1
	:: ledger[i] = NONE; assert(NOT_RUN)        /* Connection refused. */
	fi
}

inline crash(i) {
	if
	:: ledger[i] == IN_FLIGHT -> execute()
	:: true
	fi;
	reset(i);
	up[i] = 0;
	if
	:: i == 0 -> minter_up = 0
	:: else -> skip
	fi
}

inline claimant(i) {
	if
	:: !up[i] && restarts > 0 -> restarts--; up[i] = 1
	:: up[i] && restarts > 0 -> crash(i)
	:: up[i] && ledger[i] == ADMITTED -> dispatch(i)
	:: up[i] && ledger[i] == IN_FLIGHT -> execute(); ledger[i] = COMPLETED; retention[i] = RETENTION
#ifdef REMOVE_REACHED
	:: up[i] && ledger[i] == COMPLETED -> ledger[i] = NONE; retention[i] = 0
#else
	:: up[i] && ledger[i] == COMPLETED -> ledger[i] = CLOSED
#endif
	:: up[i] && sent && (timed || age <= R) -> arrive(i)
	fi
}

inline voter(x) {
	if
	:: vote(0, x)
	:: vote(1, x)
	:: up[1] && !knows_newer[x] && x < VOTERS -> knows_newer[x] = 1
	:: restarts > 0 && x < VOTERS ->
		restarts--; knows_newer[x] = 0; ack_delay[x] = ACK_DELAY
	fi
}

active proctype world() {
	byte k;
	up[0] = 1;
	up[1] = 1;
end:	do
	:: d_step { tick() }
	:: atomic { claimant(0) }
	:: atomic { claimant(1) }
	:: atomic { voter(0) }
	:: atomic { voter(1) }
	:: atomic { voter(2) }
	:: atomic { !sent -> first() }
	od
}
