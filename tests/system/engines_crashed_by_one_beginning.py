#!/usr/bin/env python3
"""Guards against engines that crash one after the other by different prompts with one beginning."""

from harness import Cluster, check, main

# Prompts are compared by blocks of this size, in bytes.
BLOCK = 1024
SHARED = "a" * BLOCK
DEADLY = SHARED + "[[crash]]".ljust(BLOCK, "b")


def crash_engines(cluster):
    refusals = []
    for turn in range(10):
        cluster.answer(turn % 4, f"{SHARED} sound {turn}", 3)
        stream = cluster.open(turn % 4, f"{DEADLY} of caller {turn}", 20).read()
        check(not stream.done, "a crashing prompt was answered")
        refusals.append((stream.status, stream.error["code"]))
    crashes = sum(s["counters"].get("crashes", 0) for s in cluster.engine_states().values())
    check(1 <= crashes <= 5, f"{crashes} engines crashed; answers: {refusals}")
    check(refusals[-1] == (422, "suspect_request"), f"answers: {refusals}")
    cluster.answer(1, f"{SHARED} sound afterwards", 3)


def test(base):
    with Cluster(base, vms=4, engines=8) as cluster:
        crash_engines(cluster)
        cluster.check_invariants()


if __name__ == "__main__":
    main(test)
