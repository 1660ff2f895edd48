#!/usr/bin/env python3
"""Endpoints that name a limit get no more requests than that from all VMs together."""

import itertools
import signal
import threading
import time

from deployment import check, main, wait_until
from standins import LIMIT_WINDOW_S, STABLE_S

VMS = 6
# Limits, in requests a second.
ENGINE_LIMITS = [1, 2, 4]
PLAIN_LIMIT = 3
# Requests a second to each service.
RATE = 40
numbers = itertools.count()


class Traffic:
    """Calls both services at any VM until it is stopped."""

    def __init__(self, d):
        self.d, self.stopped, self.answers, self.lock = d, False, [], threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True)
                        for n in range(2 * RATE // 4)]
        for thread in self.threads:
            thread.start()

    def run(self, n):
        kind = "stream" if n % 2 else "many"
        vms = itertools.cycle(range(VMS))
        while not self.stopped:
            try:
                status = self.d.call(next(vms), "POST", f"/{kind}/x", f"{kind}-{next(numbers)}",
                                     headers={"X-Timeout-Ms": "3000"}).status
            except OSError:  # the VM has been killed
                status = 0
            with self.lock:
                self.answers.append((time.monotonic(), kind, status))
            time.sleep(0.25)

    def statuses_since(self, start, kind):
        with self.lock:
            return [s for at, k, s in self.answers if at >= start and k == kind]

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join()


def set_limits(d, limited):
    for endpoints, limits in ((d.endpoints_of("llm"), ENGINE_LIMITS),
                              (d.endpoints_of("plain"), [PLAIN_LIMIT])):
        for endpoint, limit in zip(endpoints, limits):
            endpoint.set_limit(limit if limited else None)
    return time.monotonic()


def check_limits(d, named, until, when):
    """No endpoint got more than it tolerates, and none was left idle."""
    for endpoint in d.endpoints:
        if endpoint.limit is None:
            continue
        excess = endpoint.excess(until)
        check(not excess, f"{excess} requests in {LIMIT_WINDOW_S} s more than allowed for a limit "
              f"of {endpoint.limit} a second {when} ({endpoint.service})")
        times = [t for t, _ in endpoint.arrival_times if named + STABLE_S <= t <= until]
        span = until - named - STABLE_S
        check(len(times) >= 0.5 * endpoint.limit * span,
              f"{len(times)} requests in {span:.1f} s for a limit of {endpoint.limit} {when}")


def limits_hold_for_all_vms_together(d, traffic):
    named = set_limits(d, True)
    time.sleep(STABLE_S + 2 * LIMIT_WINDOW_S)
    check_limits(d, named, time.monotonic(), "in calm")
    # One of two plain endpoints has no limit.
    statuses = traffic.statuses_since(named + STABLE_S, "many")
    check(statuses.count(200) >= 0.95 * len(statuses), f"plain requests got {statuses}")


def limits_hold_beside_restarts(d, _):
    named = time.monotonic() - STABLE_S
    for vm in range(VMS):  # the dispatcher is among them
        d.signal(vm, signal.SIGTERM if vm % 2 else signal.SIGKILL)
        d.processes[vm].wait()
        d.start(vm)
        wait_until("the VM is ready again", lambda vm=vm: d.ready(vm))
    check_limits(d, named, time.monotonic(), "beside restarts")


def all_is_served_once_limits_end(d, traffic):
    set_limits(d, False)
    time.sleep(STABLE_S + 3)
    ended = time.monotonic()
    time.sleep(3)
    for kind in ("stream", "many"):
        statuses = traffic.statuses_since(ended + 1, kind)
        check(statuses.count(200) >= 0.95 * len(statuses), f"{kind}: {statuses}")


def test(d):
    traffic = Traffic(d)
    time.sleep(1)
    for step in (limits_hold_for_all_vms_together, limits_hold_beside_restarts,
                 all_is_served_once_limits_end):
        print(f"- {step.__name__}", flush=True)
        step(d, traffic)
    traffic.stop()


main(test, vms=VMS, engines=len(ENGINE_LIMITS), plain=2)
