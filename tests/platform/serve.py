#!/usr/bin/env python3
"""End-to-end test of real entry processes: each route type, rejections, faults and stops."""

import json
import os
import signal
import subprocess
import threading
import time

from deployment import (BUILD, EVENTS, ROOT, Endpoint, check, configuration, main, route, wait_until,
                        full_stream)


def each_route_type_is_served(d):
    for vm in range(3):
        for name, method in (("stream", "POST"), ("once", "POST"), ("many", "GET")):
            request = f"served-{vm}-{name}"
            answer = d.call(vm, method, f"/{name}/x?q=1", request, body=b"body")
            check(answer.status == 200 and answer.complete, f"{request}: {answer.status}")
            check(answer.headers["x-seal"].startswith("seal-"), "no seal")
            check(answer.headers["x-request-id"] == request, "answer of another request")
            want = full_stream() if name == "stream" else f"answer to {request}".encode()
            check(answer.body == want, f"{request}: wrong body {answer.body[:80]}")
            check(d.run_count(request) == 1, f"{request} ran {d.run_count(request)} times")
    method, path, headers, body = d.endpoints_of("plain")[0].executed[0]
    check(path.endswith("?q=1"), "the query was changed")
    check("Api-Key" not in headers and "api-key" not in headers, "the key was forwarded")
    check(headers.get("x-tenant") == "customs", f"team is missing: {headers}")


def invalid_requests_are_rejected(d):
    for status, options in ((404, {"path": "/unknown/x"}), (401, {"key": "key-2"}),
                            (401, {"key": ""}), (400, {"request": ""}),
                            (431, {"headers": {"X-Long": "x" * 5000}}),
                            (413, {"body": b"x" * 100001}),
                            (400, {"headers": {"X-Timeout-Ms": "soon"}})):
        call = {"path": "/many/x", "request": f"bad-{status}-{len(str(options))}", **options}
        answer = d.call(0, "POST", **call)
        check(answer.status == status, f"{options.keys()}: {answer.status}, expected {status}")
        if call["request"]:
            check(d.run_count(call["request"]) == 0, "a rejected request ran")


def oversized_prompt_is_rejected_immediately(d):
    answer = d.call(0, "POST", "/stream/x", "giant", headers={"X-Token-Count": "1500000,80"})
    check(answer.status == 503 and "retry-after" not in answer.headers, f"{answer.status}")
    check(d.run_count("giant") == 0, "a prompt larger than all engines ran")
    line = wait_until("the log line of the rejection", lambda: [
        json.loads(l) for l in d.log(0).splitlines()
        if '"request":"giant"' in l and "own_answer" in l])[0]
    check(line["age_ms"] < 250, f"can't be served, but was rejected only after {line['age_ms']} ms")


def prompt_larger_than_one_engine(d):
    """Several engines reserve memory for the prompt and release it when its answer ends."""
    engines = d.endpoints_of("llm")
    large = {"X-Token-Count": "600000,80"}
    for engine in engines:
        engine.event_s = 0.4  # the answer takes longer than a reservation lasts without renewal
    answer = d.call(0, "POST", "/stream/x", "large", headers=large)
    check(answer.body == full_stream(), f"{answer.status} {answer.body[:80]}")
    check(any(e.used for e in engines), "no engine had reserved memory for it")
    wait_until("the memory is released", lambda: all(e.used <= e.released for e in engines))
    check(d.log(0).count('"event":"reserve"') == 1, "reserved more than once")

    def open_stream(vm, request):
        import http.client
        connection = http.client.HTTPConnection("127.0.0.1", d.port(vm, 0))
        connection.request("POST", "/stream/x", b"", {
            "Host": "front.example", "X-Request-Id": request, "Api-Key": "key-1", **large})
        connection.getresponse().read(10)
        return connection

    open_stream(1, "large-leaver").close()
    wait_until("memory is released after the caller disconnects", lambda: all(
        e.used <= e.released and not e.reserved_tokens() for e in engines))
    connection = open_stream(2, "large-killed")
    check(any(e.reserved_tokens() for e in engines), "nothing reserved")
    d.signal(2, signal.SIGKILL)
    d.processes[2].wait()
    check(all(e.longest_reservation_s() <= 4 for e in engines),
          "a lost VM's reservation lasts too long")
    wait_until("the memory of a lost VM is free", lambda: not any(
        e.reserved_tokens() for e in engines))
    connection.close()
    d.start(2)
    wait_until("the VM is ready again", lambda: d.ready(2))
    for engine in engines:
        engine.event_s = 0.01


def explain(d, vm, *words, token=None):
    return subprocess.run(
        [os.path.join(BUILD, "apps", "zinniarillctl", "zinniarillctl"), "explain", *words,
         f"--server=127.0.0.1:{d.operators_port(vm)}", f"--token={token or d.operator_token}"],
        capture_output=True, text=True, check=False)


def operators_learn_where_a_request_would_go(d):
    described = ["--route=stream", "--team=customs", "--kind=stream", "--tokens=4960"]
    reports = []
    for vm in range(3):
        shown = explain(d, vm, *described, "--output=json")
        check(shown.returncode == 0, f"{shown.returncode} {shown.stderr}")
        reports.append(json.loads(shown.stdout))
    deciders = {report["services"][0]["decided_by"] for report in reports}
    check(len(deciders) == 1, f"several VMs decide: {deciders}")
    decided = [r["services"][0] for r in reports if r["vm"] in deciders][0]
    check(decided["decision"] == "place" and "note" not in decided, f"{decided}")
    check({e["endpoint"] for e in decided["endpoints"]} ==
          {e.id for e in d.endpoints_of("llm")}, f"{decided['endpoints']}")
    check(sum(e["chosen"] for e in decided["endpoints"]) == 1 and
          all(e["reason"] for e in decided["endpoints"]), f"{decided['endpoints']}")
    check(not reports[0]["information"]["is_old"], f"{reports[0]['information']}")
    for words, field in ((described + ["--route=other"], "route"), (["--route=stream"], "team"),
                         (described + ["--kind=once"], "kind"),
                         (described + ["--tokens=x"], "tokens")):
        shown = explain(d, 0, *words)
        check(shown.returncode == 2 and f"{field}:" in shown.stderr,
              f"{words}: {shown.returncode} {shown.stderr}")
    shown = explain(d, 0, *described, token="not the token")
    check(shown.returncode == 1 and "token" in shown.stderr, f"{shown.returncode} {shown.stderr}")
    check(d.run_count("") == 0, "an explanation ran as a request")
    shown = explain(d, 0, "served-0-stream", os.path.join(d.folder, "vm-0.log"))
    check(shown.returncode == 0 and "finished" in shown.stdout, f"{shown.stderr}")


def failed_calls(d):
    plain, engines = d.endpoints_of("plain"), d.endpoints_of("llm")
    for engine in engines[1:]:
        d.store.put("servers", engine.id, engine.entry("draining"))
    wait_until("two engines drain", lambda: all(
        d.log(vm).count('"draining":true') >= 2 for vm in range(3)))
    engines[0].fault = "cut"
    d.store.put("servers", engines[1].id, engines[1].entry())
    wait_until("one engine is back", lambda: all(
        d.log(vm).count('"draining":false') >= 1 for vm in range(3)))
    for n in range(8):
        answer = d.call(0, "POST", "/stream/x", f"resumed-{n}")
        check(answer.body == full_stream(), f"events lost or duplicated: {answer.body}")
    check(any('"failure":"connection broken"' in d.log(vm) for vm in range(3)),
          "no stream was cut, so nothing was resumed")
    engines[0].fault = None
    for engine in engines:
        d.store.put("servers", engine.id, engine.entry())

    for endpoint in plain:
        endpoint.fault = "cut"
    answer = d.call(0, "POST", "/once/x", "cut-once")
    check(answer.status == 502, f"a call that may have run got {answer.status}")
    check(d.run_count("cut-once") == 1, "retried although it may have run")
    for endpoint in plain:
        endpoint.fault = "reject"
    answer = d.call(1, "POST", "/once/x", "rejected-once")
    check(answer.status == 503 and "retry-after" in answer.headers, f"{answer.status}")
    check(d.run_count("rejected-once") == 0, "ran although it was answered as not run")
    plain[0].fault = "error"
    plain[1].fault = None
    for n in range(6):
        answer = d.call(2, "GET", "/many/x", f"error-many-{n}")
        check(answer.status == 200, f"not retried elsewhere: {answer.status}")
    plain[0].fault = "extra"
    for n in range(10):
        answer = d.call(n % 3, "GET", "/many/x", f"extra-{n}")
        check(answer.body == f"answer to extra-{n}".encode(),
              f"answer of another request: {answer.body}")
    plain[0].fault = None


def silent_stream(d):
    """A stream that pauses is cut only if another engine can resume it."""
    engines = d.endpoints_of("llm")
    for engine in engines[1:]:
        d.store.put("servers", engine.id, engine.entry("draining"))
    wait_until("two engines drain", lambda: all(
        d.log(vm).count('"draining":true') >= 4 for vm in range(3)))
    engines[0].fault = "pause"
    answer = d.call(0, "POST", "/stream/x", "pause-alone")
    check(answer.complete and answer.body == full_stream(), f"cut: {answer.body}")
    check(d.run_count("pause-alone") == 1, "ran more than once with a single engine")
    line = wait_until("the end of the paused stream in the log", lambda: [
        json.loads(l) for l in d.log(0).splitlines()
        if '"request":"pause-alone"' in l and '"event":"finished"' in l])[0]
    # The first event may be late, too, on a slow machine; then that is the cause.
    check(line.get("late_by") in (["pause"] if line["first_event_ms"] <= 300 else ["prefill", "wait"]),
          f"wrong cause: {line}")
    check(line["pause_endpoint"] == engines[0].id and line["longest_pause_ms"] > 200 and
          line["pause_at_ms"] <= line["age_ms"] and line["team"] == "customs" and
          line["domain"] == "sala", f"{line}")
    wait_until("the dispatcher's line on the pause", lambda: any(
        '"event":"long_pause"' in l and '"request":"pause-alone"' in l
        for vm in range(3) for l in d.log(vm).splitlines()))
    engines[0].fault = None
    for engine in engines:
        d.store.put("servers", engine.id, engine.entry())


def configuration_changes(d):
    d.store.put("servers", "junk-1", {"service": 5})
    d.store.put("servers", "junk-2", "text")
    d.store.put("config", "other", {"version": 99})
    new = route("new", "/new/", "idempotent", "plain")
    d.store.put("config", "main", configuration(5, ("key-1", "key-2"), [new]))
    wait_until("the new route", lambda: all(
        d.call(vm, "GET", "/new/x", f"new-{vm}-{time.monotonic()}", key="key-2").status == 200
        for vm in range(3)))
    d.store.put("config", "main", {"routes": "no version"})
    d.store.put("config", "main", configuration(3))
    check(d.call(0, "GET", "/new/x", "older").status == 200, "an older version was applied")
    d.store.put("config", "main", configuration(6))
    wait_until("the key and the route are removed", lambda: all(
        d.call(vm, "GET", "/many/x", f"revoked-{vm}-{time.monotonic()}", key="key-2").status == 401
        and d.call(vm, "GET", "/new/x", f"gone-{vm}-{time.monotonic()}").status == 404
        for vm in range(3)))
    wait_until("a log line for malformed entries", lambda: all(
        "entry_rejected" in d.log(vm) for vm in range(3)))


def store_outage(d):
    for fault in ("refuse", "reset", "silent"):
        d.store.fault = fault
        wait_until(f"VMs notice the outage ({fault})", lambda: not any(
            d.ready(vm) for vm in range(3)))
        answer = d.call(0, "GET", "/many/x", f"outage-{fault}")
        check(answer.status == 503, f"a key was accepted on stale configuration: {answer.status}")
        check(d.run_count(f"outage-{fault}") == 0, "ran although it was rejected")
        d.store.fault = None
        wait_until(f"VMs are ready ({fault})", lambda: all(d.ready(vm) for vm in range(3)))
    d.store.forget_history()
    d.store.put("config", "main", configuration(7, ("key-3",)))
    wait_until("a change across lost history", lambda: all(
        d.call(vm, "GET", "/many/x", f"forgot-{vm}-{time.monotonic()}", key="key-3").status == 200
        for vm in range(3)))
    d.store.put("config", "main", configuration(8))
    wait_until("the old keys are accepted", lambda: all(
        d.call(vm, "GET", "/many/x", f"again-{vm}-{time.monotonic()}").status == 200
        for vm in range(3)))


def confirmed_change_survives_the_loss_of_all_vms(d):
    """All VMs lose power just after a change is confirmed; none may start with an older one."""
    for n, delay_s in enumerate((0, 0.005, 0.1, 0.4)):
        path = f"/kept{n}/"
        d.store.put("config", "main", configuration(
            20 + n, (f"kept-key-{n}",), [route("kept", path, "idempotent", "plain")]))
        time.sleep(delay_s)
        for vm in range(3):
            d.signal(vm, signal.SIGKILL)
        for vm in range(3):
            d.processes[vm].wait()
            d.start(vm)
        for vm in range(3):
            wait_until("the VM is ready again", lambda vm=vm: d.ready(vm))
            answer = d.call(vm, "GET", path + "x", f"kept-{vm}-{n}", key=f"kept-key-{n}")
            check(answer.status == 200, f"the change is lost: {answer.status}")
            answer = d.call(vm, "GET", path + "x", f"lapsed-{vm}-{n}")
            check(answer.status == 401, f"a key that was taken away: {answer.status}")
    d.store.put("config", "main", configuration(30))
    wait_until("the old keys are accepted", lambda: all(
        d.call(vm, "GET", "/many/x", f"kept-{vm}-{time.monotonic()}").status == 200
        for vm in range(3)))


def removal_after_outage(d):
    """An endpoint removed well after an outage gets no calls two seconds later."""
    d.store.fault = "refuse"
    wait_until("VMs notice the outage", lambda: not any(d.ready(vm) for vm in range(3)))
    d.store.fault = None
    wait_until("VMs are ready", lambda: all(d.ready(vm) for vm in range(3)))
    time.sleep(3.5)  # longer than lapsed entries may take to be written again
    removed, remaining = d.endpoints_of("plain")
    d.store.put("servers", removed.id, None)
    time.sleep(2)  # the longest time for which a removed endpoint may get calls
    before = sum(removed.runs.values())
    for n in range(12):
        d.call(n % 3, "GET", "/many/x", f"removed-{n}")
    check(sum(removed.runs.values()) == before, "a removed endpoint got a call")
    d.store.put("servers", removed.id, removed.entry())


def caller_disconnects(d):
    import http.client
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.5
    connection = http.client.HTTPConnection("127.0.0.1", d.port(0, 0))
    connection.request("POST", "/stream/x", b"", {
        "Host": "front.example", "X-Request-Id": "leaver", "Api-Key": "key-1",
        "X-Token-Count": "4000,80"})
    connection.getresponse().read(10)
    connection.close()
    wait_until("the call ends when its caller disconnects",
               lambda: '"outcome":"caller gone"' in d.log(0))
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.01


def waiting_prompt_is_rejected_on_stop(d):
    """A prompt that waits for memory is rejected as not run when its VM stops."""
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.5
    giant = {"X-Token-Count": "1200000,80", "X-Timeout-Ms": "10000"}
    first = threading.Thread(
        target=d.call, args=(0, "POST", "/stream/x", "giant-first"), kwargs={"headers": giant})
    first.start()
    wait_until("the first prompt uses its reservations", lambda: any(
        ".giant-first." in reservation for e in d.endpoints_of("llm") for reservation in e.used))
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(
        d.call(1, "POST", "/stream/x", "giant-waits", headers=giant)))
    waiting.start()
    wait_until("the second prompt waits", lambda: any(
        "giant-waits" in line and '"ask_again_ms":200' in line
        for vm in range(3) for line in d.log(vm).splitlines()))
    d.signal(1, signal.SIGTERM)
    waiting.join()
    first.join()
    check(answers[0].status == 503, f"{answers[0].status}")
    check(answers[0].headers.get("retry-after") is not None, "no retry-after header")
    check(d.run_count("giant-waits") == 0, "ran although it was rejected")
    check(d.processes[1].wait(60) == 0, f"exit code {d.processes[1].returncode}")
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.01
    d.start(1)
    wait_until("the VM is ready again", lambda: d.ready(1))


def graceful_stop(d):
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.2
    answers = []
    threads = [threading.Thread(target=lambda n=n: answers.append(
        d.call(1, "POST", "/stream/x", f"stop-{n}"))) for n in range(5)]
    for thread in threads:
        thread.start()
    wait_until("streams run", lambda: sum(d.run_count(f"stop-{n}") for n in range(5)) == 5)
    d.signal(1, signal.SIGTERM)
    wait_until("the VM is not ready", lambda: not d.ready(1))
    for thread in threads:
        thread.join()
    check(all(a.body == full_stream() for a in answers), "a stream was cut by the stop")
    check(d.processes[1].wait(60) == 0, f"exit code {d.processes[1].returncode}")
    for engine in d.endpoints_of("llm"):
        engine.event_s = 0.01
    d.start(1)
    wait_until("the VM is ready again", lambda: d.ready(1))


def logs_trace_a_request(d):
    lines = [json.loads(line) for line in d.log(0).splitlines() if line.startswith("{")]
    request_events = [line["event"] for line in lines if line.get("request") == "served-0-stream"]
    check(request_events[0] in ("dispatched", "placed") and request_events[-1] == "finished",
          f"{request_events}")
    events = {line["event"] for line in lines}
    for event in ("start", "config_in_force", "store_lost", "store_back", "own_answer"):
        check(event in events, f"no line for {event}")
    prefixed = d.log(0).replace('{"time"', 'Dec 06 vm-0 entry[7]: {"time"')
    path = os.path.join(d.folder, "prefixed.log")
    with open(path, "w") as file:
        file.write(prefixed)
    table = subprocess.run([os.path.join(ROOT, "scripts", "lateness_table.py"), "--by", "team", path],
                           capture_output=True, text=True, check=True).stdout.splitlines()
    finished = sum(line["event"] == "finished" for line in lines)
    row = [int(n) for n in table[-1].split()[1:]]
    check(table[-1].startswith("all ") and row[0] == finished and sum(row[1:]) == finished,
          f"{finished} requests: {table}")
    text = d.call(0, "GET", "/metrics", port=d.port(0, 1)).body.decode()
    check("zr_gateway_longest_pause_seconds" in text and
          'zr_gateway_late_total{route="stream"' in text, "no metric of lateness")
    check("zr_gateway_requests_total" in text and "zr_gateway_request_seconds" in text, text[:500])


def test(d):
    for step in (each_route_type_is_served, invalid_requests_are_rejected,
                 oversized_prompt_is_rejected_immediately, prompt_larger_than_one_engine,
                 operators_learn_where_a_request_would_go, failed_calls, silent_stream,
                 configuration_changes, store_outage,
                 confirmed_change_survives_the_loss_of_all_vms, removal_after_outage,
                 caller_disconnects, waiting_prompt_is_rejected_on_stop, graceful_stop,
                 logs_trace_a_request):
        print(f"- {step.__name__}", flush=True)
        step(d)


def serve_operators(d):
    d.operator_token = "an operator's token"
    return d


main(test, serve_operators)
