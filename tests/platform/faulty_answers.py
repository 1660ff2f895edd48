#!/usr/bin/env python3
"""Faulty endpoints: a refusal written again, an error after a broken stream, a head cut short, an
upload answered too early, a status that is none, a success that does not name its request.

  faulty_answers.py [FIRST_PORT] [STEP...]
"""

import itertools
import sys
import time

from cut_uploads import accept_uploads, check_uploads
from deployment import EVENTS, check, full_stream, main, wait_until

REJECTIONS = (408, 421, 429, 503)
numbers = itertools.count()


def head(status, headers, length=None):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def events_from(handler):
    first = int(handler.headers.get("Last-Event-Id", -1)) + 1
    return [event(number) for number in range(first, EVENTS)]


class RefusalAgain:
    """Refuses one request of a connection, and writes that refusal again before the next answer."""

    def __init__(self, status, with_id):
        self.status, self.with_id = status, with_id
        self.refusals = {}  # by connection

    def __call__(self, endpoint, handler, common):
        key = handler.connection
        if key not in self.refusals:
            names = {"X-Request-Id": common["X-Request-Id"]} if self.with_id else {}
            self.refusals[key] = head(self.status, {**names, "X-Not-Run": "1"}, 0)
            with endpoint.lock:
                endpoint.runs[common["X-Request-Id"]] -= 1
            return handler.wfile.write(self.refusals[key])
        body = f"answer to {common['X-Request-Id']}".encode()
        handler.wfile.write(self.refusals[key])
        time.sleep(0.02)
        handler.wfile.write(head("200 OK", common, len(body)) + body)


def refusal_is_written_again(d):
    plain = d.endpoints_of("plain")
    for status, with_id in itertools.product(("503 Full", "429 Full", "421 Other"), (True, False)):
        fault = RefusalAgain(status, with_id)
        for endpoint in plain:
            endpoint.fault = fault
        for kind, n in itertools.product(("once", "many"), range(12)):
            request = f"again-{kind}-{n}-{next(numbers)}"
            answer = d.call(0, "POST", f"/{kind}/x", request)
            time.sleep(0.02)
            runs = d.run_count(request)
            what = f"{request} ({status}, id {with_id}): {answer.status}, {runs} runs"
            if kind == "once":
                check(runs <= 1, what)
            check(answer.status not in REJECTIONS or runs == 0, what)
            check(answer.status != 200 or answer.body == f"answer to {request}".encode(), what)
    for endpoint in plain:
        endpoint.fault = None


def error_follows_a_broken_stream(d):
    engines = d.endpoints_of("llm")
    text = b"something went wrong\n\nid: 900\ndata: it did\n\n"
    bodies = {"length": lambda h: head(h[0], h[1], len(text)) + text,
              "no length": lambda h: head(h[0], {**h[1], "Connection": "close"}) + text}
    kinds = itertools.product(
        ("500 Error", "502 Error", "504 Late", "400 Bad", "404 None", "409 Other", "302 Moved",
         "204 Empty", "206 Part", "200 OK"), bodies, (0, 1, 3))
    for status, framing, before in kinds:
        started = []

        def answer(endpoint, handler, common):
            if not started:
                started.append(endpoint)
                stream = {**common, "Content-Type": "text/event-stream",
                          "Transfer-Encoding": "chunked"}
                handler.wfile.write(head("200 OK", stream))
                for piece in events_from(handler)[:before]:
                    handler.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                handler.wfile.flush()
                time.sleep(0.02)
                return handler.reset()
            handler.close_connection = True
            handler.wfile.write(bodies[framing]((status, {**common, "Content-Type": "text/html"})))

        for engine in engines:
            engine.fault = answer
        got = d.call(0, "POST", "/stream/x", f"error-{next(numbers)}", timeout=15)
        what = f"{status}, {framing}, after {before} events: {got.status} {got.body[:120]}"
        if got.status == 200 and before:
            check(full_stream().startswith(got.body), what)
            check(not got.complete or got.body == full_stream(), "ends as if complete: " + what)
        elif got.status == 200:
            check(status == "200 OK", what)
        for engine in engines:
            engine.fault = None


def head_is_cut_short(d):
    """At every position, for answers with a length, in chunks and until the end."""

    def cut_at(position, reset, make):
        def answer(endpoint, handler, common):
            handler.close_connection = True
            whole = make(handler, common)
            handler.wfile.write(whole[:position])
            handler.wfile.flush()
            lengths.append(len(whole))
            if reset:
                time.sleep(0.005)
                handler.reset()
        return answer

    def with_length(handler, common):
        body = f"answer to {common['X-Request-Id']}".encode()
        return head("200 OK", common, len(body)) + body

    def in_chunks(handler, common):
        return head("200 OK", {**common, "Transfer-Encoding": "chunked",
                               "Content-Type": "text/event-stream"}) + b"".join(
            b"%x\r\n%s\r\n" % (len(piece), piece) for piece in events_from(handler)[:2]) + b"0\r\n\r\n"

    def until_the_end(handler, common):
        return head("200 OK", {**common, "Content-Type": "text/event-stream"})

    kinds = (("once", "plain", with_length), ("many", "plain", with_length),
             ("stream", "llm", in_chunks), ("stream", "llm", until_the_end))
    for (kind, service, make), reset in itertools.product(kinds, (False, True)):
        position, lengths = 0, [1]
        while position < max(lengths):
            request = f"cut-{kind}-{position}-{next(numbers)}"
            for endpoint in d.endpoints_of(service):
                endpoint.fault = cut_at(position, reset, make)
            got = d.call(0, "POST", f"/{kind}/x", request, timeout=15)
            # The last chunk ends the body; what follows is the end of the trailers.
            whole = make == in_chunks and position >= max(lengths) - len("\r\n")
            check(got.status != 200 or not got.complete or whole,
                  f"{kind}, {make.__name__}, cut at {position} of {max(lengths)}: "
                  f"200, complete, {got.body[:80]}")
            position += 1 if position < 40 or max(lengths) - position < 40 else 3
        for endpoint in d.endpoints_of(service):
            endpoint.fault = None
        wait_until("sound answers come again", lambda k=kind: d.call(
            0, "POST", f"/{k}/x", f"sound-{next(numbers)}").status == 200)


# Time for which endpoints reject everything after a stream has broken off, in seconds; callers
# are kept waiting for up to a second.
FULL_S = 0.3


def endpoints_are_full_when_a_stream_breaks(d):
    engines = d.endpoints_of("llm")
    for n in range(3):
        broken_at = []

        def answer(endpoint, handler, common):
            if not broken_at:
                broken_at.append(time.monotonic())
                stream = {**common, "Content-Type": "text/event-stream",
                          "Transfer-Encoding": "chunked"}
                handler.wfile.write(head("200 OK", stream))
                for piece in events_from(handler)[:3]:
                    handler.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                handler.wfile.flush()
                time.sleep(0.05)
                return handler.reset()
            if time.monotonic() < broken_at[0] + FULL_S:
                with endpoint.lock:
                    endpoint.runs[common["X-Request-Id"]] -= 1
                return handler.answer(503, b"", {"X-Request-Id": common["X-Request-Id"],
                                                 "X-Not-Run": "1"})
            return endpoint.stream(handler, common)

        for engine in engines:
            engine.fault = answer
        got = d.call(0, "POST", "/stream/x", f"full-{n}")
        for engine in engines:
            engine.fault = None
        check(got.complete and got.body == full_stream(), f"cut after {len(got.body)} bytes")
        for _ in range(20):  # adds to the retry budget
            d.call(0, "POST", "/stream/x", f"sound-{next(numbers)}")


def upload_is_answered_and_cut(d):
    accept_uploads(d)
    check_uploads(d)


NO_STATUS = ("000", "099", "20", "1000", "600", "999", "2OO", "-200", "101")


def status_is_none(d):
    """Guards against answers that are passed on although their status is outside 200 to 599."""
    kinds = (("once", "plain"), ("many", "plain"), ("stream", "llm"))

    def answer_with(status, interim=b""):
        def answer(endpoint, handler, common):
            handler.wfile.write(interim + head(f"{status} Odd", common, 4) + b"body")
        return answer

    for (kind, service), status in itertools.product(kinds, NO_STATUS):
        for endpoint in d.endpoints_of(service):
            endpoint.fault = answer_with(status)
        got = d.call(0, "POST", f"/{kind}/x", f"status-{next(numbers)}")
        check(got.status == 502, f"{status} for {kind}: {got.status} {got.body[:80]}")
    def interim_only(endpoint, handler, common):
        handler.close_connection = True
        handler.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n")

    for kind, service in kinds:
        for endpoint in d.endpoints_of(service):
            endpoint.fault = interim_only
        got = d.call(0, "POST", f"/{kind}/x", f"status-{next(numbers)}")
        check(got.status == 502, f"interim answers only for {kind}: {got.status}")
    # What is a status is still passed on.
    for status, interim in (("299", b""), ("599", b""), ("404", b"HTTP/1.1 103 Early\r\n\r\n")):
        for endpoint in d.endpoints_of("plain"):
            endpoint.fault = answer_with(status, interim)
        got = d.call(0, "POST", "/once/x", f"status-{next(numbers)}")
        check(got.status == int(status) and got.body == b"body", f"{status}: {got.status}")
    for endpoint in d.endpoints:
        endpoint.fault = None


class StrayAnswer:
    """Writes an answer that names no request before each later answer on a connection."""

    def __init__(self, status):
        self.bytes, self.used = head(status, {"Content-Type": "text/plain"}, 5) + b"stray", set()
        self.written = 0

    def __call__(self, endpoint, handler, common):
        if handler.connection in self.used:
            handler.wfile.write(self.bytes)
            self.written += 1
            time.sleep(0.01)
        self.used.add(handler.connection)
        body = f"answer to {common['X-Request-Id']}".encode()
        handler.wfile.write(head("200 OK", common, len(body)) + body)


def answer_names_no_request(d):
    """Guards against callers that get bytes which an endpoint has written for another request."""
    plain = d.endpoints_of("plain")
    for status in ("200 OK", "204 Empty", "302 Moved", "404 None", "500 Error"):
        fault = StrayAnswer(status)
        for endpoint in plain:
            endpoint.fault = fault
        for n in range(24):
            request = f"stray-{next(numbers)}"
            got = d.call(0, "POST", "/many/x", request)
            check(got.status == 502 or got.body == f"answer to {request}".encode(),
                  f"{status}: {request} got {got.status} {got.body}")
        check(fault.written > 0, "no stray answer was written")
    for kind, status in itertools.product(("once", "many", "stream"), (200, 404)):
        for endpoint in d.endpoints:
            endpoint.fault = lambda e, handler, common, s=status: handler.answer(s, b"unnamed")
        got = d.call(0, "POST", f"/{kind}/x", f"unnamed-{next(numbers)}")
        # A failure on a new connection can't be another request's.
        allowed = (502,) if status == 200 else (404,) if kind == "once" else (404, 502)
        check(got.status in allowed, f"{kind}, {status} without id: {got.status} {got.body[:80]}")
    for endpoint in d.endpoints:
        endpoint.fault = None


STEPS = (endpoints_are_full_when_a_stream_breaks, refusal_is_written_again,
         error_follows_a_broken_stream, head_is_cut_short, upload_is_answered_and_cut,
         status_is_none, answer_names_no_request)


def test(d):
    wanted = sys.argv[2:] or [step.__name__ for step in STEPS]
    for step in STEPS:
        if step.__name__ in wanted:
            print(f"- {step.__name__}", flush=True)
            step(d)


main(test, vms=1, engines=3, plain=2)
