/* Two suspects that come in the same requests (zr_request/crash_verdict.h).
 *
 * Requests with the deadly part D crash an endpoint, with the sound part S
 * or without it; requests with S alone are answered, which clears S. Up to
 * UNRELATED endpoints crash by themselves while they read a request with S.
 * One VM sees all of it and lets requests through by its verdict.
 *
 * Checked: requests with S alone are never rejected, and requests with D crash
 * at most MAX_CRASHES endpoints.
 *
 * Mutants:
 *   M_ONE_OF_BOTH   of two suspects of the same crashes, S is blamed by itself
 *   M_NEVER_APART   crashes of D without S do not tell them apart
 *   M_EITHER        a request with one of the two blamed suspects is rejected
 */
#ifndef UNRELATED
#define UNRELATED 1
#endif
#define MIN_CRASHES 3
#define MIN_SEPARATING 2
#define MAX_CRASHES 5

byte deadly = 0;     /* crashes of requests with D */
byte together = 0;   /* those with S, since S was last answered */
byte alone = 0;      /* crashes beside requests with S alone, since then */
byte unrelated = 0;
bool blameD, blameS, blameBoth;

#ifdef M_NEVER_APART
#define SEPARATES(crashes) false
#else
#define SEPARATES(crashes) ((crashes) >= MIN_SEPARATING)
#endif
#ifdef M_ONE_OF_BOTH
#define LEADS_D (deadly > together + alone)
#define COMPANIONS(crashes) false
#else
#define LEADS_D (deadly >= together + alone)
#define COMPANIONS(crashes) (together > 0 && !SEPARATES(crashes))
#endif

inline judge() {
  blameD = false;
  blameS = false;
  blameBoth = false;
  if
  :: deadly >= MIN_CRASHES && LEADS_D ->
    blameBoth = COMPANIONS(deadly - together);
    blameD = !blameBoth
  :: together + alone >= MIN_CRASHES && !LEADS_D ->
    blameBoth = COMPANIONS(alone);
    blameS = !blameBoth
  :: else
  fi;
#ifdef M_EITHER
  blameD = blameD || blameBoth;
  blameS = blameS || blameBoth
#endif
}

active proctype Requests() {
  do
  :: atomic {                  /* D and S */
      judge();
      if
      :: blameD || blameS || blameBoth -> skip
      :: else ->
        deadly++;
        together++
      fi;
      assert(deadly <= MAX_CRASHES)
    }
  :: atomic {                  /* D */
      judge();
      if
      :: blameD -> skip
      :: else -> deadly++
      fi;
      assert(deadly <= MAX_CRASHES)
    }
  :: atomic {                  /* S */
      judge();
      assert(!blameS);
      if
      :: together = 0;
        alone = 0
      :: unrelated < UNRELATED ->
        unrelated++;
        alone++
      fi
#ifdef REACH_BOTH
      ;
      assert(!blameBoth || deadly < MAX_CRASHES - 1)
#endif
    }
  od
}
