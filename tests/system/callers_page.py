#!/usr/bin/env python3
"""Guards against a callers' page whose commands do not work."""

import os
import re
import subprocess

from harness import Cluster, KEY, ROOT, check, main


def test(base):
    with open(os.path.join(ROOT, "docs/callers.md"), encoding="utf-8") as file:
        blocks = re.findall(r"```bash\n(.*?)```\n+```text\n(.*?)```", file.read(), re.S)
    check(len(blocks) >= 7, f"only {len(blocks)} commands were found")
    with Cluster(base) as cluster:
        env = {**os.environ, "KEY": KEY, "ZR": f"http://127.0.0.1:{cluster.caller(0)}"}
        for command, expected in blocks:
            done = subprocess.run(["bash", "-euo", "pipefail", "-c", command], env=env,
                                  capture_output=True, text=True, timeout=90, check=False)
            check(done.returncode == 0, f"exit code {done.returncode}: {command}{done.stderr}")
            for line in expected.splitlines():
                check(line in done.stdout, f"no {line!r} in the output of {command}{done.stdout}")
        cluster.check_invariants()


main(test)
