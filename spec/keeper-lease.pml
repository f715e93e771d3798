/* The lease under which one keeper at a time orders, as docs/PLATFORM.md has it: an object in
   the store that its holder changes at every beat, and that another daemon takes once it has
   heard of no change for a lease and a margin, or that it was stood down from. Two daemons; a
   former run of a daemon is over when the next one begins on its VM.

   Times are what is left, in ticks, so that time has no end. A beat lands at any time while the
   object is as its sender knew it, or never; who sent it hears of that at any time, or never,
   and so does the other one. The lease counts from the sending.

   Variants that must fail:
     -DMARGIN=0  no margin for clocks that run apart
     -DLANDED    the lease counts from the landing of the beat
     -DBLIND     changes land whatever the object has become
     -DKEEPS     who stands down goes on until the end of its lease */

#ifndef MARGIN
#define MARGIN 1
#endif
#define DRIFT 1  /* ticks by which the holder's clock may lag over a lease */
#define LEASE 2

/* How long the lease can last for its holder, and how long another one waits. */
#define LEASELIFE (LEASE + DRIFT)
#define WAIT (LEASE + MARGIN)

/* The object: whose last change it holds. */
mtype = { NOBODY, FIRST, SECOND };
mtype holder = NOBODY;

/* What each daemon knows and has done. */
byte left[2];    /* of its lease */
byte quiet[2];   /* left until it may take the other one's lease */
bool fresh[2] = true;  /* knows the object as it is */
mtype known[2] = NOBODY;
mtype = { BEAT, STANDDOWN };
mtype sent[2];   /* its change that may land */
mtype stray[2];  /* another one, which it has given up and which may land all the same */
byte sentLeft[2];  /* of the lease by its newest beat */
bool isOurs[2];  /* that beat is the object's last change */

#define other(d) (1 - (d))
#define name(d) ((d) == 0 -> FIRST : SECOND)
#define lower(n) n = (n > 0 -> n - 1 : 0)
#define mayTake(d) (known[d] == NOBODY || known[d] == name(d) || quiet[d] == 0)

#ifdef BLIND
#define isKnown(d) true
#else
#define isKnown(d) fresh[d]
#endif

/* A change of d lands: no other one can any more, and nobody knows of it yet. */
inline land(d, change, isNewest) {
  holder = (change == BEAT -> name(d) : NOBODY);
  isOurs[d] = isNewest && change == BEAT;
  isOurs[other(d)] = false;
  fresh[0] = false; fresh[1] = false;
#ifndef BLIND
  stray[0] = 0; stray[1] = 0
#endif
}

inline giveUp(d) {
  stray[d] = (isKnown(d) && sent[d] != 0 -> sent[d] : stray[d]);
  sent[d] = 0
}

/* d hears of the object as it is. */
inline hear(d) {
  fresh[d] = true;
  known[d] = holder;
  quiet[d] = WAIT;
  sent[d] = 0;
  if
  :: isOurs[d] ->
#ifdef LANDED
     left[d] = LEASELIFE
#else
     left[d] = sentLeft[d]
#endif
  :: holder != name(d) -> left[d] = 0
  :: else
  fi;
  assert(left[0] == 0 || left[1] == 0)
}

proctype Time() {
end:
  do
  :: d_step {
       lower(left[0]); lower(left[1]);
       lower(quiet[0]); lower(quiet[1]);
       lower(sentLeft[0]); lower(sentLeft[1]) }
  od
}

proctype Daemon(byte d) {
end:
  do
  :: d_step { sent[d] == 0 && fresh[d] && (left[d] > 0 || mayTake(d)) ->
       sent[d] = BEAT; sentLeft[d] = LEASELIFE; isOurs[d] = false }
  :: d_step { sent[d] == 0 && fresh[d] && left[d] > 0 ->
       sent[d] = STANDDOWN; isOurs[d] = false;
#ifndef KEEPS
       left[d] = 0
#endif
     }
  :: d_step { sent[d] != 0 && isKnown(d) -> land(d, sent[d], true); sent[d] = 0 }
  :: d_step { stray[d] != 0 -> land(d, stray[d], false); stray[d] = 0 }
  :: d_step { !fresh[d] -> hear(d) }
  :: d_step { sent[d] != 0 -> giveUp(d) }
  :: d_step { stray[d] != 0 -> stray[d] = 0 }
  /* Ends, and starts again: the next run knows nothing of the beats of the last. */
  :: d_step { left[d] = 0; giveUp(d); sentLeft[d] = 0; isOurs[d] = false;
       fresh[d] = false; known[d] = NOBODY; quiet[d] = 0 }
  od
}

init {
  atomic { run Time(); run Daemon(0); run Daemon(1) }
}
