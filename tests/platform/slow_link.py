#!/usr/bin/env python3
"""A configuration of the largest size reaches VMs with the slowest link to the store."""

import json
import signal
import time

from deployment import check, configuration, main, route, wait_until
from standins import Proxy

# The store's limit of a value, and the slowest link of an entry VM (14 Mbit/s), in bytes.
VALUE_BYTES = 1_000_000
LINK_BYTES_PER_S = 1_750_000
# Longest times, in seconds, until a change is in force and until a VM that was killed serves.
CONFIG_S, RECOVER_S = 3, 15
VMS = 3


def slow_links(deployment):
    for vm in range(VMS):
        port = deployment.base + 80 + vm
        Proxy(port, deployment.base).bytes_per_s = LINK_BYTES_PER_S
        deployment.store_ports[vm] = port
    return deployment


def large_configuration(version):
    """Fills a configuration with routes up to the size of a value."""
    size = len(json.dumps(route("filler-0000", "/filler-0000/", "idempotent", "plain")))
    fillers = [route(f"filler-{n:04}", f"/filler-{n:04}/", "idempotent", "plain")
               for n in range(VALUE_BYTES // (size + 2) - 20)]
    large = configuration(version, extra_routes=[
        route("last", f"/last{version}/", "idempotent", "plain"), *fillers])
    check(len(json.dumps(large)) < VALUE_BYTES, "larger than the store takes")
    return large


def serves(d, vm, path):
    return d.call(vm, "GET", path, f"{vm}-{time.monotonic()}").status == 200


def change_is_in_force_in_time(d):
    time.sleep(3)  # until VMs know whom to ask
    d.store.put("config", "main", large_configuration(10))
    time.sleep(CONFIG_S)
    for vm in range(VMS):
        check(serves(d, vm, "/last10/x"), f"VM {vm} lacks the change after {CONFIG_S} s")


def vm_starts_with_it(d):
    d.store.put("config", "main", large_configuration(11))
    d.signal(0, signal.SIGKILL)
    d.processes[0].wait()
    d.start(0)
    wait_until("the VM that was killed serves", lambda: serves(d, 0, "/last11/x"), RECOVER_S)


def test(d):
    for step in (change_is_in_force_in_time, vm_starts_with_it):
        print(f"- {step.__name__}", flush=True)
        step(d)


main(test, slow_links, vms=VMS)
