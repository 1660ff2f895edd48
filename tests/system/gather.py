#!/usr/bin/env python3
"""Guards against memory that stays reserved after a prompt larger than one engine."""

from harness import Cluster, Load, check, main, wait_until


def test(base):
    flags = ["--kv_capacity=100000", "--prefill_tps=100000"]
    with Cluster(base, engine_flags=flags) as cluster, Load(cluster, threads=2) as load:
        dossier = {"prompt_tokens": 250_000, "request_class": "dossier-check"}
        text = cluster.answer(0, "a dossier", 30, x_request_id="dossier-1", **dossier)
        check(len(text.split()) == 30, "the answer is not complete")
        check(cluster.runs("dossier-1") == 1, "the prompt did not run exactly once")
        short = cluster.answer(1, "a dossier", 30, x_request_id="dossier-2", **dossier)
        check(short == text, "the same prompt has another answer")
        load.wait_for_more(10)
        load.check_clean()
        load.ending.set()
        wait_until("no memory reserved at the engines", lambda: all(
            s["kv_used"] == 0 and not s["holds"] for s in cluster.engine_states().values()))
        wait_until("no memory reserved by owners", lambda: all(
            e["kv_free"] >= 0.9 * e["kv_capacity"] for e in cluster.endpoints()))
        cluster.check_invariants()


main(test)
