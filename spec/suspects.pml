/* Crash evidence that two VMs exchange (zr_request/crash_attribution.h).
 *
 * Each crash may have the deadly part D among its suspects, and the sound part
 * S, which either VM may have observed. An answer to a prompt with S clears S
 * of all crashes that have happened. Evidence in flight arrives in any order
 * and is lost when the link breaks. Checked whenever the VMs are linked and
 * nothing is in flight: both VMs have the verdicts of one that saw everything.
 *
 * Mutants drop one rule each:
 *   M_NO_SNAPSHOT       no exchange of all evidence when a link comes up
 *   M_NO_EXPLAIN        crashes explained by D count against S
 *   M_KEEP_CLEARANCE    an answer seen here is not told to the other VM
 *   M_FORGET_ANSWERS    answers seen before the report of a crash do not count
 */
#ifndef CRASHES
#define CRASHES 3
#endif
#ifndef ANSWERS
#define ANSWERS 1
#endif
#ifndef CUTS
#define CUTS 1
#endif
#define MIN_CRASHES 2
#define OTHER(v) (1 - (v))
#define AT(v, k) ((v) * CRASHES + (k))

byte crashes = 0;
bool hasD[CRASHES];
bool hasS[CRASHES];
bool answered[CRASHES];       /* S was answered after the crash, anywhere */

bool knowD[2 * CRASHES];      /* what each VM knows of each crash */
bool knowS[2 * CRASHES];
bool cleared[2 * CRASHES];    /* S */
bool remembered[2 * CRASHES]; /* the VM saw S answered after the crash */

bool sentD[2 * CRASHES];      /* in flight to the VM */
bool sentS[2 * CRASHES];
bool sentC[2 * CRASHES];
bool linked = true;

byte countD, countS, i, in_flight;

#define TELL(flags, v, k) \
  if :: linked -> flags[AT(OTHER(v), k)] = true :: else fi
#ifdef M_KEEP_CLEARANCE
#define TELL_CLEARANCE(v, k) skip
#else
#define TELL_CLEARANCE(v, k) TELL(sentC, v, k)
#endif
#ifdef M_NO_EXPLAIN
#define EXPLAINED(v, k) false
#else
#define EXPLAINED(v, k) (knowD[AT(v, k)] && countD >= MIN_CRASHES)
#endif
#ifdef M_FORGET_ANSWERS
#define REMEMBERED(v, k) false
#else
#define REMEMBERED(v, k) remembered[AT(v, k)]
#endif

inline clear(v, k) {
  if
  :: !cleared[AT(v, k)] && knowS[AT(v, k)] ->
    cleared[AT(v, k)] = true;
    TELL_CLEARANCE(v, k)
  :: else
  fi
}

inline learnS(v, k) {
  knowS[AT(v, k)] = true;
  if
  :: REMEMBERED(v, k) -> clear(v, k)
  :: else
  fi
}

/* Counts the crashes of D, then those of S that D doesn't explain. */
inline judge(v) {
  countD = 0;
  countS = 0;
  for (i : 0 .. CRASHES - 1) {
    countD = countD + knowD[AT(v, i)];
  }
  for (i : 0 .. CRASHES - 1) {
    if
    :: knowS[AT(v, i)] && !cleared[AT(v, i)] && !EXPLAINED(v, i) -> countS++
    :: else
    fi
  }
}

byte trueD, trueS, blamedD, blamedS;

inline check_verdicts() {
  trueD = 0;
  trueS = 0;
  for (i : 0 .. CRASHES - 1) {
    trueD = trueD + hasD[i];
  }
  for (i : 0 .. CRASHES - 1) {
    if
    :: hasS[i] && !answered[i] && !(hasD[i] && trueD >= MIN_CRASHES) -> trueS++
    :: else
    fi
  }
  judge(0);
  blamedD = countD >= MIN_CRASHES;
  blamedS = countS >= MIN_CRASHES;
  judge(1);
  assert(blamedD == (trueD >= MIN_CRASHES) && blamedD == (countD >= MIN_CRASHES));
  assert(blamedS == (trueS >= MIN_CRASHES) && blamedS == (countS >= MIN_CRASHES));
#ifdef REACH_BLAME
  assert(!(blamedD && trueS < MIN_CRASHES && answered[0]));
#endif
}

proctype Events() {
  byte answers = 0, cuts = 0, v, k;
  do
  :: atomic {
      crashes < CRASHES ->
      k = crashes;
      crashes++;
      if
      :: hasD[k] = true;
        select(v : 0 .. 1);
        knowD[AT(v, k)] = true;
        TELL(sentD, v, k)
      :: skip
      fi;
      if
      :: hasS[k] = true;
        select(v : 0 .. 1);
        learnS(v, k);
        TELL(sentS, v, k)
      :: skip
      fi;
      v = 0; k = 0; i = 0
    }
  :: atomic {
      answers < ANSWERS ->
      answers++;
      select(v : 0 .. 1);
      for (k : 0 .. CRASHES - 1) {
        if
        :: k < crashes ->
          answered[k] = true;
          remembered[AT(v, k)] = true;
          clear(v, k)
        :: else
        fi
      };
      v = 0; k = 0; i = 0
    }
  :: atomic {
      linked && cuts < CUTS ->
      cuts++;
      linked = false;
      for (k : 0 .. 2 * CRASHES - 1) {
        sentD[k] = false;
        sentS[k] = false;
        sentC[k] = false
      };
      v = 0; k = 0; i = 0
    }
  :: atomic {
      !linked ->
      linked = true;
#ifndef M_NO_SNAPSHOT
      for (v : 0 .. 1) {
        for (k : 0 .. CRASHES - 1) {
          sentD[AT(OTHER(v), k)] = knowD[AT(v, k)];
          sentS[AT(OTHER(v), k)] = knowS[AT(v, k)];
          sentC[AT(OTHER(v), k)] = cleared[AT(v, k)]
        }
      }
#endif
      ;
      v = 0; k = 0; i = 0
    }
  od
}

/* A clearance names the part and the time of the answer; it reaches a VM that
   doesn't know the crash yet, which remembers it. */
proctype Delivery() {
  byte v, k;
  do
  :: atomic {
      select(v : 0 .. 1);
      select(k : 0 .. CRASHES - 1);
      if
      :: sentD[AT(v, k)] -> sentD[AT(v, k)] = false; knowD[AT(v, k)] = true
      :: sentS[AT(v, k)] -> sentS[AT(v, k)] = false; learnS(v, k)
      :: sentC[AT(v, k)] ->
        sentC[AT(v, k)] = false;
        remembered[AT(v, k)] = true;
        clear(v, k)
      :: else
      fi;
      v = 0; k = 0; i = 0
    }
  od
}

proctype Monitor() {
  do
  :: atomic {
      linked ->
      in_flight = 0;
      for (i : 0 .. 2 * CRASHES - 1) {
        in_flight = in_flight + sentD[i] + sentS[i] + sentC[i]
      }
      if
      :: in_flight == 0 -> check_verdicts()
      :: else
      fi;
      in_flight = 0; countD = 0; countS = 0; i = 0;
      trueD = 0; trueS = 0; blamedD = 0; blamedS = 0
    }
  od
}

init {
  atomic {
    run Events();
    run Delivery();
    run Monitor()
  }
}
