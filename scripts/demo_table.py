#!/usr/bin/env python3
"""Prints the demo's closing table; exit code 1 if a request failed or the drain leaked.

Usage: demo_table.py RUN_DIR DRAINED_DOMAIN ACCEPTED_UNIX_MS
"""

import json
import os
import sys


def read(run_dir, name):
    with open(os.path.join(run_dir, name + ".json"), encoding="utf-8") as file:
        return json.load(file)


def main(run_dir, domain, accepted_ms):
    row = "   {:<9}{:>9}{:>11}{:>8}{:>6}{:>16}{:>16}"
    print(row.format("", "requests", "completed", "failed", "late", "first token p50", "p95"))
    clean = True
    for phase in ("before", "during", "after"):
        result = read(run_dir, phase)["classes"]["short"]
        outcomes = result["outcomes"]
        total, late = sum(outcomes.values()), outcomes.get("late", 0)
        failed = total - outcomes.get("ok", 0) - late
        times = result["first_token"].get("all", {})
        clean = clean and total > 0 and failed == 0 and late == 0
        print(row.format(phase, total, total - failed, failed, late,
                         f"{times.get('p50_ms', 0):.0f} ms", f"{times.get('p95_ms', 0):.0f} ms"))
    drained = {e["name"] for e in read(run_dir, "endpoints")["endpoints"] if e["domain"] == domain}
    engines = {n: s for n, s in read(run_dir, "engines").items() if n in drained}
    late = {n: s["last_new_work_ms"] - accepted_ms for n, s in engines.items()
            if s["last_new_work_ms"] > accepted_ms + 3000}
    found = ", ".join(f"{n} after {ms} ms" for n, ms in late.items()) or "none"
    print(f"   new work in {domain} later than 3 s after the drain: {found}"
          f" ({len(engines)} engines there)")
    return 0 if clean and engines and not late else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
