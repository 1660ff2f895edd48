#!/usr/bin/env python3
"""The store comes back from a copy some seconds old and gives out its revisions again."""

import itertools
import signal
import sys
import time

from deployment import check, configuration, main, route, wait_until
from standins import Endpoint, Proxy

VMS = 5
# Longest times, in seconds, until a change and the notice of a leaving endpoint are obeyed.
CONFIG_S, DRAIN_S = 2, 2
# Time after which VMs are in touch with a store that came back, in seconds.
STABLE_S = 3
# A key that was taken away stops working within this time on every VM, in seconds.
REVOKE_S = 5
numbers = itertools.count(100)


class Fleet:
    """A deployment in which each VM has a path of its own to the store."""

    def __init__(self, deployment):
        self.d, self.store = deployment, deployment.store
        self.paths = [Proxy(deployment.base + 80 + vm, deployment.base) for vm in range(VMS)]
        deployment.store_ports = {vm: deployment.base + 80 + vm for vm in range(VMS)}

    def call(self, vm, path, key="key-1"):
        return self.d.call(vm, "GET", path, f"{vm}-{time.monotonic()}", key=key).status

    def add_route(self, keys=("key-1", "key-2")):
        """Writes a configuration with a new route and returns the path of the route."""
        version = next(numbers)
        path = f"/added{version}/"
        self.store.put("config", "main", configuration(version, keys, [
            route(f"added{version}", path, "idempotent", "plain")]))
        return path + "x"

    def wait_for_route(self, path):
        wait_until("all VMs have the route",
                   lambda: all(self.call(vm, path) == 200 for vm in range(VMS)), 5)

    def check_served(self, path, when):
        for vm in range(VMS):
            status = self.call(vm, path)
            check(status == 200, f"VM {vm} answers {status} for a confirmed route {when}")

    def write_revisions(self, count):
        """Other objects take up revisions."""
        for n in range(count):
            self.store.put("others", f"o{n}", {"n": time.monotonic()})

    def away(self, seconds):
        self.store.fault = "reset"
        time.sleep(seconds)

    def back(self, lost_s, **more):
        timer = self.store.restore(lost_s, **more)
        self.store.fault = None
        return timer

    def wait_until_ready(self):
        wait_until("all VMs are ready", lambda: all(self.d.ready(vm) for vm in range(VMS)))


def change_after_a_return_is_in_force(f):
    for away_s, revisions_before, revisions_after in ((0.2, 0, 3), (0.3, 5, 0), (1.5, 30, 2)):
        f.write_revisions(revisions_before)
        f.wait_for_route(f.add_route())
        time.sleep(0.2)
        f.away(away_s)
        f.back(1.0 + away_s)
        f.write_revisions(revisions_after)
        time.sleep(STABLE_S)
        path = f.add_route()
        time.sleep(CONFIG_S)
        f.check_served(path, f"after {away_s} s without the store")


def change_while_the_store_was_at_an_older_revision_is_in_force(f):
    """The revision is the same as before, so a watch goes on without a gap."""
    time.sleep(1.5)
    f.write_revisions(1)
    time.sleep(0.5)
    with f.store.lock:
        f.store.fault = "reset"
    f.back(1.0)
    path = f.add_route()
    time.sleep(STABLE_S)
    f.check_served(path, "at a revision that was given out twice")


def eras_in_quick_succession(f):
    path = f.add_route()
    f.wait_for_route(path)
    for _ in range(3):
        f.away(0.15)
        f.back(2.0, rewrite_s=0.1)
        time.sleep(0.4)
    time.sleep(STABLE_S)
    path = f.add_route()
    time.sleep(CONFIG_S)
    f.check_served(path, "after three returns")


def vms_cut_off_during_the_return(f):
    for vm in range(0, VMS, 2):
        f.paths[vm].mode = "silent"
    f.away(0.5)
    f.back(2.0)
    f.write_revisions(4)
    path = f.add_route()
    time.sleep(1)
    for vm in range(0, VMS, 2):
        f.paths[vm].mode = "open"
    f.wait_until_ready()
    time.sleep(STABLE_S)
    f.check_served(path, "after being cut off")


def restarted_vm_serves_what_others_know(f):
    """The copy is older than a confirmed change, which is written again late."""
    time.sleep(1.5)
    path = f.add_route()
    f.wait_for_route(path)
    f.away(0.3)
    f.back(2.0, rewrite_s=6)
    f.d.signal(1, signal.SIGKILL)
    f.d.processes[1].wait()
    f.d.start(1)
    wait_until("the VM is ready", lambda: f.d.ready(1))
    end = time.monotonic() + 3
    while time.monotonic() < end:
        status = f.call(1, path)
        check(status in (200, 503), f"a restarted VM answers {status} for a confirmed route")
        time.sleep(0.1)
    check(f.call(1, path) == 200, "a restarted VM doesn't serve a confirmed route")
    time.sleep(3)


def revoked_key_stays_revoked(f):
    f.wait_for_route(f.add_route(keys=("key-1", "key-3")))
    time.sleep(1.5)
    path = f.add_route(keys=("key-1",))
    revoked = time.monotonic()
    f.wait_for_route(path)
    f.away(2)
    f.back(4.0, rewrite_s=5)
    f.d.signal(2, signal.SIGKILL)
    f.d.processes[2].wait()
    f.d.start(2)
    time.sleep(max(0, revoked + REVOKE_S - time.monotonic()))
    end = time.monotonic() + 2
    while time.monotonic() < end:
        for vm in range(VMS):
            try:
                status = f.call(vm, "/many/x", key="key-3")
            except OSError:
                continue
            check(status != 200, f"VM {vm} accepts a revoked key")
        time.sleep(0.1)
    f.wait_until_ready()
    time.sleep(3)


def leaving_and_gone_endpoints_get_no_call(f):
    """The copy has them as they were before; one is written again late, one never."""
    plain = f.d.endpoints_of("plain")
    leaving, gone = plain[0], plain[1]
    time.sleep(3)
    f.store.put("servers", leaving.id, leaving.entry("draining"))
    f.store.put("servers", gone.id, None)
    time.sleep(DRAIN_S)
    f.away(0.3)
    runs = [sum(e.runs.values()) for e in (leaving, gone)]
    rewritten = f.back(4.0, rewrite_s=1.5, keep=lambda kind, name: name == gone.id)
    end = time.monotonic() + 4
    while time.monotonic() < end:
        for vm in range(VMS):
            f.call(vm, "/many/x")
    rewritten.join()
    for endpoint, before, what in zip((leaving, gone), runs, ("leaving", "gone")):
        got = sum(endpoint.runs.values()) - before
        check(got == 0, f"{got} calls reached an endpoint that was {what} before the return")
    f.store.put("servers", gone.id, None)
    for endpoint in (leaving, gone):
        endpoint.born += 1000
        f.store.put("servers", endpoint.id, endpoint.entry())
    for endpoint in (leaving, gone):
        before = sum(endpoint.runs.values())
        wait_until("an endpoint that came back is called", lambda e=endpoint, b=before: (
            f.call(0, "/many/x") and sum(e.runs.values()) > b), 10)


def endpoints_lost_with_the_copy_are_kept(f):
    """Endpoints that the copy lacks write their entries again within about two seconds."""
    new = [f.d.add_endpoint(Endpoint(f.d.base + 30 + n, "plain", "sala")) for n in range(2)]
    others = [e for e in f.d.endpoints_of("plain") if e not in new]
    time.sleep(1.5)
    for endpoint in others:
        f.store.put("servers", endpoint.id, None)
    time.sleep(DRAIN_S)
    f.away(0.2)
    f.back(4.5, rewrite_s=1.5)
    end = time.monotonic() + 3
    while time.monotonic() < end:
        for vm in range(VMS):
            status = f.call(vm, "/many/x")
            check(status == 200, f"VM {vm} answers {status} while entries are written again")
        time.sleep(0.05)
    for endpoint in others:
        endpoint.born += 1000
        f.store.put("servers", endpoint.id, endpoint.entry())
    time.sleep(1)


def vms_stay_linked(f):
    """The copy lacks the VMs and the key of their links."""
    f.away(0.3)
    f.back(1000)
    time.sleep(STABLE_S)
    names = {name for kind, name in f.store.objects if kind == "zinniarill-members"}
    check(len(names) == VMS + 1, f"the store has {names}")
    links = f.d.log(3).count('"peer_up"')
    f.d.signal(3, signal.SIGKILL)
    f.d.processes[3].wait()
    f.d.start(3)
    wait_until("a restarted VM has links", lambda: f.d.log(3).count('"peer_up"') > links, 10)
    f.wait_until_ready()


def key_written_by_another_vm_is_taken(f):
    """A VM that starts writes a key before the others have written theirs again."""
    f.away(0.3)
    f.store.restore(1000)
    f.d.store.put("zinniarill-members", "key", "another key")
    f.store.fault = None
    for vm in range(VMS):
        wait_until("the VM has the key",
                   lambda vm=vm: '"link_key_changed"' in f.d.log(vm), STABLE_S)
    f.wait_until_ready()
    for vm in range(VMS):
        check(f.d.processes[vm].poll() is None, f"VM {vm} has ended")
    del f.store.written["zinniarill-members", "key"]


def suspects_are_recorded_again(f):
    """The copy lacks the record of a part of prompts that crashes engines."""
    Endpoint.deadly = "deadly"

    def send(vm):
        return f.d.call(vm, "POST", "/stream/x", f"deadly-{next(numbers)}", headers={
            "X-Prompt-Prefix": f"first:40,deadly:60,own{next(numbers)}:900"}).status

    def recorded():
        return [name for kind, name in f.store.objects if kind == "zinniarill-suspects"]

    wait_until("the part is recorded", lambda: send(0) and recorded(), 30)
    f.away(0.3)
    f.back(1000)
    wait_until("the part is recorded again", recorded, STABLE_S)
    f.d.signal(4, signal.SIGKILL)
    f.d.processes[4].wait()
    f.d.start(4)
    wait_until("the VM is ready", lambda: f.d.ready(4))
    time.sleep(STABLE_S)
    crashes = len(Endpoint.crash_times)
    for vm in range(VMS):
        check(send(vm) == 503, f"VM {vm} sends prompts with a part that crashes engines")
    check(len(Endpoint.crash_times) == crashes, "an engine crashed again")
    Endpoint.deadly = None


def evacuation_outlasts_the_copy(f):
    evacuated = f.d.endpoints_of("plain")[0]
    time.sleep(1.5)
    f.store.put("evacuations", evacuated.domain, {})
    time.sleep(2)
    f.away(0.3)
    before = sum(evacuated.runs.values())
    f.back(3.0, rewrite_s=1.5)
    end = time.monotonic() + 4
    while time.monotonic() < end:
        for vm in range(VMS):
            f.call(vm, "/many/x")
    got = sum(evacuated.runs.values()) - before
    check(got == 0, f"{got} calls reached an evacuated domain while the copy lacked it")
    f.store.put("evacuations", evacuated.domain, None)


STEPS = {
    "change": (change_after_a_return_is_in_force, eras_in_quick_succession,
               change_while_the_store_was_at_an_older_revision_is_in_force,
               vms_cut_off_during_the_return),
    "newest": (restarted_vm_serves_what_others_know, revoked_key_stays_revoked),
    "endpoints": (leaving_and_gone_endpoints_get_no_call, endpoints_lost_with_the_copy_are_kept),
    "own": (vms_stay_linked, key_written_by_another_vm_is_taken, evacuation_outlasts_the_copy,
            suspects_are_recorded_again),
}


def test(f):
    f.wait_for_route(f.add_route())
    for group in sys.argv[2:] or STEPS:
        for step in STEPS[group]:
            print(f"- {step.__name__}", flush=True)
            step(f)


main(test, Fleet, vms=VMS)
