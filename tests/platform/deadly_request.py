#!/usr/bin/env python3
"""One request, of each kind, crashes endpoint after endpoint and comes again at other VMs.

  deadly_request.py [FIRST_PORT] [STEP...]
"""

import contextlib
import itertools
import signal
import sys
import threading
import time

from deployment import check, main, wait_until
from standins import STABLE_S, Endpoint

VMS = 6
# Crashes from which VMs must know the request, and times that it may reach endpoints later than
# STABLE_S after that.
CRASHES, MAX_LATER = 3, 3
# Time for which the request comes after VMs must know it, and between two of its arrivals, in seconds.
WATCHED_S, GAP_S = 2, 0.12
numbers = itertools.count()


class Request:
    """A request that comes again and again, each time with another id."""

    def __init__(self, d, mark, path, parts="", tokens="4000,80"):
        self.d, self.mark, self.path = d, mark, f"{path}{mark}"
        self.headers = {"X-Timeout-Ms": "5000"}
        if path.startswith("/stream/"):
            self.headers["X-Token-Count"] = tokens
        if parts:
            self.headers["X-Prompt-Prefix"] = f"{parts},session:900"

    def send(self, vm):
        with contextlib.suppress(OSError):
            return self.d.call(vm, "POST", self.path, f"{self.mark}-{next(numbers)}",
                               headers=self.headers, body=self.mark.encode())

    def arrivals(self, since):
        return sum(request.startswith(f"{self.mark}-") and at >= since
                   for e in self.d.endpoints for at, request in e.arrival_times)


def check_kept_away(d, name, *requests, on_crash=lambda: None, gap_s=GAP_S, **faults):
    """Sends the requests to one VM after the other until all must know them, and for some time."""
    for fault, value in {"deadly": name, **faults}.items():
        setattr(Endpoint, fault, value)
    first = len(Endpoint.crash_times)
    threads, known, seen = [], {}, 0
    start = time.monotonic()
    for vm in itertools.cycle(range(VMS)):
        now = time.monotonic()
        crashes = len(Endpoint.crash_times) - first
        if crashes > seen:
            on_crash()
        seen = crashes
        # Each crash counts for one of the requests only.
        if crashes >= CRASHES * len(requests):
            known.setdefault("since", now + STABLE_S)
        if now > known.get("since", now + 1) + WATCHED_S:
            break
        check(now - start < 60, f"{name}: {crashes} crashes in {now - start:.0f} s")
        for request in requests:
            threads.append(threading.Thread(target=request.send, args=(vm,), daemon=True))
            threads[-1].start()
        time.sleep(gap_s)
    for thread in threads:
        thread.join()
    later = [request.arrivals(known["since"]) for request in requests]
    print(f"  {len(Endpoint.crash_times) - first} crashes, {later} arrivals later", flush=True)
    check(max(later) <= MAX_LATER, f"{name} reached endpoints {later} times")
    for fault in ("deadly", *faults):
        setattr(Endpoint, fault, DEFAULTS[fault])
    wait_until("all endpoints are back", lambda: not any(e.down for e in d.endpoints))


DEFAULTS = {fault: getattr(Endpoint, fault) for fault in (
    "deadly", "deadly_after", "deadly_to_helpers", "keeps_id")}


def check_sound_requests_are_served(d):
    for vm, path in itertools.product(range(VMS), ("/stream/x", "/many/x", "/once/x")):
        wait_until(f"VM {vm} serves {path}", lambda vm=vm, path=path: d.call(
            vm, "POST", path, f"sound-{next(numbers)}", headers={
                "X-Prompt-Prefix": "first:40,session:900"}).status == 200, 5)


def stream_without_parts(d):
    check_kept_away(d, "deadly-bare", Request(d, "deadly-bare", "/stream/"))


def lookup(d):
    check_kept_away(d, "deadly-many", Request(d, "deadly-many", "/many/"))


def write(d):
    check_kept_away(d, "deadly-once", Request(d, "deadly-once", "/once/"))


def endpoint_keeps_its_id(d):
    check_kept_away(d, "deadly-kept", Request(d, "deadly-kept", "/many/"), keeps_id=True)


def two_requests_at_once(d):
    check_kept_away(d, "deadly-pair", Request(d, "deadly-pair-1", "/stream/", "first:40"),
                    Request(d, "deadly-pair-2", "/stream/", "first:40"))


def store_is_away(d):
    d.store.fault = "refuse"
    check_kept_away(d, "deadly-away", Request(d, "deadly-away", "/stream/", "first:40"),
                    keeps_id=True)
    d.store.fault = None
    wait_until("all VMs are ready", lambda: all(d.ready(vm) for vm in range(VMS)))


def answer_had_begun(d):
    # Without overlap, or one call would be suspected of a crash that another causes.
    check_kept_away(d, "deadly-begun", Request(d, "deadly-begun", "/stream/", "first:40"),
                    deadly_after=3, gap_s=0.5)


def helper_crashes(d):
    check_kept_away(d, "deadly-help",
                    Request(d, "deadly-help", "/stream/", "first:40", "600000,80"),
                    deadly_to_helpers=True)


def vms_are_killed_after_crashes(d):
    killed = iter(range(CRASHES))

    def kill_one():
        if (vm := next(killed, None)) is not None:
            d.signal(vm, signal.SIGKILL)
            d.processes[vm].wait()
            d.start(vm)

    check_kept_away(d, "deadly-kill", Request(d, "deadly-kill", "/stream/", "first:40"),
                    on_crash=kill_one)
    wait_until("all VMs are ready", lambda: all(d.ready(vm) for vm in range(VMS)))


STEPS = (stream_without_parts, lookup, write, endpoint_keeps_its_id, store_is_away,
         vms_are_killed_after_crashes, two_requests_at_once, helper_crashes, answer_had_begun)


def test(d):
    Endpoint.prefill_s = 0.05
    wanted = sys.argv[2:] or [step.__name__ for step in STEPS]
    for step in STEPS:
        if step.__name__ in wanted:
            print(f"- {step.__name__}", flush=True)
            check_sound_requests_are_served(d)
            step(d)
            check_sound_requests_are_served(d)


main(test, vms=VMS, engines=9, plain=3)
