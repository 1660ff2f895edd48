"""Workers that spoil a share of their answers, and clients that read them as the protocol says."""

import re
import threading
import time

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
SPOILED_SHARE = 50  # one answer in so many, by half of the workers


class Spoiler:
    """Spoils each SPOILED_SHARE-th answer of a worker, in one way after the other.

    `ways` are functions from the request's id, the seal and the body to the bytes of an answer."""

    def __init__(self, ways, record):
        self.ways, self.record = ways, record
        self.lock = threading.Lock()
        self.answers, self.spoiled = 0, {}  # request -> way

    def __call__(self, endpoint, handler, common):
        request = common["X-Request-Id"]
        body = b"the whole answer to " + request.encode()
        with self.lock:
            self.answers += 1
            way = None
            if self.answers % SPOILED_SHARE == 0:
                way = self.ways[self.answers // SPOILED_SHARE % len(self.ways)]
                self.spoiled[request] = way.__name__
        if way is None:
            return handler.answer(200, body, common)
        handler.close_connection = True
        answer = way(request.encode(), common["X-Seal"].encode(), body)
        self.record(f"worker {endpoint.id} spoils its answer to {request} ({way.__name__}): {answer}")
        handler.wfile.write(answer)


def head(request, seal, *lines):
    return b"\r\n".join([b"HTTP/1.1 200 OK", b"X-Request-Id: " + request, b"X-Seal: " + seal, *lines])


def fault_of(answer):
    """Why these bytes are no answer in HTTP/1.1 (RFC 9112, sections 4 to 6), or None."""
    top, blank, body = answer.partition(b"\r\n\r\n")
    if not blank:
        return "no end of the head" if answer else None
    status, *lines = top.split(b"\r\n")
    if not re.match(rb"HTTP/1\.1 [1-5]\d\d( |\Z)", status):
        return f"status line {status}"
    lengths = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name):
            return f"header line {line}"
        if re.search(rb"[\x00-\x08\x0a-\x1f\x7f]", value):
            return f"value of header line {line}"
        if name.lower() == b"content-length":
            lengths.append(value.strip())
    if len(set(lengths)) > 1 or any(not value.isdigit() for value in lengths):
        return f"lengths {lengths}"
    if lengths and len(body) > int(lengths[0]):
        return "bytes behind its end"
    return None


def send(deployment, kind, request, raw):
    """One request on a new channel; returns the answer's bytes as `raw` reads them."""
    import socket
    with socket.create_connection(("127.0.0.1", deployment.port(0, 0))) as channel:
        channel.sendall((f"POST /{kind}/x HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: {request}\r\n"
                         "X-Timeout-Ms: 5000\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\nbody").encode())
        return raw(channel)


def play(deployment, record, raw, spoiler, judge, count=700):
    """Sends requests, every second one may run once; returns what `judge` says of them."""
    worker = deployment.endpoints_of("plain")[0]
    if spoiler:
        worker.fault = spoiler
    else:
        worker.fault = lambda endpoint, handler, common: handler.answer(
            200, b"the whole answer to " + common["X-Request-Id"].encode(), common)
    deployment.endpoints_of("plain")[1].fault = lambda endpoint, handler, common: handler.answer(
        200, b"the whole answer to " + common["X-Request-Id"].encode(), common)
    broken = []
    for n in range(count):
        kind = "once" if n % 2 == 0 else "many"
        request = f"{kind}-{n:04d}"
        answer = send(deployment, kind, request, raw)
        why = judge(request, answer)
        record(f"{request}: {deployment.run_count(request)} runs, the client gets {answer}")
        if why:
            broken.append(f"{request}: {why}")
            record(f"{request} breaks the rule: {why}")
        time.sleep(0.002)
    return broken
