/*
 * A cold endpoint gets, in any span of WINDOW ticks, no more than twice the rate of a holder in
 * that span and the lifetime of a token, and two requests, whoever holds it.
 *
 * Model of: balance.rateLimit.startHolding, noteSent and grantCold, balance.Balancer.ApplyTokenReply,
 * affinity.Held, balance.ColdRate.
 *
 * Three gateways. Which of them consider themselves the holder changes at any time, as they learn
 * late who is alive, die, freeze and wake; at most two do at once. A holder sends one request, or
 * grants a token for one, each INTERVAL ticks, and a new one waits for that long before its first.
 * A token is valid for LIFETIME ticks after it was granted, also if it arrives late.
 *
 * Mutations: -DNOWAIT lets a new holder send at once; -DEVERYONE lets gateways send that do not
 * hold the endpoint and have no token; -DFREETOKEN grants tokens beside the holder's own requests;
 * -DLATETOKEN counts a token's lifetime from its arrival.
 */
#define WINDOW 4
#define INTERVAL 2
#define LIFETIME 1
#define BOUND (2 * ((WINDOW + LIFETIME) / INTERVAL + 1))

bool holds[3];
byte next[3];             /* ticks until a gateway may send */
byte token[3];            /* ticks until a gateway's token expires */
byte sent[WINDOW + 1];    /* requests in the last ticks, the latest first */

#define WAIT(g) next[g] = (next[g] > 0 -> next[g] - 1 : 0); token[g] = (token[g] > 0 -> token[g] - 1 : 0)

#ifdef LATETOKEN
#define VALID (LIFETIME + INTERVAL + 1)
#else
#define VALID (LIFETIME + 1)
#endif

#ifdef FREETOKEN
#define GRANTED 0
#else
#define GRANTED INTERVAL
#endif

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
	:: token[g] > 0 -> sent[0]++; token[g] = 0
	:: skip
	fi
}

inline grant(g, x, y)
{
	if
	:: holds[g] && next[g] == 0 && token[x] == 0 -> token[x] = VALID; next[g] = GRANTED
	:: holds[g] && next[g] == 0 && token[y] == 0 -> token[y] = VALID; next[g] = GRANTED
	:: skip
	fi
}

active proctype ticks()
{
	do
	:: atomic {
		sent[4] = sent[3]; sent[3] = sent[2]; sent[2] = sent[1]; sent[1] = sent[0]; sent[0] = 0;
		WAIT(0); WAIT(1); WAIT(2);
		grant(0, 1, 2); grant(1, 0, 2); grant(2, 0, 1);
		send(0); send(1); send(2);
		change(0); change(1); change(2);
		assert(sent[0] + sent[1] + sent[2] + sent[3] + sent[4] <= BOUND)
	   }
	od
}
