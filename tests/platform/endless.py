#!/usr/bin/env python3
"""Bytes without end from an endpoint, in a head or a body: memory stays bounded, the call ends."""

import sys
import threading
import time

from deployment import check, main, wait_until
from standins import ENDLESS

# Memory of an entry VM on the smallest machine, in MB.
MEMORY_MB = 112
# The caller's time limit, and the time after it within which it has its answer, in seconds.
LIMIT_S, LATE_S = 3, 0.5
CALLERS = 6
# Callers of the streaming route and of each other one that use one VM at once; the engines take as
# many streams.
MANY_STREAMS, MANY_CALLS = 320, 40
ENGINES = 20
MANY = ["header lines", "small fields", "long event", "error body"]


def peak_mb(d, vm):
    with open(f"/proc/{d.processes[vm].pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def call(d, path, request, durations):
    method = "GET" if path.startswith("/many") else "POST"
    start = time.monotonic()
    answer = d.call(0, method, path, request, headers={"X-Timeout-Ms": str(1000 * LIMIT_S)})
    durations[request] = time.monotonic() - start
    check(answer.status >= 400 or path.startswith("/stream") or not answer.complete,
          f"{request} was answered with bytes that are no answer: {answer.status}")


def endless_bytes(d, variant, drip_s):
    for endpoint in d.endpoints:
        endpoint.fault, endpoint.drip_s = variant, drip_s
    name = f"{variant.replace(' ', '-')}-{drip_s}"
    durations = {}
    callers = [threading.Thread(target=call, args=(d, path, f"{name}{path[:-2]}-{n}", durations))
               for path in ("/stream/x", "/once/x", "/many/x") for n in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    check(len(durations) == len(callers), "a caller got no answer")
    slow = {request: f"{s:.1f} s" for request, s in durations.items() if s > LIMIT_S + LATE_S}
    check(not slow, f"answers after the time limit: {slow}")
    check_peak(d, name)
    started = sum(d.run_count(request) for request in durations)
    wait_until("the calls to the endpoints end", lambda: sum(
        e.abandoned for e in d.endpoints) >= started)
    for endpoint in d.endpoints:
        endpoint.fault, endpoint.abandoned = None, 0


def check_peak(d, name):
    check(peak_mb(d, 0) < MEMORY_MB, f"peak memory {peak_mb(d, 0):.0f} MB with {name}")


def many_at_once(d, variant):
    """The sum over all calls is bounded, not only that of each."""
    for endpoint in d.endpoints:
        endpoint.fault, endpoint.drip_s = variant, 0.1
    durations = {}
    callers = [threading.Thread(target=call, daemon=True, args=(
        d, path, f"{variant.replace(' ', '-')}{path[:-2]}-{n}", durations))
        for path, count in (("/stream/x", MANY_STREAMS), ("/once/x", MANY_CALLS),
                            ("/many/x", MANY_CALLS)) for n in range(count)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    check(len(durations) == len(callers), "a caller got no answer")
    check_peak(d, variant)
    for endpoint in d.endpoints:
        endpoint.fault = None


def test(d):
    many = sys.argv[2:] == ["many_at_once"]
    for variant in MANY if many else ENDLESS:
        for drip_s in (0.1,) if many else (0, 0.1):
            print(f"- {variant}, {drip_s} s between pieces", flush=True)
            many_at_once(d, variant) if many else endless_bytes(d, variant, drip_s)
            print(f"  peak memory {peak_mb(d, 0):.0f} MB", flush=True)
    wait_until("the VM serves again", lambda: d.call(
        0, "GET", "/many/x", f"after-{time.monotonic()}").status == 200)


main(test, engines=ENGINES if "many_at_once" in sys.argv else 3)
