#!/usr/bin/env python3
"""Guards against an accepted configuration that is lost or reverts."""

import re
import signal
import subprocess
import threading
from concurrent.futures import ThreadPoolExecutor

from harness import Cluster, Load, check, main, wait_until


class VersionWatch:
    """Reads every VM's version all the time; it must never go back."""

    def __init__(self, cluster):
        self.cluster, self.highest, self.faults = cluster, {}, []
        self.accepted, self.ending = 0, threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()

    def run(self):
        while not self.ending.is_set():
            for vm in range(self.cluster.vm_count):
                accepted = self.accepted
                try:
                    status = self.cluster.status(vm)
                except (OSError, ValueError):
                    continue
                version = status["config"]["version"]
                # A VM that starts has no version and takes no calls until it has one.
                if not status["ready"]:
                    continue
                if version < max(self.highest.get(vm, 0), accepted):
                    self.faults.append((vm, version, self.highest.get(vm), accepted))
                self.highest[vm] = max(version, self.highest.get(vm, 0))
            self.ending.wait(0.05)


def test(base):
    with Cluster(base) as cluster, VersionWatch(cluster) as watch:
        first = cluster.status()["config"]["version"]
        with open(cluster.document, encoding="utf-8") as file:
            text = file.read()

        def apply(operator):
            path = f"{cluster.dir}/operator-{operator}.ini"
            with open(path, "w", encoding="utf-8") as out:
                out.write(re.sub(r"share = 8", f"share = {10 + operator}", text))
            return cluster.ctl("apply", path, "--wait", "--timeout_ms=90000",
                               f"--base_version={first}", f"--author=operator-{operator}",
                               vm=operator)

        with ThreadPoolExecutor() as pool:
            results = list(pool.map(apply, range(3)))
        codes = sorted(r.returncode for r in results)
        check(codes == [0, 3, 3], f"exit codes {codes}: {[r.stderr for r in results]}")
        winner = [r.returncode for r in results].index(0)
        for result in results:
            if result.returncode == 3:
                check(f"operator-{winner}" in result.stdout + result.stderr,
                      f"the conflict does not name the other operator: {result}")
        accepted = cluster.status()["config"]["version"]
        check(accepted > first, f"version {accepted} after {first}")
        watch.accepted = accepted

        cluster.fault(1, "outage?on=1")
        with Load(cluster, threads=2) as load:
            done = cluster.ctl("drain", "domain", "sala", "--call_timeout_ms=20000")
            check(done.returncode not in (0, 3), f"drain without the object API: {done}")
            load.wait_for_more(30)
            load.check_clean()
        # One VM after the other restarts without the object API and learns from its peers.
        for vm in range(cluster.vm_count):
            cluster.vms[vm].send_signal(signal.SIGTERM)
            check(cluster.vms[vm].wait(90) == 0, f"exit code {cluster.vms[vm].returncode}")
            cluster.start_vm(vm)
            wait_until(f"vm-{vm} to have the document", lambda: cluster.status(
                vm)["config"]["version"] >= accepted)
        # All VMs at once lose what they know; the object API still has it.
        for vm in range(cluster.vm_count):
            cluster.vms[vm].send_signal(signal.SIGKILL)
            cluster.vms[vm].wait()
            cluster.start_vm(vm)
        cluster.fault(1, "clear")
        cluster.wait_ready()
        check(f"share = {10 + winner}" in cluster.ctl("get").stdout, "the accepted change is lost")
        with Load(cluster, threads=2) as load:
            load.wait_for_more(20)
            load.check_clean()
        check(not watch.faults, f"versions went back: {watch.faults[:3]}")
        cluster.check_invariants()


main(test)
