/*
 * At-most-once records (docs/design.md, section 5.6; modules/zr_records).
 *
 * ATTEMPTS calls with one idempotency key run concurrently or one after the
 * other, through any VMs. Whether another VM is believed dead is arbitrary, and
 * the retention sweeper may delete a claimed or released record at any time.
 *
 * A pause is any delay between two steps. A crash, a lost answer of the service
 * and the end of the background window need no step of their own: they are runs
 * in which a process takes no further step, and safety is checked in every
 * reachable state. A write with an unknown outcome is put into `delayed`, from
 * where it takes effect at once, later or never; a newer one replaces it, which
 * stands for its loss.
 *
 * The store's versions never recur. The model therefore keeps, in place of
 * version numbers, one bit that says whether a remembered version is still the
 * current one (known_fresh, delayed_fresh). "Must be absent" is a condition on
 * the object and can hold again after a deletion.
 *
 * Checked: the service runs the operation at most once; "not run" is true for
 * the call, and for the key when the record was last known; an attempt that has
 * released its record leaves no delayed write that could still take effect, except
 * a claim of another attempt's claimed or released record.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

#define ABSENT 0
#define CLAIMED 1
#define DISPATCHED 2
#define DONE 3
#define RELEASED 4

#define OK 0
#define CONFLICT 1
#define UNKNOWN 2

#define ACQUIRE 0
#define STORE_OUTCOME 1
#define RELEASE 2

#define NOBODY 7

/* The store's object. */
byte rec_state = ABSENT;
byte rec_owner = NOBODY;

/* What each attempt knows of it. */
byte known_state[ATTEMPTS];
byte known_owner[ATTEMPTS];
bool known_fresh[ATTEMPTS];

/* One write with an unknown outcome for each attempt. */
bool delayed[ATTEMPTS];
byte delayed_state[ATTEMPTS];
bool delayed_absent[ATTEMPTS]; /* conditional on the object's absence */
bool delayed_fresh[ATTEMPTS];

#ifdef ONLY_AT_MOST_ONCE
#define CHECK(condition) skip /* a mutant has to break at_most_once itself */
#else
#define CHECK(condition) assert(condition)
#endif

byte executions = 0;
#ifdef MAX_UNKNOWN
byte unknown_left = MAX_UNKNOWN; /* writes with an unknown outcome, in all */
#endif

#if defined(M_UNCONDITIONAL)
#define MATCHES(i) true
#define DELAYED_MATCHES(i) true
#elif defined(M_MATCH_STATE)
#define MATCHES(i) (rec_state == known_state[i])
#define DELAYED_MATCHES(i) (rec_state == (delayed_absent[i] -> ABSENT : CLAIMED))
#else
#define MATCHES(i) (known_state[i] == ABSENT -> rec_state == ABSENT : known_fresh[i])
#define DELAYED_MATCHES(i) (delayed_absent[i] -> rec_state == ABSENT : delayed_fresh[i])
#endif

inline drop_delayed(i) {
  delayed[i] = false;
  delayed_state[i] = 0;
  delayed_absent[i] = false;
  delayed_fresh[i] = false
}

/* Each change gives the object a new version. */
inline change(state, owner) {
  rec_state = state;
  rec_owner = owner;
  k = 0;
  do
  :: k < ATTEMPTS ->
     known_fresh[k] = false;
     delayed_fresh[k] = false;
#if !defined(M_UNCONDITIONAL) && !defined(M_MATCH_STATE)
     /* Such a write can never match again. */
     if :: delayed[k] && !delayed_absent[k] -> drop_delayed(k) :: else fi;
#endif
     k++
  :: else -> break
  od;
  k = 0
}

inline know(state, owner) {
  known_state[id] = state;
  known_owner[id] = owner;
  known_fresh[id] = true;
  known_ran = (executions > 0)
}

/* OpWrite and its reply. */
inline write(state) {
  if
  :: MATCHES(id) -> change(state, id); know(state, id); result = OK
  :: !MATCHES(id) -> result = CONFLICT
#ifdef MAX_UNKNOWN
  :: unknown_left > 0 ->
     unknown_left--;
     delayed[id] = true;
#else
  :: delayed[id] = true;
#endif
     delayed_state[id] = state;
     delayed_absent[id] = (known_state[id] == ABSENT);
     delayed_fresh[id] = (known_state[id] != ABSENT && known_fresh[id]);
#ifdef M_NO_REREAD
     known_state[id] = state; known_owner[id] = id; result = OK
#else
     unsure = true; result = UNKNOWN
#endif
  fi
}

#ifdef M_STATE_ONLY
#define OWN true
#else
#define OWN (known_owner[id] == id)
#endif
#define KNOWN (known_state[id])

inline answer_not_run() {
  CHECK(!called || refused);
  CHECK(!known_ran);
  said_not_run = true
}

proctype Attempt(byte id) {
  byte goal = ACQUIRE;
  byte next_state, result, k;
  bool known_ran, unsure, called, refused, said_not_run;

reading: /* OpRead and its reply */
  atomic {
    known_state[id] = rec_state;
    known_owner[id] = rec_owner;
    known_fresh[id] = true;
    known_ran = (executions > 0);
decide:
    if
    :: goal == ACQUIRE ->
       if
       :: KNOWN == ABSENT || KNOWN == RELEASED -> next_state = CLAIMED; goto writing
#ifdef M_CALL_ON_CLAIM
       :: KNOWN == CLAIMED && OWN -> goto calling
#else
       :: KNOWN == CLAIMED && OWN -> next_state = DISPATCHED; goto writing
#endif
       :: KNOWN == CLAIMED && !OWN -> next_state = CLAIMED; goto writing /* believed dead */
       :: KNOWN == DISPATCHED && OWN -> goto calling
#ifdef M_TAKE_DISPATCHED
       :: KNOWN == DISPATCHED && !OWN -> next_state = CLAIMED; goto writing
#endif
       :: KNOWN == DISPATCHED && !OWN -> goto ended /* "may have run" */
       :: KNOWN == DONE -> goto ended               /* the stored outcome */
       /* Deadline, store failure or caller gone. */
       :: KNOWN == CLAIMED && !OWN -> goal = RELEASE; goto reading /* "may have run" */
       :: KNOWN != DONE && (OWN || KNOWN == ABSENT || KNOWN == RELEASED) ->
          answer_not_run();
#ifdef M_CALL_AFTER_NOT_RUN
          if :: KNOWN == DISPATCHED && OWN -> goto calling :: else fi;
#endif
          goal = RELEASE; goto reading
       fi
    :: goal == STORE_OUTCOME ->
       if
       :: KNOWN == DISPATCHED && known_owner[id] == id -> next_state = DONE; goto writing
       :: else -> CHECK(KNOWN == DONE && known_owner[id] == id); goto ended
       fi
    :: goal == RELEASE ->
       if
       :: known_owner[id] == id && (KNOWN == CLAIMED || KNOWN == DISPATCHED) ->
          next_state = RELEASED; goto writing
#ifndef M_NO_RELEASE_OVER_ABSENT
       :: KNOWN == ABSENT && unsure -> next_state = RELEASED; goto writing
       :: !(known_owner[id] == id && (KNOWN == CLAIMED || KNOWN == DISPATCHED)) &&
          !(KNOWN == ABSENT && unsure) -> goto released
#else
       :: !(known_owner[id] == id && (KNOWN == CLAIMED || KNOWN == DISPATCHED)) -> goto released
#endif
       fi
    fi
  };

writing:
  atomic {
    write(next_state);
    next_state = 0;
    if
    :: result == OK -> result = 0; goto decide
    :: result != OK -> result = 0; goto reading
    fi
  };

calling: /* OpCallService and its reply */
  atomic {
    CHECK(!called);
    called = true;
    if
    :: executions++;
       assert(executions <= 1);
       CHECK(!said_not_run);
       if
       :: goal = STORE_OUTCOME
#ifdef M_RELEASE_UNKNOWN
       :: goal = RELEASE
#endif
       fi
    :: refused = true; goal = RELEASE
    fi;
    goto reading
  };

released:
  atomic {
    if
    :: refused && known_owner[id] == id -> answer_not_run()
    :: else
    fi;
    /* A delayed claim of another attempt's record may remain. */
    CHECK(!delayed[id] || !known_fresh[id] || !DELAYED_MATCHES(id) ||
           (delayed_state[id] == CLAIMED && !delayed_absent[id]))
  };
ended:
  atomic {
#ifdef REACH_DONE
    assert(KNOWN != DONE);
#endif
    known_state[id] = 0; known_owner[id] = 0; known_fresh[id] = false;
    goal = 0; known_ran = false; unsure = false; called = false; refused = false;
    said_not_run = false
  }
}

/* A delayed write takes effect. */
proctype DelayedWrites() {
  byte i, k;
end:
  do
  :: atomic {
       if
       :: delayed[0] -> i = 0
       :: delayed[1] -> i = 1
#if ATTEMPTS > 2
       :: delayed[2] -> i = 2
#endif
       fi;
       if
       :: DELAYED_MATCHES(i) -> change(delayed_state[i], i)
       :: else
       fi;
       drop_delayed(i);
       i = 0
     }
  od
}

proctype Sweeper() {
  byte k;
end:
  do
  :: atomic {
       rec_state == CLAIMED || rec_state == RELEASED ->
       change(ABSENT, NOBODY)
     }
  od
}

init {
  atomic {
    run DelayedWrites();
#ifndef NO_SWEEPER
    run Sweeper();
#endif
    run Attempt(0);
    run Attempt(1);
#if ATTEMPTS > 2
    run Attempt(2)
#endif
  }
}
