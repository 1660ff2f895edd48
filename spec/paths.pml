/* Calls that go through another VM while a VM's own paths to the endpoints are
 * lost (zr_gateway/endpoint_paths.h, zr_gateway_host/path_exchange.h).
 *
 * Each VM's paths come and go. The VM that has the caller of a request which
 * may run once tries its own path or that of another VM, in any order. Checked:
 * the request runs at most once, and passes one other VM at most.
 *
 * Mutants drop one rule each:
 *   M_RESEND  a request is sent again when the tunnel that it went through is
 *             lost
 *   M_CHAIN   a VM whose own paths are lost takes a call to a further VM
 * REACH_RUN shows that a request runs though its VM's paths are always lost.
 */
#define VMS 3
#define MAX_TRIES 4

bool lost[VMS];
byte runs = 0;
byte hops = 0;
byte changes = 0;

active proctype Network() {
  byte vm;
  do
  :: changes < 6 ->
    atomic {
      select(vm : 0 .. (VMS - 1));
#ifdef REACH_RUN
      lost[0] = true;
      if :: vm != 0 -> lost[vm] = !lost[vm] :: else -> skip fi;
#else
      lost[vm] = !lost[vm];
#endif
      changes++
    }
  :: break
  od
}

active proctype Request() {
  byte tries = 0;
  byte helper;
#ifdef REACH_RUN
  lost[0] = true;
#endif
  do
  :: tries == MAX_TRIES -> break
  :: tries < MAX_TRIES -> /* its own path */
    tries++;
    if
    :: lost[0] -> skip /* not connected: nothing was sent */
    :: else -> runs++; assert(runs <= 1); break
    fi
  :: tries < MAX_TRIES -> /* another VM's path */
    tries++;
    select(helper : 1 .. (VMS - 1));
    hops = 1;
    if
    :: lost[helper] ->
#ifdef M_CHAIN
      hops++;
#endif
      skip /* refused */
    :: else -> /* the tunnel may be lost before or after the request is read */
      if
      :: runs++; assert(runs <= 1)
      :: skip
      fi;
#ifdef REACH_RUN
      assert(runs == 0);
#endif
#ifdef M_RESEND
      if :: break :: skip fi
#else
      break
#endif
    fi;
    assert(hops <= 1)
  od
}
