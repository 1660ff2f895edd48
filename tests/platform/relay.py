#!/usr/bin/env python3
"""Changes reach a VM in time although all VMs that relay changes to it are cut off the store."""

import time

from deployment import check, configuration, main, route, wait_until
from standins import Proxy

# Longest times, in seconds, until a VM that reaches the store obeys a change.
CONFIG_S, DRAIN_S, EVACUATION_S = 2, 2, 5
# These bounds hold for a VM that has reached the store for this long, in seconds.
STABLE_S = 3
VMS = 6


class CutOffVms:
    """A deployment in which each VM has a path of its own to the store."""

    def __init__(self, deployment):
        self.d = deployment
        self.paths = [Proxy(deployment.base + 80 + vm, deployment.base) for vm in range(VMS)]
        deployment.store_ports = {vm: deployment.base + 80 + vm for vm in range(VMS)}

    def cut_all_but(self, connected):
        # The cut comes at another moment of the periods of watches and queries each time.
        time.sleep(STABLE_S + 0.07 * connected)
        for vm, path in enumerate(self.paths):
            path.mode = "open" if vm == connected else "silent"

    def heal(self):
        for path in self.paths:
            path.mode = "open"
        wait_until("all VMs are ready", lambda: all(self.d.ready(vm) for vm in range(VMS)))

    def serves(self, vm, path):
        return self.d.call(vm, "GET", path, f"{vm}-{time.monotonic()}").status == 200


def configuration_is_in_force_in_time(fleet):
    for vm in range(VMS):
        fleet.cut_all_but(vm)
        path = f"/new{vm}/"
        version = 100 + vm
        fleet.d.store.put("config", "main", configuration(
            version, extra_routes=[route(f"new{vm}", path, "idempotent", "plain")]))
        time.sleep(CONFIG_S)
        check(fleet.serves(vm, path + "x"),
              f"VM {vm} doesn't serve a route {CONFIG_S} s after its confirmation")
        fleet.heal()
        wait_until("all VMs have the configuration", lambda v=version: all(
            f'"version":{v},' in fleet.d.log(n) for n in range(VMS)))


def removed_endpoint_gets_no_call(fleet):
    plain = fleet.d.endpoints_of("plain")
    for vm in range(VMS):
        removed = plain[vm % len(plain)]
        fleet.cut_all_but(vm)
        fleet.d.store.put("servers", removed.id, None)
        time.sleep(DRAIN_S)
        before = sum(removed.runs.values())
        for _ in range(8):
            fleet.serves(vm, "/many/x")
        check(sum(removed.runs.values()) == before,
              f"VM {vm} called an endpoint {DRAIN_S} s after its removal")
        fleet.heal()
        fleet.d.store.put("servers", removed.id, removed.entry())
        wait_until("the endpoint is called again", lambda r=removed, b=before: (
            fleet.serves(0, "/many/x") and sum(r.runs.values()) > b))


def evacuated_domain_gets_no_call(fleet):
    for vm in range(0, VMS, 2):
        evacuated = fleet.d.endpoints_of("plain")[0]
        fleet.cut_all_but(vm)
        fleet.d.store.put("evacuations", evacuated.domain, {})
        time.sleep(EVACUATION_S)
        before = sum(evacuated.runs.values())
        for _ in range(8):
            fleet.serves(vm, "/many/x")
        check(sum(evacuated.runs.values()) == before,
              f"VM {vm} called an evacuated domain after {EVACUATION_S} s")
        fleet.d.store.put("evacuations", evacuated.domain, None)
        fleet.heal()


def changes_are_obeyed_after_connections_went_silent(fleet):
    removed = fleet.d.endpoints_of("plain")[0]
    for path in fleet.paths:
        path.mute_connections()
    time.sleep(STABLE_S)
    fleet.d.store.put("config", "main", configuration(
        200, extra_routes=[route("silent", "/silent/", "idempotent", "plain")]))
    fleet.d.store.put("servers", removed.id, None)
    time.sleep(max(CONFIG_S, DRAIN_S))
    before = sum(removed.runs.values())
    for vm in range(VMS):
        check(fleet.serves(vm, "/silent/x"), f"VM {vm} doesn't serve a route that was added")
    check(sum(removed.runs.values()) == before, "a VM called an endpoint after its removal")


def test(fleet):
    for step in (configuration_is_in_force_in_time, removed_endpoint_gets_no_call,
                 evacuated_domain_gets_no_call,
                 changes_are_obeyed_after_connections_went_silent):
        print(f"- {step.__name__}", flush=True)
        step(fleet)


main(test, CutOffVms, vms=VMS)
