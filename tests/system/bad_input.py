#!/usr/bin/env python3
"""Guards against bad input that crashes a daemon, is run, or disturbs other callers."""

import http.client
import json
import os
import signal
import socket

from harness import Cluster, KEY, Load, OPERATOR_TOKEN, check, http_call, main, wait_until

MODEL = "/v1/completions"
GOOD = {"model": "assay-reader", "prompt": "a ring", "max_tokens": 3}


def caller_cases(headers):
    """(name, expected status, method, path, body, headers)"""
    def body(**changes):
        return json.dumps({**GOOD, **changes})

    def post(name, status, text, path=MODEL, **changes):
        sent = {**headers, **{k.replace("_", "-"): v for k, v in changes.items()}}
        return name, status, "POST", path, text, {k: v for k, v in sent.items() if v is not None}

    yield post("truncated JSON", 400, '{"model": "assay-reader"')
    yield post("JSON of the wrong form", 400, "[1, 2]")
    yield post("deeply nested JSON", 400, "[" * 100_000)
    yield post("bytes that are not UTF-8", 400, b'{"model": "\xff\xfe"}')
    yield post("no prompt", 400, json.dumps({"model": "assay-reader"}))
    yield post("prompt that is a number", 400, body(prompt=7))
    yield post("negative max_tokens", 400, body(max_tokens=-1))
    yield post("huge max_tokens", 400, body(max_tokens=10**30))
    yield post("max_tokens beyond the class", 400, body(max_tokens=100_000))
    yield post("stream that is a text", 400, body(stream="yes"))
    yield post("unknown model", 404, body(model="no-such-model"))
    yield post("chat without messages", 400, body(), path="/v1/chat/completions")
    yield post("chat message of the wrong form", 400, body(messages=["hello"]),
               path="/v1/chat/completions")
    yield post("chat role that is a number", 400, body(messages=[{"role": 1, "content": "x"}]),
               path="/v1/chat/completions")
    yield post("missing key", 401, body(), authorization=None)
    yield post("wrong key", 401, body(), authorization="Bearer wrong")
    yield post("other kind of authorization", 401, body(), authorization="Basic " + KEY)
    yield post("unknown class", 403, body(), x_zr_class="no-such-class")
    yield post("body beyond its bound", 413, body(prompt="x" * 1_500_000))
    yield post("header beyond its bound", 431, body(), x_filler="y" * 20_000)
    for deadline in ("-5", "0", "soon", "1e3", "99999999999999999999"):
        yield post(f"deadline {deadline}", 400, body(), x_zr_deadline_ms=deadline)
    yield post("prompt larger than the class", 413, body(prompt_tokens=40_000))
    yield post("prompt that the pool can never hold", 413, body(prompt_tokens=900_000),
               x_zr_class="dossier-check")
    for request_id in ("a b", "x" * 129, "a/b", "a#1", "\u00e9"):
        yield post(f"request id {request_id[:8]!r}", 400, body(),
                   x_request_id=request_id.encode("latin-1"))
    yield post("resume offset without an id", 400, body(), x_zr_resume_offset="3")
    yield post("negative resume offset", 400, body(), x_request_id="r1", x_zr_resume_offset="-3")
    yield post("non-repeatable class for a model", 400, body(), x_zr_class="registration")
    yield post("unknown service", 404, "{}", path="/services/no-such-service/x")
    yield post("model pool as a service", 404, "{}", path="/services/assay/x")
    yield post("unknown path", 404, body(), path="/v2/completions")
    yield post("operation without an idempotency key", 400, "{}", path="/services/register/x",
               x_zr_class="registration")
    yield "wrong method", 405, "GET", MODEL, None, headers
    yield "unknown method", 405, "PATCH", MODEL, body(), headers


def operator_cases(document, path="/v1/config"):
    token = {"authorization": "Bearer " + OPERATOR_TOKEN}
    yield "no operator token", 401, "GET", path, None, {}
    yield "wrong operator token", 401, "GET", path, None, {"authorization": "Bearer wrong"}
    yield "caller's key as a token", 401, "GET", path, None, {"authorization": "Bearer " + KEY}
    yield "bad document", 422, "PUT", path, "[pool", {**token, "if-match": "1"}
    yield "no version", 400, "PUT", path, document, token
    yield "unknown drain", 404, "PUT", "/v1/drains/planet/mars", "", token
    yield "unknown operator path", 404, "GET", "/v1/nothing", None, token


def fault_of(expected, port, method, path, body, headers):
    """What is wrong with the answer to a bad call; empty if nothing is."""
    try:
        status, headers, body = http_call(port, method, path, body, headers)
        error = json.loads(body)["error"]
    except (OSError, http.client.HTTPException, ValueError, KeyError) as failure:
        return repr(failure)
    if status != expected or headers.get("x-zr-run") != "not-run":
        return f"status {status} instead of {expected}, {headers}, {body[:300]}"
    return "" if error["code"] and error["message"] and error["run"] == "not-run" else str(error)


def send_bytes(port, data):
    """Sends bytes, ends the sending side and reads what comes until the end."""
    with socket.create_connection(("127.0.0.1", port), timeout=90) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(4096):
                pass
        except OSError:
            pass


def attack_peer_port(port):
    upgrade = (b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
               b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")

    def frame(payload, announced=None):
        length = len(payload) if announced is None else announced
        head = bytes([0x82, 0xFE]) + length.to_bytes(2, "big") if length < 65536 else \
            bytes([0x82, 0xFF]) + length.to_bytes(8, "big")
        return head + b"\0\0\0\0" + payload

    for data in (os.urandom(4096), b"", upgrade[:40], upgrade + os.urandom(4096),
                 upgrade + frame(b"\x81", announced=500), upgrade + frame(b"\x9f" * 2000),
                 upgrade + frame(b"", announced=1 << 40), upgrade + frame(os.urandom(60_000)),
                 upgrade + frame(b"\x84\x66hello1\x65vm-99\x01\x41\x00")):
        send_bytes(port, data)


def test(base):
    with Cluster(base, engine_flags=["--kv_capacity=100000"]) as cluster, \
            Load(cluster, threads=2) as load:
        long_stream = cluster.open(0, "beside bad input", 200).read(parts=1)
        with open(cluster.document, "rb") as file:
            document = file.read()
        faults = {}
        for port, cases in ((cluster.caller(0), caller_cases(cluster.headers())),
                            (cluster.operator(0), operator_cases(document))):
            for name, expected, *call in cases:
                if fault := fault_of(expected, port, *call):
                    faults[name] = fault
        check(not faults, "\n".join(f"{name}: {fault}" for name, fault in faults.items()))
        for data in (os.urandom(4096), b"POST /v1/completions HTTP/1.1\r\ncontent-length: 50\r\n\r\n{",
                     b"POST /v1/completions HTTP/1.1\r\nx: " + b"y" * 500_000,
                     b"GET / HTTP/9.9\r\n\r\n", b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n"):
            send_bytes(cluster.caller(0), data)
        attack_peer_port(cluster.peer(0))

        # A VM with another key stays unknown to the others.
        cluster.start_vm(3, peer_key="another-key-than-the-others")
        wait_until("the VM with the wrong key",
                   lambda: http_call(cluster.caller(3), "GET", "/healthz")[0] == 200)
        load.wait_for_more(50)
        names = {vm["name"] for vm in cluster.status(0)["vms"] if vm["state"] != "silent"}
        check(names == {"vm-0", "vm-1", "vm-2"}, f"VMs in view: {names}")
        cluster.vms.pop(3).send_signal(signal.SIGKILL)

        long_stream.read()
        check(long_stream.done and len(long_stream.text().split()) == 200, "the stream was cut")
        load.check_clean()
        check(cluster.vms[0].poll() is None, "the daemon has ended")
        cluster.check_invariants()


main(test)
