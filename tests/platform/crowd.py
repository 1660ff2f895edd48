#!/usr/bin/env python3
"""Clients that send too much or stop short must not end a process by memory or descriptors."""

import sys
import time

import deployment
from crowd_clients import CHUNKED, Crowd, Watch, chunked, wait_for
from deployment import HOST, check, main, signal, wait_until

# Limits of the VM, lowered so that a small crowd exceeds them, and bound of all shapes.
MEMORY_MB, MAX_FDS = 64, 400
BODY_BYTES = 4 << 20  # limits.maxBodyBytes
CROWD = 24

plain_configuration = deployment.configuration


def configuration(*arguments, **options):
    config = plain_configuration(*arguments, **options)
    config["limits"]["maxBodyBytes"] = BODY_BYTES
    return config


deployment.configuration = configuration


def head(path, name):
    return [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {name}",
            "X-Timeout-Ms: 9000", "Api-Key: key-1", "X-Token-Count: 4000,80", "X-Model: m"]


CALLERS = Crowd(head, "/many/x", BODY_BYTES, CROWD)


def streams_in_tiny_chunks(port):
    return CALLERS.tiny_chunks(port, "/stream/x")


def restart(d, vm=0):
    d.processes[vm].kill()
    d.processes[vm].wait()
    d.start(vm)
    wait_until("the VM is ready", lambda: d.ready(vm))
    return Watch(d.processes[vm].pid, [*(d.port(vm, n) for n in range(4)), d.operators_port(vm)])


def served(d, key="key-1", vm=0):
    return d.call(vm, "GET", "/many/x", f"ordinary-{time.monotonic()}", key=key,
                  timeout=20).status == 200


def crowd(d, shape, port, name, memory_mb=MEMORY_MB, max_fds=MAX_FDS, max_sockets=None):
    watch = restart(d)
    clients = shape(port)
    wait_for(clients, watch.ports)
    check(d.processes[0].poll() is None, f"the process has ended: {name}")
    failures = []
    try:  # the crowd is still connected
        wait_until("an ordinary request is answered", lambda: served(d), 30)
        wait_until("the probe is answered", lambda: d.ready(0), 30)
    except AssertionError as error:
        failures.append(f"{name}: {error}")
    return failures + watch.failures(name, memory_mb, max_fds, max_sockets)


def largest_requests(d):
    """Requests of the largest size are served one by one, whatever their form."""
    watch = restart(d)
    failures = []
    for name, more, parts in (
            ("length", f"Content-Length: {BODY_BYTES}", [b"x" * BODY_BYTES]),
            ("large", CHUNKED, chunked(BODY_BYTES, 1 << 20)),
            ("tiny", CHUNKED, chunked(BODY_BYTES, 1))):
        client = CALLERS.client(d.port(0, 0), f"largest-{name}", more, parts)
        client.channel.settimeout(60)
        client.join()
        start = client.channel.recv(100)
        if not start.startswith(b"HTTP/1.1 200"):
            failures.append(f"the largest request, {name}: {start[:40]}")
    return failures + watch.failures("largest requests", MEMORY_MB, MAX_FDS)


def stop(d, clients):
    """A stop among clients that are still connected, and a start."""
    d.signal(0, signal.SIGTERM)
    code = d.processes[0].wait(60)
    wait_for(clients)
    d.start(0)
    return [f"exit code {code} after SIGTERM"] if code != 0 else []


def stop_and_change(d):
    """A change of the configuration and a stop are carried out among such clients."""
    watch = restart(d)
    clients = CALLERS.mixed(d.port(0, 0)) + CALLERS.tiny_chunks(d.port(0, 1))
    d.store.put("config", "main", configuration(d.version + 1, keys=("key-1", "key-2")))
    failures = []
    try:
        wait_until("the change is in force", lambda: served(d, "key-2"), 30)
    except AssertionError as error:
        failures.append(str(error))
    clients += CALLERS.mixed(d.port(0, 0))
    failures += stop(d, clients)
    return failures + watch.failures("stop and change", MEMORY_MB, MAX_FDS)


def test(d):
    names = sys.argv[2:]
    failures = []
    for offset, where in ((0, "callers"), (1, "probes")):
        for shape in [*CALLERS.shapes(), streams_in_tiny_chunks][:None if offset == 0 else -1]:
            name = f"{shape.__name__} at the port of {where}"
            if not names or shape.__name__ in names or where in names:
                failures += crowd(d, shape, d.port(0, offset), name)
    for step in (largest_requests, stop_and_change):
        if not names or step.__name__ in names:
            failures += step(d)
    check(not failures, "; ".join(failures))


def prepare(d):
    d.settings = f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_FDS}\n"
    return d


if __name__ == "__main__":
    main(test, prepare, vms=2)
