/* The limit that an endpoint names, as VMs tell each other (zr_gateway/
 * endpoint_limits.h).
 *
 * The endpoint's limit changes; a VM that gets an answer observes it at that
 * time and tells the other VM if it is a change for it. Messages are late,
 * overtake each other and are lost when the link breaks; a new link begins with
 * all that is known. Either VM gets answers at any time. Checked when the VMs are linked, nothing is in flight and
 * an answer has shown the last change: both VMs know the endpoint's limit.
 *
 * Mutants drop one rule each:
 *   M_LAST_MESSAGE   the last message counts, not the newest observation
 *   M_NO_SNAPSHOT    nothing is told when a link comes up
 *   M_SILENT         an older observation is not answered with a newer one
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef CUTS
#define CUTS 1
#endif
#define OTHER(v) (1 - (v))
#define NONE 255

byte clock = 1;      /* time of the last change */
bool limited = false;
bool shown = true;   /* an answer has shown the last change */

bool known[2];       /* what each VM believes, and when that was observed */
byte at[2];
/* Messages in flight to each VM, by time of observation. */
bool in_flight[2 * (CHANGES + 2)];
bool value[CHANGES + 2]; /* the limit from each time on */
bool linked = true;
byte pending;

#define MESSAGE(v, t) in_flight[(v) * (CHANGES + 2) + (t)]

inline tell(v) {
  if
  :: linked -> MESSAGE(OTHER(v), at[v]) = true
  :: else
  fi
}

#ifdef M_LAST_MESSAGE
#define IS_NEWER(t, v) true
#else
#define IS_NEWER(t, v) ((t) > at[v])
#endif
#ifdef M_SILENT
#define CONTRADICT(v) skip
#else
#define CONTRADICT(v) tell(v)
#endif

inline receive(v, t) {
  MESSAGE(v, t) = false;
  if
  :: value[t] == known[v] && t > at[v] -> at[v] = t
  :: value[t] != known[v] && IS_NEWER(t, v) -> known[v] = value[t]; at[v] = t
  :: value[t] != known[v] && !IS_NEWER(t, v) -> CONTRADICT(v)
  :: else
  fi
}

active proctype Endpoint() {
  do
  :: atomic {
      clock <= CHANGES ->
      clock++;
      limited = !limited;
      value[clock] = limited;
      shown = false
    }
  od
}

proctype Vm(byte v) {
  byte t = 0;
  do
  :: atomic { /* an answer of the endpoint */
      clock > at[v] ->
      shown = true;
      at[v] = clock;
      if
      :: known[v] != limited -> known[v] = limited; tell(v)
      :: else
      fi
    }
  :: atomic {
      linked ->
      t = 0;
      do
      :: t < CHANGES + 1 -> t++
      :: break
      od;
      if
      :: MESSAGE(v, t) -> receive(v, t)
      :: else
      fi;
      t = 0
    }
  od
}

active proctype Link() {
  byte cuts = 0, i = 0;
  do
  :: atomic {
      linked && cuts < CUTS ->
      cuts++;
      linked = false;
      for (i : 0 .. 2 * (CHANGES + 2) - 1) {
        in_flight[i] = false
      };
      i = 0
    }
  :: atomic {
      !linked ->
      linked = true;
#ifndef M_NO_SNAPSHOT
      tell(0);
      tell(1)
#endif
    }
  :: atomic {
      linked && shown ->
      pending = 0;
      for (i : 0 .. 2 * (CHANGES + 2) - 1) {
        pending = pending + in_flight[i]
      };
      i = 0;
      if
      :: pending == 0 ->
        assert(known[0] == limited && known[1] == limited);
#ifdef REACH_CHANGE
        assert(clock <= CHANGES)
#endif
      :: else
      fi;
      pending = 0
    }
  od
}

init {
  atomic {
    run Vm(0);
    run Vm(1)
  }
}
