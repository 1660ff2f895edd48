#!/usr/bin/env python3
"""A part of long prompts that crashes workers is never found if sixteen parts precede it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import TROUBLE, main  # noqa: E402
from standins import Endpoint  # noqa: E402

VMS = 3
ENGINES = 6
SECONDS = 25
STABLE_S = 3.0  # bounds.stabilityWindowMs
CRASHES = 5  # after which the part has to be known
LATER_ALLOWED = 3
DOWN_S = 2.0  # "the worker is back after some seconds"
DEADLY_GAP_S = 0.4
SOUND_GAP_S = 0.15
# A prompt has PARTS shared parts and one of its own; the deadly one is the last shared part.
PARTS = int(os.environ.get("PARTS", "18"))
DEADLY = "dead0a17"
SOUND = "50c1ab17"


def prompt(last_shared, own):
    parts = [f"5c1e{n:04x}:100" for n in range(PARTS - 1)]
    return ",".join([*parts, f"{last_shared}:100", f"{own}:2000"])


def test(case):
    engines = case.endpoints_of("llm")
    if TROUBLE:
        Endpoint.deadly = DEADLY
    Endpoint.prefill_s, Endpoint.down_s = 0.05, DOWN_S
    case.note(f"prompts have {PARTS} shared parts and one of their own; the last shared part is "
              f"{DEADLY} in some, which {'crashes' if TROUBLE else 'does not crash'} workers")
    end = time.monotonic() + SECONDS
    crash_times = Endpoint.crash_times
    sound = {"complete": 0, "rejected": 0, "lost": 0}

    def send(vm, request, shared, own):
        answer = case.call(vm, "POST", "/stream/x", request, body=f"prompt of {request}".encode(),
                           headers={"X-Prompt-Prefix": prompt(shared, own)})
        case.note(f"client: {request} (last shared part {shared}) to edge-{vm}: {answer.status}"
                  f"{'' if answer.complete else ', cut'}")
        return answer

    def deadly(number):
        send(number % VMS, f"deadly-{number:03}", DEADLY, f"d{number:07x}")

    def sound_client(vm):
        number = 0
        while time.monotonic() < end:
            number += 1
            answer = send(vm, f"sound-{vm}-{number:03}", SOUND, f"a{vm}{number:06x}")
            kind = ("rejected" if answer.status in (429, 503) else
                    "complete" if answer.status == 200 and answer.complete else "lost")
            sound[kind] += 1
            time.sleep(SOUND_GAP_S)

    threads = [threading.Thread(target=sound_client, args=(vm,)) for vm in range(VMS)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    number = 0
    while time.monotonic() < end:
        threads.append(threading.Thread(target=deadly, args=(number,)))
        threads[-1].start()
        number += 1
        time.sleep(DEADLY_GAP_S)
    for thread in threads:
        thread.join()
    for at in crash_times:
        case.note(f"a worker crashed at {at - case.began:.3f}")
    case.note(f"{number} prompts with the part sent; {len(crash_times)} crashes; sound: {sound}")
    if len(crash_times) < CRASHES:
        return
    known_since = crash_times[CRASHES - 1] + STABLE_S
    later = [request for engine in engines for at, request in engine.arrival_times
             if request.startswith("deadly") and at > known_since]
    case.note(f"reached workers later than {STABLE_S} s after the fifth crash: {len(later)}")
    if len(later) > LATER_ALLOWED:
        case.breaks(f"BUDGET: {len(later)} requests with the part reached workers later than "
                    f"{STABLE_S} s after the fifth crash")


main(test, FOLDER, vms=VMS, engines=ENGINES, plain=1)
