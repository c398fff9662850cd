/*
 * The configuration has one order, never goes back, and is in force everywhere
 * once faults stop.
 *
 * Model of: commit.Committer.Commit and try (commit/commit.go), snapshot.Next
 * and snapshot.Holder.Advance (snapshot/change.go, snapshot/holder.go) and
 * entry.spreader.exchange and absorb (entry/spread.go).
 *
 * Two operators each get one change accepted through the platform by a
 * conditional write. A write's answer may be lost whether or not the write was
 * taken, and a write that was sent may be taken late. The platform may be down
 * in between. Three processes hold snapshots; one watches the platform, the
 * others learn from exchanges.
 *
 * Safety: each change is accepted at most once (no blind repetition), a
 * process never goes back, and a writer that is told "accepted" finds its
 * change in the head.
 * Liveness (ltl inforce): in the end every process has the newest head.
 * Mutations: -DNOREADBACK repeats a write of unknown outcome on top of the
 * newest head without looking for its mark; -DNOADVANCE takes any snapshot
 * that arrives; -DNOSPREAD leaves one process out of the exchanges (caught by
 * the liveness property).
 */
byte version = 0;        /* the platform's version = revision of the head */
byte applied[2] = 0;     /* how often each operator's change is in the head */
byte held[3] = 0;        /* revision that each process holds */
byte high[3] = 0;        /* the highest that it ever held */
byte downs = 0;
bool down = false;
bool finished[2];

active [2] proctype operator() {
  byte me = _pid;
  byte read;
  bool marked;
  byte tries = 0;
  do
  :: tries < 3 ->
     tries++;
     atomic { !down -> read = version; marked = (applied[me] > 0) };
     if
#ifndef NOREADBACK
     :: marked -> break
     :: else ->
#else
     :: true ->
#endif
       /* conditional write */
       if
       :: atomic { !down && version == read -> version++; applied[me]++; assert(applied[me] <= 1) };
          if
          :: break                /* answer arrives: accepted */
          :: skip                 /* answer lost: look again */
          fi
       :: atomic { version != read -> skip } /* certain conflict: look again */
       :: skip                    /* lost on the way there */
       fi
     fi
  :: tries == 3 -> break
  od;
  finished[me] = true
}

active proctype platform() {
  do
  :: downs < 1 -> atomic { downs++; down = true }; down = false
  :: finished[0] && finished[1] -> break
  od
}

inline learn(p, r) {
  atomic {
#ifndef NOADVANCE
    if :: r > held[p] -> held[p] = r :: else fi;
#else
    held[p] = r;
#endif
    assert(held[p] >= high[p]);
    high[p] = held[p]
  }
}

/* process 0 watches; the answer may be old by the time it arrives */
active proctype watcher() {
  byte seen;
  do
  :: atomic { !down && held[0] != version -> seen = version };
     learn(0, seen)
  od
}

/* processes 1 and 2 exchange with others */
active proctype spread() {
  byte a;
  do
  :: atomic { held[1] < held[0] -> a = held[0] }; learn(1, a)
#ifndef NOSPREAD
  :: atomic { held[2] < held[1] -> a = held[1] }; learn(2, a)
#endif
  :: atomic { held[1] < held[2] -> a = held[2] }; learn(1, a)
  od
}

/* a snapshot that was sent long ago arrives now */
active proctype late() {
  byte old;
  old = held[0];
  learn(1, old);
  old = held[1];
  learn(2, old)
}

ltl inforce { (<> (finished[0] && finished[1])) -> <> [] (held[0] == version && held[1] == version && held[2] == version) }
