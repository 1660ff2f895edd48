#!/usr/bin/env python3
"""Guards against an answer lost or run twice when the VM that serves it is killed."""

import os
import signal
import time

from harness import Cluster, check, main, wait_until


def test(base):
    with Cluster(base, engine_flags=["--decode_tps=20"]) as cluster:
        prompt, tokens = "the hallmarks of a silver cup", 160
        first = cluster.open(0, prompt, tokens, x_request_id="cup-1").read(parts=40)
        check(first.stream, "the first answer has no x-zr-stream header")
        cluster.vms[0].send_signal(signal.SIGKILL)
        first.read()
        check(not first.done, "the stream ended before its VM was killed")
        got = first.text()

        def call_again():
            stream = cluster.open(1, prompt, tokens, x_request_id="cup-1",
                                  x_zr_resume_stream=first.stream,
                                  x_zr_resume_offset=len(got.split())).read()
            refusals.append(stream.error)
            return stream if stream.done else None

        refusals = []
        try:
            rest = wait_until("the rest of the answer", call_again)
        except AssertionError as error:
            raise AssertionError(f"refusals: {refusals[:2]} ... {refusals[-1:]}") from error
        check(cluster.runs("cup-1") == 1, f"{cluster.runs('cup-1')} runs at the engines")
        whole = cluster.answer(2, prompt, tokens)
        check(got + rest.text() == whole, "the two parts are not the whole answer")
        cluster.check_invariants()


main(test)
