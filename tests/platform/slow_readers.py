#!/usr/bin/env python3
"""Callers that read slowly or not at all, and many large bodies at once.

  slow_readers.py [FIRST_PORT] [STEP...]
"""

import concurrent.futures
import socket
import sys
import threading
import time

from deployment import EVENTS, HOST, check, configuration, full_stream, main, wait_until

# Above what the kernel buffers between a caller and a VM, so that a stream is paused.
LARGE_EVENTS, EVENT_BYTES = 1200, 16 << 10
# Time limit of the callers: far above the wait for the end of a stream that is not read.
LIMIT_MS = 80000
READERS = 4
MAX_BODY = 1 << 20
BODY = b"b" * 700000
UPLOADS = 12


def large_event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"%06d" % number * (EVENT_BYTES // 6))


def large_stream(endpoint, handler, common):
    """More than the kernel holds; counts the answers that the VM has closed before their end."""
    handler.close_connection = True
    handler.wfile.write(("HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in common.items()) +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
    try:
        for number in range(int(handler.headers.get("Last-Event-Id", -1)) + 1, LARGE_EVENTS):
            piece = large_event(number)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        handler.wfile.write(b"0\r\n\r\n")
    except OSError:
        with endpoint.lock:
            endpoint.abandoned += 1


def open_stream(d, request):
    """Sends a request for a stream and reads nothing of the answer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    caller.settimeout(LIMIT_MS / 1000)
    caller.connect(("127.0.0.1", d.port(0, 0)))
    caller.sendall((f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: key-1\r\n"
                    f"X-Request-Id: {request}\r\nX-Timeout-Ms: {LIMIT_MS}\r\n"
                    "X-Token-Count: 4000,80\r\nX-Model: m\r\nContent-Length: 0\r\n\r\n").encode())
    return caller


def read_all(caller, pause_s=0.0):
    data = b""
    try:
        while piece := caller.recv(1 << 18):
            data += piece
            time.sleep(pause_s)
            if data.endswith(b"\r\n0\r\n\r\n"):
                break
    except OSError:
        pass
    return data


def stream_that_is_not_read_is_ended(d):
    """Guards against engines whose slots are held by callers that read nothing, and against a cut
    answer that looks complete."""
    engines = d.endpoints_of("llm")
    for engine in engines:
        engine.fault = large_stream
    callers = [open_stream(d, f"stuck-{n}") for n in range(READERS)]
    wait_until("the engines' answers are ended", lambda: sum(
        e.abandoned for e in engines) == READERS, LIMIT_MS / 2000)
    check(d.log(0).count('"slow_reader"') == READERS, "streams ended for another reason")
    for caller in callers:
        data = read_all(caller)
        check(data.startswith(b"HTTP/1.1 200") and not data.endswith(b"\r\n0\r\n\r\n"),
              f"looks complete: {data[-20:]}")
    for n in range(READERS):
        check(d.run_count(f"stuck-{n}") == 1, "a stream that was ended ran again")


def slow_stream_is_whole(d):
    """Guards against streams that are ended although their callers read."""
    for engine in d.endpoints_of("llm"):
        engine.fault = large_stream
    data = read_all(open_stream(d, "steady"), 0.002)
    check(data.endswith(b"\r\n0\r\n\r\n"), f"cut after {len(data)} bytes")
    check(data.count(b"data: ") == LARGE_EVENTS, "events are missing")
    for engine in d.endpoints_of("llm"):
        engine.fault = None
    got = d.call(0, "POST", "/stream/x", "ordinary")
    check(got.complete and got.body == full_stream(), f"{got.status} with {EVENTS} events")


def bodies_at_one_endpoint_are_bounded(d):
    """Guards against an endpoint that crashes because the requests that it holds exceed its
    memory."""
    held, most, lock = {}, {}, threading.Lock()

    def hold(endpoint, handler, common):
        size = int(handler.headers["Content-Length"])
        with lock:
            held[endpoint.id] = held.get(endpoint.id, 0) + size
            most[endpoint.id] = max(most.get(endpoint.id, 0), held[endpoint.id])
        time.sleep(0.2)
        with lock:
            held[endpoint.id] -= size
        handler.answer(200, b"held", common)

    for endpoint in d.endpoints_of("plain"):
        endpoint.fault = hold
    with concurrent.futures.ThreadPoolExecutor(UPLOADS) as pool:
        answers = list(pool.map(lambda n: (n, d.call(0, "POST", "/once/x", f"body-{n}", body=BODY)),
                                range(UPLOADS)))
    statuses = [got.status for _, got in answers]
    check(200 in statuses and set(statuses) <= {200, 503}, f"{statuses}")
    for number, got in answers:
        check(got.status == 200 or d.run_count(f"body-{number}") == 0, "ran, but was refused")
    check(max(most.values()) <= MAX_BODY, f"bytes of bodies at once: {most}")


STEPS = (stream_that_is_not_read_is_ended, slow_stream_is_whole, bodies_at_one_endpoint_are_bounded)


def prepare(d):
    d.settings = "contracts=base,pressure\nlimits.memoryMb=112\n"
    document = configuration(d.version + 1)
    document["limits"]["maxBodyBytes"] = MAX_BODY
    for route in document["routes"]:
        route["timeoutMs"] = LIMIT_MS
    d.store.put("config", "main", document)
    for endpoint in d.endpoints_of("plain"):
        endpoint.slots = 1
        d.store.put("servers", endpoint.id, endpoint.entry())
    return d


def test(d):
    for step in STEPS:
        if step.__name__ in (sys.argv[2:] or [s.__name__ for s in STEPS]):
            print(f"- {step.__name__}", flush=True)
            step(d)


main(test, prepare, vms=1, engines=3, plain=2)
