/*
 * Configuration in force (docs/protocol.md maps rules to code).
 *
 * The platform publishes revisions 1 to LAST; revision BAD does not pass the
 * check, which gives the same result on every host. A read may be stale and
 * return any revision that was ever published. A restarted host has nothing
 * and takes what a peer or the platform gives. Hosts 0 and 1 watch the
 * platform. When `stable` is set there are no more faults: reads are fresh,
 * links work, and host 0 and 1 may be dead for good. Each -D switches one
 * rule off.
 */

#define HOSTS 4
#define LAST 4
#define BAD 2
#define BAD2 4

byte published = 1;
byte force[HOSTS];              /* Revision in force; 0 for none. */
#ifdef SEEN_GATES
byte seen[HOSTS];               /* Highest revision seen, refused or not. */
#endif
bit dead[HOSTS];
bit cut[HOSTS];                 /* Apart from the peers that are not cut. */
bit stable;
byte restarts = 2;

#define LINKED(h, p) (!dead[h] && !dead[p] && cut[h] == cut[p])

#define GOOD(r) (r != BAD && r != BAD2)

#if defined(NO_HIGHER)
#define NEWER(h, r) (r != force[h])
#elif defined(SEEN_GATES)
#define NEWER(h, r) (r > seen[h])
#else
#define NEWER(h, r) (r > force[h])
#endif

#ifdef NO_CHECK
#define TAKES(h, r) NEWER(h, r)
#else
#define TAKES(h, r) (NEWER(h, r) && GOOD(r))
#endif

#ifdef NO_FALLBACK
#define READS(h) (h < 2)
#else
#define READS(h) true
#endif

inline offer(h, r) {
	if
	:: TAKES(h, r) ->
		assert(r > force[h]);
		assert(GOOD(r));
		force[h] = r
	:: else -> skip
	fi;
#ifdef SEEN_GATES
	seen[h] = (r > seen[h] -> r : seen[h])
#endif
}

inline faults(h) {
	if
	:: !stable && !dead[h] && restarts > 0 ->
		restarts--; force[h] = 0
#ifdef SEEN_GATES
		; seen[h] = 0
#endif
	
	:: !stable && restarts > 0 && !dead[h] && h < 2 -> restarts--; dead[h] = 1
	:: !stable -> cut[h] = 1 - cut[h]
	fi
}

/* A read of the platform; the one that watches learns at once. */
inline platform(h) {
	if
	:: stable && !dead[h] && READS(h) && TAKES(h, published) ->
		offer(h, published)
	:: !stable && !dead[h] && READS(h) ->
		select(r : 1 .. published);
		offer(h, r);
		r = 0
	fi
}

/* Host h sees the revision in the digest of p and fetches it. */
inline fetch(h, p) {
	if
#ifndef NO_FETCH
	:: h != p && LINKED(h, p) && TAKES(h, force[p]) && force[p] > 0 ->
		offer(h, force[p])
#endif
	:: false
	fi
}

inline host(h) {
	if
	:: faults(h)
	:: platform(h)
	:: fetch(h, 0)
	:: fetch(h, 1)
	:: fetch(h, 2)
	:: fetch(h, 3)
	fi
}

/* A live host has the newest revision that any live host has in force, and
 * the newest of the platform if that passes the check. */
#define LEVEL(h) (dead[h] || (!LESS(h, 0) && !LESS(h, 1) && !LESS(h, 2) && !LESS(h, 3) \
	&& (!GOOD(published) || force[h] == published)))
#define LESS(h, p) (!dead[p] && force[h] < force[p])

active proctype world() {
	byte r;
end:	do
	:: atomic { !stable && published < LAST -> published++ }
	:: atomic { !stable -> stable = 1;
		cut[0] = 0; cut[1] = 0; cut[2] = 0; cut[3] = 0 }
	:: atomic { host(0) }
	:: atomic { host(1) }
	:: atomic { host(2) }
	:: atomic { host(3) }
	:: atomic { stable && timeout ->
		assert(LEVEL(0) && LEVEL(1) && LEVEL(2) && LEVEL(3));
		break }
	od
}
