/*
 * Orders to an engine: epochs, a holder that pauses, lost answers, and an
 * engine that does not check.
 *
 * Model of: agent.fence.learn, agent.fence.learnEngine, agent.fence.order
 * (agent/fence.go), agent.loader.apply (agent/loader.go) and
 * entry.Service.Report with entry.spreader.behind (entry/service.go,
 * entry/spread.go).
 *
 * An operator accepts configurations 1..MAXREV; configuration r says "load
 * version r". Two entries learn them late. One agent at a time runs on the VM
 * (the slot is one listening port); it may be killed at any moment, also while
 * an order is under way, and starts empty. It may pause between any two steps.
 * The engine may or may not check the fence (CHECKS). An answer to an order
 * may be lost.
 *
 * Safety: the engine never goes back to an older version.
 * Mutations: -DNOFENCE removes the agent's own check, -DNOBEHIND lets an entry
 * that knows of a newer configuration answer with its older one.
 */
#define MAXREV 3
#ifndef CHECKS
#define CHECKS 0
#endif

byte head = 1;          /* revision accepted by the platform */
byte entryRev[2] = 1;   /* what each entry has */
byte entryFloor[2] = 1; /* the highest that each entry has heard of */
byte engineEpoch = 0;   /* kept by an engine that checks */
byte loaded = 0;        /* what the engine serves */

byte fence = 0;         /* the agent's fence; 0 after a restart */
byte directive = 0;     /* what the agent was told */
byte kills = 0;

inline max_to(x, y) { x = (x < y -> y : x) }

active proctype operator() {
  do
  :: head < MAXREV -> head++
  :: head == MAXREV -> break
  od
}

/* entry: snapshot.Holder.Advance, spreader.absorb */
active [2] proctype entry() {
  byte me = _pid - 1;
  do
  :: atomic { entryRev[me] < head -> entryRev[me]++; max_to(entryFloor[me], entryRev[me]) }
  :: entryRev[me] == MAXREV -> break
  od
}

/* report: the agent tells an entry its revision and gets a directive */
inline report(e) {
  atomic {
    max_to(entryFloor[e], directive);
    max_to(entryFloor[e], loaded); /* the record of the agent's life before */
#ifndef NOBEHIND
    behind = (entryRev[e] < entryFloor[e]);
#endif
    if
    :: !behind && entryRev[e] >= directive -> directive = entryRev[e]; max_to(fence, directive)
    :: behind || entryRev[e] < directive
    fi
  }
}

/* order: the agent's check, then the engine's, then the load */
inline order() {
  atomic {
    refused = false;
#ifndef NOFENCE
    refused = (want < fence);
#endif
    refused = (refused || (CHECKS && want < engineEpoch));
    if
    :: refused
    :: !refused ->
       max_to(fence, want);
       assert(want >= loaded);
       loaded = want;
       max_to(engineEpoch, want)
    fi
  }
}

active proctype agent() {
  byte want;
  bool behind = false;
  bool refused = false;
restart:
  atomic { fence = 0; directive = 0; want = 0 };
  do
  :: report(0)
  :: report(1)
  :: directive > 0 ->
     want = directive;
     /* learnEngine: an engine that checks tells its epoch */
     fence = (CHECKS && fence < engineEpoch -> engineEpoch : fence);
     /* the loader may pause here for any time, while directives still come */
     if
     :: report(0)
     :: report(1)
     :: skip
     fi;
     order()
  :: kills < 2 -> kills++; goto restart
  :: loaded == MAXREV -> break
  od
}
