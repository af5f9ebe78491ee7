/*
 * At-most-once execution of one key (docs/protocol.md maps rules to code).
 *
 * Two claimants compete for the key. Claimant 1 follows claimant 0: it is a
 * newer lifetime of the same name, or the owner under the next epoch. Three
 * other owners vote; a voter that has heard of claimant 1 (or has moved to
 * the next epoch) never again acknowledges claimant 0, unless it restarts
 * and forgets. A claim and its acknowledgement take no time, which is the
 * best case for the claimant; loss, delay and partition are votes that do not
 * happen. A paused claimant takes no step for as long as it likes.
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

#if defined(ONE_SILENCE)
#define SILENCE L
#elif defined(NO_SILENCE)
#define SILENCE 0
#else
#define SILENCE (2 * L)
#endif

#ifdef NO_QUIET
#define QUIET 0
#else
#define QUIET L
#endif

#ifdef SHORT_KEEP
#define KEEP 1
#else
#define KEEP (R + SKEW)
#endif

#define CAP (L + R + SKEW + 1)  /* Longest time held that matters. */

/* States of the key in a claimant's ledger. */
#define NONE 0
#define ADMITTED 1
#define FLYING 2                /* Checked; the bytes leave at any time. */
#define DONE 3
#define CLOSED 4

byte left[6];                   /* Rest of the lease by claimant and voter. */
byte held[2];                   /* Time since the lease began. */
bit fresh[2];                   /* First attempt later than exclusive time. */
byte ledger[2];
byte keep[2];                   /* Rest of the time that an entry is kept. */
bit alive[2];
bit unknown[2];                 /* The claimant answered `unknown`. */
byte silent[3];                 /* Rest of a voter's silence. */
bit later[3];                   /* Voter has heard of claimant 1. */
byte age;                       /* Time since the first attempt. */
bit sent;
bit timed;                      /* The key comes with Request-Time. */
byte restarts = RESTARTS;       /* Restarts of voters and claimants left. */
byte runs;

#define VOTES(i) ((left[3*(i)] > 0) + (left[3*(i)+1] > 0) + (left[3*(i)+2] > 0))
#ifdef NO_PREVIOUS
#define HOLDS(i) (alive[i] && ((i) == 1 || VOTES(i) >= QUORUM))
#else
#define HOLDS(i) (alive[i] && VOTES(i) >= QUORUM)
#endif
#define EXCLUSIVE(i) (HOLDS(i) && held[i] >= QUIET)

#ifdef NO_ORDER
#define ORDERED(i, x) true
#else
#define ORDERED(i, x) ((i) == 1 || !later[x])
#endif

#ifdef NO_AGE
#define YOUNG true
#else
#define YOUNG (age <= R)
#endif

#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) (held[i] >= QUIET + R + SKEW + 1)
#endif

#ifdef MINTED
#ifdef MINT_ANYWHERE
#define PERMIT(i) (alive[i] && YOUNG)
#else
#define PERMIT(i) (alive[i] && (i) == 0 && minter && YOUNG)
#endif
#define REFUSED(i) true
#else
#define PERMIT(i) (EXCLUSIVE(i) && (timed -> (fresh[i] && YOUNG) : WAITED(i)))
#define REFUSED(i) EXCLUSIVE(i)
#endif
bit minter = 1;                 /* The lifetime that minted the key lives. */

/* Nothing of the key ran, and nothing is on its way. */
#define NOT_RUN (runs == 0 && ledger[0] != FLYING && ledger[1] != FLYING)

inline execute() {
	runs++;
#ifdef FIND_TIMED               /* Shows that the case is reached. */
	assert(!timed || ledger[1] != FLYING);
#endif
#ifdef FIND_WAITED
	assert(timed || ledger[1] != FLYING);
#endif
	assert(runs <= 1);
}

inline forget(i) {
	left[3*i] = 0; left[3*i+1] = 0; left[3*i+2] = 0;
	held[i] = 0; fresh[i] = 0; ledger[i] = NONE; keep[i] = 0; unknown[i] = 0;
}

inline lose(i) {
	held[i] = 0;
#ifndef OWN_START
	fresh[i] = 0;
#endif
}

inline pass(i) {
	if
	:: HOLDS(i) -> held[i] = (held[i] < CAP -> held[i] + 1 : CAP)
	:: else -> lose(i)
	fi;
	if
	:: keep[i] > 0 ->
		keep[i]--;
		if
		:: keep[i] == 0 -> ledger[i] = NONE
		:: else -> skip
		fi
	:: else -> skip
	fi
}

inline tick() {
	k = 0;
	do
	:: k < 6 -> left[k] = (left[k] > 0 -> left[k] - 1 : 0); k++
	:: else -> break
	od;
	k = 0;
	do
	:: k < 3 -> silent[k] = (silent[k] > 0 -> silent[k] - 1 : 0); k++
	:: else -> break
	od;
	pass(0);
	pass(1);
	if
	:: sent && age <= R + SKEW -> age++
	:: else -> skip
	fi;
	k = 0
}

inline vote(i, x) {
	if
	:: (x) < VOTERS && alive[i] && silent[x] == 0 && left[3*i+x] < L && ORDERED(i, x) ->
		if
		:: i == 1 -> later[x] = 1
		:: else -> skip
		fi;
		left[3*i+x] = L
	fi
}

/* The first attempt; a clock may be wrong by SKEW, which the rule covers. */
inline first() {
	sent = 1;
#ifdef OWN_START
	fresh[0] = alive[0]; fresh[1] = alive[1];
#else
#ifdef NO_SKEW
	fresh[0] = (HOLDS(0) && held[0] + SKEW >= QUIET);
	fresh[1] = (HOLDS(1) && held[1] + SKEW >= QUIET);
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
		:: REFUSED(i) -> ledger[i] = CLOSED; keep[i] = KEEP
		:: else -> skip
		fi
#endif
	:: ledger[i] == DONE -> assert(runs == 1)               /* Kept answer. */
	:: ledger[i] != NONE && ledger[i] != DONE -> skip
	fi
}

inline dispatch(i) {
	if
	:: PERMIT(i) -> assert(!unknown[i]); ledger[i] = FLYING
	:: !PERMIT(i) -> ledger[i] = CLOSED; keep[i] = KEEP; unknown[i] = 1
	:: ledger[i] = NONE; assert(NOT_RUN)        /* Connection refused. */
	fi
}

inline crash(i) {
	if
	:: ledger[i] == FLYING -> execute()
	:: true
	fi;
	forget(i);
	alive[i] = 0;
	if
	:: i == 0 -> minter = 0
	:: else -> skip
	fi
}

inline claimant(i) {
	if
	:: !alive[i] && restarts > 0 -> restarts--; alive[i] = 1
	:: alive[i] && restarts > 0 -> crash(i)
	:: alive[i] && ledger[i] == ADMITTED -> dispatch(i)
	:: alive[i] && ledger[i] == FLYING -> execute(); ledger[i] = DONE; keep[i] = KEEP
#ifdef FORGET_REACHED
	:: alive[i] && ledger[i] == DONE -> ledger[i] = NONE; keep[i] = 0
#else
	:: alive[i] && ledger[i] == DONE -> ledger[i] = CLOSED
#endif
	:: alive[i] && sent && (timed || age <= R) -> arrive(i)
	fi
}

inline voter(x) {
	if
	:: vote(0, x)
	:: vote(1, x)
	:: alive[1] && !later[x] && x < VOTERS -> later[x] = 1
	:: restarts > 0 && x < VOTERS ->
		restarts--; later[x] = 0; silent[x] = SILENCE
	fi
}

active proctype world() {
	byte k;
	alive[0] = 1;
	alive[1] = 1;
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
