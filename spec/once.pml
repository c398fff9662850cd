/*
 * A request that must not be repeated runs at most once.
 *
 * Model of: ticket.Ledger.Mint, Begin and Finish (ticket/ledger.go),
 * caller.Handler.serveOnce and caller.Relay.pass (caller/serve.go,
 * caller/relay.go), dispatch.mayRetry (dispatch/dispatch.go) and
 * verdict.Classify (verdict/classify.go).
 *
 * One request with one ticket, minted in the first life of entry 0. The caller
 * submits it up to three times, through either entry. Entry 0 may be restarted
 * (a new life) at any moment. An attempt at an endpoint runs or is refused;
 * its answer may be lost; a run may be retried only after "not run". Entries
 * pause at any step, since steps interleave freely.
 *
 * Safety: the request runs at most once, and when a submission ends as "not
 * run", no submission has run it.
 * Mutations: -DNOLIFE lets a new life run tickets of the old one; -DRETRYALL
 * retries after a lost answer; -DFORGET forgets a used ticket when its answer
 * was lost.
 */
#define SUBMITS 3

byte life = 1;       /* the life of entry 0 */
bool used = false;   /* the ledger of the present life */
bool busy = false;   /* a run of the ticket is under way in this life */
byte runs = 0;       /* how often an engine ran the request */
byte restarts = 0;

mtype = { notrun, ran, mayhaverun };

/* attempt: forward.Forwarder.Do and agent.runner.serve */
inline attempt(v) {
  if
  :: v = notrun                     /* refused, or no connection */
  :: atomic { runs++; v = ran }
  :: atomic { runs++; v = mayhaverun } /* ran, answer lost */
  :: v = mayhaverun                 /* sent, cut before it ran */
  fi;
  assert(runs <= 1)
}

proctype submission() {
  mtype v = mayhaverun;
  byte mylife;
  byte tries = 0;
  atomic {
    /* Begin */
    mylife = life;
    if
#ifndef NOLIFE
    :: life != 1 -> v = mayhaverun; goto told  /* stale ticket */
#endif
    :: used -> v = mayhaverun; goto told       /* used before, or running */
    :: else -> used = true; busy = true
    fi
  };
again:
  tries++;
  attempt(v);
  if
#ifdef RETRYALL
  :: v != ran && tries < 2 -> goto again
#else
  :: v == notrun && tries < 2 -> goto again
#endif
  :: else
  fi;
  atomic {
    /* the verdict is fixed here; "not run" must be true of all there was */
    assert(v != notrun || runs == 0);
    /* Finish, if the life that began the run still stands */
    if
    :: mylife == life ->
       busy = false;
#ifdef FORGET
       if :: v != ran -> used = false :: else fi
#else
       if :: v == notrun -> used = false :: else fi
#endif
    :: else
    fi
  };
told:
  skip
}

active proctype caller() {
  byte n = 0;
  do
  :: n < SUBMITS -> n++; run submission()
  :: n == SUBMITS -> break
  od
}

active proctype fault() {
  do
  :: restarts < 2 -> atomic { restarts++; life++; used = false; busy = false }
  :: break
  od
}
