#!/usr/bin/env python3
"""A VM that has lost its paths to all endpoints serves its callers by way of another VM."""

import concurrent.futures
import sys
import time

from cut_uploads import accept_uploads, check_uploads
from deployment import check, full_stream, main, wait_until
from standins import STABLE_S, Proxy

CUT_OFF, CONNECTED = 0, 1  # VMs
REQUESTS = 60
# Requests of which none may fail because of the cut, in hundredths.
MIN_SERVED = 98
PATHS = ("/stream/x", "/once/x", "/many/x")


class Fleet:
    """A deployment in which one VM has paths of its own to the endpoints."""

    def __init__(self, deployment):
        self.d, self.number = deployment, 0
        addresses = {}
        self.paths = []
        for n, endpoint in enumerate(deployment.endpoints):
            self.paths.append(Proxy(deployment.base + 80 + n, endpoint.port))
            addresses[f"127.0.0.1:{endpoint.port}"] = f"127.0.0.1:{self.paths[-1].port}"
        view = deployment.base + 79
        deployment.store.add_view(view, addresses)
        deployment.store_ports[CUT_OFF] = view
        # VMs that are registered watch the store from their start. A new one would take the
        # endpoints, with the addresses that the other sees, from that one.
        deployment.store.put("zinniarill-members", "key", "key of the links")
        for vm in (CUT_OFF, CONNECTED):
            deployment.store.put("zinniarill-members", f"vm.vm-{vm}",
                                 f"127.0.0.1:{deployment.port(vm, 2)}")

    def call(self, path):
        self.number += 1
        request = f"{path.strip('/x')}-{self.number}"
        answer = self.d.call(CUT_OFF, "POST", path, request, body=b"prompt")
        whole = answer.complete and (path != PATHS[0] or answer.body == full_stream())
        return request, path, answer.status == 200 and whole, answer.status

    def calls(self, count):
        """Makes calls at the VM, a few at a time, and returns their results."""
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = []
            for i in range(count):
                results.append(pool.submit(self.call, PATHS[i % len(PATHS)]))
                time.sleep(0.05)
            return [result.result() for result in results]

    def cut(self, how):
        for path in self.paths:
            path.cut(how)

    def heal(self):
        for path in self.paths:
            path.heal()

    def direct_connections(self):
        return sum(len(path.pairs) for path in self.paths)

    def check_served(self, results):
        served = sum(ok for _, _, ok, _ in results)
        failed = [(request, status) for request, _, ok, status in results if not ok]
        check(100 * served >= MIN_SERVED * len(results),
              f"{served} of {len(results)} served; failed: {failed}")
        for request, path, _, status in results:
            runs = self.d.run_count(request)
            check(path != PATHS[1] or runs <= 1, f"{request} ran {runs} times")
            check(status not in (503, 429) or runs == 0, f"{request} ran, but was refused")


def cut(how):
    def step(fleet):
        fleet.check_served(fleet.calls(12))
        fleet.cut(how)
        fleet.calls(4 * STABLE_S)  # what the VM may take to find out
        time.sleep(STABLE_S)
        fleet.check_served(fleet.calls(REQUESTS))
    return step


def own_paths_are_used_again(fleet):
    fleet.cut("refused")
    time.sleep(1)
    fleet.calls(30)
    fleet.heal()
    before = fleet.direct_connections()
    wait_until("the VM calls endpoints itself", lambda: (
        fleet.calls(6) and fleet.direct_connections() > before + 6), 15)
    fleet.check_served(fleet.calls(REQUESTS))


def cuts_in_series(fleet):
    for how in ("refused", "silent", "reset"):
        fleet.cut(how)
        fleet.calls(20)
        fleet.heal()
        fleet.calls(20)
    time.sleep(STABLE_S)
    fleet.check_served(fleet.calls(REQUESTS))


def upload_is_answered_and_cut(fleet):
    """The part of an answer must not be taken for the whole on the way through another VM."""
    accept_uploads(fleet.d)
    # Open connections must not live on: the paths' stand-in ends them in order after a reset.
    fleet.cut("reset")
    wait_until("the VM calls endpoints through the other one", lambda: (
        fleet.calls(6) and "call_through_vm" in fleet.d.log(CUT_OFF)), 30)
    before = fleet.direct_connections()
    check_uploads(fleet.d, CUT_OFF)
    check(fleet.direct_connections() == before == 0, "a call did not go through the other VM")


STEPS = {"refused": cut("refused"), "silent": cut("silent"), "reset": cut("reset"),
         "own_paths_are_used_again": own_paths_are_used_again, "cuts_in_series": cuts_in_series,
         "upload_is_answered_and_cut": upload_is_answered_and_cut}


def test(fleet):
    for name in sys.argv[2:]:
        print(f"- {name}", flush=True)
        STEPS[name](fleet)


main(test, Fleet, vms=2)
