"""Workers that drop a channel which was idle for a while, without notice: what is sent next on it is
reset. Import it before a Deployment is made."""

import select
import socket
import time

import standins

IDLE_S = 1.0
dropping = False
resets = []  # times at which a worker reset what was sent on a channel that it had dropped
_handle_one_request = standins.Handler.handle_one_request


def _handle_or_drop(self):
    if dropping and getattr(self, "worker", False):
        ready, _, _ = select.select([self.connection], [], [], IDLE_S)
        if not ready:
            select.select([self.connection], [], [], 30)
            try:
                if self.connection.recv(1, socket.MSG_PEEK):
                    resets.append(time.monotonic())
                    return self.reset()
            except OSError:
                pass
            self.close_connection = True
            return
    _handle_one_request(self)
    self.worker = "X-Expect-Instance" in (getattr(self, "headers", None) or {})


standins.Handler.handle_one_request = _handle_or_drop
