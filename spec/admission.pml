/*
 * In a shortage of room the gateways together run at most twice the target, whatever news is late,
 * lost or partial and whoever is frozen; each may run a request; and once the demand is low the limits
 * end within the time for which what was last heard stands.
 *
 * Model of: admission.ConditionsFrom, Share, Limit and InShortage, admission.Gate.
 *
 * Three gateways share TARGET slots; the demand of one is up to twice that of another. News of the
 * requests that others run has any age: a gateway hears of both others, of one, or of none, at any
 * time, and stands still for any time. It knows its own requests. A limit is the share of TARGET + 2 *
 * (TARGET - running), and of TARGET / 2 at least.
 *
 * -DRETURN models the time instead, for one gateway: each tick it hears all, or nothing, or stands
 * still. The demand of all is high or low.
 *
 * Mutations: -DALONE lets a gateway without news take itself to be the only one; -DPARTIAL takes what
 * was heard of one gateway as that of all; -DNOOWN leaves out the gateway's own requests; -DNOLEAST
 * does without a least limit; -DFOREVER lets what was last heard stand for ever.
 */
#define TARGET 4
#define GATEWAYS 3
#define BOUND (2 * TARGET)

#ifndef RETURN

#define ENDS 2            /* requests that end; afterwards all go on */

byte demand[GATEWAYS];
byte running[GATEWAYS];
byte others[GATEWAYS];    /* requests of the others, as far as is known */
byte heardOf[GATEWAYS];   /* demand of the others, as far as is known; 0 is no news */
byte r, limit, ended;

#ifdef NOOWN
#define OWN(g) 0
#else
#define OWN(g) running[g]
#endif

#ifdef NOLEAST
#define LEAST 0
#else
#define LEAST 1
#endif

/* SUM is the sum of own and others' demand. Without news, shares are equal. */
#define SUM(g) (heardOf[g] -> demand[g] + heardOf[g] : GATEWAYS * demand[g])
#ifdef ALONE
#define KNOWN(g) (heardOf[g] -> SUM(g) : demand[g])
#define RUNNING(g) (heardOf[g] -> OWN(g) + others[g] : OWN(g))
#else
#define KNOWN(g) SUM(g)
#define RUNNING(g) (heardOf[g] -> OWN(g) + others[g] : GATEWAYS * OWN(g))
#endif

#ifdef PARTIAL
#define FACTOR 1
#else
#define FACTOR 2
#endif

inline hear(g, x, y)
{
	if
	:: others[g] = running[x] + running[y]; heardOf[g] = demand[x] + demand[y]
	:: others[g] = FACTOR * running[x]; heardOf[g] = FACTOR * demand[x]
	:: others[g] = FACTOR * running[y]; heardOf[g] = FACTOR * demand[y]
	:: others[g] = 0; heardOf[g] = 0
	fi
}

inline begin(g)
{
	r = RUNNING(g);
	limit = (5 * TARGET >= 4 * r -> 3 * TARGET - 2 * r : TARGET / 2);
	limit = demand[g] * limit / KNOWN(g);
	limit = (limit < LEAST -> LEAST : limit);
	assert(limit > 0);
	if
	:: running[g] < limit -> running[g]++
	:: else
	fi;
	r = 0; limit = 0
}

active proctype gateways()
{
	byte g = 0;
	do
	:: g < GATEWAYS -> if :: demand[g] = 1 :: demand[g] = 2 fi; g++
	:: else -> break
	od;
	do
	:: atomic {
		select(g : 0 .. 2);
		hear(g, (g + 1) % 3, (g + 2) % 3);
		g = 0
	   }
	:: atomic {
		select(g : 0 .. 2);
		begin(g);
		g = 0;
		assert(running[0] + running[1] + running[2] <= BOUND)
	   }
	:: atomic {
		ended < ENDS -> select(g : 0 .. 2);
		if
		:: running[g] > 0 -> running[g]--; ended++
		:: else
		fi;
		g = 0
	   }
	od
}

#else

#define MAXAGE 1          /* ticks for which news is used */
#define STANDS 4          /* ticks for which what was heard in a shortage stands */
#define UNTIL (STANDS + 2)

bool high = true;         /* the demand of all */
bool limited;             /* the room is short, as far as the gateway knows */
bool known;               /* the demand of the others was high when they were heard */
byte age;                 /* ticks since then */
byte calm;                /* ticks since the demand is low in which the gateway was awake */

#ifdef FOREVER
#define OLD false
#else
#define OLD (age > STANDS)
#endif

#define LATER (age > STANDS -> age : age + 1)

active proctype gateway()
{
	do
	:: atomic {
		if
		:: known = high; age = 0
		:: age = LATER
		fi;
		if
		:: age <= MAXAGE -> limited = known
		:: age > MAXAGE && limited && !OLD -> limited = known
		:: else -> limited = high
		fi;
		if
		:: high -> calm = 0
		:: else -> calm = (calm < UNTIL -> calm + 1 : calm)
		fi;
		assert(calm < UNTIL || !limited)
	   }
	:: age = LATER /* frozen */
	:: high = !high
	od
}

#endif
