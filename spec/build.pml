/*
 * The build at which a resumed stream goes on (docs/incidents/mixed-builds.md).
 *
 * The platform's list of builds goes from {1} to {1,2} to {2}. Every host has a list
 * that lags; it gets all changes in order, and a read confirms that the list is the
 * platform's. Endpoints of build 1 take requests for DRAIN after they have left the list.
 * Host 0 begins a stream. Its caller may take it up again at any host, for LIFE after
 * the begin. Datagrams may be lost or late, any host may fail to answer, and hosts may be
 * killed and start again with empty memory and an old list, without bound (THREE has three
 * hosts instead of two, and one start). Time counts in
 * steps; ages end at the largest one that a rule tells from the others.
 *
 * Rules:
 * - A host begins a stream at a build that it has had in its list for longer than FRESH.
 * - It keeps the build as a record, and may tell it to others at any time. An attempt
 *   whose build was told moves to no other build.
 * - A resumed stream goes on at the build of a record. Without one, a host is a witness if
 *   it has run for longer than KEEP and its list was confirmed in the last FRESH. If there
 *   is a witness, and exactly one build was in the lists of the witnesses in the last
 *   KEEP, the stream goes on there. Otherwise it is refused.
 *
 * GIVEN is another design. It begins streams at new builds at once, tells only if its
 * list holds several builds, moves attempts with a higher number, needs no time of
 * running of a witness, and counts builds only while they are alone in the list. It
 * needs these assumptions:
 * - RECORD: a told record reaches another host before the first event, and a host that
 *   has it answers.
 * - OLD: a host that has run for longer than KEEP is among the witnesses.
 * - LAG: the list of the host that begins a stream was confirmed in the last FRESH.
 * - SLOW: the first event comes later than FRESH after the begin.
 * Each NO_ASSUMED_... switches one of them off; the other -D switch one rule off.
 */

#ifdef THREE
#define HOSTS 3
#else
#define HOSTS 2
#endif
#define FRESH 1
#define LIFE 2
#define DRAIN 1

#ifdef SHORT_KEEP
#define KEEP (LIFE + DRAIN - 1)
#else
#define KEEP (LIFE + DRAIN)
#endif

#ifdef GIVEN
#define ALONE
#define NO_OLD
#define NO_GRACE
#define MOVE
#ifndef NO_ASSUMED_RECORD
#define ASSUMED_RECORD
#endif
#ifndef NO_ASSUMED_OLD
#define ASSUMED_OLD
#endif
#ifndef NO_ASSUMED_LAG
#define ASSUMED_LAG
#endif
#ifndef NO_ASSUMED_SLOW
#define ASSUMED_SLOW
#endif
#endif

#define LISTED(v, b) (b == 1 -> v <= 1 : v >= 1)

/* Whether a list makes the host count the build. */
#ifdef ALONE
#define COUNTED(v, b) (b == 1 -> v == 0 : v == 2)
#else
#define COUNTED(v, b) LISTED(v, b)
#endif

#ifdef THREE
byte starts = 1;
#define MAY_START (starts > 0)
#else
#define MAY_START true
#endif

byte published;                 /* Number of changes of the platform's list. */
byte left;                      /* Time since build 1 left the platform's list. */

byte view[HOSTS];               /* Number of changes that the host has. */
byte confirmed[HOSTS];          /* Time since the list was confirmed. */
byte running[HOSTS];
byte counted1[HOSTS];           /* Time since build 1 was last counted. */
byte counted2[HOSTS];
byte listed1;                   /* How long host 0 has had build 1 in its list. */
byte listed2;

byte record[HOSTS];             /* Build of the stream; 0 if not known. */
byte number[HOSTS];

#ifdef ASSUMED_RECORD
bit heard[HOSTS];               /* Has got the last record that was told, or made it. */
#endif

byte stage;                     /* 0 not begun, 1 sent, 2 first event passed on, 3 over. */
byte age;                       /* Time since the begin. */
byte at;                        /* Build at which the stream runs or began. */
byte first;                     /* Build at which the attempt was first sent. */
bit moved;
bit told;
bit killed;                     /* Host 0 was, since the begin. */

#define AGED(x, most) x = (x < most -> x + 1 : x)
#define IS_FRESH(h) (confirmed[h] <= FRESH)
#define IS_OLD(h) (running[h] > KEEP)
#define STANDS(b) (b == 2 || left <= DRAIN)

#ifdef NO_FRESH
#define WITNESS_FRESH(h) true
#else
#define WITNESS_FRESH(h) IS_FRESH(h)
#endif
#ifdef NO_OLD
#define WITNESS(h) WITNESS_FRESH(h)
#else
#define WITNESS(h) (WITNESS_FRESH(h) && IS_OLD(h))
#endif

inline see(h) {
	counted1[h] = (COUNTED(view[h], 1) -> 0 : counted1[h]);
	counted2[h] = (COUNTED(view[h], 2) -> 0 : counted2[h])
}

inline change(h) {
	view[h]++;
#ifdef PRESENT_ONLY
	counted1[h] = KEEP + 1; counted2[h] = KEEP + 1;
#endif
	see(h)
}

inline confirm(h) {
	do
	:: view[h] < published -> change(h)
	:: else -> break
	od;
	confirmed[h] = 0
}

inline start(h) {
#ifdef THREE
	starts--;
#endif
	select(v : 0 .. published);
	view[h] = v; v = 0;
	confirmed[h] = FRESH + 1; running[h] = 0;
	counted1[h] = KEEP + 1; counted2[h] = KEEP + 1;
	see(h);
	record[h] = 0; number[h] = 0;
#ifdef ASSUMED_RECORD
	heard[h] = 0;
#endif
	if
	:: h == 0 ->
		listed1 = 0; listed2 = 0;
		killed = (stage > 0 -> 1 : 0);
		stage = (stage == 1 -> 3 : stage)
	:: else -> skip
	fi
}

inline pass(h) {
	AGED(confirmed[h], FRESH + 1);
	AGED(running[h], KEEP + 1);
	counted1[h] = (COUNTED(view[h], 1) -> 0 : (counted1[h] <= KEEP -> counted1[h] + 1 : counted1[h]));
	counted2[h] = (COUNTED(view[h], 2) -> 0 : (counted2[h] <= KEEP -> counted2[h] + 1 : counted2[h]))
}

inline tick() {
	pass(0); pass(1);
#ifdef THREE
	pass(2);
#endif
	if
	:: published == 2 -> AGED(left, DRAIN + 1)
	:: else -> skip
	fi;
	if
	:: stage <= 1 ->
		listed1 = (LISTED(view[0], 1) -> (listed1 <= FRESH -> listed1 + 1 : listed1) : 0);
		listed2 = (LISTED(view[0], 2) -> (listed2 <= FRESH -> listed2 + 1 : listed2) : 0)
	:: else -> skip
	fi;
	if
	:: stage == 1 || stage == 2 ->
		age++;
		stage = (age > LIFE -> 3 : stage)
	:: else -> skip
	fi
}

#ifdef NO_GRACE
#define BEGINS(b) (LISTED(view[0], b) && STANDS(b))
#else
#define BEGINS(b) (LISTED(view[0], b) && STANDS(b) && (b == 1 -> listed1 > FRESH : listed2 > FRESH))
#endif
#ifdef ASSUMED_LAG
#define MAY_BEGIN IS_FRESH(0)
#else
#define MAY_BEGIN true
#endif

inline begin(b) {
	stage = 1; at = b; first = b;
	record[0] = b; number[0] = 1;
#ifdef ASSUMED_RECORD
	heard[0] = 1;
#endif
#if defined(GIVEN) && !defined(TELL_LATE)
	told = (view[0] == 1);
#elif !defined(GIVEN)
	told = 1
#endif
}

/* The attempt moves to build b before its first event. */
inline move(b) {
	moved = 1; at = b;
	record[0] = b; number[0] = 2;
#ifdef ASSUMED_RECORD
	heard[1] = 0; heard[HOSTS - 1] = 0;
#endif
#if defined(GIVEN) && !defined(TELL_LATE)
	told = 1
#endif
}

/* A datagram with build b and number n reaches host h. */
inline hear(h, b, n) {
	if
#ifdef NO_NUMBERS
	:: true ->
#else
	:: n > number[h] ->
#endif
		record[h] = b; number[h] = n;
#ifdef ASSUMED_RECORD
		heard[h] = heard[h] || b == at
#endif
#ifndef NO_NUMBERS
	:: else -> skip
#endif
	fi
}

#ifdef ASSUMED_RECORD
#define MAY_PASS_RECORD (!told || heard[1] || heard[HOSTS - 1])
#else
#define MAY_PASS_RECORD true
#endif
#ifdef ASSUMED_SLOW
#define MAY_PASS (MAY_PASS_RECORD && age > FRESH)
#else
#define MAY_PASS MAY_PASS_RECORD
#endif

/* Host h takes part in the search for the build. */
inline take(h) {
	if
	:: record[h] > 0 && number[h] > best ->
		build = record[h]; best = number[h]
	:: record[h] == 0 && WITNESS(h) ->
		witness = 1;
		old = old || IS_OLD(h);
		one = one || counted1[h] <= KEEP;
		two = two || counted2[h] <= KEEP
	:: else -> skip
	fi
#ifdef ASSUMED_RECORD
	; has_latest = has_latest || heard[h]
#endif
}

inline ask(h, p) {
	if
	:: h != p -> take(p)
	:: true -> skip
	fi
}

/* The caller takes the stream up again at host h. */
inline resume(h) {
	take(h);
#ifdef GUESS
	if
	:: build == 0 && view[h] == 0 -> build = 1
	:: build == 0 && view[h] == 2 -> build = 2
	:: else -> skip
	fi;
#endif
	if
	:: build == 0 -> ask(h, 0); ask(h, 1)
#ifdef THREE
		; ask(h, 2)
#endif
	:: else -> skip
	fi;
#ifdef ASSUMED_RECORD
	excluded = excluded || (told && !has_latest);
#endif
#ifdef ASSUMED_OLD
	excluded = excluded || (build == 0 && !old);
#endif
	if
	:: build == 0 && witness && one != two -> build = (one -> 1 : 2)
	:: else -> skip
	fi;
	if
	:: !excluded ->
		/* One build in all lists for longer than KEEP, and a witness. */
		assert(!(witness && published == 0 && build == 0));
		if
		:: build > 0 && LISTED(view[h], build) ->
			assert(build == at);
#ifdef FIND_RECORD
			assert(best == 0 || h == 0 || published == 0);
#endif
#ifdef FIND_WITNESS
			assert(best > 0);
#endif
			record[h] = build;
			number[h] = (moved -> 2 : 1)
		:: else -> skip
		fi
	:: else -> skip
	fi;
	build = 0; best = 0; witness = 0; old = 0; one = 0; two = 0; has_latest = 0; excluded = 0
}

inline host(h) {
	if
	:: stage < 3 && (confirmed[h] > 0 || view[h] < published) -> confirm(h)
	:: stage < 3 && view[h] < published -> change(h)
	:: stage < 3 && MAY_START -> start(h)
	:: h > 0 && told && (stage == 1 || stage == 2) && record[h] != first -> hear(h, first, 1)
	:: h > 0 && told && (stage == 1 || stage == 2) && moved && record[h] != at -> hear(h, at, 2)
	:: stage == 2 -> resume(h)
	fi
}

active proctype world() {
	byte v, build, best;
	bit witness, old, one, two, has_latest, excluded;
	d_step {
		running[0] = KEEP + 1; running[1] = KEEP + 1;
		counted2[0] = KEEP + 1; counted2[1] = KEEP + 1;
#ifdef THREE
		running[2] = KEEP + 1; counted2[2] = KEEP + 1;
#endif
		listed1 = FRESH + 1
	}
end:	do
	:: atomic { stage < 3 && published < 2 -> published++ }
	:: atomic { stage < 3 -> tick() }
	:: atomic { stage == 0 && MAY_BEGIN && BEGINS(1) -> begin(1) }
	:: atomic { stage == 0 && MAY_BEGIN && BEGINS(2) -> begin(2) }
#ifdef MOVE
	:: atomic { stage == 1 && !moved && at == 2 && BEGINS(1) -> move(1) }
	:: atomic { stage == 1 && !moved && at == 1 && BEGINS(2) -> move(2) }
#endif
	:: atomic { stage == 1 && MAY_PASS -> stage = 2; listed1 = 0; listed2 = 0 }
#ifdef TELL_LATE
	:: atomic { stage == 2 && !killed && !told -> told = 1 }
#endif
	/* Host 0 goes on by itself after the stream has broken at the endpoint. */
	:: atomic { stage == 2 && !killed && LISTED(view[0], at) && STANDS(at) -> skip }
#ifdef CONTINUE_ANY
	:: atomic { stage == 2 && !killed && LISTED(view[0], 3 - at) -> assert(false) }
#endif
	:: atomic { host(0) }
	:: atomic { host(1) }
#ifdef THREE
	:: atomic { host(2) }
#endif
	:: atomic { stage == 3 -> break }
	od
}
