/* VMs that follow a store which comes back from an older copy (zr_gateway/
 * store_cursor.h, store_mirror.h).
 *
 * The store gives out versions; when it is restored, the versions after the
 * copy are lost and given out again, in a new era. VM 0 watches the store. VM 1
 * watches it, too, and asks VM 0 for updates; answers are late. `state` is what
 * the store holds, a number that is new with each write. Checked whenever a VM
 * takes an answer: it has the state of the store at its position.
 *
 * Mutants drop one rule each:
 *   M_VERSION_ONLY  versions are compared without their eras
 *   M_NO_LIST       changes of a new era are applied to the state of an older
 *   M_NO_FROM       a watch's answer counts whatever position it began from
 */
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef ERAS
#define ERAS 2
#endif
#ifndef WRITES
#define WRITES 4
#endif
#define AT(e, v) ((e) * (VERSIONS + 1) + (v))

byte era = 0;
byte version = 1;
byte writes = 1;
byte state[(ERAS + 1) * (VERSIONS + 1)]; /* the store's, by position */

/* Each VM: its position, its state, the call in flight and its answer. */
byte vm_era[2], vm_version[2], vm_state[2];
bool calling[2], answered[2], is_list[2];
byte from_era[2], from_version[2];
byte answer_era[2], answer_version[2], answer_state[2];
bool has_changes[2];
/* The update on its way to VM 1. */
bool updating;
byte update_era, update_version, update_state;

#ifdef M_VERSION_ONLY
#define LATER_ERA(a, b) false
#else
#define LATER_ERA(a, b) ((a) > (b))
#endif

inline check(v) { assert(vm_state[v] == state[AT(vm_era[v], vm_version[v])]) }

inline take_list(v) {
  if
  :: LATER_ERA(vm_era[v], answer_era[v]) ||
     (answer_era[v] == vm_era[v] && answer_version[v] < vm_version[v]) -> skip
  :: else ->
    vm_era[v] = answer_era[v];
    vm_version[v] = answer_version[v];
    vm_state[v] = answer_state[v];
    check(v)
  fi;
  is_list[v] = false
}

inline take_changes(v) {
  if
#ifndef M_NO_LIST
  :: LATER_ERA(answer_era[v], vm_era[v]) -> is_list[v] = true
#endif
  :: LATER_ERA(vm_era[v], answer_era[v]) -> skip
#if !defined(M_NO_FROM) && !defined(M_VERSION_ONLY) && !defined(M_NO_LIST)
  :: answer_era[v] == vm_era[v] && from_era[v] < answer_era[v] -> skip
#endif
  :: else ->
    if
    :: answer_version[v] < vm_version[v] && answer_era[v] == vm_era[v] -> skip
    :: else ->
      vm_era[v] = answer_era[v];
      vm_version[v] = answer_version[v];
      /* Without changes after its version, a VM keeps what it has. */
      if
      :: has_changes[v] -> vm_state[v] = answer_state[v]
      :: else
      fi;
      check(v)
    fi
  fi
}

active proctype Store() {
  byte to;
  do
  :: atomic {
      writes < WRITES && version < VERSIONS ->
      version++;
      writes++;
      state[AT(era, version)] = writes
    }
  :: atomic {
      era < ERAS ->
      select(to : 0 .. VERSIONS);
      if
      :: to <= version ->
        era++;
        /* The copy has the versions up to `to`. */
        byte i;
        for (i : 0 .. VERSIONS) {
          if
          :: i <= to -> state[AT(era, i)] = state[AT(era - 1, i)]
          :: else
          fi
        };
        i = 0;
        version = to
      :: else
      fi;
      to = 0
    }
  od
}

proctype Vm(byte v) {
  do
  :: atomic {
      !calling[v] ->
      calling[v] = true;
      from_era[v] = vm_era[v];
      from_version[v] = vm_version[v]
    }
  :: atomic {
      calling[v] && !answered[v] ->
      if
      :: !is_list[v] && from_version[v] > version -> is_list[v] = true; calling[v] = false
      :: else ->
        answered[v] = true;
        answer_era[v] = era;
        answer_version[v] = version;
        answer_state[v] = state[AT(era, version)];
        has_changes[v] = is_list[v] || version > from_version[v]
      fi
    }
  :: atomic {
      answered[v] ->
      answered[v] = false;
      calling[v] = false;
      if
      :: is_list[v] -> take_list(v)
      :: else -> take_changes(v)
      fi;
      answer_era[v] = 0; answer_version[v] = 0; answer_state[v] = 0;
      has_changes[v] = false; from_era[v] = 0; from_version[v] = 0
    }
  od
}

active proctype Updates() {
  do
  :: atomic {
      !updating ->
      updating = true;
      update_era = vm_era[0];
      update_version = vm_version[0];
      update_state = vm_state[0]
    }
  :: atomic {
      updating ->
      updating = false;
      if
      :: LATER_ERA(update_era, vm_era[1]) ||
         (!LATER_ERA(vm_era[1], update_era) && update_version > vm_version[1]) ->
        vm_era[1] = update_era;
        vm_version[1] = update_version;
        vm_state[1] = update_state;
        check(1)
      :: else
      fi;
      update_era = 0; update_version = 0; update_state = 0
    }
  od
}

#ifdef REACH_ERAS
active proctype Monitor() {
  atomic {
    vm_era[0] == ERAS && vm_era[1] == ERAS && version == VERSIONS ->
    assert(vm_version[1] < VERSIONS)
  }
}
#endif

init {
  atomic {
    state[AT(0, 0)] = 0;
    state[AT(0, 1)] = 1;
    run Vm(0);
    run Vm(1)
  }
}
