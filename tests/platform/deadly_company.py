#!/usr/bin/env python3
"""A deadly part of prompts comes with new parts that no endpoint has answered yet.

Sound prompts with the new parts take longer to read than the first crashes take to come, so the
evidence doesn't tell which part is deadly. Guards against sound prompts that are rejected for it.
"""

import itertools
import signal
import sys
import threading
import time

from deployment import check, main, wait_until
from standins import STABLE_S, Endpoint

VMS = 3
CRASHES = 5
MAX_LATER = 3  # requests that may reach endpoints later than STABLE_S after the fifth crash
SOUND_GAP_S = 0.15
DEADLY_GAP_S = 0.4
BEFORE_S = 4
MIN_COUNT = 20
DEADLY = "dead"
LONG = "long"  # own parts of prompts that take long to read
numbers = itertools.count()


class Traffic:
    """Prompts at a steady rate, whatever becomes of those before."""

    def __init__(self, d, prompts, gap_s, own="own"):
        self.d, self.prompts, self.gap_s = d, itertools.cycle(prompts), gap_s
        self.own = own  # begin of the names of the last parts
        self.results = []  # time sent, whether an endpoint began at the first attempt
        self.calls, self.stopped = [], False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            self.calls.append(threading.Thread(target=self.send, args=(next(self.prompts),),
                                               daemon=True))
            self.calls[-1].start()
            time.sleep(self.gap_s)

    def send(self, parts):
        number, sent = next(numbers), time.monotonic()
        prompt = ",".join(f"{part}:50" for part in [*parts, f"{self.own}{number}"])
        answer = self.d.call(number % VMS, "POST", "/stream/x", f"{parts[1]}-{number}",
                             body=f"prompt {number}".encode(),
                             headers={"X-Prompt-Prefix": prompt, "X-Timeout-Ms": "9000"})
        self.results.append((sent, answer.status == 200))

    def stop(self):
        self.stopped = True
        self.thread.join()
        for call in self.calls:
            call.join()

    def begun(self, since, until=float("inf")):
        return [begun for sent, begun in self.results if since <= sent < until]


def deadly_arrivals(d, since):
    return sum(at > since and DEADLY in prompt for e in d.endpoints_of("llm")
               for (at, _), prompt in zip(e.arrival_times, e.arrivals))


def play(d, deadly, sound):
    """Sends prompts of these parts until long after the crashes, and checks what callers get."""
    Endpoint.crash_times.clear()
    Endpoint.slow_part, Endpoint.slow_s = None, 0
    before = Traffic(d, [["first", "old"]], SOUND_GAP_S)
    time.sleep(BEFORE_S)
    before.stop()
    Endpoint.deadly, Endpoint.slow_part, Endpoint.slow_s = DEADLY, LONG, 1.5
    streams = [Traffic(d, deadly, DEADLY_GAP_S), Traffic(d, sound, SOUND_GAP_S, LONG)]
    wait_until("endpoints have crashed", lambda: len(Endpoint.crash_times) >= 3)
    end = time.monotonic() + 4 * STABLE_S + MIN_COUNT * SOUND_GAP_S
    while time.monotonic() < end:
        time.sleep(0.1)
    for stream in streams:
        stream.stop()
    crashes = Endpoint.crash_times
    settled = crashes[min(len(crashes), CRASHES) - 1] + 2 * STABLE_S
    usual, later = before.begun(0), streams[1].begun(settled)
    print(f"  {len(crashes)} crashes; begun: {sum(usual)} of {len(usual)} before, {sum(later)} of "
          f"{len(later)} later", flush=True)
    check(min(len(usual), len(later)) >= MIN_COUNT, "too few requests to judge")
    check(2 * sum(later) * len(usual) >= sum(usual) * len(later),
          f"{sum(later)} of {len(later)} sound prompts were begun")
    if len(crashes) >= CRASHES:
        late = deadly_arrivals(d, crashes[CRASHES - 1] + STABLE_S)
        check(late <= MAX_LATER, f"{late} deadly prompts reached endpoints late")


def new_part_follows(d):
    play(d, [["first", DEADLY, "new-a"]], [["first", "old", "new-a"]])


def new_part_precedes(d):
    play(d, [["first", "new-b", DEADLY + "-2"]], [["first", "new-b"]])


def new_parts_around(d):
    play(d, [["first", "new-c", DEADLY + "-3", "new-d"]],
         [["first", "old", "new-c", "new-d"], ["first", "new-c"], ["first", "old", "new-d"]])


def company_changes(d):
    parts = [f"new-{n}" for n in range(3)]
    play(d, [["first", DEADLY + "-4", part] for part in parts], [["first", "old", part] for part in parts])


def parts_always_come_together(d):
    """Nothing tells the two apart, also after the restart of all VMs at once."""
    deadly = [["first", DEADLY + "-5", "twin"]]
    play(d, deadly, [["first", "old", "new-e"]])
    for vm in range(VMS):
        d.signal(vm, signal.SIGKILL)
    for vm in range(VMS):
        d.processes[vm].wait()
        d.start(vm)
    for vm in range(VMS):
        wait_until("the VM is ready again", lambda vm=vm: d.ready(vm))
    time.sleep(STABLE_S)
    since = time.monotonic()
    again = Traffic(d, deadly, DEADLY_GAP_S)
    time.sleep(2 * STABLE_S)
    again.stop()
    late = deadly_arrivals(d, since)
    check(late <= MAX_LATER, f"{late} deadly prompts reached endpoints after the restart")


def deadly_among_many(d):
    """Guards against evidence that is left out because a prompt has many parts."""
    parts = [f"shared-{n}" for n in range(39)]
    play(d, [["first", *parts[:18], DEADLY + "-6", *parts[18:]]], [["first", *parts]])


def deadly_behind_many(d):
    """The same beside many other prompts, whose answers are remembered as well."""
    families = [[f"{family}-{n}" for n in range(200)] for family in range(12)]
    play(d, [["first", *families[0], DEADLY + "-7"]],
         [["first", *family] for other in families for family in (families[0], families[0], other)])


COMPANY = [new_part_follows, new_part_precedes, new_parts_around, company_changes,
           parts_always_come_together]
STEPS = [*COMPANY, deadly_among_many, deadly_behind_many]


def test(d):
    Endpoint.prefill_s, Endpoint.down_s = 0.05, 2.0
    for step in [s for s in STEPS if s.__name__ in sys.argv[2:]] or COMPANY:
        print(f"- {step.__name__}", flush=True)
        step(d)


main(test, vms=VMS, engines=6)
