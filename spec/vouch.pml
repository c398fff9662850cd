/*
 * A gateway that died is forgotten by all of its zone, and one that lives is believed
 * alive by all while at least one relay hears it.
 *
 * Model of: member.Table.firstHand, alive, rolls and expireRelays (member/relay.go).
 *
 * Two relays of one zone hear a gateway's heartbeats, each of which either may lose.
 * In each round they tell each other, and a third gateway that hears no heartbeats, whom
 * they believe alive. A relay may be cut off so that it hears nobody and is still heard.
 * What is heard or told counts for LIMIT rounds.
 *
 * Safety: while the gateway lives and a relay that tells hears it, the third gateway
 * believes it alive. Liveness (ltl forgotten): once it is dead, nobody does in the end.
 * Mutations: -DSECONDHAND lets relays tell what they were told, so that two keep a dead
 * gateway alive by each other's word; -DONEWORD lets the word of one relay, who does not
 * name the gateway, count against that of the other.
 */
#define LIMIT 2

bool living = true;
byte heard[2];           /* for how many more rounds a relay believes by its own ears */
byte told[2];            /* and by the other relay's word */
byte third[2];           /* for how many more rounds the third does by each relay's word */
bool deaf[2];            /* a relay hears nobody */

#define COUNT(x) if :: x > 0 -> x-- :: else fi
#ifdef SECONDHAND
#define TELLS(i) (heard[i] > 0 || told[i] > 0)
#else
#define TELLS(i) (heard[i] > 0)
#endif
#ifdef ONEWORD
#define BELIEVES (third[0] > 0 && third[1] > 0)
#else
#define BELIEVES (third[0] > 0 || third[1] > 0)
#endif

inline relay(i)
{
	COUNT(heard[i]);
	COUNT(told[i]);
	if
	:: living && !deaf[i] -> heard[i] = LIMIT
	:: living && heard[i] > 1 -> skip          /* one heartbeat is lost, and no two in a row */
	:: !living || deaf[i] -> skip
	fi
}

inline tell(i)
{
	COUNT(third[i]);
	if
	:: TELLS(i) -> told[1 - i] = LIMIT; third[i] = LIMIT
	:: else
	fi
}

active proctype rounds()
{
	/* they have heard each other before anything happens */
	atomic { heard[0] = LIMIT; heard[1] = LIMIT; third[0] = LIMIT; third[1] = LIMIT }
	do
	:: atomic {
		if
		:: living -> living = false
		:: living && !deaf[1] -> deaf[0] = true
		:: living && !deaf[0] -> deaf[1] = true
		:: skip
		fi;
		relay(0); relay(1); tell(0); tell(1);
		assert(!living || BELIEVES)
	   }
	od
}

#define GONE (!heard[0] && !heard[1] && !told[0] && !told[1] && !third[0] && !third[1])
#ifdef LIVE
ltl forgotten { [] (!living -> <> GONE) }
#endif
