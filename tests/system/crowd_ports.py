#!/usr/bin/env python3
"""Crowds at the port of the links between daemons, and at all ports at once, must not end a daemon
by memory or descriptors."""

import sys

import crowd as callers
from crowd import BODY_BYTES, CALLERS, CROWD, LIMITS, OPERATORS, crowd
from crowd_clients import Uploads
from harness import Cluster, check, main, wait_until
from link_crowd import LinkCrowd

# Limits of the daemon, lowered so that a small crowd exceeds them; 200 descriptors are for files.
MEMORY_MB, MAX_FDS, FILE_DESCRIPTORS = 112, 400, 200
MESSAGES = 160  # links that send a message of the largest size
IDLE = 420  # more than the descriptors
MAX_SOCKETS = MAX_FDS - FILE_DESCRIPTORS
# With a crowd at each port.
ALL_MAX_FDS = 600
# With more connections than a small VM takes.
FULL_MAX_FDS, FULL_CROWD = 2870, 1400

LINK_CROWD = LinkCrowd(BODY_BYTES, CROWD, MESSAGES, IDLE)


def links(cluster, wanted):
    failures = []
    for shape in [*CALLERS.shapes(), *LINK_CROWD.shapes()]:
        if not wanted or shape.__name__ in wanted:
            failures += crowd(cluster, shape, cluster.peer(0),
                              f"{shape.__name__} at the port of links", MAX_FDS, MAX_SOCKETS)
    return failures


def all_ports(cluster, _):
    """The sum over all sockets."""
    def shape(_):
        clients = OPERATORS.mixed(cluster.operator(0)) + CALLERS.mixed(cluster.caller(0))
        for make in (LINK_CROWD.messages_short_of_their_end, LINK_CROWD.pings_without_reading,
                     LINK_CROWD.upgrades_with_bodies, LINK_CROWD.unproved_links):
            clients += make(cluster.peer(0))
        return clients + CALLERS.idle_connections(cluster.caller(0))
    return crowd(cluster, shape, 0, "all ports", ALL_MAX_FDS, ALL_MAX_FDS - FILE_DESCRIPTORS)


def full_crowd(cluster, _):
    """A full crowd at the ports of callers and operators, with the descriptors of a small VM."""
    def head(crowd_of, path):
        return "\r\n".join([*crowd_of.head(path, "upload"),
                            f"Content-Length: {BODY_BYTES}", "", ""]).encode()

    def shape(_):
        return [Uploads(cluster.caller(0), head(CALLERS, CALLERS.path), BODY_BYTES - 100,
                        FULL_CROWD),
                Uploads(cluster.operator(0), head(OPERATORS, OPERATORS.path), BODY_BYTES - 100,
                        IDLE)]
    cluster.limits = LIMITS.replace("max_connections = 200", "max_connections = 10000")
    return crowd(cluster, shape, 0, "full crowd", FULL_MAX_FDS, FULL_MAX_FDS - FILE_DESCRIPTORS)


def true_links(cluster, _):
    """A daemon that has just started links to one whose port a crowd fills."""
    watch = callers.restart(cluster)
    clients = (LINK_CROWD.unproved_links(cluster.peer(0)) +
               LINK_CROWD.messages_short_of_their_end(cluster.peer(0)))
    cluster.vms[1].kill()
    cluster.vms[1].wait()
    cluster.start_vm(1)
    failures = []
    try:
        for vm in (0, 1):
            wait_until("the daemons are linked", lambda vm=vm: [
                other["state"] for other in cluster.status(vm)["vms"]] == ["ready", "ready"], 60)
        wait_until("an ordinary request is answered", lambda: callers.ordinary(cluster), 40)
    except AssertionError as error:
        failures.append(f"true links: {error}")
    del clients
    return failures + watch.failures("true links", MEMORY_MB, MAX_FDS, MAX_SOCKETS)


STEPS = {step.__name__: step for step in (links, all_ports, full_crowd, true_links)}


def test(base):
    step, wanted = STEPS[sys.argv[2]], sys.argv[3:]
    with Cluster(base, vms=2, engines=2) as cluster:
        cluster.limits = LIMITS
        cluster.max_descriptors = {all_ports: ALL_MAX_FDS, full_crowd: FULL_MAX_FDS}.get(
            step, MAX_FDS)
        failures = step(cluster, wanted)
        check(not failures, "; ".join(failures))


main(test)
