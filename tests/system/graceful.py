#!/usr/bin/env python3
"""Guards against streams cut, or endpoints left without an owner, by a planned stop."""

import signal

from harness import Cluster, Load, check, main, wait_until


def test(base):
    with Cluster(base, engine_flags=["--decode_tps=30"]) as cluster, \
            Load(cluster, vms=[1, 2], threads=2) as load:
        streams = [cluster.open(0, f"planned stop {i}", 90).read(parts=2) for i in range(5)]
        cluster.vms[0].send_signal(signal.SIGTERM)
        for stream in streams:
            stream.read()
            check(stream.done and len(stream.text().split()) == 90, f"cut: {stream.error}")
        check(cluster.vms[0].wait(90) == 0, f"exit code {cluster.vms[0].returncode}")

        def owned_by_others():
            owners = {e["owner"] for e in cluster.endpoints(1)}
            return owners <= {"vm-1", "vm-2"} and cluster.in_service(1) == 4

        wait_until("new owners of all endpoints", owned_by_others)
        load.wait_for_more(20)
        load.check_clean()
        cluster.check_invariants()


main(test)
