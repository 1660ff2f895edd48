"""Runs real entry processes with stand-ins for the platform's store and endpoints."""

import http.client
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from standins import Endpoint, Store

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
BUILD = os.environ.get("BUILD", os.path.join(ROOT, "build"))
# Build folder of another version; if set, each start of a VM changes its version.
OTHER_BUILD = os.environ.get("OTHER_BUILD")
WAIT_S = int(os.environ.get("WAIT_S", "90"))
HOST = "front.example"
EVENTS = 12
DOMAINS = ["sala", "enkoping", "arboga"]
# Speed and size of an engine, as published in the configuration.
ENGINE = {"slots": 16, "kvCapacity": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.005,
          "context_per_k": 0.0025, "read_per_s": 256000.0, "pairs_per_m": 0.01, "chunk": 2048,
          "report_lag_ms": 200.0, "hopMs": 0.1, "models": [{"name": "m"}]}


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def wait_until(what, condition, timeout=WAIT_S):
    """Waits until `condition` returns a true value and returns that value."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if result := condition():
                return result
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise AssertionError(f"timed out after {timeout} s waiting for: {what}")


def route(name, prefix, route_type, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "type": route_type,
            "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "attempts": 2, "anonymous": False, **more}


def configuration(version, keys=("key-1",), extra_routes=()):
    return {
        "version": version,
        "routes": [
            route("stream", "/stream/", "streaming", "llm", resumable=True, sticky=True,
                  gapAimMs=200),
            route("once", "/once/", "non_idempotent", "plain", attempts=1),
            route("many", "/many/", "idempotent", "plain"),
            *extra_routes],
        "services": [
            {"name": "llm", "healthPath": "/healthz", "maxConns": 900, "coldS": 0,
             "coldPerS": 0, "engine": ENGINE},
            {"name": "plain", "healthPath": "/healthz", "maxConns": 200, "coldS": 0,
             "coldPerS": 0}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "customs", "apiKeys": list(keys)}]}


class Answer:
    def __init__(self, status, headers, body, complete=True):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Deployment:
    """Entry processes, a store and endpoints; uses the 100 ports from `base`."""

    def __init__(self, base, vms=3, engines=3, plain=2):
        self.base, self.vm_count, self.store_port = base, vms, base
        self.store_ports = {}  # by VM, where it differs from store_port
        self.operator_token = None  # if set, VMs serve operators, see operators_port()
        self.config_ms = 2000  # bound on the time until a change is in force
        self.settings = ""  # further lines of the settings files
        self.folder = tempfile.mkdtemp(prefix="zinniarill-platform-")
        self.store = Store(base)
        self.version = 2
        self.store.put("config", "main", configuration(self.version))
        self.endpoints = []
        for i in range(engines):
            self.add_endpoint(Endpoint(base + 1 + i, "llm", DOMAINS[i % 3], events=EVENTS))
        for i in range(plain):
            self.add_endpoint(Endpoint(base + 21 + i, "plain", DOMAINS[i % 3]))
        self.processes = {}
        self.starts = {}  # count by VM

    def add_endpoint(self, endpoint):
        self.endpoints.append(endpoint)

        def register(old):
            self.store.put("servers", old, None)
            self.store.put("servers", endpoint.id, endpoint.entry())

        endpoint.on_restart = register
        self.store.put("servers", endpoint.id, endpoint.entry())
        return endpoint

    def endpoints_of(self, service):
        return [e for e in self.endpoints if e.service == service]

    def __enter__(self):
        try:
            for vm in range(self.vm_count):
                self.start(vm)
            for vm in range(self.vm_count):
                wait_until(f"VM {vm} is ready", lambda vm=vm: self.ready(vm))
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for endpoint in self.endpoints:
            threading.Thread(target=endpoint.close, daemon=True).start()

    def port(self, vm, offset):
        return self.base + 40 + 4 * vm + offset

    def operators_port(self, vm):
        return self.base + 90 + vm

    def build(self, vm):
        """The build of the VM's next start: with two versions, half of the VMs begin with each."""
        self.starts[vm] = self.starts.get(vm, 0) + 1
        return OTHER_BUILD if OTHER_BUILD and (vm + self.starts[vm]) % 2 else BUILD

    def start(self, vm):
        settings = os.path.join(self.folder, f"vm-{vm}.conf")
        with open(settings, "w") as file:
            file.write(f"node=vm-{vm}\nip=127.0.0.1\nzone={DOMAINS[vm % 3]}\n"
                       f"listen.front=127.0.0.1:{self.port(vm, 0)}\n"
                       f"listen.ready=127.0.0.1:{self.port(vm, 1)}\n"
                       f"portRange={self.port(vm, 2)},{self.port(vm, 3)}\n"
                       f"platform.addr=127.0.0.1:{self.store_ports.get(vm, self.store_port)}\n"
                       "bounds.revokeMs=5000\nbounds.graceS=8\n"
                       f"bounds.configMs={self.config_ms}\n"
                       "bounds.drainMs=2000\nbounds.evacMs=5000\n" + self.settings)
            if self.operator_token:
                file.write(f"listen.operators=127.0.0.1:{self.operators_port(vm)}\n"
                           f"operators.token={self.operator_token}\n")
        log = open(os.path.join(self.folder, f"vm-{vm}.log"), "a")
        self.processes[vm] = subprocess.Popen(
            [os.path.join(self.build(vm), "platform", "zinniarill-entry")], stdout=log, stderr=log,
            env={**os.environ, "ZINNIARILL_BOOT": settings})
        log.close()

    def log(self, vm):
        with open(os.path.join(self.folder, f"vm-{vm}.log")) as file:
            return file.read()

    def signal(self, vm, number):
        self.processes[vm].send_signal(number)

    def ready(self, vm):
        return self.call(vm, "GET", "/v1/ready", port=self.port(vm, 1)).status == 200

    def call(self, vm, method, path, request="", key="key-1", headers=None, body=b"", port=None,
             timeout=WAIT_S):
        """Makes one client call; an answer that breaks off is marked as not complete."""
        sent = {"Host": HOST, "X-Timeout-Ms": "9000"}
        if request:
            sent["X-Request-Id"] = request
        if key:
            sent["Api-Key"] = key
        if path.startswith("/stream/"):
            sent["X-Token-Count"], sent["X-Model"] = "4000,80", "m"
        sent.update(headers or {})
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port(vm, 0),
                                                timeout=timeout)
        try:
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            got = {k.lower(): v for k, v in answer.getheaders()}
            try:
                return Answer(answer.status, got, answer.read())
            except (http.client.IncompleteRead, ConnectionError) as error:
                return Answer(answer.status, got, getattr(error, "partial", b""), False)
        finally:
            connection.close()

    def run_count(self, request):
        return sum(e.runs.get(request, 0) for e in self.endpoints)


def full_stream():
    return "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(EVENTS)).encode()


def main(test, prepare=lambda deployment: deployment, **options):
    """Runs a test on 100 ports from the one given; prints where the logs are if it fails.

    `prepare` makes the test's argument from the deployment, before its processes start.
    """
    base = int(sys.argv[1]) if len(sys.argv) > 1 else 25000
    deployment = Deployment(base, **options)
    try:
        argument = prepare(deployment)
        with deployment:
            test(argument)
    except BaseException:
        traceback.print_exc()
        print(f"logs: {deployment.folder}")
        os._exit(1)
    print("ok")
    os._exit(0)


__all__ = ["Answer", "Deployment", "EVENTS", "HOST", "Endpoint", "check", "configuration", "main", "route",
           "signal", "wait_until", "full_stream"]
