/* Configurations that VMs get from each other as deltas (zr_gateway/
 * config_document.h, zr_gateway_host/gateway_config_impl.h).
 *
 * VM 0 reads the store. VM 1 asks VM 0 for the difference to its own document,
 * and reads the store, too, whenever it likes. Answers arrive late, in any
 * order, twice or never. A document is named by its version; a delta that is
 * applied to another document than its base gives MIXED. Checked whenever VM 1
 * takes a document: it is the one of its version, and no older than before.
 *
 * Mutants drop one rule each:
 *   M_NO_DIGEST   a delta is applied whatever its base and its result are
 *   M_NO_VERSION  an older document replaces a newer one
 * REACH_NEWEST shows that VM 1 reaches the newest document by deltas alone.
 */
#ifndef VERSIONS
#define VERSIONS 5
#endif
#define MIXED 99
#define SLOTS 3

byte stored = 1;
byte vm_version[2] = {1, 1};
byte document = 1; /* what VM 1 has */
bool read_store = false;

/* Deltas on their way to VM 1; a target of 0 marks a free slot. */
byte base[SLOTS], target[SLOTS];

inline take(version, content) {
  if
#ifndef M_NO_VERSION
  :: version <= vm_version[1] -> skip
#endif
  :: else ->
    assert(version >= vm_version[1]);
    vm_version[1] = version;
    document = content;
    assert(document == vm_version[1])
  fi
}

active proctype Store() {
  do
  :: stored < VERSIONS -> stored++
  :: stored == VERSIONS -> break
  od
}

active proctype Vm0() {
end:
  do
  :: vm_version[0] < stored -> vm_version[0] = stored
  od
}

active proctype Vm1() {
  byte slot;
end:
  do
  :: atomic { /* asks; VM 0 answers */
      select(slot : 0 .. (SLOTS - 1));
      base[slot] = document;
      target[slot] = vm_version[0]
    }
  :: atomic { /* an answer arrives, and may arrive again */
      select(slot : 0 .. (SLOTS - 1));
      if
      :: target[slot] == 0 -> skip
      :: else ->
        if
        :: base[slot] == document -> take(target[slot], target[slot])
        :: else ->
#ifdef M_NO_DIGEST
          take(target[slot], MIXED)
#else
          skip
#endif
        fi
      fi
    }
#ifndef REACH_NEWEST
  :: atomic { read_store = true; take(stored, stored) }
#endif
  od
}

#ifdef REACH_NEWEST
active proctype Observer() {
  vm_version[1] == VERSIONS;
  assert(read_store)
}
#endif
