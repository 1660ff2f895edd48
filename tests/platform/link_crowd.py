"""Clients without the key at the port of the links between VMs: what they send before and after
the upgrade to a websocket."""

import os
import socket
import struct

from crowd_clients import PIECE, STALL_S, TINY_CHUNKS, Client, pieces

MESSAGE_BYTES = 1 << 20  # largest message between VMs
HEAD_BYTES = 15000  # of an upgrade; the websocket library reads 16,000
PINGS = 40000
WAVES = 4
BINARY, CONTINUATION, PING = 2, 0, 9


def frame_head(opcode, size, fin=True):
    """Head of a masked frame; the mask of zeros leaves the payload as it is."""
    head = bytes([(0x80 if fin else 0) | opcode])
    if size < 126:
        head += bytes([0x80 | size])
    elif size < 1 << 16:
        head += bytes([0x80 | 126]) + struct.pack(">H", size)
    else:
        head += bytes([0x80 | 127]) + struct.pack(">Q", size)
    return head + bytes(4)


def upgrade(*more):
    return "\r\n".join([
        "GET /peer HTTP/1.1", "Host: x", "Upgrade: websocket", "Connection: Upgrade",
        "Sec-WebSocket-Version: 13", "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
        *more, "", ""]).encode()


def hello():
    """The first frame of a link, which needs no key."""
    payload = b"\x84\x66hello1\x64vm-9\x01\x58\x20" + os.urandom(32)
    return frame_head(BINARY, len(payload)) + payload


def message(size, missing=0):
    yield frame_head(BINARY, size)
    yield from pieces(size - missing)


def tiny_frames(count):
    """A message in frames of one byte, without its end."""
    yield frame_head(BINARY, 1, False) + b"x"
    one = frame_head(CONTINUATION, 1, False) + b"x"
    for _ in range(0, count, PIECE // len(one)):
        yield one * (PIECE // len(one))


class LinkCrowd:
    """Makes the shapes; most clients stop just short of the end and stay connected."""

    def __init__(self, body_bytes, count, messages, idle):
        self.body_bytes, self.count, self.messages, self.idle = body_bytes, count, messages, idle

    def upgrades_with_bodies(self, port):
        return [Client(port, upgrade(f"Content-Length: {self.body_bytes}"),
                       pieces(self.body_bytes - 100, 1 << 16)) for _ in range(self.count)]

    def upgrades_with_long_heads(self, port):
        lines = [b"x%d: " % n + b"y" * 40 + b"\r\n" for n in range(HEAD_BYTES // 48)]
        return self.connections(port, upgrade()[:-2] + b"".join(lines))

    def upgrades_with_short_lines(self, port):
        """Each line is an entry in the library's table of header fields."""
        lines = [b"%x:y\r\n" % n for n in range(HEAD_BYTES // 9)]
        return self.connections(port, upgrade()[:-2] + b"".join(lines))

    def messages_short_of_their_end(self, port):
        return [Client(port, upgrade() + (hello() if n % 2 else b""),
                       message(MESSAGE_BYTES, 4096)) for n in range(self.messages)]

    def messages_in_tiny_frames(self, port):
        return [Client(port, upgrade(), tiny_frames(TINY_CHUNKS)) for _ in range(self.count)]

    def messages_over_the_limit(self, port):
        return [Client(port, upgrade(), message(200 << 20)) for _ in range(self.count)]

    def pings_without_reading(self, port):
        ping = frame_head(PING, 125) + b"x" * 125
        batch = PIECE // len(ping)
        return [Client(port, upgrade(), [ping * batch] * (PINGS // batch))
                for _ in range(self.count)]

    def silent_links(self, port):
        return self.connections(port, upgrade())

    def unproved_links(self, port):
        return self.connections(port, upgrade() + hello())

    def waves(self, port):
        """Clients that are reset within a message and come again."""
        for _ in range(WAVES):
            for client in self.messages_short_of_their_end(port):
                client.join()
                client.channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
                client.channel.close()
        return []

    def connections(self, port, sent):
        """More connections than descriptors."""
        channels = []
        for _ in range(self.idle):
            try:
                channels.append(socket.create_connection(("127.0.0.1", port), timeout=STALL_S))
                channels[-1].sendall(sent)
            except OSError:
                pass
        return channels

    def shapes(self):
        return [self.upgrades_with_bodies, self.upgrades_with_long_heads,
                self.upgrades_with_short_lines, self.messages_short_of_their_end, self.messages_in_tiny_frames,
                self.messages_over_the_limit, self.pings_without_reading, self.silent_links,
                self.unproved_links, self.waves]
