#!/usr/bin/env python3
"""Guards against engines that crash one after the other by different prompts with one beginning."""

from harness import Cluster, check, main

# Prompts are compared by blocks of this size, in bytes.
BLOCK = 1024
# Blocks that sound prompts have in common with those that crash engines.
SHARED_BLOCKS = (1, 100)


def crash_engines(cluster, shared="a" * BLOCK):
    deadly = shared + "[[crash]]".ljust(BLOCK, "b")
    refusals = []
    for turn in range(10):
        cluster.answer(turn % 4, f"{shared} sound {turn}", 3)
        stream = cluster.open(turn % 4, f"{deadly} of caller {turn}", 20).read()
        check(not stream.done, "a crashing prompt was answered")
        refusals.append((stream.status, stream.error["code"]))
    crashes = sum(s["counters"].get("crashes", 0) for s in cluster.engine_states().values())
    check(1 <= crashes <= 5, f"{crashes} engines crashed; answers: {refusals}")
    check(refusals[-1] == (422, "suspect_request"), f"answers: {refusals}")
    cluster.answer(1, f"{shared} sound afterwards", 3)


def test(base):
    for blocks in SHARED_BLOCKS:
        with Cluster(base, vms=4, engines=8) as cluster:
            crash_engines(cluster, "a" * blocks * BLOCK)
            cluster.check_invariants()


if __name__ == "__main__":
    main(test)
