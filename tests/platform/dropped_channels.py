#!/usr/bin/env python3
"""Requests fail, or endpoints count as crashed, for idle connections that endpoints have dropped."""

import collections
import itertools
import json
import sys
import threading
import time

from deployment import check, configuration, main, route, wait_until
from standins import STABLE_S, Endpoint

VMS = 2
# Time after which endpoints drop an idle connection, and pauses that are longer, in seconds.
DROP_S, PAUSE_S = 0.5, 0.8
SHARED = "shared:800"  # first part of all prompts
# Requests that may reach engines later than STABLE_S after the crash with this number.
MAX_LATER, CRASHES = 3, 5
numbers = itertools.count()


def prompt(d, vm, kind, middle=""):
    request = f"{kind}-{next(numbers)}"
    return d.call(vm, "POST", "/stream/x", request, headers={
        "X-Token-Count": "45000,80", "X-Prompt-Prefix": f"{SHARED},{middle}{request}:44200"})


def together(calls, gap_s):
    """Starts the calls one after the other; returns the statuses of their answers."""
    answers = []

    def run(call):
        try:
            answer = call()
            answers.append(answer.status if answer.complete else "cut")
        except OSError as error:
            answers.append(repr(error))

    threads = []
    for call in calls:
        threads.append(threading.Thread(target=run, args=(call,)))
        threads[-1].start()
        time.sleep(gap_s)
    for thread in threads:
        thread.join()
    return answers


def sound_prompts(d, count, gap_s, vms=VMS):
    return together([lambda vm=n % vms: prompt(d, vm, "sound") for n in range(count)], gap_s)


def check_served(answers, when):
    failed = [answer for answer in answers if answer != 200]
    check(not failed, f"{len(failed)} of {len(answers)} requests failed {when}: {failed[:10]}")


def suspected_requests(d):
    """How often each request was a suspect of a crash."""
    lines = [json.loads(line) for vm in range(VMS) for line in d.log(vm).splitlines()]
    return collections.Counter(line["request"] for line in lines
                               if line["event"] == "crash_suspected")


class DeadlyPrompts:
    """Comes again and again with a part that crashes engines."""

    def __init__(self, d, part):
        self.d, self.part, self.stopped = d, part, False
        Endpoint.deadly = part
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        for vm in itertools.cycle(range(VMS)):
            if self.stopped:
                return
            try:
                prompt(self.d, vm, "deadly", f"{self.part}:300,")
            except OSError:
                pass
            time.sleep(0.3)

    def wait_until_found(self):
        wait_until("engines have crashed", lambda: len(Endpoint.crash_times) >= 3)
        wait_until("no engine crashes any more",
                   lambda: time.monotonic() > Endpoint.crash_times[-1] + 2 * STABLE_S)

    def arrivals(self):
        return sum(self.part in prompt for e in self.d.endpoints for prompt in e.arrivals)

    def stop(self):
        self.stopped = True
        self.thread.join()
        Endpoint.deadly = None


def drops_in_a_quiet_time(d):
    """A few sound prompts in a row meet dropped connections; nothing else is answered meanwhile."""
    check_served(sound_prompts(d, 40, 0.008, vms=1), "before")
    deadly = DeadlyPrompts(d, "deadly-a")
    deadly.wait_until_found()
    suspected = suspected_requests(d)
    Endpoint.drops_after_s = DROP_S
    answers = []
    for _ in range(4):
        answers += sound_prompts(d, 40, 0.008, vms=1)
        time.sleep(PAUSE_S)
        answers += sound_prompts(d, 6, 0.07, vms=1)
    check(len(Endpoint.drop_times) >= 5, "too few connections were dropped")
    time.sleep(STABLE_S)
    answers += sound_prompts(d, 20, 0.1)
    deadly.stop()
    check_served(answers, f"after {len(Endpoint.drop_times)} resets of dropped connections")
    new = suspected_requests(d) - suspected
    check(not new, f"requests were suspected although no engine crashed: {new}")


def late_resets(d):
    """Lost packets delay the resets of dropped connections."""
    suspected = suspected_requests(d)
    Endpoint.drops_after_s = DROP_S
    before, answers = len(Endpoint.drop_times), []
    for _ in range(3):
        answers += sound_prompts(d, 20, 0.008, vms=1)
        time.sleep(PAUSE_S)
        Endpoint.reset_delay_s = 0.35
        answers += sound_prompts(d, 8, 0.02, vms=1)
        Endpoint.reset_delay_s = 0
    late = len(Endpoint.drop_times) - before
    check(late >= 5, "too few connections were dropped")
    check_served(answers, f"after {late} late resets of dropped connections")
    new = suspected_requests(d) - suspected
    check(not new, f"requests were suspected although no engine crashed: {new}")


def check_deadly_part_is_found(d, part):
    Endpoint.drops_after_s = DROP_S
    Endpoint.crash_times.clear()
    check_served(sound_prompts(d, 20, 0.02), "before")
    time.sleep(PAUSE_S)
    deadly = DeadlyPrompts(d, part)
    end = time.monotonic() + 20
    while time.monotonic() < end and len(Endpoint.crash_times) < CRASHES:
        sound_prompts(d, 6, 0.07)
        time.sleep(PAUSE_S)
    time.sleep(STABLE_S)
    before, answers = deadly.arrivals(), []
    for _ in range(5):
        answers += sound_prompts(d, 10, 0.07)
        time.sleep(PAUSE_S)
    later = deadly.arrivals() - before
    deadly.stop()
    check(Endpoint.crash_times, "the deadly part crashed no engine")
    check(later <= MAX_LATER, f"{later} prompts with the deadly part reached engines")
    check_served(answers, "beside the deadly part")


def deadly_part(d):
    check_deadly_part_is_found(d, "deadly-b")


def deadly_part_ends_engines(d):
    """The same, with engines that refuse connections while they are down."""
    wait_until("all engines are back", lambda: not any(e.down for e in d.endpoints))
    Endpoint.closes_when_down = True
    check_deadly_part_is_found(d, "deadly-c")
    wait_until("all engines are back", lambda: not any(e.down for e in d.endpoints))
    Endpoint.closes_when_down = False


def plain_requests(d):
    """Each request comes after a pause, so that the connections to the service are dropped."""
    Endpoint.drops_after_s = DROP_S
    before = len(Endpoint.drop_times)
    for round_number in range(8):
        answers = together([lambda n=n: d.call(n % VMS, "GET", "/many/x", f"many-{round_number}-{n}")
                            for n in range(6)], 0.02)
        once = [f"once-{round_number}-{n}" for n in range(2)]
        answers += together([lambda r=r: d.call(0, "POST", "/once/x", r, body=b"x")
                             for r in once], 0.02)
        check_served(answers, "after a pause")
        check(all(d.run_count(request) == 1 for request in once), "a request ran twice")
        time.sleep(PAUSE_S)
    check(len(Endpoint.drop_times) > before, "no connection was dropped")


def reserved_memory(d):
    """Orders for memory that the parts of a long prompt need meet dropped connections, too."""
    long_route = route("long", "/long/", "streaming", "llm", resumable=True, sticky=True,
                       gapAimMs=800, timeoutMs=20000, targetLatencyMs=4000)
    d.store.put("config", "main", configuration(3, extra_routes=[long_route]))
    time.sleep(STABLE_S)
    Endpoint.drops_after_s = DROP_S
    before, answers = len(Endpoint.drop_times), []
    # A prompt that needs the memory of two engines.
    headers = {"X-Token-Count": "600000,80", "X-Model": "m", "X-Timeout-Ms": "20000"}
    for round_number in range(6):
        answers += together([lambda n=n: d.call(n, "GET", "/long/x", f"long-{round_number}-{n}",
                                                headers=headers) for n in range(VMS)], 0.02)
        time.sleep(PAUSE_S)
    check_served(answers, "whose memory is reserved after a pause")
    check(len(Endpoint.drop_times) > before, "no connection was dropped")


STEPS = {step.__name__: step for step in (drops_in_a_quiet_time, late_resets,
                                          deadly_part, deadly_part_ends_engines,
                                          plain_requests, reserved_memory)}


def test(d):
    Endpoint.prefill_s = 0.2
    for name in sys.argv[2:] or STEPS:
        print(f"- {name}", flush=True)
        STEPS[name](d)


main(test, vms=VMS, engines=6)
