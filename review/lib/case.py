"""Runs a case of the review: entry processes as in the deploy file, stand-ins, and a record."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
import traceback

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))
os.environ.pop("OTHER_BUILD", None)
os.environ["BUILD"] = os.path.join(ROOT, "target")
os.environ.setdefault("WAIT_S", "30")

import deployment  # noqa: E402
from deployment import DOMAINS, Deployment, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS = 100
# Exit code of a case that broke its rule; differs from that of a failed script.
BROKEN = 3

# Bounds of the small installations (sites/ordvakt-fjord.toml).
SETTINGS = """node=edge-{vm}
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=mellansverige
zones.sala=mellansverige
zones.enkoping=mellansverige
zones.arboga=mellansverige
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
portRange={first},{last}
seeds=
bootstrap=true
inTolerance=true
limits.cpuShare=0.17
limits.cores=1
limits.memoryMb=182
limits.maxFds=2870
limits.linkMbps=700.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stabilityWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lostMs=200
bounds.configMs=2000
bounds.rollbackSlackMs=250
bounds.outerMs=5000
bounds.revokeStrict=true
bounds.revokeMs=5000
bounds.retryRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=234
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacMs=5000
bounds.recoverS=12
bounds.passMs=120
bounds.againS=0
bounds.stall_ms=1500
bounds.holdMaxMs=20000
bounds.freeMs=4000
bounds.idleMaxMs=9000
platform.addr=127.0.0.1:{store}
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


def free_ports():
    """The first of PORTS ports that are free on the loopback address."""
    for base in range(23000 + os.getpid() % 60 * 100, 32000, PORTS):
        sockets = []
        try:
            for port in range(base, base + PORTS):
                end = socket.socket()
                sockets.append(end)
                end.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for end in sockets:
                end.close()
    raise OSError("no free ports")


def deploy_command():
    """The command line of the role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == "run":
                return value.strip().strip('"').split()
    raise OSError("no run line in the deploy file")


class Case(Deployment):
    """Entry processes with complete settings; records what is sent, answered and run."""

    def __init__(self, folder, **options):
        super().__init__(free_ports(), **options)
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.record_lock = threading.Lock()
        self.start_lock, self.closing = threading.Lock(), False
        self.began = time.monotonic()
        self.broken = []

    def note(self, text):
        with self.record_lock:
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.record_file.flush()

    def breaks(self, text):
        """The rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def __exit__(self, *error):
        with self.start_lock:  # no thread of a case starts a process after this
            self.closing = True
        super().__exit__(*error)

    def start(self, vm):
        with self.start_lock:
            if not self.closing:
                self.launch(vm)

    def launch(self, vm):
        settings = os.path.join(self.folder, f"edge-{vm}.conf")
        with open(settings, "w") as file:
            file.write(SETTINGS.format(
                vm=vm, zone=DOMAINS[vm % 3], front=self.port(vm, 0), ready=self.port(vm, 1),
                first=self.port(vm, 2), last=self.port(vm, 3),
                store=self.store_ports.get(vm, self.store_port)))
        with open(os.path.join(self.folder, f"vm-{vm}.log"), "a") as log:
            self.processes[vm] = subprocess.Popen(
                deploy_command(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": self.folder,
                     "ZINNIARILL_BOOT": settings})
        self.note(f"edge-{vm} started")


def main(test, folder, **options):
    code = 2
    case = None
    # A script that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        case = Case(folder, **options)
        with case:
            case.note(f"all VMs are ready; TROUBLE={int(TROUBLE)}")
            test(case)
        code = BROKEN if case.broken else 0
        case.note(f"the rule {'was broken' if code else 'held'}")
        print(f"{'broken' if code else 'held'} {case.broken[:3] if code else ''}")
    except BaseException:
        traceback.print_exc()
        if case:
            case.note("could not run: " + traceback.format_exc())
    if case and os.environ.get("KEEP"):
        print(f"logs: {case.folder}")
    elif case:
        shutil.rmtree(case.folder, ignore_errors=True)
    os._exit(code)


__all__ = ["Case", "TROUBLE", "deployment", "main", "wait_until"]
