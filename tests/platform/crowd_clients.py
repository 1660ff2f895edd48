"""Clients that send too much, too little or too slowly, and what a process holds for them."""

import os
import select
import socket
import threading
import time

STALL_S = 2  # a client whose bytes are not taken for this long stops sending and stays open
TINY_CHUNKS = 200000  # of one byte
PIECE = 1 << 14
SAMPLE_S = 0.01
SETTLE_S = 60  # bound on the wait for a process that reads what was sent
CHUNKED = "Transfer-Encoding: chunked"


def unread_bytes(ports):
    """Bytes that the kernel holds for connections of these ports and that were not read."""
    wanted = {f"{port:04X}" for port in ports}
    total = 0
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].partition(":")[2] in wanted and fields[3] == "01":
                total += int(fields[4].partition(":")[2], 16)
    return total


def count_sockets(folder, names):
    """Sockets and pipes among the descriptors."""
    count = 0
    for name in names:
        try:
            count += os.readlink(os.path.join(folder, name)).startswith(("socket:", "pipe:"))
        except OSError:
            pass  # closed meanwhile
    return count


class Watch(threading.Thread):
    """Peak of a process's private memory with its unread bytes, and of its open descriptors."""

    def __init__(self, pid, ports):
        super().__init__(daemon=True)
        self.pid, self.ports = pid, ports
        self.peak_mb, self.peak_fds, self.peak_sockets, self.ended = 0, 0, 0, False
        self.private_mb, self.peak_unread_mb = 0, 0  # at present; in the kernel
        self.start()

    def run(self):
        count = 0
        while not self.ended:
            try:
                with open(f"/proc/{self.pid}/status") as status:
                    held = next(int(line.split()[1]) for line in status
                                if line.startswith("RssAnon")) * 1024
                self.private_mb = held / (1 << 20)
                names = os.listdir(f"/proc/{self.pid}/fd")
                self.peak_fds = max(self.peak_fds, len(names))
                if count % 10 == 0:
                    unread = unread_bytes(self.ports)
                    self.peak_unread_mb = max(self.peak_unread_mb, unread / (1 << 20))
                    held += unread
                    self.peak_sockets = max(self.peak_sockets, count_sockets(
                        f"/proc/{self.pid}/fd", names))
            except (OSError, StopIteration):
                return
            self.peak_mb = max(self.peak_mb, held / (1 << 20))
            count += 1
            time.sleep(SAMPLE_S)

    def failures(self, name, memory_mb, max_fds, max_sockets=None):
        """Ends the watch; what exceeded its bound."""
        self.ended = True
        print(f"  {name}: {self.peak_mb:.0f} MB with {self.peak_unread_mb:.0f} MB unread at most, "
              f"{self.peak_fds} descriptors, "
              f"{self.peak_sockets} sockets", flush=True)
        failures = []
        if self.peak_mb >= memory_mb:
            failures.append(f"{name}: {self.peak_mb:.0f} MB of {memory_mb}")
        if self.peak_fds >= max_fds:
            failures.append(f"{name}: {self.peak_fds} descriptors of {max_fds}")
        if max_sockets is not None and self.peak_sockets > max_sockets:
            failures.append(f"{name}: {self.peak_sockets} sockets of {max_sockets}")
        return failures


class Client(threading.Thread):
    """Sends a head and parts of a body, then stays open."""

    def __init__(self, port, head, parts, pause_s=0):
        super().__init__(daemon=True)
        self.channel = socket.create_connection(("127.0.0.1", port), timeout=STALL_S)
        self.head, self.parts, self.pause_s = head, parts, pause_s
        self.start()

    def run(self):
        try:
            self.channel.sendall(self.head)
            for part in self.parts:
                self.channel.sendall(part)
                time.sleep(self.pause_s)
        except OSError:
            pass  # refused, closed or not taken any further


class Uploads(threading.Thread):
    """Connections that all send a body as far as it is taken, and stay open."""

    def __init__(self, port, head, body_bytes, count):
        super().__init__(daemon=True)
        self.channels = {}  # by descriptor, with the bytes that are left
        self.piece = b"x" * PIECE
        for _ in range(count):
            try:
                channel = socket.create_connection(("127.0.0.1", port), timeout=STALL_S)
                channel.sendall(head)
            except OSError:
                continue
            channel.setblocking(False)
            self.channels[channel.fileno()] = [channel, body_bytes]
        self.start()

    def run(self):
        poll = select.poll()
        for number in self.channels:
            poll.register(number, select.POLLOUT)
        stalled = 0
        while stalled < STALL_S:
            ready = poll.poll(100)
            stalled = 0 if ready else stalled + 0.1
            for number, _ in ready:
                channel, left = self.channels[number]
                try:
                    left -= channel.send(self.piece[:left])
                except BlockingIOError:
                    continue
                except OSError:
                    left = 0
                self.channels[number][1] = left
                if left == 0:
                    poll.unregister(number)

    def close(self):
        for channel, _ in self.channels.values():
            channel.close()


def chunked(size, chunk, missing=0, end=True):
    """A body in chunks; the last `missing` bytes are not sent."""
    full = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    sent = size - missing
    per_part = max(1, PIECE // len(full))
    whole = sent // chunk
    for first in range(0, whole, per_part):
        yield full * min(per_part, whole - first)
    if rest := sent % chunk:
        yield b"%x\r\n%s" % (chunk, b"x" * rest)
    if end and not missing:
        yield b"0\r\n\r\n"


def pieces(size, piece=PIECE):
    for first in range(0, size, piece):
        yield b"x" * min(piece, size - first)


class Crowd:
    """Makes the shapes of a crowd; most of its clients stop just short of the end.

    `head(path, name)` are the lines of a request's head up to those about its body.
    """

    def __init__(self, head, path, body_bytes, count, whole=4, idle=420):
        self.head, self.path, self.body_bytes = head, path, body_bytes
        self.count, self.whole, self.idle = count, whole, idle

    def client(self, port, name, more, parts, pause_s=0, path=None):
        head = self.head(path or self.path, name) + [more, "", ""]
        return Client(port, "\r\n".join(head).encode(), parts, pause_s)

    def missing(self, number, count):
        return count if number >= self.whole else 0

    def large_chunks(self, port):
        return [self.client(port, f"large-{n}", CHUNKED, chunked(
            self.body_bytes, 1 << 20, self.missing(n, 4096))) for n in range(self.count)]

    def tiny_chunks(self, port, path=None):
        return [self.client(port, f"tiny-{n}", CHUNKED, chunked(
            TINY_CHUNKS, 1, self.missing(n, 4096)), path=path) for n in range(self.count)]

    def whole_bodies(self, port):
        return [self.client(port, f"whole-{n}", f"Content-Length: {self.body_bytes}",
                            pieces(self.body_bytes - self.missing(n, 100), 1 << 16))
                for n in range(self.count)]

    def bodies_in_pieces(self, port):
        return [self.client(port, f"pieces-{n}", f"Content-Length: {self.body_bytes}",
                            pieces(self.body_bytes - self.missing(n, 100)), 0.002)
                for n in range(self.count)]

    def over_the_limit(self, port):
        half = self.count // 2
        announced = f"Content-Length: {200 << 20}"
        return ([self.client(port, f"announced-{n}", announced, pieces(200 << 20))
                 for n in range(half)] +
                [self.client(port, f"endless-{n}", CHUNKED,
                             chunked(12800000, 1 << 16, end=False)) for n in range(half)])

    def heads_without_end(self, port):
        return [self.client(port, f"head-{n}", "X-Filler: " + "y" * 60000, []) if n % 2 else
                Client(port, "\r\n".join(self.head(self.path, f"head-{n}") + [""]).encode(),
                       [b"x: " + b"y" * 1000 + b"\r\n"] * 4000) for n in range(self.count)]

    def idle_connections(self, port):
        """More connections than descriptors; half of them have begun a head."""
        channels = []
        for number in range(self.idle):
            try:
                channels.append(socket.create_connection(("127.0.0.1", port), timeout=STALL_S))
                channels[-1].sendall(b"GET /many/x HTTP/1.1\r\n" if number % 2 else b"")
            except OSError:
                pass
        return channels

    def mixed(self, port):
        return [client for shape in (self.large_chunks, self.tiny_chunks, self.whole_bodies,
                                     self.over_the_limit) for client in shape(port)]

    def shapes(self):
        return [self.large_chunks, self.tiny_chunks, self.whole_bodies, self.bodies_in_pieces,
                self.over_the_limit, self.heads_without_end, self.idle_connections]


def leave(clients):
    """Ends the clients and closes their connections."""
    for client in clients:
        if isinstance(client, threading.Thread):
            client.join()
        (client.channel if isinstance(client, Client) else client).close()


def wait_for(clients, ports=()):
    """Waits until each client has sent what it wants, or is stopped, and until the process has
    read what it wants of that."""
    for client in clients:
        if isinstance(client, threading.Thread):
            client.join()
    end = time.monotonic() + SETTLE_S
    before, steady = None, 0
    while ports and steady < 10 and time.monotonic() < end:
        unread = unread_bytes(ports)
        steady = steady + 1 if unread == before else 0
        before = unread
        time.sleep(0.1)
