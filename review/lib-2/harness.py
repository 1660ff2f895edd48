"""Shared parts of the cases' scripts: ports, the record, exit codes and strict clients.

Entry processes, store and workers come from tests/platform (deployment.py, standins.py).
"""

import json
import os
import re
import signal
import socket
import sys
import threading
import time
import traceback

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
os.environ.setdefault("BUILD", os.path.join(ROOT, "target"))
os.environ.setdefault("WAIT_S", "30")
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABILITY_S = 3.0  # stabilityWindowMs of the small deployments


def free_ports(count=100):
    """First of `count` ports in a row that nothing listens on."""
    for base in range(21000 + os.getpid() % 90 * 100, 32000, 100):
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise RuntimeError("no free ports")


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


def stop_in_order(*_):
    """Ends the case when it takes too long, and the processes that it started."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit("takes too long")


def run_case(folder, test, prepare=lambda deployment: None, **options):
    """Runs test(deployment, record); it returns what broke the rule, or None."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, stop_in_order)
    record(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    code, deployment = 2, None
    try:
        from deployment import Deployment
        deployment = Deployment(free_ports(), **options)
        prepare(deployment)
        with deployment:
            broken = test(deployment, record)
            for vm, process in deployment.processes.items():
                record(f"VM {vm}: exit code {process.poll()} (None: runs)")
        code = 1 if broken else 0
        record(f"rule broken: {broken}" if broken else "rule held")
        print(broken or "rule held")
    except BaseException:
        record(traceback.format_exc())
        traceback.print_exc()
    sys.stdout.flush()
    os._exit(code)


def read_answer(connection, timeout=10.0):
    """Bytes of one answer: up to its end by the length that its head gives, else what comes until
    the connection ends or is silent for a second."""
    connection.settimeout(timeout)
    data = b""
    try:
        while True:
            piece = connection.recv(65536)
            if not piece:
                return data
            data += piece
            connection.settimeout(1.0 if b"\r\n\r\n" in data else timeout)
            head, blank, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"\r\ncontent-length: *(\d+)\r\n", head.lower() + b"\r\n")
            if blank and length and len(body) >= int(length.group(1)):
                return data
    except OSError:
        return data


def log_lines(deployment, vm, *events):
    lines = []
    for line in deployment.log(vm).splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        if entry.get("event") in events:
            lines.append(line)
    return lines
