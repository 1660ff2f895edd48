#!/usr/bin/env python3
"""Changes of a configuration of many routes reach VMs with slow links to the store in time."""

import json
import sys
import time

from deployment import check, configuration, main, route, wait_until
from standins import Proxy

VMS = 6
ROUTES = 4000  # near the size of a value that the store takes
# The slowest link of an entry VM (14 Mbit/s), in bytes.
LINK_BYTES_PER_S = 1_750_000
# Longest time, in seconds, until a VM that reaches the store obeys a change.
CONFIG_S = 3
# VMs that read a change at the store: those that watch it for the others.
READERS = 2


class Fleet:
    """A deployment in which each VM has a slow path of its own to the store."""

    def __init__(self, deployment):
        self.d, self.version = deployment, 10
        deployment.config_ms = 1000 * CONFIG_S
        self.paths = [Proxy(deployment.base + 80 + vm, deployment.base) for vm in range(VMS)]
        for vm, path in enumerate(self.paths):
            path.bytes_per_s = LINK_BYTES_PER_S
            deployment.store_ports[vm] = deployment.base + 80 + vm
        deployment.store.put("config", "main", self.document())

    def document(self):
        return configuration(self.version, extra_routes=[
            route(f"new{self.version}", f"/new{self.version}/", "idempotent", "plain"),
            *(route(f"filler-{n:04}", f"/filler-{n:04}/", "idempotent", "plain")
              for n in range(ROUTES))])

    def change(self):
        """Writes a configuration that differs by one route."""
        self.version += 1
        self.d.store.put("config", "main", self.document())

    def serves(self, vm):
        answer = self.d.call(vm, "GET", f"/new{self.version}/x", f"{vm}-{time.monotonic()}")
        return answer.status == 200

    def check_in_force(self, vms):
        time.sleep(CONFIG_S)
        for vm in vms:
            check(self.serves(vm), f"VM {vm} lacks version {self.version} after {CONFIG_S} s")

    def wait_until_calm(self):
        wait_until("all VMs serve the newest version",
                   lambda: all(self.serves(vm) for vm in range(VMS)))
        time.sleep(3)  # until VMs know whom to ask


def one_route(fleet):
    fleet.wait_until_calm()
    before = sum(path.answered_bytes for path in fleet.paths)
    fleet.change()
    fleet.check_in_force(range(VMS))
    size = len(json.dumps(fleet.document()))
    read = sum(path.answered_bytes for path in fleet.paths) - before
    check(read < (READERS + 0.5) * size,
          f"{VMS} VMs read {read} bytes at the store for one route of {size} bytes in all")


def store_away_for_some(fleet):
    for away in ([0, 1, 2], [3, 4, 5], [1, 3, 5]):
        fleet.wait_until_calm()
        for vm in away:
            fleet.paths[vm].mode = "silent"
        time.sleep(1)
        fleet.change()
        fleet.check_in_force(vm for vm in range(VMS) if vm not in away)
        for vm in away:
            fleet.paths[vm].mode = "open"
        fleet.check_in_force(range(VMS))


def store_restored(fleet):
    fleet.wait_until_calm()
    fleet.change()
    time.sleep(1)
    fleet.d.store.restore(lost_s=2, rewrite_s=1)
    time.sleep(2.5)
    for _ in range(3):
        fleet.change()
        time.sleep(0.5)
    fleet.check_in_force(range(VMS))


STEPS = {step.__name__: step for step in (one_route, store_away_for_some, store_restored)}


def test(fleet):
    for name in sys.argv[2:] or STEPS:
        print(f"- {name}", flush=True)
        STEPS[name](fleet)


main(test, Fleet, vms=VMS)
