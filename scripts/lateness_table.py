#!/usr/bin/env python3
"""Prints how requests ended, and why answers were late, from the logs of entry processes.

  scripts/lateness_table.py [--by KEY]... LOG...

LOG is a file with a process's standard output; text before the JSON of a line, and lines without
JSON, are passed over. KEY is route, team, domain or endpoint; without it all four are printed. The
endpoint of a late answer is the one that was silent in its longest pause, otherwise the last one
called. A request whose log line was left out by the log's limit is not counted; their number is
printed.
"""

import argparse
import collections
import json
import sys

KEYS = ("route", "team", "domain", "endpoint")
CAUSES = ("wait", "prefill", "pause", "retry")
COLUMNS = ("requests", "in time", *CAUSES, "refused", "given up", "failed")


def lines_of(paths):
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                start = text.find('{"time"')
                if start < 0 or '"event":"finished"' not in text:
                    continue
                try:
                    yield json.loads(text[start:])
                except ValueError:
                    continue


def column_of(line):
    """The column of a request, besides the total: each request has one."""
    outcome, status = line.get("outcome"), line.get("status", 0)
    if outcome == "caller gone":
        return "given up"
    if outcome == "own answer" and (status < 500 or status == 503):
        return "refused"
    if outcome != "completed":
        return "failed"
    return line["late_by"] if line.get("late_by") in CAUSES else "in time"


def name_of(line, key):
    if key == "endpoint" and line.get("late_by") == "pause":
        return line.get("pause_endpoint", "-")
    return line.get(key, "-")


def print_table(key, lines):
    rows = collections.defaultdict(collections.Counter)
    for line in lines:
        for name in (name_of(line, key), "all"):
            rows[name]["requests"] += 1
            rows[name][column_of(line)] += 1
    print(f"{key:<24}" + "".join(f"{column:>10}" for column in COLUMNS))
    names = sorted((name for name in rows if name != "all"),
                   key=lambda name: (-rows[name]["requests"], name))
    for name in [*names, "all"]:
        print(f"{name:<24}" + "".join(f"{rows[name][column]:>10}" for column in COLUMNS))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--by", action="append", choices=KEYS, help="print only this table")
    parser.add_argument("log", nargs="+")
    arguments = parser.parse_args()
    try:
        lines = list(lines_of(arguments.log))
    except OSError as error:
        sys.exit(f"lateness_table.py: {error}")
    if not lines:
        sys.exit("lateness_table.py: no line of a finished request")
    for number, key in enumerate(arguments.by or KEYS):
        if number:
            print()
        print_table(key, lines)
    left_out = sum(line.get("left_out", 0) for line in lines)
    if left_out:
        print(f"\nnot counted: {left_out} requests whose lines were left out")


main()
