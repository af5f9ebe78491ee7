/*
 * Takeover of a home with grants (docs/protocol.md maps rules to code).
 *
 * One endpoint with LIMIT places. Homes 0, 1 and 2 succeed one another. A home
 * that was replaced may keep serving (it is partitioned, or was paused). The
 * next takeover comes at least TAKEOVER, the time to detect a dead host, after
 * the previous home has stopped, so that never more than two homes serve. A
 * partition into more parts multiplies the bound accordingly. A grant may be
 * dispatched for GRANT_LIFE. The endpoint's report is a sample that may be
 * outdated; a home accepts only samples taken after its own start. Each -D
 * switches one rule off.
 */

#define LIMIT 2
#define HOMES 3
#define GRANT_LIFE 1            /* dispatch_by. */
#ifdef FAST_TAKEOVER
#define TAKEOVER 0
#else
#define TAKEOVER 2
#endif

/* Bound on the work of all homes together: the over-commitment. */
#define BOUND (2 * LIMIT)

bit serves[HOMES];
byte granted[HOMES];            /* Grants that are not dispatched yet. */
byte grant_left[HOMES];         /* Remaining lifetime of the newest grant. */
byte running[HOMES];
byte foreign[HOMES];
bit fresh[HOMES];               /* The home has accepted a sample since its start. */
byte sample;
byte sampled_own[HOMES];        /* A home's own work in the sample. */
bit sampled[HOMES];             /* The sample is later than the home's start. */
byte newest;                    /* The home that was started last. */
byte since;                     /* Time since a home started or stopped. */
byte fence;                     /* Highest fencing number that the endpoint received. */
bit checked;                    /* The endpoint checks fencing numbers. */

#define TOTAL (running[0] + running[1] + running[2])
#define OWN(h) (granted[h] + running[h])

#ifdef NO_FRESH
#define MAY_GRANT(h) true
#define ACCEPTS_SAMPLE(h) true
#else
#define MAY_GRANT(h) fresh[h]
#define ACCEPTS_SAMPLE(h) sampled[h]
#endif

#ifdef NO_FOREIGN
#define HAS_ROOM(h) (OWN(h) < LIMIT)
#else
#define HAS_ROOM(h) (OWN(h) + foreign[h] < LIMIT)
#endif

/* Own work that is newer than the sample must not hide foreign work. */
#ifdef LATE_OWN
#define OWN_IN_SAMPLE(h) OWN(h)
#else
#define OWN_IN_SAMPLE(h) sampled_own[h]
#endif

#ifdef NO_FENCE
#define ACCEPTS(h) true
#else
#define ACCEPTS(h) (!checked || h >= fence)
#endif

inline expire(h) {
	if
	:: grant_left[h] > 0 -> grant_left[h]--
	:: else -> skip
	fi;
#ifndef NO_DISPATCH_BY
	if
	:: grant_left[h] == 0 -> granted[h] = 0
	:: else -> skip
	fi
#endif
}

inline tick() {
	expire(0);
	expire(1);
	expire(2);
	since = (since < TAKEOVER -> since + 1 : TAKEOVER)
}

inline dispatch(h) {
	granted[h]--;
	if
	:: ACCEPTS(h) ->
		assert(!checked || h >= fence);
		fence = (h > fence -> h : fence);
		running[h]++;
		assert(TOTAL <= BOUND)
	:: else -> skip                 /* Refused by the endpoint. */
	fi
}

inline home(h) {
	if
	:: serves[h] && MAY_GRANT(h) && HAS_ROOM(h) ->
		granted[h]++; grant_left[h] = GRANT_LIFE + 1
	:: granted[h] > 0 -> dispatch(h)
	:: granted[h] > 0 -> granted[h]--       /* The caller disconnected. */
	:: running[h] > 0 -> running[h]--
	:: serves[h] && ACCEPTS_SAMPLE(h) ->
		foreign[h] = (sample > OWN_IN_SAMPLE(h) -> sample - OWN_IN_SAMPLE(h) : 0);
		fresh[h] = 1
	:: serves[h] && h < newest -> serves[h] = 0; since = 0
	fi
}

inline take_over() {
	newest++;
	since = 0;
	serves[newest] = 1
}

active proctype world() {
	serves[0] = 1;
	if
	:: checked = 1
	:: checked = 0
	fi;
end:	do
	:: d_step { tick() }
	:: atomic { home(0) }
	:: atomic { home(1) }
	:: atomic { home(2) }
	:: d_step { sample = TOTAL;
		sampled_own[0] = running[0]; sampled_own[1] = running[1]; sampled_own[2] = running[2];
		sampled[0] = serves[0]; sampled[1] = serves[1]; sampled[2] = serves[2] }
	:: atomic { newest < HOMES - 1 && since >= TAKEOVER &&
		serves[0] + serves[1] + serves[2] < 2 -> take_over() }
	od
}
