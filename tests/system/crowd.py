#!/usr/bin/env python3
"""Clients that send too much or stop short must not end a daemon by memory or descriptors."""

import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.realpath(__file__)), "..", "platform"))

from crowd_clients import Crowd, Watch, wait_for  # noqa: E402
from harness import (  # noqa: E402
    Cluster, KEY, OPERATOR_TOKEN, check, http_call, main, wait_until)

# Limits of the daemon, lowered so that a small crowd exceeds them, and bound of all shapes.
MEMORY_MB, MAX_FDS = 112, 400
BODY_BYTES = 4 << 20
CROWD = 40
LIMITS = f"memory_mb = {MEMORY_MB}\nmax_connections = 200\nmax_body_bytes = {BODY_BYTES}\n"


def head(path, name):
    return [f"POST {path} HTTP/1.1", "Host: x", f"X-Request-Id: {name}", "X-Zr-Class: submission",
            f"Authorization: Bearer {OPERATOR_TOKEN if path.startswith('/v1/config') else KEY}"]


CALLERS = Crowd(head, "/v1/completions", BODY_BYTES, CROWD)
OPERATORS = Crowd(head, "/v1/config/trial", BODY_BYTES, CROWD)


def json_bodies(port):
    """Whole bodies that are parsed: long texts, and many small values."""
    long_text = json.dumps({"model": "assay-reader", "max_tokens": 3,
                            "prompt": "x" * (BODY_BYTES - 100)}).encode()
    values = b'{"prompt": [' + b"[]," * ((BODY_BYTES - 100) // 3) + b"[]]}"
    return [CALLERS.client(port, f"json-{n}", f"Content-Length: {len(body)}", [body])
            for n in range(CROWD // 2) for body in (long_text, values)]


def ordinary(cluster):
    status = http_call(cluster.caller(0), "POST", "/v1/completions", json.dumps(
        {"model": "assay-reader", "prompt": "a ring", "max_tokens": 3, "unused": {"a": [1]}}),
        cluster.headers(), timeout=20)[0]
    return status == 200 and http_call(cluster.operator(0), "GET", "/v1/status", None, {
        "authorization": f"Bearer {OPERATOR_TOKEN}"}, timeout=20)[0] == 200


def restart(cluster):
    cluster.vms[0].kill()
    cluster.vms[0].wait()
    cluster.start_vm(0)
    cluster.wait_ready()
    return Watch(cluster.vms[0].pid,
                 [cluster.caller(0), cluster.operator(0), cluster.peer(0)])


def crowd(cluster, shape, port, name, max_fds=MAX_FDS, max_sockets=None):
    watch = restart(cluster)
    clients = shape(port)
    wait_for(clients, watch.ports)
    check(cluster.vms[0].poll() is None, f"the daemon has ended: {name}")
    failures = []
    try:  # the crowd is still connected
        wait_until("an ordinary request is answered", lambda: ordinary(cluster), 40)
    except AssertionError as error:
        failures.append(f"{name}: {error}")
    return failures + watch.failures(name, MEMORY_MB, max_fds, max_sockets)


def stop(cluster):
    watch = restart(cluster)
    clients = CALLERS.mixed(cluster.caller(0)) + OPERATORS.tiny_chunks(cluster.operator(0))
    cluster.vms[0].send_signal(signal.SIGTERM)
    code = cluster.vms[0].wait(90)
    wait_for(clients)
    cluster.start_vm(0)
    return ([f"exit code {code} after SIGTERM"] if code else []) + \
        watch.failures("stop", MEMORY_MB, MAX_FDS)


def test(base):
    names = sys.argv[2:]
    failures = []
    with Cluster(base, vms=2, engines=2) as cluster:
        cluster.limits = LIMITS
        cases = [(shape, cluster.caller(0), "callers")
                 for shape in [*CALLERS.shapes(), json_bodies]]
        cases += [(shape, cluster.operator(0), "operators") for shape in OPERATORS.shapes()]
        for shape, port, where in cases:
            if not names or shape.__name__ in names or where in names:
                failures += crowd(cluster, shape, port, f"{shape.__name__} of {where}")
        if not names or "stop" in names:
            failures += stop(cluster)
        check(not failures, "; ".join(failures))


if __name__ == "__main__":
    main(test)
