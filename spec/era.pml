/*
 * The store returns from a copy: its revisions go back and are given out again.
 * Every gateway ends up with what the store has, and none ever takes a copy of
 * a former era for a newer one.
 *
 * Model of: mirror.Position.After, mirror.Mirror.list, apply and ReplaceIfNewer
 * (mirror/mirror.go), platform.source.Watch (platform/source.go) and
 * replica.Syncer.Fetch (gateway/replica/syncer.go).
 *
 * One object is written by an operator; its content is the number of the write.
 * The store keeps one copy and returns from it up to twice; what was lost may
 * or may not be written again. Gateway 0 lists and watches, the others take
 * copies from each other. An answer may be on its way while the store returns.
 *
 * Safety: no gateway replaces a copy by one that the store had before it.
 * Liveness (ltl follow): in the end every gateway has the store's content.
 * Mutations: -DREVISIONS compares revisions alone; -DNOERA lets a watch go on
 * from a revision of a former era; -DANYCOPY takes any copy of a peer.
 */
#define N 3
byte era = 1, rev = 1, content = 1;      /* the store */
byte oldRev = 1, oldContent = 1;         /* its copy */
byte writes = 1, returns = 0;
bool finished = false;

byte hEra[N], hRev[N], hContent[N];      /* what gateways hold; revision 0: nothing */
byte order[N];                           /* when the store had what they hold */
byte clock = 1;                          /* counts the states of the store */

#ifdef REVISIONS
#define after(e, r, f, s) (r > s)
#else
#define after(e, r, f, s) (e > f || (e == f && r > s))
#endif
#ifdef ANYCOPY
#define newer(g, h) (hRev[g] > 0 && hRev[g] != hRev[h])
#else
#define newer(g, h) (after(hEra[g], hRev[g], hEra[h], hRev[h]))
#endif

active proctype operator() {
  do
  :: writes < 4 -> atomic { writes++; rev++; clock++; content = writes }
  :: atomic { oldRev = rev; oldContent = content }
  :: returns < 2 -> atomic { returns++; era++; clock++; rev = oldRev; content = oldContent }
  :: break
  od;
  finished = true
}

inline take(g, e, r, c, o) {
  atomic {
    if
#ifdef ANYCOPY
    :: g > 0 || after(e, r, hEra[g], hRev[g]) ->
#else
    :: after(e, r, hEra[g], hRev[g]) ->
#endif
       assert(o >= order[g]);
       hEra[g] = e; hRev[g] = r; hContent[g] = c; order[g] = o
    :: else
    fi
  }
}

/* gateway 0: a list, or a watch from what it holds, whose answer may be late */
active proctype watcher() {
  byte e, r, c, o;
  do
  ::
#ifdef NOERA
     atomic { hRev[0] == 0 || hRev[0] < rev || rev < hRev[0] ->
#else
     atomic { hRev[0] == 0 || hRev[0] != rev || hEra[0] != era ->
#endif
       e = era; r = rev; c = content; o = clock };
     take(0, e, r, c, o)
  od
}

/* the others fetch from any gateway; a copy may be late */
active [2] proctype peer() {
  byte e, r, c, o;
  byte me = _pid - 1;
  do
  :: atomic { newer(0, me) -> e = hEra[0]; r = hRev[0]; c = hContent[0]; o = order[0] };
     take(me, e, r, c, o)
  :: atomic { newer(N - me, me) ->
       e = hEra[N - me]; r = hRev[N - me]; c = hContent[N - me]; o = order[N - me] };
     take(me, e, r, c, o)
  od
}

ltl follow { (<> finished) -> <> [] (hContent[0] == content && hContent[1] == content && hContent[2] == content) }
