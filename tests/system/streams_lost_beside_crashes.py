#!/usr/bin/env python3
"""Guards against sound streams that are lost when a prompt crashes their engine."""

from engines_crashed_by_one_beginning import crash_engines
from harness import Cluster, Load, main


def test(base):
    with Cluster(base, vms=4, engines=8) as cluster, Load(cluster) as load:
        crash_engines(cluster)
        load.wait_for_more(30)
        load.check_clean()
        cluster.check_invariants()


main(test)
