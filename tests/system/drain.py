#!/usr/bin/env python3
"""Guards against new work in a drained domain, and against failures while it leaves and returns."""

import json
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
        described = ["explain", "--route=assay", "--team=customs", "--tokens=500"]
        shown = cluster.ctl(*described, "--output=json")
        check(shown.returncode == 0, f"explain: {shown.stdout} {shown.stderr}")
        rows = json.loads(shown.stdout)["services"][0]["endpoints"]
        chosen = [row["endpoint"] for row in rows if row["chosen"]]
        check(len(chosen) == 1 and chosen[0] not in drained, f"{rows}")
        for row in rows:
            check(row["endpoint"] not in drained or row["reason"] == "takes no new work", f"{row}")
        shown = cluster.ctl(*described, "--kind=unknown")
        check(shown.returncode == 2 and "kind:" in shown.stderr, f"{shown}")

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
