#!/usr/bin/env python3
"""A worker turns requests away with 503 and Retry-After; a VM goes on sending it more."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib"))

from case import TROUBLE, main  # noqa: E402

RETRY_AFTER_S = 5
GAP_S = 0.03
ALLOWED = 2  # BUDGET: "More than two requests"


def test(case):
    resting = case.endpoints_of("plain")[0]
    arrivals = []

    def work(endpoint, handler, common):
        request = common["X-Request-Id"]
        if endpoint is resting and TROUBLE:
            arrivals.append(time.monotonic())
            case.note(f"worker {endpoint.id}: turns {request} away, Retry-After {RETRY_AFTER_S}")
            return handler.answer(503, b"", {**common, "X-Not-Run": "1",
                                             "Retry-After": str(RETRY_AFTER_S)})
        handler.answer(200, f"answer to {request}".encode(), common)

    for worker in case.endpoints_of("plain"):
        worker.fault = work
    end = time.monotonic() + RETRY_AFTER_S + 0.5
    number = 0
    while time.monotonic() < end:
        number += 1
        request = f"r{number:03}-{'once' if number % 2 else 'many'}"
        answer = case.call(0, "POST", f"/{request.split('-')[1]}/x", request)
        case.note(f"client: {request}: {answer.status}")
        time.sleep(GAP_S)
    later = [at for at in arrivals
             if arrivals[0] + 0.5 < at < arrivals[0] + RETRY_AFTER_S]
    case.note(f"reached the worker from 0.5 s to {RETRY_AFTER_S} s after its first refusal: "
              f"{len(later)}")
    if len(later) > ALLOWED:
        case.breaks(f"BUDGET: {len(later)} requests reached the worker before its Retry-After")


main(test, FOLDER, vms=1, engines=1, plain=3)
