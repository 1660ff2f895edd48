#!/usr/bin/env python3
"""Workers drop idle channels without notice; a few stale channels make a sound part of the prompts
blamed for crashes, and all requests with it are refused for good.

Two entry processes, six engines. All prompts begin with the same part; one part crashes workers. Until
step 4 all requests go to the first process.

  1. baseline: bursts of sound requests, pauses of 1.4 s between them, then callers one by one
  2. requests with the deadly part come, until the end; the part is found out after some crashes
  3. from 6 s after the last crash: workers drop channels that were idle for a second, and reset
     what is sent next on them; sound traffic as in 1
  4. no worker drops a channel any more; 3 s later sound requests are counted, at both processes

TROUBLE=0: no part is deadly, workers keep idle channels. TROUBLE=deadly: only a part is deadly.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import harness  # noqa: E402
import idle  # noqa: E402
import standins  # noqa: E402

MODE = os.environ.get("TROUBLE", "1")
PAUSE_S = 1.4  # without traffic
SHARED = "5c1e07a2:800"  # first part of all prompts
DEADLY = "deadbeef0000d1e"  # a part that crashes workers
ROUNDS = 10

class Traffic:
    def __init__(self, deployment, record):
        self.d, self.record, self.n = deployment, record, 0
        self.lock = threading.Lock()
        self.sound = []  # time of sending, whether the answer began

    def send(self, kind, middle="", vm=0):
        with self.lock:
            self.n += 1
            request = f"{kind}-{self.n:04d}"
        sent = time.monotonic()
        try:
            answer = self.d.call(vm, "POST", "/stream/x", request, body=request.encode(), timeout=15, headers={
                "X-Token-Count": "45000,80", "X-Prompt-Prefix": f"{SHARED},{middle}{request}:44200"})
            status, events = answer.status, answer.body.count(b"\n\n")
        except OSError as error:
            status, events = repr(error), 0
        self.record(f"{request} at VM {vm} sent {sent - self.record.started:.3f}: {status}, {events} events, "
                    f"{self.d.run_count(request)} runs")
        if kind == "sound":
            with self.lock:
                self.sound.append((sent, events > 0))

    def requests(self, count, gap_s, vms=1):
        threads = [threading.Thread(target=self.send, args=("sound", "", n % vms)) for n in range(count)]
        for thread in threads:
            thread.start()
            time.sleep(gap_s)
        for thread in threads:
            thread.join()

    def round(self):
        self.requests(60, 0.008)
        time.sleep(PAUSE_S)
        self.requests(6, 0.07)

    def deadly(self):
        while True:
            self.send("deadly", f"{DEADLY}:300,")
            time.sleep(1.5)

    def share(self, since, until):
        began = [b for sent, b in self.sound if since <= sent < until]
        return (sum(began) / len(began) if began else None), len(began)


def test(d, record):
    standins.Endpoint.prefill_s = 0.2  # 45,000 tokens at 256 a millisecond, and some
    traffic = Traffic(d, record)
    begin = time.monotonic()
    for _ in range(2):
        traffic.round()
    baseline, count = traffic.share(begin, time.monotonic())
    record(f"baseline: {baseline:.2f} of {count} sound requests begin")
    if MODE != "0":
        standins.Endpoint.deadly = DEADLY
    threading.Thread(target=traffic.deadly, daemon=True).start()
    begun = time.monotonic()
    while True:
        traffic.requests(6, 0.1)
        time.sleep(0.2)
        last = max(standins.Endpoint.crash_times, default=begun)
        if time.monotonic() > max(last, begun + 3) + 2 * harness.STABILITY_S:
            break
        if time.monotonic() > begun + 40:
            raise RuntimeError("the deadly part goes on crashing workers")
    crashes = list(standins.Endpoint.crash_times)
    record(f"{len(crashes)} crashes by the deadly part, the last one {time.monotonic() - last:.1f} s ago")
    idle.dropping = MODE == "1"
    for _ in range(ROUNDS):
        traffic.round()
        latest = traffic.sound[-6:]
        if not any(began for _, began in latest):
            break
    idle.dropping = False
    record(f"{len(idle.resets)} stale channels were reset; workers keep idle channels from now on")
    time.sleep(harness.STABILITY_S + 0.5)
    begin = time.monotonic()
    traffic.requests(40, 0.2, vms=2)
    share, count = traffic.share(begin, time.monotonic())
    later = len(standins.Endpoint.crash_times) - len(crashes)
    record(f"at the end: {share:.2f} of {count} sound requests begin; {later} further crashes")
    for line in harness.log_lines(d, 0, "suspect_blamed", "suspect_cleared"):
        record(line)
    if share < baseline / 2:
        return (f"LOST: {share:.2f} of {count} sound requests begin at the first attempt, before it "
                f"{baseline:.2f}, after {len(idle.resets)} resets of idle channels")
    return None


harness.run_case(FOLDER, test, vms=2, engines=6, plain=1)
