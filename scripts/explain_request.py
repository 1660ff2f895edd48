#!/usr/bin/env python3
"""Prints what all processes logged about a request, in order of time.

  scripts/explain_request.py ID LOG...

LOG is a file with a process's standard output; lines that are no JSON are
passed over. Times are relative to the request's first line.
"""

import json
import sys


def lines_of(request, paths):
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                start = text.find('{"time"')
                if start < 0 or request not in text:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if line.get("request") == request:
                    yield line


def main():
    if len(sys.argv) < 3:
        sys.exit("usage: explain_request.py ID LOG...")
    lines = sorted(lines_of(sys.argv[1], sys.argv[2:]), key=lambda line: line["time"])
    if not lines:
        sys.exit(f"no line names request {sys.argv[1]}")
    begin = lines[0]["time"]
    for line in lines:
        rest = {k: v for k, v in line.items() if k not in ("time", "vm", "event", "request")}
        fields = " ".join(f"{name}={value}" for name, value in rest.items())
        print(f"{1000 * (line['time'] - begin):9.1f} ms  {line['vm']:16} {line['event']:12} {fields}")


main()
