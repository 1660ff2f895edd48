#!/usr/bin/env python3
"""Crowds at the ports of links, tunnels and operators, and at all ports at once, must not end a
process by memory or descriptors, nor keep true VMs from linking to it."""

import json
import select
import socket
import sys
import threading
import time

import crowd as callers
from crowd import BODY_BYTES, CALLERS, CROWD, crowd, restart, served, stop
from crowd_clients import STALL_S, Uploads, leave, wait_for
from deployment import check, main, route, wait_until
from link_crowd import LinkCrowd, hello, upgrade

# Limits of the VM, lowered so that a small crowd exceeds them; 200 descriptors are for files.
MEMORY_MB, MAX_FDS, FILE_DESCRIPTORS = 64, 400, 200
MAX_SOCKETS = MAX_FDS - FILE_DESCRIPTORS
# With a crowd at each port and the largest configuration, the limits of the smallest VM's memory.
ALL_MEMORY_MB, ALL_MAX_FDS = 112, 600
# The smallest VM as it is, and more connections than it takes.
SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS, FULL_CROWD = 112, 2870, 1400
MESSAGES = 96  # links that send a message of the largest size
IDLE = 420  # more than the descriptors
ROUTES = 2000
LINKS, TUNNELS = 2, 3  # offsets of the ports
POOL = "llm"
SERIES = 6  # crowds, one after the other
LEFT_S = 3  # from the end of a crowd until what it leaves behind is measured
GROWTH_MB = 8  # what a process may hold more after the last crowd than after the second
OPERATOR_TOKEN = "token-of-the-operators"

LINK_CROWD = LinkCrowd(BODY_BYTES, CROWD, MESSAGES, IDLE)


def begun_tunnels(port):
    """More connections than descriptors that stop within their request."""
    return LINK_CROWD.connections(port, b"\4\1\0\0\0\0\0\0token")


def wrong_tunnels(port):
    return LINK_CROWD.connections(port, b"\4\1\0\0\0\0\0\0a-wrong-token endpoint\0")


def links(d, wanted):
    return shapes_at(d, [*CALLERS.shapes(), *LINK_CROWD.shapes()], d.port(0, LINKS), "links",
                     wanted)


def tunnels(d, wanted):
    return shapes_at(d, [*CALLERS.shapes(), begun_tunnels, wrong_tunnels], d.port(0, TUNNELS),
                     "tunnels", wanted)


def operators(d, wanted):
    return shapes_at(d, CALLERS.shapes(), d.operators_port(0), "operators", wanted)


def shapes_at(d, shapes, port, where, wanted):
    failures = []
    for shape in shapes:
        if not wanted or shape.__name__ in wanted:
            failures += crowd(d, shape, port, f"{shape.__name__} at the port of {where}",
                              MEMORY_MB, MAX_FDS, MAX_SOCKETS)
    return failures


#===================================================================================================
# All ports


def at_all_ports(d, vm=0):
    clients = CALLERS.mixed(d.port(vm, 0))
    for port in (d.port(vm, 1), d.operators_port(vm)):
        clients += CALLERS.mixed(port) + CALLERS.idle_connections(port)
    clients += begun_tunnels(d.port(vm, TUNNELS))
    for shape in (LINK_CROWD.messages_short_of_their_end, LINK_CROWD.pings_without_reading,
                  LINK_CROWD.upgrades_with_bodies, LINK_CROWD.unproved_links):
        clients += shape(d.port(vm, LINKS))
    return clients + CALLERS.idle_connections(d.port(vm, 0))


def large_configuration(d):
    d.version += 1
    d.store.put("config", "main", callers.configuration(d.version, extra_routes=[
        route(f"filler-{n}", f"/filler-{n}/", "idempotent", "plain") for n in range(ROUTES)]))


def all_ports(d, _):
    """The sum over all sockets, with the largest configuration in force."""
    large_configuration(d)
    bounds = (ALL_MEMORY_MB, ALL_MAX_FDS, ALL_MAX_FDS - FILE_DESCRIPTORS)
    failures = crowd(d, lambda _: at_all_ports(d), 0, "all ports", *bounds)
    watch = restart(d)
    failures += stop(d, at_all_ports(d))
    return failures + watch.failures("stop beside a crowd at all ports", *bounds)


def smallest_vm(d, _):
    """A full crowd at each port of the smallest VM, with its own limits."""
    large_configuration(d)
    head = "\r\n".join([*CALLERS.head("/many/x", "upload"),
                        f"Content-Length: {BODY_BYTES}", "", ""]).encode()

    def shape(_):
        clients = [Uploads(d.port(0, 0), head, BODY_BYTES - 100, FULL_CROWD)]
        clients += [Uploads(port, head, BODY_BYTES - 100, IDLE)
                    for port in (d.port(0, 1), d.operators_port(0), d.port(0, LINKS))]
        return clients + LINK_CROWD.unproved_links(d.port(0, LINKS)) + \
            begun_tunnels(d.port(0, TUNNELS))
    return crowd(d, shape, 0, "smallest VM", SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS,
                 SMALLEST_MAX_FDS - FILE_DESCRIPTORS)


def series(d, _):
    """A process holds no more memory after each further crowd."""
    watch = restart(d)
    left = []
    for _ in range(SERIES):
        clients = (CALLERS.mixed(d.port(0, 0)) + CALLERS.mixed(d.port(0, 1)) +
                   CALLERS.bodies_in_pieces(d.port(0, 0)) +
                   LINK_CROWD.messages_short_of_their_end(d.port(0, LINKS)) +
                   LINK_CROWD.upgrades_with_short_lines(d.port(0, LINKS)) +
                   begun_tunnels(d.port(0, TUNNELS)))
        wait_for(clients, watch.ports)
        leave(clients)
        wait_until("an ordinary request is answered", lambda: served(d), 30)
        time.sleep(LEFT_S)
        left.append(watch.private_mb)
    print("  left after each crowd, MB:", " ".join(f"{mb:.1f}" for mb in left), flush=True)
    failures = watch.failures("crowds one after the other", MEMORY_MB, MAX_FDS, MAX_SOCKETS)
    if left[-1] > left[1] + GROWTH_MB:
        failures.append(f"memory grows from crowd to crowd: {left}")
    return failures


#===================================================================================================
# Links of true VMs


class ReturningLinks(threading.Thread):
    """Links without a proof that come again as soon as they are closed."""

    def __init__(self, port):
        super().__init__(daemon=True)
        self.port, self.ended = port, False
        self.start()

    def run(self):
        open_links, poll = {}, select.poll()
        while not self.ended:
            for _ in range(IDLE - len(open_links)):
                try:
                    channel = socket.create_connection(("127.0.0.1", self.port), STALL_S)
                    channel.sendall(upgrade() + hello())
                except OSError:
                    break
                open_links[channel.fileno()] = channel
                poll.register(channel, select.POLLIN)
            for number, _ in poll.poll(100):
                try:
                    closed = not open_links[number].recv(4096)
                except OSError:
                    closed = True
                if closed:
                    poll.unregister(number)
                    open_links.pop(number).close()
        for channel in open_links.values():
            channel.close()


def events(d, vm, start=0):
    """Events of a VM's log from a position on."""
    found = []
    for line in d.log(vm)[start:].splitlines():
        try:
            found.append(json.loads(line))
        except ValueError:
            pass  # the line is being written
    return [event for event in found if isinstance(event, dict)]


def dispatcher(d, vm, start=0):
    """Name of the VM that the given one takes for the dispatcher."""
    names = [event["now"] for event in events(d, vm, start)
             if event.get("event") == "dispatcher" and event.get("pool") == POOL]
    return names[-1] if names else ""


def true_links(d, _):
    """Links of true VMs stay, a VM that has just started reaches the dispatcher, and a change gets
    into force, beside links without a proof at the ports of both."""
    wait_until("a dispatcher is known to both VMs",
               lambda: dispatcher(d, 0) and dispatcher(d, 0) == dispatcher(d, 1))
    victim = int(dispatcher(d, 0).removeprefix("vm-"))
    other = 1 - victim
    name = f"vm-{victim}"
    start = len(d.log(other))
    watch = restart(d, victim)
    wait_until("the VMs are linked", lambda: dispatcher(d, other, start) == name)
    before = len(d.log(other))
    crowds = [ReturningLinks(d.port(vm, LINKS)) for vm in (victim, other)]
    failures = []

    def dispatched(vm, log_start):
        d.call(vm, "GET", "/stream/x", f"stream-{len(d.log(vm))}")
        return any(event.get("by") == "dispatcher" for event in events(d, vm, log_start))

    try:
        for _ in range(20):
            wait_until("a stream is dispatched", lambda: dispatched(other, before))
        if any(event.get("event") == "peer_down" for event in events(d, other, before)):
            failures.append("a link between true VMs was closed")
        after = len(d.log(other))
        restart(d, other).ended = True
        wait_until("a started VM reaches the dispatcher",
                   lambda: dispatcher(d, other, after) == name)
        wait_until("a stream of the started VM is dispatched", lambda: dispatched(other, after))
        d.version += 1
        d.store.put("config", "main", callers.configuration(d.version, keys=("key-1", "key-2")))
        for vm in (victim, other):
            wait_until("the change is in force", lambda vm=vm: served(d, "key-2", vm))
    except AssertionError as error:
        failures.append(str(error))
    for links_of_crowd in crowds:
        links_of_crowd.ended = True
    return failures + watch.failures("true links", MEMORY_MB, MAX_FDS, MAX_SOCKETS)


STEPS = {step.__name__: step for step in (links, tunnels, operators, all_ports, smallest_vm,
                                             series, true_links)}


def test(d):
    step, wanted = STEPS[sys.argv[2]], sys.argv[3:]
    failures = step(d, wanted)
    check(not failures, "; ".join(failures))


def prepare(d):
    memory, descriptors = {
        "all_ports": (ALL_MEMORY_MB, ALL_MAX_FDS),
        "smallest_vm": (SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS),
    }.get(sys.argv[2], (MEMORY_MB, MAX_FDS))
    d.settings = f"limits.memoryMb={memory}\nlimits.maxFds={descriptors}\n"
    d.operator_token = OPERATOR_TOKEN
    return d


main(test, prepare, vms=2)
