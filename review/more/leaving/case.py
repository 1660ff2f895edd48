#!/usr/bin/env python3
"""A worker says in its answers that it leaves, while the store is down; the VMs go on calling it."""

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
DRAIN_S = 2.0  # bounds.drainMs
STORE_DOWN_S = 4.5


def test(case):
    workers = case.endpoints_of("plain")
    leaving = workers[0]
    leaves = threading.Event()
    arrivals = []  # time and request, at the worker that leaves
    told = {}  # time at which each VM passed on an answer with Server-Leaving

    def work(endpoint, handler, common):
        request = common["X-Request-Id"]
        headers = dict(common)
        if endpoint is leaving and leaves.is_set():
            arrivals.append((time.monotonic(), request))
            headers["Server-Leaving"] = "1"
            case.note(f"worker {endpoint.id}: {request} arrives; it answers with Server-Leaving")
        time.sleep(WORK_S)
        handler.answer(200, f"answer to {request}".encode(), headers)

    for endpoint in workers:
        endpoint.fault = work
    end = time.monotonic() + 1 + STORE_DOWN_S + 5
    sent, vm_of = {}, {}

    def client(number):
        n, vm = 0, number % VMS
        while time.monotonic() < end:
            kind = "once" if n % 2 else "many"
            request = f"c{number}-{n:03}-{kind}"
            sent[request], vm_of[request] = time.monotonic(), vm
            answer = case.call(vm, "POST", f"/{kind}/x", request)
            if answer.headers.get("server-leaving") and vm not in told:
                told[vm] = time.monotonic()
                case.note(f"client: {request}: edge-{vm} has passed on an answer with "
                          "Server-Leaving")
            n += 1
            time.sleep(GAP_S)

    clients = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    for thread in clients:
        thread.start()
    time.sleep(1)
    if TROUBLE:
        case.store.fault = "silent"
        case.note(f"store: silent for {STORE_DOWN_S} s")
        time.sleep(0.2)
    case.note(f"worker {leaving.id}: begins to leave, and says so in all its answers"
              f"{'; the store does not take its report' if TROUBLE else ''}")
    leaves.set()
    if not TROUBLE:
        case.store.put("servers", leaving.id, leaving.entry("draining"))
        case.note(f"store: entry of worker {leaving.id} is draining")
    time.sleep(STORE_DOWN_S - 0.2)
    if TROUBLE:
        case.store.fault = None
        case.store.put("servers", leaving.id, leaving.entry("draining"))
        case.note(f"store: answers again; entry of worker {leaving.id} is draining")
    for thread in clients:
        thread.join()
    late = [(at, request) for at, request in arrivals if vm_of[request] in told and
            sent[request] > told[vm_of[request]] + DRAIN_S]
    case.note(f"{len(sent)} requests sent; {len(arrivals)} reached the worker while it left")
    case.note(f"sent later than drainMs after their VM had passed on Server-Leaving: {len(late)}")
    if late:
        last = max(sent[request] - told[vm_of[request]] for _, request in late)
        case.breaks(f"DRAIN: {len(late)} requests reached the worker up to {last:.1f} s after "
                    "their VM had passed on an answer with Server-Leaving")


main(test, FOLDER, vms=VMS, engines=1, plain=3)
