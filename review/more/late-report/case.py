#!/usr/bin/env python3
"""A worker's report that the store carries out late undoes its later report that it is draining."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib"))

from case import TROUBLE, main  # noqa: E402

VMS = 3
CLIENTS = 9
GAP_S = 0.12  # between two requests of a client
WORK_S = 0.06
HEARTBEAT_S = 1.2
DRAIN_S = 2.0  # bounds.drainMs
STABLE_S = 3.0  # bounds.stabilityWindowMs
# The store does what it has not answered 1 to 6 s later (platform_lost, late).
LATE_S = 5.9
# The worker serves for drainMs after its report "and a little longer".
LINGER_S = 1.4


class Worker:
    """Writes a worker's entry as its heartbeats do: every heartbeatMs, without a condition."""

    def __init__(self, case, endpoint):
        self.case, self.endpoint, self.state = case, endpoint, "ready"
        self.lock = threading.Lock()
        self.stored = None
        self.left = False

    def put(self, entry, when=""):
        """The store takes a write; a write that changes nothing but `seq` changes no entry."""
        with self.lock:
            if self.left:
                return
            if {**entry, "seq": 0} == self.stored:
                return
            self.stored = {**entry, "seq": 0}
            self.case.store.put("servers", self.endpoint.id, entry)
        self.case.note(f"store: entry of worker {self.endpoint.id} is {entry['state']}, seq "
                       f"{entry['seq']}{when}")

    def beat(self, lost=False):
        entry = self.endpoint.entry(self.state)
        if not lost:
            return self.put(entry)
        self.case.note(f"store: does not answer a write of worker {self.endpoint.id} "
                       f"({entry['state']}, seq {entry['seq']}), and will carry it out "
                       f"{LATE_S} s later")
        threading.Timer(LATE_S, self.put, (entry, ", by the write that was not answered")).start()

    def leave(self):
        """Ends, and its entry is removed."""
        with self.lock:
            self.left = True
            self.endpoint.down = True
            self.case.store.put("servers", self.endpoint.id, None)
        self.case.note(f"worker {self.endpoint.id} has left; its entry is removed")


def test(case):
    workers = case.endpoints_of("plain")
    for endpoint in workers:
        endpoint.event_s = WORK_S
    leaving = Worker(case, workers[0])
    leaving.stored = {**workers[0].entry(), "seq": 0}
    arrivals = []  # time and request, at the worker that leaves

    def work(endpoint, handler, common):
        request = common["X-Request-Id"]
        if endpoint is workers[0]:
            arrivals.append((time.monotonic(), request))
            case.note(f"worker {endpoint.id}: {request} arrives")
        time.sleep(WORK_S)
        if endpoint.down:
            case.note(f"worker {endpoint.id}: ends while {request} runs")
            return handler.reset()
        handler.answer(200, f"answer to {request}".encode(), common)

    for endpoint in workers:
        endpoint.fault = work
    end = time.monotonic() + 11
    sent, answered = {}, {}

    def client(number):
        n = 0
        while time.monotonic() < end:
            kind = "once" if n % 2 else "many"
            request = f"c{number}-{n:03}-{kind}"
            sent[request] = time.monotonic()
            answer = case.call(number % VMS, "POST", f"/{kind}/x", request)
            answered[request] = answer.status
            n += 1
            time.sleep(GAP_S)

    clients = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    for thread in clients:
        thread.start()

    time.sleep(1)
    # The only disturbance: one write is not answered, and carried out late.
    leaving.beat(lost=TROUBLE)
    disturbed = time.monotonic()
    for _ in range(2):
        time.sleep(HEARTBEAT_S)
        leaving.beat()
    time.sleep(disturbed + STABLE_S + 0.15 - time.monotonic())
    leaving.state = "draining"
    leaving.beat()
    confirmed = time.monotonic()
    gone = confirmed + DRAIN_S + LINGER_S
    while time.monotonic() + HEARTBEAT_S < gone:
        time.sleep(HEARTBEAT_S)
        leaving.beat()
    time.sleep(max(0, gone - time.monotonic()))
    leaving.leave()
    for thread in clients:
        thread.join()
    late = [request for at, request in arrivals
            if sent[request] > confirmed + DRAIN_S and at > confirmed + DRAIN_S]
    lost = [request for request in late if answered[request] not in (200, 503)]
    case.note(f"{len(sent)} requests sent; statuses {sorted(set(answered.values()))}")
    case.note(f"sent and arrived later than drainMs after the confirmation: {len(late)}; "
              f"of these, cut by the worker's end: {lost}")
    if late:
        case.breaks(f"DRAIN: {len(late)} requests reached a worker up to "
                    f"{max(sent[r] for r in late) - confirmed:.1f} s after the confirmation "
                    "that it is draining")


main(test, FOLDER, vms=VMS, engines=1, plain=3)
