#!/usr/bin/env python3
"""Guards against new work in a drained domain, and against failures while it leaves and returns."""

import time

from harness import Cluster, Load, check, main, wait_until


def test(base):
    with Cluster(base, engines=6, services=3) as cluster, Load(cluster) as load:
        done = cluster.ctl("drain", "domain", "sala", "--wait", "--timeout_ms=90000")
        accepted = time.time()
        check(done.returncode == 0, f"drain: {done.stdout} {done.stderr}")
        drained = [e["name"] for e in cluster.endpoints() if e["domain"] == "sala"]
        check(len(drained) == 3, f"drained: {drained}")
        wait_until("3 s after the drain", lambda: time.time() > accepted + 3)
        load.wait_for_more(50)
        for name, state in cluster.engine_states().items():
            if name in drained:
                late = state["last_new_work_ms"] / 1000 - accepted
                check(late <= 3, f"{name} got new work {late:.1f} s after the drain")
        load.check_clean()

        done = cluster.ctl("undrain", "domain", "sala", "--wait", "--timeout_ms=90000")
        returned = time.time()
        check(done.returncode == 0, f"undrain: {done.stdout} {done.stderr}")
        wait_until("new work in the domain", lambda: load.failures or any(
            state["last_new_work_ms"] / 1000 > returned
            for name, state in cluster.engine_states().items() if name in drained))
        load.wait_for_more(20)
        load.check_clean()
        cluster.check_invariants()


main(test)
