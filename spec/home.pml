/*
 * Hand-over of a home with grants (docs/protocol.md maps rules to code).
 *
 * One endpoint with LIMIT places. Homes 0, 1 and 2 follow one another. A home
 * that was replaced may go on (it is cut off, or was paused). The next
 * hand-over comes at least TAKEOVER, the time to detect a dead host, after
 * the home before has stopped, so that never more than two homes serve. A
 * partition into more parts multiplies the bound accordingly. A grant may be
 * dispatched for GRANT_LIFE. The endpoint's report is a sample that may be
 * old; a home takes only samples taken after its own start. Each -D switches
 * one rule off.
 */

#define LIMIT 2
#define HOMES 3
#define GRANT_LIFE 1            /* dispatch_by. */
#ifdef FAST_TAKEOVER
#define TAKEOVER 0
#else
#define TAKEOVER 2
#endif

/* Work of all homes together; the over-commit bound. */
#define BOUND (2 * LIMIT)

bit serves[HOMES];
byte granted[HOMES];            /* Grants that were not dispatched. */
byte life[HOMES];               /* Rest of the life of the youngest grant. */
byte running[HOMES];
byte foreign[HOMES];
bit fresh[HOMES];               /* A sample was taken since the start. */
byte sample;
byte mine[HOMES];               /* A home's own work in the sample. */
bit sampled[HOMES];             /* The sample is later than the home's start. */
byte newest;                    /* The home that was started last. */
byte since;                     /* Time since a home started or stopped. */
byte fence;                     /* Highest number that the endpoint saw. */
bit checked;                    /* The endpoint checks fencing numbers. */

#define TOTAL (running[0] + running[1] + running[2])
#define OWN(h) (granted[h] + running[h])

#ifdef NO_FRESH
#define MAY_GRANT(h) true
#define TAKES(h) true
#else
#define MAY_GRANT(h) fresh[h]
#define TAKES(h) sampled[h]
#endif

#ifdef NO_FOREIGN
#define ROOM(h) (OWN(h) < LIMIT)
#else
#define ROOM(h) (OWN(h) + foreign[h] < LIMIT)
#endif

/* Own work that is newer than the sample must not hide foreign work. */
#ifdef LATE_OWN
#define HIDDEN(h) OWN(h)
#else
#define HIDDEN(h) mine[h]
#endif

#ifdef NO_FENCE
#define ACCEPTS(h) true
#else
#define ACCEPTS(h) (!checked || h >= fence)
#endif

inline expire(h) {
	if
	:: life[h] > 0 -> life[h]--
	:: else -> skip
	fi;
#ifndef NO_DISPATCH_BY
	if
	:: life[h] == 0 -> granted[h] = 0
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
	:: serves[h] && MAY_GRANT(h) && ROOM(h) ->
		granted[h]++; life[h] = GRANT_LIFE + 1
	:: granted[h] > 0 -> dispatch(h)
	:: granted[h] > 0 -> granted[h]--       /* The caller hung up. */
	:: running[h] > 0 -> running[h]--
	:: serves[h] && TAKES(h) ->
		foreign[h] = (sample > HIDDEN(h) -> sample - HIDDEN(h) : 0);
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
		mine[0] = running[0]; mine[1] = running[1]; mine[2] = running[2];
		sampled[0] = serves[0]; sampled[1] = serves[1]; sampled[2] = serves[2] }
	:: atomic { newest < HOMES - 1 && since >= TAKEOVER &&
		serves[0] + serves[1] + serves[2] < 2 -> take_over() }
	od
}
