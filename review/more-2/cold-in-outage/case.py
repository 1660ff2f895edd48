#!/usr/bin/env python3
"""A worker becomes cold again while the store is down. Its entry can't say so, but its health answers
do; it goes on getting all its requests, and crashes by them.

Two entry processes, two plain workers that take COLD_PER_S requests a second while they are cold.

TROUBLE=0: the store stays up and no worker becomes cold. TROUBLE=cold: only the store stays up.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib-2"))
import harness  # noqa: E402
import deployment  # noqa: E402
import standins  # noqa: E402

MODE = os.environ.get("TROUBLE", "1")
COLD_S, COLD_PER_S = 3.0, 14.0
OVERAGE, SLACK = 1.5, 5  # bounds.coldOverage, bounds.coldSlack
BOUND = COLD_PER_S * OVERAGE + SLACK
PER_S = 130  # requests of all clients
GRACE_S = 1.0  # after a worker has become cold, which is not judged
OUTAGE_S = 3.4  # shorter than the time for which keys may be used without the store


class Worker(standins.Endpoint):
    cold_at = cold_until = 0.0

    def cold_left_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def entry(self, state="ready"):
        return {**super().entry(state), "coldLeftMs": self.cold_left_ms()}

    def run(self, handler):
        if handler.path == "/healthz":
            return handler.answer(200, b"", {"X-Instance": self.id, "X-Load-Report": "0,0,16",
                                             "X-Cold-Ms": str(self.cold_left_ms())})
        if self.cold_left_ms():
            now = time.monotonic()
            with self.lock:
                recent = sum(now - t < 1.0 and t >= self.cold_at + GRACE_S for t, _ in self.arrival_times)
            if recent > 1.5 * BOUND:  # a rate well above what it tolerates
                self.crash()
        super().run(handler)


standins.Endpoint = deployment.Endpoint = Worker


def prepare(d):
    config = deployment.configuration(d.version)
    for service in config["services"]:
        if service["name"] == "plain":
            service.update(coldS=COLD_S, coldPerS=COLD_PER_S)
    d.store.put("config", "main", config)
    d.settings += f"bounds.coldOverage={OVERAGE}\nbounds.coldSlack={SLACK}\n"


class Clients:
    def __init__(self, d, record):
        self.d, self.record, self.n, self.stop = d, record, 0, False
        self.lock = threading.Lock()
        self.statuses = []  # time of sending, kind, status

    def client(self, number):
        while not self.stop:
            begin = time.monotonic()
            with self.lock:
                self.n += 1
                n = self.n
            kind = "once" if n % 2 else "many"
            request = f"{kind}-{n:05d}"
            try:
                status = self.d.call(number % 2, "POST", f"/{kind}/x", request, body=b"b", timeout=12).status
            except OSError as error:
                status = repr(error)
            self.record(f"{request}: {status}, {self.d.run_count(request)} runs")
            with self.lock:
                self.statuses.append((begin, kind, status))
            time.sleep(max(0.0, begin + 40 / PER_S - time.monotonic()))


def test(d, record):
    clients = Clients(d, record)
    threads = [threading.Thread(target=clients.client, args=(n,), daemon=True) for n in range(40)]
    for thread in threads:
        thread.start()
        time.sleep(1 / PER_S)
    time.sleep(4)
    worker = d.endpoints_of("plain")[0]
    begin = time.monotonic()
    if MODE == "1":
        d.store.fault = "refuse"
        record("the store is down (503)")
    time.sleep(0.2)
    cold_at = time.monotonic()
    if MODE != "0":
        worker.cold_at, worker.cold_until = cold_at, cold_at + COLD_S
        record(f"worker {worker.id} is cold for {COLD_S} s")
        # A worker writes its entry when it changes; the store takes it if it is up.
        if MODE != "1":
            d.store.put("servers", worker.id, worker.entry())
    time.sleep(OUTAGE_S - 0.2)
    d.store.fault = None
    record("the store is up")
    d.store.put("servers", worker.id, worker.entry())
    time.sleep(2)
    clients.stop = True
    for thread in threads:
        thread.join(15)
    with worker.lock:
        arrivals = sorted(t for t, _ in worker.arrival_times)
    until = min(cold_at + COLD_S, worker.crash_times[0] if worker.crash_times else cold_at + COLD_S)
    judged = [t for t in arrivals if cold_at + GRACE_S <= t < cold_at + COLD_S]
    most = max((sum(t <= u < t + 1.0 for u in judged) for t in judged), default=0)
    early = [t for t in arrivals if cold_at <= t < cold_at + COLD_S]
    any_second = max((sum(t <= u < t + 1.0 for u in early) for t in early), default=0)
    before = sum(begin - 2 <= t < begin for t in arrivals) / 2
    lost = sum(1 for t, kind, status in clients.statuses if kind == "once" and status == 502)
    record(f"the worker gets {before:.0f} requests a second before, {any_second} in a second while cold, {most} "
           f"in a second from {GRACE_S} s on; bound {BOUND:.0f}; crashes {len(worker.crash_times)} "
           f"(first {until - cold_at:.2f} s after it became cold); {lost} requests that may run once end with 502")
    if MODE != "0" and any_second > BOUND and (most > BOUND or worker.crash_times):
        return (f"FAILBACK: {any_second} requests in a second reach a cold worker, {most} of them from {GRACE_S} s on, "
                f"bound {BOUND:.0f}; {len(worker.crash_times)} crashes, {lost} requests lost")
    return None


harness.run_case(FOLDER, test, prepare, vms=2, engines=1, plain=2)
