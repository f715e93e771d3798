/* The lease under which one keeper at a time orders, as docs/PLATFORM.md has it: an object in
   the store that its holder changes at every beat, and that another daemon takes once it has
   heard of no change for a lease and a margin, or that it was stood down from. Two daemons; a
   former run of a daemon is over when the next one begins on its VM.

   Times are what is left, in ticks, so that time has no end. A beat lands at any time while the
   object is as its sender knew it, or never; who sent it hears of that at any time, or never,
   and so does the other one. The lease counts from the sending.

   The store may be restored from a copy at any time, again and again: the object is then as it
   was at some time before, and bears the mark of a former era, as a change does that was sent
   in a former era. Such a change lands whatever the object has become, since the store may have
   given its number out again. A daemon that has not heard of the restore goes on as before.

   Variants that must fail:
     -DMARGIN=0  no margin for clocks that run apart
     -DLANDED    the lease counts from the landing of the beat
     -DBLIND     changes land whatever the object has become
     -DKEEPS     who stands down goes on until the end of its lease
     -DCOPIED    an object of a former era counts like one of the present */

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

/* Eras of the store. */
bool isOld;         /* the object was written in a former era */
bool isKnownOld[2]; /* as a daemon heard it last */
bool isUnaware[2];  /* of the present era */
bool sentOld[2];    /* its changes were sent in a former era */
bool strayOld[2];

#define other(d) (1 - (d))
#define name(d) ((d) == 0 -> FIRST : SECOND)
#define lower(n) n = (n > 0 -> n - 1 : 0)
#ifdef COPIED
#define isPresent(d) true
#else
#define isPresent(d) (!isKnownOld[d])
#endif
#define mayTake(d) ((isPresent(d) && (known[d] == NOBODY || known[d] == name(d))) || quiet[d] == 0)
#define maySend(d) (sent[d] == 0 && (fresh[d] || isUnaware[d]))

#ifdef BLIND
#define isKnown(d) true
#else
#define isKnown(d) fresh[d]
#endif

/* A change of d lands: no other one can any more, and nobody knows of it yet. */
inline land(d, change, isNewest, isOfFormerEra) {
  holder = (change == BEAT -> name(d) : NOBODY);
  isOld = isOfFormerEra;
  isOurs[d] = isNewest && change == BEAT && !isOfFormerEra;
  isOurs[other(d)] = false;
  fresh[0] = false; fresh[1] = false;
#ifndef BLIND
  stray[0] = (strayOld[0] -> stray[0] : 0);
  stray[1] = (strayOld[1] -> stray[1] : 0)
#endif
}

inline giveUp(d) {
  strayOld[d] = ((isKnown(d) || sentOld[d]) && sent[d] != 0 -> sentOld[d] : strayOld[d]);
  stray[d] = ((isKnown(d) || sentOld[d]) && sent[d] != 0 -> sent[d] : stray[d]);
  sent[d] = 0; sentOld[d] = false
}

/* The object is as it was when d, or nobody, had changed it last. */
inline restore(last) {
  holder = last;
  isOld = true;
  isOurs[0] = false; isOurs[1] = false;
  fresh[0] = false; fresh[1] = false;
  isUnaware[0] = true; isUnaware[1] = true;
  sentOld[0] = true; sentOld[1] = true;
  strayOld[0] = true; strayOld[1] = true
}

/* d hears of the object as it is. */
inline hear(d) {
  fresh[d] = true;
  known[d] = holder;
  isKnownOld[d] = isOld;
  isUnaware[d] = false;
  quiet[d] = WAIT;
  if
  :: sentOld[d] -> giveUp(d)
  :: else -> sent[d] = 0
  fi;
  if
#ifndef COPIED
  :: isOld -> skip
#endif
  :: isOurs[d] ->
#ifdef LANDED
     left[d] = LEASELIFE
#else
     left[d] = sentLeft[d]
#endif
#ifdef COPIED
  :: holder != name(d) -> left[d] = 0
#else
  :: !isOld && holder != name(d) -> left[d] = 0
#endif
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
  :: d_step { maySend(d) && (left[d] > 0 || mayTake(d)) ->
       sent[d] = BEAT; sentOld[d] = isUnaware[d]; sentLeft[d] = LEASELIFE; isOurs[d] = false }
  :: d_step { maySend(d) && left[d] > 0 ->
       sent[d] = STANDDOWN; sentOld[d] = isUnaware[d]; isOurs[d] = false;
#ifndef KEEPS
       left[d] = 0
#endif
     }
  :: d_step { sent[d] != 0 && (isKnown(d) || sentOld[d]) ->
       land(d, sent[d], true, sentOld[d]); sent[d] = 0; sentOld[d] = false }
  :: d_step { stray[d] != 0 -> land(d, stray[d], false, strayOld[d]); stray[d] = 0; strayOld[d] = false }
  :: d_step { !fresh[d] -> hear(d) }
  :: d_step { sent[d] != 0 -> giveUp(d) }
  :: d_step { stray[d] != 0 -> stray[d] = 0; strayOld[d] = false }
  /* Ends, and starts again: the next run knows nothing of the beats of the last. */
  :: d_step { left[d] = 0; giveUp(d); sentLeft[d] = 0; isOurs[d] = false;
       fresh[d] = false; known[d] = NOBODY; quiet[d] = 0;
       isKnownOld[d] = false; isUnaware[d] = false }
  od
}

proctype Store() {
end:
  do
  :: d_step { restore(NOBODY) }
  :: d_step { restore(FIRST) }
  :: d_step { restore(SECOND) }
  od
}

init {
  atomic { run Time(); run Store(); run Daemon(0); run Daemon(1) }
}
