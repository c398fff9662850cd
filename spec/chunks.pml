/*
 * No mixed load: a version that changes while it is copied, corrupt chunks,
 * and members that hold pieces of either version.
 *
 * Model of: weights.Set.Put and Complete, weights.Set.VerifyWhole
 * (weights/set.go), swarm.Download.handleChunk and readOrigin (swarm/fetch.go,
 * swarm/readorigin.go) and agent.loader.load (agent/loader.go).
 *
 * Two members and an origin; two versions of two chunks each. A chunk's
 * content is the version it belongs to (1 or 2), or 0 when it is corrupt.
 * Member m's set is bound to version bound[m] by its manifest's digests. The
 * origin changes from version 1 to version 2 at any moment. Members are bound
 * anew (a new rollout) at any moment.
 *
 * Safety: a member loads only if both chunks are of the version it is bound to.
 * Mutations: -DNOVERIFY accepts chunks without checking their digest;
 * -DNOCOMPLETE loads without a complete set; -DREUSE keeps the chunks of the
 * old version when a member is bound to a new one.
 */
byte originVersion = 1;
byte bound[2] = 1;
/* chunk[m*2+i]: 255 absent, else its content */
byte chunk[4] = 255;
byte changes = 0;

inline put(m, i, content) {
  atomic {
    if
#ifndef NOVERIFY
    :: content != bound[m] -> skip        /* digest does not match */
    :: else -> chunk[m*2+i] = content
#else
    :: true -> chunk[m*2+i] = content
#endif
    fi
  }
}

active [2] proctype member() {
  byte me = _pid;
  byte i;
  byte got;
  byte steps = 0;
  do
  :: steps < 6 ->
     steps++;
     if :: i = 0 :: i = 1 fi;
     if
     :: got = originVersion               /* read from the origin */
     :: got = chunk[(1-me)*2+i]           /* from the other member */
     :: got = 0                           /* corrupt on the way */
     fi;
     /* anything may happen between the read and the acceptance */
     if :: got != 255 -> put(me, i, got) :: else fi
  :: atomic { bound[me] == 1 && steps < 6 -> bound[me] = 2;
#ifndef REUSE
       chunk[me*2] = 255; chunk[me*2+1] = 255
#endif
     }
  :: atomic {
#ifndef NOCOMPLETE
       chunk[me*2] != 255 && chunk[me*2+1] != 255 ->
#else
       chunk[me*2] != 255 || chunk[me*2+1] != 255 ->
#endif
       /* load */
       assert(chunk[me*2] == bound[me] && chunk[me*2+1] == bound[me]);
       break }
  :: steps == 6 -> break
  od
}

active proctype publisher() {
  if
  :: originVersion = 2
  :: skip
  fi
}
