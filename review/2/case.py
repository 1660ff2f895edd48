#!/usr/bin/env python3
"""A sound part that is new is blamed for a deadly one, and nothing ever clears it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import TROUBLE, deployment, main  # noqa: E402
from standins import Endpoint  # noqa: E402

VMS = 3
ENGINES = 6
STABLE_S = 3.0  # bounds.stabilityWindowMs
BEFORE_S = 8  # sound traffic without the new part
AFTER_S = 18  # sound traffic with it
SOUND_GAP_S = 0.2
SOUND_TOKENS, DEADLY_TOKENS = 210000, 4000
# When prompts with the deadly part are sent, in seconds after the new part comes into use.
DEADLY_AT = [0.0, 0.1, 0.2] + [1.0 + 0.5 * n for n in range(33)]
DOWN_S = 2.0  # "the worker is back after some seconds"
MIN_COUNT = 20  # "20 or more of each"
FIRST, OLD, NEW, DEADLY = "5c1e07a2", "91bd0001", "91bd0002", "dead0a17"

plain_configuration = deployment.configuration


def configuration(*arguments, **options):
    config = plain_configuration(*arguments, **options)
    config["routes"][0].update(targetLatencyMs=3000, timeoutMs=15000, gapAimMs=800)
    return config


deployment.configuration = configuration


def prefill_s(tokens, readers):
    """As the sheet has it: 256 tokens are read in a ms, and a million pairs in 0.0917 ms."""
    return (tokens / 256 + tokens * tokens / 2e6 * 0.0917) / readers / 1000


def test(case):
    Endpoint.down_s = DOWN_S
    for engine in case.endpoints_of("llm"):

        def stream(handler, headers, engine=engine, plain=engine.stream):
            tokens = int(handler.headers["X-Token-Count"].split(",")[0])
            helpers = [h for h in handler.headers.get("X-Helpers", "").split(",") if h]
            time.sleep(prefill_s(tokens, 1 + len(helpers)))
            request = handler.headers["X-Request-Id"]
            if DEADLY in handler.headers["X-Prompt-Prefix"] and TROUBLE and not engine.down:
                case.note(f"worker {engine.id} begins to write an answer to {request}, and crashes")
                engine.crash()
            if not engine.down:
                case.note(f"worker {engine.id} begins to write an answer to {request}")
            return plain(handler, headers)

        engine.stream = stream
    results = []  # sent, request, begun at the first attempt
    threads = []

    def send(number, request, parts, tokens):
        sent = time.monotonic()
        answer = case.call(number % VMS, "POST", "/stream/x", request,
                           body=f"prompt of {request}".encode(),
                           headers={"X-Token-Count": f"{tokens},80", "X-Timeout-Ms": "15000",
                                    "X-Prompt-Prefix": f"{','.join(parts)},{number:07x}a:2000"})
        whole = answer.status == 200 and answer.complete
        case.note(f"client: {request} ({','.join(parts)}) to edge-{number % VMS}: {answer.status}"
                  f"{'' if answer.complete else ', cut'}, Retry-After "
                  f"{answer.headers.get('retry-after')}, {answer.body[:90] if not whole else b''!r}")
        if request.startswith("sound"):
            results.append((sent, request, answer.status == 200))

    def start(*arguments):
        threads.append(threading.Thread(target=send, args=arguments))
        threads[-1].start()

    number = 0
    began = time.monotonic()
    changed = began + BEFORE_S
    next_sound = began
    deadly = list(DEADLY_AT)
    while time.monotonic() < changed + AFTER_S:
        now = time.monotonic()
        if deadly and now >= changed + deadly[0]:
            deadly.pop(0)
            number += 1
            start(number, f"deadly-{number:03}",
                  [f"{FIRST}:40", f"{DEADLY}:60", f"{NEW}:100"], DEADLY_TOKENS)
        if now >= next_sound:
            next_sound += SOUND_GAP_S
            number += 1
            part = NEW if now >= changed else OLD
            start(number, f"sound-{number:03}", [f"{FIRST}:40", f"{part}:100"], SOUND_TOKENS)
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    crashes = Endpoint.crash_times
    before = [begun for sent, _, begun in results if sent < changed]
    since = (crashes[min(len(crashes), 5) - 1] if crashes else changed) + 2 * STABLE_S
    after = [begun for sent, _, begun in results if sent > since]
    case.note(f"{len(crashes)} crashes; sound requests with the same key and first part begun at the "
              f"first attempt: {sum(before)} of {len(before)} before the new part came into use, "
              f"{sum(after)} of {len(after)} from two stability windows after the crashes")
    if min(len(before), len(after)) < MIN_COUNT:
        raise AssertionError("too few requests to judge")
    if sum(after) / len(after) < sum(before) / len(before) / 2:
        case.breaks(f"LOST: {sum(after)} of {len(after)} sound requests begin, {sum(before)} of "
                    f"{len(before)} before")


main(test, FOLDER, vms=VMS, engines=ENGINES, plain=1)
