#!/usr/bin/env python3
"""Guards against endpoints whose answers are malformed, written twice, cut, or without end."""

import http.server
import itertools
import json
import os
import socket
import struct
import sys
import tempfile
import threading
import time

from harness import Cluster, check, http_call, main, wait_until

# Longest delay after a request's deadline until its answer has ended, in seconds.
DEADLINE_SLACK_S = 1
PIECES = 5


def event(**fields):
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def sse(*events):
    return (b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
            + b"".join(events))


def answer(status, body, *header_lines):
    return (f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n".encode()
            + b"".join(line + b"\r\n" for line in header_lines) + b"\r\n" + body)


def malformed_answers(stream):
    """Name and bytes of answers that break the engine's protocol."""
    for name, changes in (
            ("a choice that is a number", {"choices": [7]}),
            ("a choice that is a list", {"choices": [["text"]]}),
            ("a text that is a number", {"choices": [{"text": 7}]}),
            ("a text that is null", {"choices": [{"text": None}]}),
            ("choices that are an object", {"choices": {"text": "x"}}),
            ("an offset beyond all answers", {"offset": 2**63 - 1, "tokens": 2**63 - 1}),
            ("a negative offset", {"offset": -(2**63), "tokens": -(2**63)}),
            ("more tokens than there are numbers", {"tokens": 2**64 - 1}),
            ("an id that is a number", {"id": 7})):
        first = event(id=stream, offset=0, choices=[{"text": "w "}])
        fields = {"id": stream, "offset": 1, "choices": [{"text": "w "}], **changes}
        yield name, sse(event(**{**fields, "offset": changes.get("offset", 0)}))
        yield name + " after a sound piece", sse(first, event(**fields))
    yield "bytes that are not JSON", sse(b"data: {\xff\xfe\n\n")
    yield "deeply nested JSON", sse(b"data: " + b"[" * 100_000 + b"\n\n")
    for body in (b'{"error": {"run": 7}}', b'{"error": {"run": null}}', b'{"error": 7}', b"[]",
                 b"[" * 60_000, b"\xff"):
        yield f"a refusal with the body {body[:24]!r}", answer(503, body)
        yield f"an error with the body {body[:24]!r}", answer(500, body)
    yield "no HTTP", b"\x00\x01\x02" * 50 + b"\r\n\r\n"
    yield "a status that is no number", b"HTTP/1.1 abc\r\n\r\n"
    yield "a length that is negative", b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n"


class Endpoint:
    """Answers the calls of callers with `reply(handler, body)`."""

    def __init__(self, port, model):
        self.reply = None
        # Called with the handler of a call before its body is read; true if it has answered.
        self.before_body = None
        self.connections, self.calls = set(), 0
        boot = int(time.time() * 1000)
        sequence = iter(range(1, 1 << 40))
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def json(self, value):
                self.wfile.write(answer(200, json.dumps(value).encode(),
                                        b"content-type: application/json"))

            def do_GET(self):
                own = self.path.startswith("/engine/")
                if not own and endpoint.before_body and endpoint.before_body(self):
                    return
                body = self.rfile.read(int(self.headers.get("content-length") or 0))
                if self.path == "/engine/load":
                    self.json({"boot": boot, "seq": next(sequence), "model": model, "version": "",
                               "time_ms": int(time.time() * 1000), "kv_capacity": 400_000,
                               "kv_used": 0, "running": 0, "waiting": 0, "adapters": [],
                               "role": "" if model else "service", "leaving": False,
                               "tokens_per_s": 50})
                elif self.path == "/engine/streams":
                    self.json({"boot": boot, "streams": []})
                elif self.path.startswith("/engine/cache_events"):
                    self.json({"boot": boot, "events": []})
                elif self.path.startswith("/engine/"):
                    self.wfile.write(answer(404, b"{}"))
                else:
                    endpoint.connections.add(self.client_address)
                    endpoint.calls += 1
                    endpoint.reply(self, body)

            do_POST = do_DELETE = do_GET

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(("127.0.0.1", port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class Fixture:
    """A daemon with one faulty engine and one faulty service."""

    def __init__(self, base):
        self.cluster = Cluster(base, vms=1, engines=0, services=0)
        self.cluster.limits = f"max_body_bytes = {16 << 20}\n"
        document = open(self.cluster.document, encoding="utf-8").read()
        with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
            file.write(document.replace("fresh_requests = 8\nrepeatable = false",
                                        "fresh_requests = 8"))
        self.cluster.document = file.name
        self.engine = Endpoint(base + 60, "assay-reader")
        self.service = Endpoint(base + 61, "")

    def __enter__(self):
        self.cluster.__enter__()
        for name, pool in (("engine-0", "assay"), ("register-0", "register")):
            port = self.cluster.base + (60 if pool == "assay" else 61)
            http_call(self.cluster.base, "PUT", f"/v1/objects/endpoints/{name}", json.dumps(
                {"address": f"127.0.0.1:{port}", "pool": pool, "domain": "sala",
                 "region": "local"}), {"if-none-match": "*"})
        wait_until("both endpoints in service", lambda: self.cluster.in_service() == 2)
        return self

    def __exit__(self, *arguments):
        self.cluster.__exit__(*arguments)
        os.unlink(self.cluster.document)

    def check_alive(self, what):
        check(self.cluster.vms[0].poll() is None, f"the daemon ended after {what}")

    def call_service(self, path, method="GET", body=None, kind="lookup"):
        return http_call(self.cluster.caller(0), method, "/services/register/" + path, body,
                         self.cluster.headers(kind, x_zr_deadline_ms=4000,
                                              idempotency_key=f"key-{path}"))

    def sound_stream(self, gap_s=0.0, pieces=PIECES):
        def reply(handler, body):
            stream = json.loads(body)["stream_id"]
            handler.wfile.write(sse())
            for offset in range(pieces):
                handler.wfile.write(event(id=stream, offset=offset,
                                          choices=[{"text": f"{offset} "}]))
                time.sleep(gap_s)
            handler.wfile.write(b"data: [DONE]\n\n")
            handler.close_connection = True

        return reply


def malformed(f):
    """No answer of an endpoint ends the daemon, and each caller gets an end."""
    for index in range(len(list(malformed_answers("")))):
        name = ""

        def reply(handler, body):
            nonlocal name
            name, data = list(malformed_answers(json.loads(body or b"{}").get("stream_id", "")))[index]
            handler.wfile.write(data)
            handler.close_connection = True

        f.engine.reply = reply
        begin = time.monotonic()
        stream = f.cluster.open(0, f"malformed {index}", PIECES, x_zr_deadline_ms=2000).read()
        f.check_alive(name)
        check(time.monotonic() - begin < 2 + DEADLINE_SLACK_S, f"no end after {name}")
        check(not stream.done, f"whole answer after {name}: {stream.parts}")
        f.service.reply = reply
        http_call(f.cluster.caller(0), "GET", "/services/register/x", None,
                  f.cluster.headers("lookup", x_zr_deadline_ms=2000))
        f.check_alive(name + " of a service")
    f.engine.reply = f.sound_stream()
    wait_until("a sound answer", lambda: f.cluster.open(0, "sound", PIECES).read().done)


def written_twice(f):
    """An earlier answer, written once more on a kept connection, is not the next caller's."""
    last = {}

    def service(handler, _):
        own = answer(200, handler.path.encode())
        handler.wfile.write(last.get(handler.client_address, b"") + own)
        last[handler.client_address] = own

    f.service.reply = service
    for number in range(10):
        status, _, body = f.call_service(f"call-{number}")
        check(status == 200 and body.endswith(f"call-{number}".encode()),
              f"call {number} got {status} {body}")

    refusal = answer(503, json.dumps({"error": {"code": "overloaded", "run": "not-run"}}).encode(),
                     b"x-zr-run: not-run")
    refused, ran = set(), []

    def engine(handler, body):
        if handler.client_address in refused:
            ran.append(json.loads(body)["prompt"])
        refused.add(handler.client_address)
        handler.wfile.write(refusal)

    f.engine.reply = engine
    for number in range(5):
        stream = f.cluster.open(0, f"refused {number}", PIECES, x_zr_deadline_ms=1500).read()
        check(not stream.done, "a refused call was answered")
    check(not ran, f"told \"not run\" by an earlier call's refusal: {ran}")
    f.engine.reply = f.sound_stream()
    wait_until("a sound answer", lambda: f.cluster.open(0, "sound", PIECES).read().done)


def without_end(f):
    """A stalled answer that sends bytes now and then ends at the deadline; a slow one is whole."""
    def trickle(piece):
        def reply(handler, body):
            handler.wfile.write(sse(event(id=json.loads(body or b"{}").get("stream_id", ""),
                                          offset=0, choices=[{"text": "w "}])))
            try:
                while True:
                    handler.wfile.write(piece)
                    time.sleep(0.2)
            except OSError:
                handler.close_connection = True

        return reply

    for piece in (b": \n\n", b" ", b"data: ", b"\n"):
        f.engine.reply = trickle(piece)
        begin = time.monotonic()
        stream = f.cluster.open(0, "trickle", PIECES, x_zr_deadline_ms=2500).read()
        took = time.monotonic() - begin
        check(not stream.done and stream.error, f"{piece}: {stream.parts} {stream.error}")
        check(took < 2.5 + DEADLINE_SLACK_S, f"{piece}: ended after {took:.1f} s")
    f.engine.reply = f.sound_stream(gap_s=2.0)
    stream = f.cluster.open(0, "slow", PIECES, x_zr_deadline_ms=40000).read()
    check(stream.done and len(stream.parts) == PIECES, f"{stream.parts} {stream.error}")


UPLOAD = "u" * (6 << 20)
# Uploads per kind of fault.
UPLOADS = 4


def upload_cut(f):
    """A part of an answer is not taken for the whole because the connection was reset while the
    upload was still being written."""
    def cut(calls, wait_s):
        seen = []

        def before_body(handler):
            if int(handler.headers.get("content-length") or 0) < len(UPLOAD):
                return False
            seen.append(handler.path)
            if calls == "all" or len(seen) > 1:
                cuts.append(handler.path)
            handler.close_connection = True
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
            if calls == "all" or len(seen) > 1:
                handler.wfile.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
                                    + event(id="", offset=0, choices=[{"text": "w "}]))
                time.sleep(wait_s)
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
            handler.connection.close()
            return True

        return before_body

    cuts = []
    for index, (calls, wait_s) in enumerate(itertools.product(("all", "later"), (0, 0.002, 0.05))):
        for number in range(UPLOADS):
            what = f"upload {index}-{number}, {calls} calls cut after {wait_s} s"
            for kind in ("lookup", "registration"):
                f.service.before_body = cut(calls, wait_s)
                status, _, body = f.call_service(f"{kind}-{index}-{number}", "POST", UPLOAD, kind)
                check(status >= 500, f"{what}, {kind}: {status} {body[:90]}")
            f.engine.before_body = cut(calls, wait_s)
            stream = f.cluster.open(0, what + UPLOAD, PIECES, 2000, x_zr_deadline_ms=4000).read()
            check(not stream.done, f"{what}: a whole stream {stream.parts}")
            f.check_alive(what)
    check(len(cuts) > 3 * UPLOADS, f"only {len(cuts)} calls were cut")
    f.engine.before_body = f.service.before_body = None
    f.engine.reply = f.sound_stream()
    wait_until("a sound answer", lambda: f.cluster.open(0, "sound", PIECES).read().done)


NO_STATUS = ("000", "099", "20", "1000", "600", "999", "2OO", "-200", "101")


def status_is_none(f):
    """Answers whose status is outside 200 to 599 are not passed on."""
    for status in NO_STATUS + ("100",):
        def reply(handler, body):
            stream = json.loads(body or b"{}").get("stream_id", "")
            handler.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n" if status == "100" else answer(status, event(id=stream, offset=0, choices=[{"text": "w "}])
                                       + b"data: [DONE]\n\n", b"content-type: text/event-stream"))
            handler.close_connection = True

        f.service.reply = f.engine.reply = reply
        for kind, method in (("lookup", "GET"), ("lookup", "POST"), ("registration", "POST")):
            got = f.call_service(f"{kind}-{method}-{status}", method, None, kind)
            check(got[0] in (502, 504), f"{status} for {method} of {kind}: {got}")
        stream = f.cluster.open(0, f"status {status}", PIECES, x_zr_deadline_ms=2000).read()
        check(not stream.done, f"{status} for a stream: {stream.parts}")
    f.service.reply = lambda handler, _: handler.wfile.write(answer(299, b"body"))
    got = f.call_service("sound")
    check((got[0], got[2]) == (299, b"body"), f"299: {got}")
    f.engine.reply = f.sound_stream()
    wait_until("a sound answer", lambda: f.cluster.open(0, "sound", PIECES).read().done)


STEPS = {step.__name__: step for step in (malformed, written_twice, without_end, upload_cut, status_is_none)}


def test(base):
    with Fixture(base) as fixture:
        for name in sys.argv[2:] or STEPS:
            print(f"- {name}", flush=True)
            STEPS[name](fixture)
            fixture.check_alive(name)


main(test)
