/*
 * A cold endpoint gets no more than twice the rate of a holder, and two requests, in any span of
 * WINDOW ticks, whoever holds it.
 *
 * Model of: balance.rateLimit.startHolding and noteSent, affinity.Held, balance.ColdRate.
 *
 * Three gateways. Which of them consider themselves the holder changes at any time, as they learn
 * late who is alive, die, freeze and wake; at most two do at once. A holder sends one request each
 * INTERVAL ticks, and a new one waits for that long before its first.
 *
 * Mutations: -DNOWAIT lets a new holder send at once; -DEVERYONE lets gateways send that do not
 * hold the endpoint.
 */
#define WINDOW 4
#define INTERVAL 2
#define BOUND (2 * (WINDOW / INTERVAL + 1))

bool holds[3];
byte next[3];             /* ticks until a gateway may send */
byte sent[WINDOW + 1];    /* requests in the last ticks, the latest first */

#define WAIT(g) next[g] = (next[g] > 0 -> next[g] - 1 : 0)

#ifdef NOWAIT
#define FIRST 0
#else
#define FIRST INTERVAL
#endif

inline change(g)
{
	if
	:: holds[g] -> holds[g] = false
	:: !holds[g] && (holds[0] + holds[1] + holds[2] < 2) -> holds[g] = true; next[g] = FIRST
	:: skip
	fi
}

inline send(g)
{
	if
#ifdef EVERYONE
	:: next[g] == 0 -> sent[0]++; next[g] = INTERVAL
#else
	:: holds[g] && next[g] == 0 -> sent[0]++; next[g] = INTERVAL
#endif
	:: skip
	fi
}

active proctype ticks()
{
	do
	:: atomic {
		sent[4] = sent[3]; sent[3] = sent[2]; sent[2] = sent[1]; sent[1] = sent[0]; sent[0] = 0;
		WAIT(0); WAIT(1); WAIT(2);
		send(0); send(1); send(2);
		change(0); change(1); change(2);
		assert(sent[0] + sent[1] + sent[2] + sent[3] + sent[4] <= BOUND)
	   }
	od
}
