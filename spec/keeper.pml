/* Keepers of keys over servers that check a fence, as docs/PLATFORM.md has them: one run of
   keys, which servers 0 and 1 may hold. One keeper after the other orders; that no two do at a
   time is keeper-lease.pml's to show. A keeper may be followed between any two steps, and what
   it sent stays under way: grants, and one writing of the table.

   Times are what is left, in ticks, so that time has no end. A grant arrives within WAY ticks
   or never, and is carried out at any time while its lease lasts, which counts from its
   arrival: after newer grants, releases and changes of keeper. Its answer may be lost. A
   release and its answer may take any time or be lost; who waits no longer goes by the clock.
   The table's writing lands at any time while the table is as it was, and its answer may be
   lost. A server may end, and another one answers at its address from then on.

   The store may be restored from a copy: the table is then as it was at some time before, and
   bears the mark of a former era. A keeper that goes on writes its own table again. One that
   follows grants nothing until no lease by a former one can last, whoever it went to. The fences
   of an era are above all of former eras.

   Variants that must fail:
     -DMARGIN=0  no margin for servers with slow clocks
     -DNOFENCE   a keeper that follows keeps the fence of the keys, and reckons with no grant
                 that is without an answer
     -DUNKNOWN   the same with a new fence, in the time before a server has taken it
     -DREFUSED   a connection that is refused is taken for the end of a server
     -DTRUSTS    a release is trusted while a grant by the fence last taken has no answer
     -DNOLAPSE   keys of a server that does not answer are not waited for
     -DUNWRITTEN a keeper that follows does not write the table before it orders
     -DFORGETS   a keeper that follows does not wait for leases by the former one
     -DHASTY     a keeper that follows trusts the table of a former era to show all leases
     -DREUSES    fences go on from the table of a former era */

#ifndef MARGIN
#define MARGIN 1
#endif
#ifndef MAXFENCE
#define MAXFENCE 6
#endif
#define DRIFT 1  /* ticks by which a server's clock may lag over a lease */
#define WAY 1    /* ticks that may pass before a grant arrives */
#ifndef LEASE
#define LEASE 1
#endif
#define SLOTS 3  /* grants under way at once */
#ifndef RESTORES
#define RESTORES 1
#endif

/* How long a lease can last at the server, and how long the keeper waits for its end. */
#define LEASELIFE (LEASE + DRIFT)
#define OVERWAIT (WAY + LEASE + MARGIN)

/* Servers: what is left of the lease, the highest fence seen. */
byte left[2];
byte seen[2];
bool gone[2];

/* The table: one object, changed by conditional update. */
byte tOwner;
byte tFence = 1;
bool tOld;          /* of a former era */
byte highest = 1;   /* the highest fence that a table has ever had */
byte base;          /* the lowest fence of the present era */
byte restores;

/* Grants under way; no life left marks a free slot. */
byte netLeft[SLOTS];
bool netHere[SLOTS];   /* arrived, and not carried out yet */
byte netTo[SLOTS];
byte netFence[SLOTS];
bool netAsked[SLOTS];  /* its keeper waits for the answer */

/* The keeper: what it takes the table to be, and where its move of the keys stands. */
mtype = { TAKES, KEEPS, RELEASES, WAITS, WRITES };
mtype phase = TAKES;
byte kOwner;
byte kFence = 1;
byte others;  /* left until no lease by former keepers can last */

/* Its ledger of the grants of the keys at their owner. */
bool asked;     /* one waits for its answer */
byte over;      /* left until no lease by any of them can last */
byte openFence; /* the highest fence of those without an answer, */
byte openLeft;  /* and left until no lease by those can last */
byte taken;     /* the highest fence that the owner has answered as taken */

/* Its release of the keys. */
mtype = { NONE, SENT, DONE };
mtype release = NONE;

/* The writing of a former keeper that may land. */
mtype = { TAKEOVER, MOVE };
mtype former = 0;

#define other(s) (1 - (s))
#define slot (netLeft[0] == 0 -> 0 : (netLeft[1] == 0 -> 1 : 2))
#define hasSlot (netLeft[2] == 0)
#define lower(n) n = (n > 0 -> n - 1 : 0)
#define max(a, b) ((a) > (b) -> (a) : (b))
#define isFresh (!tOld && kOwner == tOwner && kFence == tFence)

#ifdef TRUSTS
#define isFinal (openLeft == 0 || openFence <= taken)
#else
#define isFinal (openLeft == 0 || openFence < taken)
#endif
#ifdef NOLAPSE
#define isOver true
#else
#define isOver (over == 0)
#endif
#ifdef REFUSED
#define isEnded(s) true
#else
#define isEnded(s) gone[s]
#endif
#ifdef NOFENCE
#define UNKNOWN
#define fenceAfter(f) (f)
#else
#ifdef REUSES
#define fenceAfter(f) ((f) + 1)
#else
#define fenceAfter(f) max((f) + 1, base)
#endif
#endif
#ifdef HASTY
#define mayTakeOver true
#else
#define mayTakeOver (!tOld || others == 0)
#endif

/* The slots stay in the order of sending. */
inline copy(i, j) {
  netLeft[i] = netLeft[j]; netHere[i] = netHere[j]; netTo[i] = netTo[j];
  netFence[i] = netFence[j]; netAsked[i] = netAsked[j]
}

inline clear(i) {
  if
  :: i == 0 -> copy(0, 1)
  :: else
  fi;
  if
  :: i < 2 -> copy(1, 2)
  :: else
  fi;
  netLeft[2] = 0; netHere[2] = false; netTo[2] = 0; netFence[2] = 0; netAsked[2] = false
}

inline unask() {
  asked = false; netAsked[0] = false; netAsked[1] = false; netAsked[2] = false
}

/* The keeper hears no more of the grant that it waits for. */
inline giveUp() {
  openFence = (openLeft > 0 -> max(openFence, kFence) : kFence);
  openLeft = over;
  unask()
}

inline send() {
  netTo[slot] = kOwner; netFence[slot] = kFence; netAsked[slot] = true;
  netLeft[slot] = WAY + 1;
  asked = true;
  over = OVERWAIT
}

/* A server carries a grant out, unless it has seen a higher fence; a keeper that waits may hear of it. */
inline take(i, isHeard) {
  if
  :: netFence[i] >= seen[netTo[i]] ->
     seen[netTo[i]] = netFence[i];
     left[netTo[i]] = max(left[netTo[i]], netLeft[i]);
     assert(left[other(netTo[i])] == 0);
     assert(netFence[i] > seen[other(netTo[i])]);
     if
     :: isHeard -> taken = netFence[i]
     :: else
     fi
  :: else
  fi;
  if
  :: isHeard -> unask()
  :: else
  fi;
  clear(i)
}

inline age(i) {
  lower(netLeft[i]);
  if
  :: netLeft[i] == 0 -> clear(i)
  :: else
  fi
}

/* The table, owner and fence of which are set, is written in the present era. */
inline save() {
  tOld = false;
  highest = max(highest, tFence);
  former = 0
}

/* The table is as some writing before left it. */
inline restore(owner) {
  tOwner = owner; tFence = 1; tOld = true;
  base = highest + 1;
  former = 0;
  restores++
}

/* All grants that former keepers sent may be carried out still. */
inline assume() {
#ifndef UNKNOWN
  openFence = tFence; openLeft = OVERWAIT;
#endif
#ifndef FORGETS
  over = OVERWAIT;
#endif
  skip
}

inline forget() {
  unask();
  over = 0; openFence = 0; openLeft = 0; taken = 0;
  release = NONE
}

/* The keeper takes the table in, and gives the keys to whom it names. */
inline read() {
  kOwner = tOwner; kFence = tFence;
  phase = KEEPS
}

inline decline(i, s) {
  if
  :: netLeft[i] > 0 && netTo[i] == s -> clear(i)
  :: else
  fi
}

inline crash(s) {
  gone[s] = true; left[s] = 0;
  decline(2, s);
  decline(1, s);
  decline(0, s)
}

inline arrive(i) {
  d_step { netLeft[i] > 0 && !netHere[i] -> netHere[i] = true; netLeft[i] = LEASELIFE }
}

proctype Time() {
end:
  do
  :: d_step {
       age(2);
       age(1);
       age(0);
       lower(left[0]);
       lower(left[1]);
       lower(over);
       lower(others);
       lower(openLeft);
       openFence = (openLeft == 0 -> 0 : openFence) }
  od
}

proctype Servers() {
end:
  do
  /* Grants arrive, are carried out with an answer or without, or are lost. */
  :: arrive(0)
  :: arrive(1)
  :: arrive(2)
  :: d_step { netHere[0] -> take(0, netAsked[0]) }
  :: d_step { netHere[1] -> take(1, netAsked[1]) }
  :: d_step { netHere[2] -> take(2, netAsked[2]) }
  :: d_step { netHere[0] && netAsked[0] -> take(0, false) }
  :: d_step { netHere[1] && netAsked[1] -> take(1, false) }
  :: d_step { netHere[2] && netAsked[2] -> take(2, false) }
  :: d_step { netLeft[0] > 0 && !netAsked[0] -> clear(0) }
  :: d_step { netLeft[1] > 0 && !netAsked[1] -> clear(1) }
  :: d_step { netLeft[2] > 0 && !netAsked[2] -> clear(2) }
  :: d_step { release == SENT && !gone[kOwner] -> left[kOwner] = 0; release = DONE }
  :: d_step { !gone[0] && !gone[1] -> crash(0) }
  :: d_step { !gone[0] && !gone[1] -> crash(1) }
  od
}

proctype Store() {
end:
  do
  :: d_step { restores < RESTORES && highest + 1 < MAXFENCE -> restore(0) }
  :: d_step { restores < RESTORES && highest + 1 < MAXFENCE -> restore(1) }
  od
}

proctype Keeper() {
end:
  do
  /* Takes over: the keys get a new fence, and all grants by former ones may be carried out still. */
#ifdef UNWRITTEN
  :: d_step { phase == TAKES ->
       assume();
       read() }
#else
  :: d_step { phase == TAKES && mayTakeOver && highest < MAXFENCE ->
       assume();
       tFence = fenceAfter(tFence); save();
       read() }
  :: d_step { phase == TAKES && mayTakeOver && highest < MAXFENCE -> tFence = fenceAfter(tFence); save() }
#endif

  /* Grants, first or again. */
  :: d_step { phase == KEEPS && !asked && hasSlot && !gone[kOwner] -> send() }
  :: d_step { asked -> giveUp() }

  /* Moves the keys to the other server. */
  :: d_step { phase == KEEPS && !asked && !gone[other(kOwner)] && highest < MAXFENCE ->
       phase = RELEASES; release = SENT }
  :: d_step { phase == RELEASES && release == DONE ->
       phase = (isFinal -> WRITES : WAITS); release = NONE }
  :: d_step { phase == RELEASES -> phase = WAITS; release = NONE }
  :: d_step { phase == RELEASES && isEnded(kOwner) -> phase = WRITES; release = NONE }
  :: d_step { phase == WAITS && isOver -> phase = WRITES }

  /* Its writing lands with an answer, */
  :: d_step { phase == WRITES && isFresh && highest < MAXFENCE ->
       tOwner = other(tOwner); tFence = tFence + 1; save();
       forget();
       read() }
  /* or without one; it hears of the table's change, whoever made it. */
  :: d_step { phase == WRITES && isFresh && highest < MAXFENCE -> tOwner = other(tOwner); tFence = tFence + 1; save() }
  :: d_step { phase != TAKES && !isFresh && !tOld ->
       forget();
       read() }
  /* It hears of a restore, and goes on from its own table. Grants by its fence may have no answer. */
  :: d_step { phase != TAKES && tOld && highest < MAXFENCE ->
       openFence = max(kFence, openFence); openLeft = OVERWAIT; over = OVERWAIT;
       unask();
       release = NONE;
       tOwner = kOwner; tFence = fenceAfter(kFence); save();
       read() }

  /* A former one's writing lands, as the table is as it knew it, or never. */
  :: d_step { former == MOVE && highest < MAXFENCE -> tOwner = other(tOwner); tFence = tFence + 1; save() }
  :: d_step { former == TAKEOVER && highest < MAXFENCE -> tFence = fenceAfter(tFence); save() }

  /* Is followed by another one. */
  :: d_step { phase != TAKES || former == 0 ->
       former = (phase == TAKES ->
         (mayTakeOver -> TAKEOVER : 0) : (phase == WRITES && isFresh -> MOVE : former));
       forget();
       kOwner = 0; kFence = 0;
       others = OVERWAIT;
       phase = TAKES }
  od
}

init {
  atomic { run Time(); run Servers(); run Store(); run Keeper() }
}
