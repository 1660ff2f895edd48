#!/usr/bin/env python3
"""The queue of a pool of engines in real processes: slots, refusals, a lost dispatcher, a caller
that leaves."""

import http.client
import json
import signal
import threading

from deployment import (Endpoint, HOST, check, configuration, full_stream, main, wait_until)

SLOTS = 2
CALLERS = 24  # several times the slots of both engines


class Streams:
    """Counts the streams that each engine writes at a time."""

    def __init__(self):
        self.now, self.most, self.lock = {}, {}, threading.Lock()
        self.stream = Endpoint.stream
        Endpoint.stream = lambda endpoint, handler, headers: self.count(endpoint, handler, headers)

    def count(self, endpoint, handler, headers):
        with self.lock:
            self.now[endpoint.id] = self.now.get(endpoint.id, 0) + 1
            self.most[endpoint.id] = max(self.most.get(endpoint.id, 0), self.now[endpoint.id])
        try:
            self.stream(endpoint, handler, headers)
        finally:
            with self.lock:
                self.now[endpoint.id] -= 1


def prepare(d):
    d.settings = "queue.fair=on\n"
    d.version += 1
    config = configuration(d.version)
    config["services"][0]["engine"] = {**config["services"][0]["engine"], "slots": SLOTS}
    config["tenants"] = [{"name": "customs", "apiKeys": ["key-1"]},
                         {"name": "harbour", "apiKeys": ["key-2"]}]
    d.store.put("config", "main", config)
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.05
    d.streams = Streams()
    return d


def lines(d, vm, event):
    return [json.loads(line) for line in d.log(vm).splitlines() if f'"event":"{event}"' in line]


def ask(d, name, vms):
    """Starts callers of both teams; returns their answers, to be joined."""
    answers = {}

    def call(n):
        request = f"{name}-{n}"
        answers[request] = d.call(vms[n % len(vms)], "POST", "/stream/x", request,
                                  key=f"key-{1 + n % 2}", body=request.encode())

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads, answers


def check_answers(d, threads, answers):
    for thread in threads:
        thread.join()
    check(len(answers) == CALLERS, "a caller got no answer")
    for request, answer in answers.items():
        if answer.status == 503:
            check(float(answer.headers["retry-after"]) > 0, f"{request}: no Retry-After")
            check(d.run_count(request) == 0, f"{request} ran although it was refused")
        else:
            check(answer.status == 200 and answer.body == full_stream(),
                  f"{request}: {answer.status}")
            check(d.run_count(request) == 1, f"{request} ran {d.run_count(request)} times")


def dispatcher_of(d, vms):
    return next(vm for vm in vms
                if (last := lines(d, vm, "dispatcher")) and last[-1]["now"] == f"vm-{vm}")


def engines_get_no_more_than_their_slots(d):
    threads, answers = ask(d, "many", range(3))
    check_answers(d, threads, answers)
    check(all(most <= SLOTS for most in d.streams.most.values()), f"{d.streams.most}")
    vm = dispatcher_of(d, range(3))
    check(lines(d, vm, "queued") and lines(d, vm, "granted"), "no request was queued and granted")
    check(any(answer.status == 503 for answer in answers.values()), "none was refused")
    check(any(answer.status == 200 for answer in answers.values()), "none was served")


def caller_that_leaves_does_not_run(d):
    threads, answers = ask(d, "before", range(3))
    vm = dispatcher_of(d, range(3))
    seen = len(lines(d, vm, "queued"))
    connection = http.client.HTTPConnection("127.0.0.1", d.port((vm + 1) % 3, 0))
    connection.request("POST", "/stream/x", b"leaver", {
        "Host": HOST, "X-Request-Id": "leaver", "Api-Key": "key-1", "X-Token-Count": "4000,80",
        "X-Model": "m", "X-Timeout-Ms": "9000"})
    wait_until("the request is queued", lambda: any(
        line["request"] == "leaver" for line in lines(d, vm, "queued")[seen:]))
    connection.close()
    check_answers(d, threads, answers)
    check(d.run_count("leaver") == 0, "ran although its caller had left")


def lost_dispatcher(d):
    vm = dispatcher_of(d, range(3))
    others = [other for other in range(3) if other != vm]
    seen = len(lines(d, vm, "queued"))
    threads, answers = ask(d, "moved", others)
    wait_until("requests wait", lambda: len(lines(d, vm, "queued")) - seen >= CALLERS // 2)
    d.signal(vm, signal.SIGKILL)
    check_answers(d, threads, answers)
    check(any(lines(d, other, "queue_moved") for other in others), "no queued request was moved")
    check(dispatcher_of(d, others) in others, "no other dispatcher")
    answer = d.call(others[0], "POST", "/stream/x", "afterwards")
    check(answer.status == 200, f"not served afterwards: {answer.status}")


def test(d):
    wait_until("the configuration is in force", lambda: all(
        any(line["version"] == d.version for line in lines(d, vm, "config_in_force"))
        for vm in range(3)))
    wait_until("all VMs have the same dispatcher", lambda: len({
        lines(d, vm, "dispatcher")[-1]["now"] for vm in range(3)}) == 1)
    check(d.call(0, "POST", "/stream/x", "calm").status == 200, "not served")
    engines_get_no_more_than_their_slots(d)
    caller_that_leaves_does_not_run(d)
    lost_dispatcher(d)


if __name__ == "__main__":
    main(test, prepare, engines=2)
