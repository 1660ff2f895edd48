/*
 * Grants and ownership of one freshly started endpoint (docs/design.md, 5.2).
 *
 * Owner 0 owns the endpoint from the start; owner 1 takes over at any time,
 * while owner 0 may go on believing that it owns the endpoint, learn of the
 * take-over, or die. Each of GRANTS grants has its own holder. Times are
 * abstract: `expired` says that a grant's start time is over.
 *
 * The fresh endpoint bears CAPACITY requests and one more with each completed
 * one. Each owner starts with the allowance A = CAPACITY / 2. Unlike a real
 * engine, this one never drops an unclaimed stream by itself.
 *
 * Load reports only make an owner grant less. Runs with NO_REPORTS leave them
 * out, which allows more behaviour, not less.
 *
 * Checked: the endpoint never runs more than it bears; when nothing more
 * happens, no owner holds a reservation and the engine runs no stream.
 */

#ifndef GRANTS
#define GRANTS 4
#endif
#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef MAX_DEATHS
#define MAX_DEATHS GRANTS /* holders that die */
#endif
#define CAPACITY 2
#define A 1

#define UNUSED 0
#define GRANTED 1 /* the holder has not started the call */
#define RUNNING 2
#define OVER 3 /* ended, cancelled or void */

byte state[GRANTS];
byte granter[GRANTS];
bool expired[GRANTS];
bool holder_dead[GRANTS];
bool stream[GRANTS]; /* at the engine */

typedef Owner {
  bool owns;
  bool took_over;
  bool reserved[GRANTS];
  byte count;     /* reservations */
  byte completed; /* credited to its allowance */
  byte report;    /* running requests in the last load report, however old */
}
Owner owner[OWNERS];

byte deaths_left = MAX_DEATHS;
byte granted = 0;   /* grants made so far */
byte running = 0;   /* streams at the engine */
byte completed = 0; /* requests that the endpoint has completed */

/* Load that the report shows beyond the owner's own grants. */
#define FOREIGN(i) (owner[i].report > owner[i].count -> owner[i].report - owner[i].count : 0)

#if defined(M_CREDIT_ALL)
#define ALLOWANCE(i) (A + completed)
#elif defined(M_FULL_AT_TAKE_OVER)
#define ALLOWANCE(i) ((i == 0 -> A : CAPACITY) + owner[i].completed)
#else
#define ALLOWANCE(i) (A + owner[i].completed)
#endif

#if defined(M_TRUST_REPORT)
#define USED(i) (owner[i].report)
#else
#define USED(i) (owner[i].count + FOREIGN(i))
#endif

#if OWNERS == 2
#define RESERVED(g) (owner[0].reserved[g] || owner[1].reserved[g])
#else
#define RESERVED(g) (owner[0].reserved[g] || owner[1].reserved[g] || owner[2].reserved[g])
#endif

inline free_reservation(i, g) {
  if
  :: owner[i].reserved[g] -> owner[i].reserved[g] = false; owner[i].count--
  :: else
  fi
}

inline cancel_stream(g) {
  if
  :: stream[g] -> stream[g] = false; running--
  :: else
  fi;
  state[g] = OVER
}

/* Forgets what no longer matters of a grant, to keep the number of states down. */
inline tidy(g) {
  if
  :: state[g] == OVER && !RESERVED(g) ->
     granter[g] = 0; expired[g] = true; holder_dead[g] = false
  :: else
  fi
}

inline lose_state(i) {
  d_step {
    owner[i].owns = false;
    owner[i].completed = 0;
    owner[i].report = 0;
    owner[i].count = 0;
    k = 0;
    do
    :: k < GRANTS -> owner[i].reserved[k] = false; tidy(k); k++
    :: else -> break
    od;
    k = 0
  }
}

/* The owner's side: grant, release, reclaim, take-over. */
proctype OwnerVm(byte i) {
  byte k;
end:
  do
  /* Grant. */
  :: atomic {
       granted < GRANTS && owner[i].owns && USED(i) < ALLOWANCE(i) ->
       state[granted] = GRANTED; granter[granted] = i;
       owner[i].reserved[granted] = true; owner[i].count++;
       granted++
     }
  /* A load report arrives; it stays in use while the load goes on changing. */
#ifndef NO_REPORTS
  :: atomic { owner[i].owns && owner[i].report != running -> owner[i].report = running }
#endif
#ifdef L_SILENT_RESTART
  /* The idle endpoint restarts, and no owner hears of it. */
  :: atomic { i == 0 && completed > 0 && running == 0 -> completed = 0 }
#endif
  /* The owner learns of a take-over, stops or dies; its accounting is gone. */
  :: atomic { owner[i].owns && i < OWNERS - 1 -> lose_state(i) }
  /* Take-over by the next owner, at any time. */
  :: atomic {
       i > 0 && !owner[i].took_over && owner[i - 1].took_over ->
       owner[i].took_over = true; owner[i].owns = true
     }
  od
}

/* The owner's handling of one grant. */
proctype OwnerGrant(byte i, g) {
end:
  do
#ifndef M_NO_RECLAIM
  /* The grant is past its start time and not listed by its holder. */
  :: atomic {
       owner[i].reserved[g] &&
#ifndef M_RECLAIM_UNEXPIRED
       expired[g] &&
#endif
#ifdef M_NO_DEAD_RECLAIM
       !holder_dead[g] &&
#endif
       true ->
#ifndef M_REUSE_BEFORE_CANCEL
       if
       :: state[g] == RUNNING -> cancel_stream(g)
       :: else
       fi;
#endif
       free_reservation(i, g);
       tidy(g)
     }
#endif
  /* The holder's list reaches an owner that did not make the grant. */
  :: atomic {
       owner[i].owns && granter[g] != i && !owner[i].reserved[g] && !holder_dead[g] &&
       state[g] == RUNNING ->
       owner[i].reserved[g] = true; owner[i].count++
     }
#ifndef M_NO_ENGINE_LIST
  /* A stream in the engine's list that no holder claims. */
  :: atomic {
       owner[i].owns && !owner[i].reserved[g] && holder_dead[g] && stream[g] ->
       cancel_stream(g);
       tidy(g)
     }
#endif
  od
}

/* The holder's side. */
proctype Holder(byte g) {
end:
  do
  :: atomic {
       state[g] == GRANTED && !holder_dead[g] &&
#ifndef M_START_EXPIRED
       !expired[g] &&
#endif
       true -> state[g] = RUNNING; stream[g] = true; running++;
       assert(running <= CAPACITY + completed)
     }
  /* Time passes. */
  :: atomic { state[g] != UNUSED && !expired[g] -> expired[g] = true }
  :: atomic {
       deaths_left > 0 && (state[g] == GRANTED || state[g] == RUNNING) && !holder_dead[g] ->
       deaths_left--; holder_dead[g] = true
     }
  /* The call ends; its release reaches the granter or is lost. */
  :: atomic {
       state[g] == RUNNING && !holder_dead[g] ->
       cancel_stream(g);
       completed++;
       expired[g] = true;
       if
       :: owner[granter[g]].reserved[g] ->
          free_reservation(granter[g], g);
          owner[granter[g]].completed++
#ifdef M_CREDIT_ADOPTED
          ;
          if
          :: owner[1 - granter[g]].reserved[g] -> owner[1 - granter[g]].completed++
          :: else
          fi
#endif
       :: true
       fi;
       tidy(g)
     }
  od
}

init {
  byte i, g;
  atomic {
    owner[0].owns = true;
    owner[0].took_over = true;
    do
    :: i < OWNERS ->
       run OwnerVm(i);
       g = 0;
       do
       :: g < GRANTS -> run OwnerGrant(i, g); g++
       :: else -> break
       od;
       i++
    :: else -> break
    od;
    g = 0;
    do
    :: g < GRANTS -> run Holder(g); g++
    :: else -> break
    od;
    i = 0;
    g = 0
  };
  timeout; /* no process can move */
#ifdef REACH_END
  assert(completed < 2);
#endif
  do
  :: i < OWNERS -> assert(owner[i].count == 0); i++
  :: else -> break
  od;
  assert(running == 0)
}
