#!/usr/bin/env python3
"""A worker leaves while the store cuts off watches now and then; entry processes go on using it until
it has gone, and lose what it was running.

Three entry processes, three plain workers. One worker after the other is taken away: its entry is removed,
it serves for DRAIN_S and a little longer, then it ends. Another worker takes its place.

TROUBLE=0: no watch is cut off.
"""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib-2"))
import harness  # noqa: E402
import standins  # noqa: E402
from deployment import DOMAINS  # noqa: E402
from standins import Endpoint  # noqa: E402

DRAIN_S = 2.0  # bounds.drainMs
LINGER_S = 1.0  # for which a worker serves on, after that
ROUNDS = 10
CUT_SHARE = float(os.environ.get("CUT_SHARE", "0.4"))  # of the watches that wait
cuts = []
random_ = random.Random(17)
watch = standins.Store.watch


def watch_or_cut(self, handler, kind, since, wait):
    """Cuts off a share of the watches while they wait."""
    if harness.TROUBLE and wait > 0.1 and random_.random() < CUT_SHARE:
        with self.lock:
            changed = any(rev > since and k == kind for rev, k, _, _ in self.history)
            if not changed:
                changed = self.lock.wait(wait * random_.uniform(0.3, 0.9)) and any(
                    rev > since and k == kind for rev, k, _, _ in self.history)
        if not changed:
            cuts.append(time.monotonic())
            return handler.reset()
    watch(self, handler, kind, since, wait)


standins.Store.watch = watch_or_cut


class Clients:
    def __init__(self, d, record):
        self.d, self.record, self.n, self.stop = d, record, 0, False
        self.lock = threading.Lock()
        self.statuses = {}

    def client(self, number):
        while not self.stop:
            with self.lock:
                self.n += 1
                n = self.n
            request = f"once-{n:05d}"
            try:
                status = self.d.call(number % 3, "POST", "/once/x", request, body=b"b", timeout=12).status
            except OSError as error:
                status = repr(error)
            self.record(f"{request} at VM {number % 3}: {status}, {self.d.run_count(request)} runs")
            with self.lock:
                self.statuses[request] = (number % 3, status)
            time.sleep(0.05)


def test(d, record):
    clients = Clients(d, record)
    threads = [threading.Thread(target=clients.client, args=(n,), daemon=True) for n in range(9)]
    for thread in threads:
        thread.start()
    time.sleep(4)
    late, lost = [], []
    for number in range(ROUNDS):
        worker = next(e for e in d.endpoints_of("plain") if not e.down)
        worker.event_s = 0.06
        record(f"worker {worker.id} leaves: its entry is removed")
        d.store.put("servers", worker.id, None)
        removed = time.monotonic()
        time.sleep(DRAIN_S + LINGER_S)
        with worker.lock:
            arrivals = [(t, r) for t, r in worker.arrival_times if t > removed + DRAIN_S]
        record(f"worker {worker.id} ends; {len(arrivals)} requests reached it later than {DRAIN_S} s after its removal, "
               f"the last {max([t - removed for t, _ in arrivals], default=0):.2f} s after it; {len(cuts)} watches cut so far")
        late += arrivals
        worker.down = True  # resets what it runs and all that comes
        time.sleep(0.5)
        lost += [r for _, r in arrivals if clients.statuses.get(r, (0, 0))[1] == 502]
        replacement = d.add_endpoint(Endpoint(d.base + 24 + number, "plain", DOMAINS[number % 3]))
        record(f"worker {replacement.id} takes its place")
        time.sleep(1.5)
    clients.stop = True
    for thread in threads:
        thread.join(15)
    for vm in range(3):
        record(f"VM {vm}: {len(harness.log_lines(d, vm, 'store_lost'))} times store_lost")
    if late:
        return f"DRAIN: {len(late)} requests reach workers later than {DRAIN_S} s after their removal, {len(lost)} of them are lost"
    return None


harness.run_case(FOLDER, test, vms=3, engines=1, plain=3)
