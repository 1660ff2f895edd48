#!/usr/bin/env python3
"""Fault soak: real entry processes with stand-ins, under injected faults.

  soak.py SEED [SECONDS] [FIRST_PORT]

Kills, pauses and stops processes, disturbs the path to the store, makes the
store fail and endpoints reject, cut, pause and answer twice, while clients
call and the configuration changes. Clients keep their connections until they
close. Faults come in series and overlap; their order and times are drawn from
the seed. Each third seed has planned work only (stops in series, reloads,
changes, draining endpoints) beside endpoints that pause; in another third, a
part of some prompts crashes each engine that begins to answer them. In each
second run, some endpoints name a limit; in each fourth, they drop connections
that were idle for a moment. Checks, by what callers and endpoints receive:

  - a request that may run once runs at most once;
  - a rejected request (408, 421, 429, 503) has not run and never runs;
  - an answer is complete, carries a seal and belongs to its request;
  - a stream neither loses nor repeats an event;
  - with planned work only, no request is lost: it is answered or rejected, or
    its connection closed before it was read;
  - with planned work only, a route is served 2 s after its confirmation;
  - a change that was confirmed is in force in the end, whatever the store lost;
  - from 3 s after the fifth crash, at most 3 prompts with the part that causes
    them reach engines;
  - an endpoint that names a limit gets no more than 1.5 times that and 5
    requests in 4 s, from VMs that are neither restarted nor paused;
  - after the run every VM is ready and serves again.
"""

import http.client
import os
import random
import signal
import sys
import threading
import time

from deployment import (HOST, Answer, Deployment, check, configuration, full_stream, route,
                        wait_until)
from standins import LIMIT_WINDOW_S, STABLE_S, Endpoint, Proxy

# Longest duration of a fault, in seconds.
FAULT_S = 2.5
# Mean time between the starts of two faults, in seconds.
GAP_S = 0.4
REJECTIONS = (408, 421, 429, 503)
# Time after its confirmation within which a change is in force, in seconds.
CONFIG_S = 2
# Limits that endpoints name, in requests a second.
LIMITS = (1, 2, 5)
# Share of the streams whose prompts have a deadly part, and how many of them may reach engines
# later than STABLE_S after the crash with this number.
DEADLY_SHARE, DEADLY_LATER, DEADLY_CRASHES = 0.15, 3, 5
DEADLY_PART = "deadly"
# Time after which endpoints drop an idle connection, in seconds.
DROP_S = 0.3


class Connection:
    """A client's connection to a VM, kept until it closes."""

    def __init__(self, deployment, vm):
        self.http = http.client.HTTPConnection("127.0.0.1", deployment.port(vm, 0), timeout=20)
        self.used = False

    def call(self, path, request, parts="first:40"):
        """Returns the answer; None if the connection closed before the answer began."""
        headers = {"Host": HOST, "X-Timeout-Ms": "9000", "X-Request-Id": request,
                   "Api-Key": "key-1", "X-Token-Count": "4000,80", "X-Model": "m",
                   "X-Prompt-Prefix": f"{parts},{request}:3000"}
        try:
            self.http.request("POST", path, b"", headers)
            answer = self.http.getresponse()
        except (OSError, http.client.HTTPException):
            self.http.close()
            return None
        got = {k.lower(): v for k, v in answer.getheaders()}
        try:
            return Answer(answer.status, got, answer.read())
        except (OSError, http.client.HTTPException) as error:
            self.http.close()
            return Answer(answer.status, got, getattr(error, "partial", b""), False)

    def closed(self):
        return self.http.sock is None


class Soak:
    def __init__(self, deployment, proxy, seed, seconds):
        self.d, self.proxy, self.seconds = deployment, proxy, seconds
        self.random = random.Random(seed)
        self.seed = seed
        self.end = time.monotonic() + seconds
        self.lock = threading.Lock()
        self.counts, self.faults, self.problems, self.rejected = {}, {}, [], []
        self.down = set()
        self.disturbed = {}  # times of kills, stops, pauses and of their ends, by VM
        self.planned_only = seed % 3 == 0
        if seed % 3 == 1:
            Endpoint.deadly, Endpoint.prefill_s = DEADLY_PART, 0.03
        if seed % 4 == 3:
            Endpoint.drops_after_s = DROP_S
        self.deadly_later = 0  # deadly prompts that reached engines although VMs must know them
        self.core_disturbed = time.monotonic()
        self.sent_by = {}  # VM of each request
        self.limited = ([deployment.endpoints_of("llm")[0], deployment.endpoints_of("plain")[0]]
                        if seed % 2 == 0 else [])
        self.version = 10
        self.rewrites = []  # timers of what is written again after the store's returns
        self.started = dict.fromkeys(range(deployment.vm_count), time.monotonic())

    def report_problem(self, text):
        with self.lock:
            self.problems.append(text)

    def client(self, number):
        rng = random.Random(self.seed * 1000 + number)
        n = 0
        connection = None
        while time.monotonic() < self.end and not self.problems:
            n += 1
            kind = rng.choice(["stream", "once", "once", "many"])
            request = f"soak-{number}-{n}-{kind}"
            if connection is None or (connection.used and connection.closed()):
                vm = rng.randrange(self.d.vm_count)
                connection = Connection(self.d, vm)
            connection.used = True
            deadly = Endpoint.deadly and kind == "stream" and rng.random() < DEADLY_SHARE
            sent = time.monotonic()
            self.sent_by[request] = vm
            answer = connection.call(f"/{kind}/x", request,
                                     f"first:40,{DEADLY_PART}:60" if deadly else "first:40")
            if deadly:
                self.check_deadly(vm, request, sent)
                continue
            if answer is None:
                outcome = "no answer"
                time.sleep(0.05)
            else:
                outcome = answer.status if answer.complete else "cut"
                self.check_answer(kind, request, answer)
            if self.planned_only and (outcome == "cut" or (
                    answer is None and self.d.run_count(request))):
                self.report_problem(f"{request} at VM {vm} was lost: {outcome}")
            if kind == "once" and self.d.run_count(request) > 1:
                self.report_problem(f"{request} ran {self.d.run_count(request)} times")
            with self.lock:
                key = f"{kind} {outcome}"
                self.counts[key] = self.counts.get(key, 0) + 1

    def check_deadly(self, vm, request, sent):
        """Counts prompts that reached an engine although the VM had to know their part."""
        crashes = Endpoint.crash_times
        known_since = max(crashes[DEADLY_CRASHES - 1] if len(crashes) >= DEADLY_CRASHES else sent,
                          self.started[vm], self.core_disturbed) + STABLE_S
        if vm in self.down or sent < known_since or not self.d.run_count(request):
            return
        with self.lock:
            self.deadly_later += 1

    def check_answer(self, kind, request, answer):
        if answer.status in REJECTIONS and answer.complete:
            with self.lock:
                self.rejected.append(request)
        if answer.status != 200:
            return
        if answer.headers.get("x-request-id") != request:
            self.report_problem(f"{request} got another request's answer: {answer.headers}")
        if not answer.headers.get("x-seal", "").startswith("seal-"):
            self.report_problem(f"{request} has no seal")
        want = full_stream() if kind == "stream" else f"answer to {request}".encode()
        if answer.complete and answer.body != want:
            self.report_problem(f"{request}: wrong body {answer.body[:200]}")
        if not answer.complete and not want.startswith(answer.body):
            self.report_problem(f"{request}: wrong partial body {answer.body[:200]}")

    def check_limits(self, until):
        def excused(request, at):
            vm = self.sent_by.get(request)
            return any(at - LIMIT_WINDOW_S - STABLE_S <= disturbed <= at
                       for disturbed in self.disturbed.get(vm, []))

        for endpoint in self.limited:
            if excess := endpoint.excess(until, excused):
                self.report_problem(f"{endpoint.id} got {excess} requests too many for a limit of "
                                    f"{endpoint.limit} a second")

    def check_rejected(self):
        """A request rejected as not run must not run, not even later."""
        for request in self.rejected:
            if self.d.run_count(request):
                self.report_problem(f"{request} was rejected as not run but ran")

    # Faults. Each starts the fault and returns a function that ends it.

    def take_down(self, *vms):
        self.down.update(vms)
        for vm in vms:
            self.disturbed.setdefault(vm, []).append(time.monotonic())

    def bring_back(self, vm):
        self.started[vm] = time.monotonic()
        self.disturbed[vm].append(self.started[vm])
        self.down.discard(vm)

    def kill(self):
        vm = self.random.randrange(self.d.vm_count)
        if vm in self.down:
            return lambda: None
        self.take_down(vm)
        number = self.random.choice([signal.SIGKILL, signal.SIGTERM])
        self.d.signal(vm, number)

        def restart():
            self.d.processes[vm].wait(60)
            self.d.start(vm)
            self.bring_back(vm)

        return restart

    def stop_in_series(self):
        """Stops up to three VMs, each while the one before may still be stopping."""
        vms = [vm for vm in range(self.d.vm_count) if vm not in self.down]
        vms = self.random.sample(vms, min(3, max(0, len(vms) - 1)))
        self.take_down(*vms)
        gap_s = self.random.uniform(0.1, 1)

        def stop(vm, delay_s):
            time.sleep(delay_s)
            self.d.signal(vm, signal.SIGTERM)
            self.d.processes[vm].wait(60)
            self.d.start(vm)
            self.bring_back(vm)

        stops = [threading.Thread(target=stop, args=(vm, n * gap_s)) for n, vm in enumerate(vms)]
        for thread in stops:
            thread.start()
        return lambda: [thread.join() for thread in stops]

    def reload(self):
        vm = self.random.randrange(self.d.vm_count)
        # A VM that has just started may not yet handle the signal.
        if vm not in self.down and time.monotonic() - self.started[vm] > 1:
            self.d.signal(vm, signal.SIGHUP)
        return lambda: None

    def configuration_changes(self):
        with self.lock:
            self.version += 1
            version = self.version
            path = f"/added{version}/"
            self.d.store.put("config", "main", configuration(
                version, extra_routes=[route("added", path, "idempotent", "plain")]))
        confirmed = time.monotonic()

        def check_in_force():
            time.sleep(max(0, confirmed + CONFIG_S - time.monotonic()))
            for vm in range(self.d.vm_count):
                if vm in self.down or confirmed - self.started[vm] < STABLE_S:
                    continue
                if self.version != version:  # a later change has removed the route
                    return
                answer = Connection(self.d, vm).call(path + "x", f"added-{version}-{vm}")
                if answer and answer.status == 404 and self.version == version:
                    self.report_problem(f"VM {vm} doesn't have version {version} in time")

        return check_in_force if self.planned_only else lambda: None

    def endpoint_pauses(self):
        endpoint = self.random.choice(self.d.endpoints)
        endpoint.fault, endpoint.pause_s = "pause", 2.5
        return lambda: setattr(endpoint, "fault", None)

    def pause(self):
        vm = self.random.randrange(self.d.vm_count)
        if vm in self.down:
            return lambda: None
        self.take_down(vm)
        self.d.signal(vm, signal.SIGSTOP)

        def resume():
            self.d.signal(vm, signal.SIGCONT)
            self.bring_back(vm)

        return resume

    def store_fails(self):
        self.d.store.fault = self.random.choice(["refuse", "reset", "silent"])
        return lambda: setattr(self.d.store, "fault", None)

    def store_loses_answers(self):
        self.d.store.lose_answers = True
        return lambda: setattr(self.d.store, "lose_answers", False)

    def store_forgets_history(self):
        self.d.store.forget_history()
        return lambda: None

    def store_is_restored(self):
        """Comes back from a copy some seconds old, after it was away for a moment."""
        lost_s, rewrite_s = self.random.uniform(0.5, 15), self.random.uniform(0, 2)
        self.d.store.fault = self.random.choice(["refuse", "reset"])

        def restore():
            self.rewrites.append(self.d.store.restore(lost_s, rewrite_s))
            self.d.store.fault = None

        return restore

    def store_path_fails(self):
        self.proxy.mode = self.random.choice(["silent", "slow", "one way out", "one way back"])
        if self.random.random() < 0.3:
            self.proxy.reset()
        return lambda: setattr(self.proxy, "mode", "open")

    def mark_core_disturbed(self, end):
        """Marks the store as disturbed until STABLE_S after the end of a fault."""
        self.core_disturbed = time.monotonic() + FAULT_S

        def end_fault():
            end()
            self.core_disturbed = max(self.core_disturbed, time.monotonic())

        return end_fault

    def endpoint_fails(self):
        endpoint = self.random.choice(self.d.endpoints)
        endpoint.fault = self.random.choice(["reject", "cut", "pause", "error", "extra"])
        return lambda: setattr(endpoint, "fault", None)

    def endpoint_drains(self):
        endpoint = self.random.choice(self.d.endpoints)
        self.d.store.put("servers", endpoint.id, endpoint.entry("draining"))
        return lambda: self.d.store.put("servers", endpoint.id, endpoint.entry())

    def run(self):
        clients = [threading.Thread(target=self.client, args=(n,))
                   for n in range(max(8, self.d.vm_count))]
        for client in clients:
            client.start()
        for endpoint in self.limited:
            endpoint.set_limit(self.random.choice(LIMITS))
        timers = []
        faults = [self.stop_in_series, self.reload, self.configuration_changes,
                  self.endpoint_pauses, self.endpoint_drains]
        if not self.planned_only:
            faults += [self.kill, self.pause, self.store_fails, self.store_loses_answers,
                       self.store_forgets_history, self.store_path_fails,
                       self.store_is_restored, self.endpoint_fails,
                       self.endpoint_fails]
        while time.monotonic() < self.end and not self.problems:
            fault = self.random.choice(faults)
            self.faults[fault.__name__] = self.faults.get(fault.__name__, 0) + 1
            end = fault()
            if fault.__name__.startswith("store"):
                end = self.mark_core_disturbed(end)
            timer = threading.Timer(self.random.uniform(0.2, FAULT_S), end)
            timer.start()
            timers.append(timer)
            time.sleep(self.random.expovariate(1 / GAP_S))
        for timer in timers:
            timer.join()
        for client in clients:
            client.join()
        self.check_rejected()
        self.check_limits(self.end)
        for endpoint in self.limited:
            endpoint.set_limit(None)
        if self.deadly_later > DEADLY_LATER:
            self.report_problem(f"{self.deadly_later} deadly prompts reached engines")
        Endpoint.deadly = None
        print(f"seed {self.seed}: {self.seconds} s, faults {self.faults}")
        print(f"{len(Endpoint.crash_times)} crashes, {self.deadly_later} deadly prompts later")
        print(f"answers {dict(sorted(self.counts.items()))}")
        check(not self.problems, "; ".join(self.problems[:5]))
        for rewrite in self.rewrites:
            rewrite.join()
        for vm in range(self.d.vm_count):
            wait_until(f"VM {vm} is ready again", lambda vm=vm: self.d.ready(vm))
            if self.version > 10:
                wait_until(f"VM {vm} has version {self.version}", lambda vm=vm: self.d.call(
                    vm, "POST", f"/added{self.version}/x", f"last-{vm}-{time.monotonic()}",
                    ).status == 200)
            wait_until(f"VM {vm} serves again", lambda vm=vm: self.d.call(
                vm, "POST", "/stream/x", f"after-{vm}-{time.monotonic()}").status == 200)


def main():
    seed = int(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20
    base = int(sys.argv[3]) if len(sys.argv) > 3 else 26000
    deployment = Deployment(base, vms=int(os.environ.get("VMS", "4")))
    proxy = Proxy(base + 35, base)
    deployment.store_port = base + 35
    status = 0
    try:
        with deployment:
            Soak(deployment, proxy, seed, seconds).run()
        print("ok")
    except AssertionError as error:
        print(f"seed {seed} failed: {error}\nlogs: {deployment.folder}")
        status = 1
    sys.stdout.flush()
    os._exit(status)


main()
