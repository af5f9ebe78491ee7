/*
 * Configuration in force (docs/protocol.md maps rules to code).
 *
 * The platform publishes revisions 1 to LAST. Revisions INVALID and INVALID2 do
 * not pass the check, which gives the same result on every host. A read may be
 * stale and return any revision that was ever published. A restarted host has no
 * configuration and accepts the one of a peer or the platform. Hosts 0 and 1
 * watch the platform. When `stable` is set there are no more faults: reads are
 * fresh, links work, and hosts 0 and 1 may have failed permanently. Each -D
 * switches one rule off.
 */

#define HOSTS 4
#define LAST 4
#define INVALID 2
#define INVALID2 4

byte published = 1;
byte in_force[HOSTS];           /* Revision in force; 0 if there is none. */
#ifdef COMPARE_SEEN
byte highest_seen[HOSTS];       /* Highest revision seen, rejected or not. */
#endif
bit dead[HOSTS];
bit partitioned[HOSTS];         /* Separated from the peers that are not. */
bit stable;
byte restarts = 2;

#define LINKED(h, p) (!dead[h] && !dead[p] && partitioned[h] == partitioned[p])

#define VALID(r) (r != INVALID && r != INVALID2)

#if defined(NO_HIGHER)
#define NEWER(h, r) (r != in_force[h])
#elif defined(COMPARE_SEEN)
#define NEWER(h, r) (r > highest_seen[h])
#else
#define NEWER(h, r) (r > in_force[h])
#endif

#ifdef NO_CHECK
#define ACCEPTS(h, r) NEWER(h, r)
#else
#define ACCEPTS(h, r) (NEWER(h, r) && VALID(r))
#endif

#ifdef NO_FALLBACK
#define READS(h) (h < 2)
#else
#define READS(h) true
#endif

inline offer(h, r) {
	if
	:: ACCEPTS(h, r) ->
		assert(r > in_force[h]);
		assert(VALID(r));
		in_force[h] = r
	:: else -> skip
	fi;
#ifdef COMPARE_SEEN
	highest_seen[h] = (r > highest_seen[h] -> r : highest_seen[h])
#endif
}

inline faults(h) {
	if
	:: !stable && !dead[h] && restarts > 0 ->
		restarts--; in_force[h] = 0
#ifdef COMPARE_SEEN
		; highest_seen[h] = 0
#endif
	
	:: !stable && restarts > 0 && !dead[h] && h < 2 -> restarts--; dead[h] = 1
	:: !stable -> partitioned[h] = 1 - partitioned[h]
	fi
}

/* A read of the platform; a watcher gets a new revision at once. */
inline read_platform(h) {
	if
	:: stable && !dead[h] && READS(h) && ACCEPTS(h, published) ->
		offer(h, published)
	:: !stable && !dead[h] && READS(h) ->
		select(r : 1 .. published);
		offer(h, r);
		r = 0
	fi
}

/* Host h receives the revision in a digest of p and fetches it. */
inline fetch(h, p) {
	if
#ifndef NO_FETCH
	:: h != p && LINKED(h, p) && ACCEPTS(h, in_force[p]) && in_force[p] > 0 ->
		offer(h, in_force[p])
#endif
	:: false
	fi
}

inline host(h) {
	if
	:: faults(h)
	:: read_platform(h)
	:: fetch(h, 0)
	:: fetch(h, 1)
	:: fetch(h, 2)
	:: fetch(h, 3)
	fi
}

/* A live host has the highest revision that any live host has in force, and
 * the newest revision of the platform if that passes the check. */
#define CONVERGED(h) (dead[h] || (!BEHIND(h, 0) && !BEHIND(h, 1) && !BEHIND(h, 2) && !BEHIND(h, 3) \
	&& (!VALID(published) || in_force[h] == published)))
#define BEHIND(h, p) (!dead[p] && in_force[h] < in_force[p])

active proctype world() {
	byte r;
end:	do
	:: atomic { !stable && published < LAST -> published++ }
	:: atomic { !stable -> stable = 1;
		partitioned[0] = 0; partitioned[1] = 0; partitioned[2] = 0; partitioned[3] = 0 }
	:: atomic { host(0) }
	:: atomic { host(1) }
	:: atomic { host(2) }
	:: atomic { host(3) }
	:: atomic { stable && timeout ->
		assert(CONVERGED(0) && CONVERGED(1) && CONVERGED(2) && CONVERGED(3));
		break }
	od
}
