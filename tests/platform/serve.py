#!/usr/bin/env python3
"""Guards the whole path through real entry processes: each kind of request, each refusal."""

import json
import signal
import threading
import time

from deployment import (EVENTS, Endpoint, check, configuration, main, route, wait_until,
                        whole_stream)


def each_kind_is_served(d):
    for vm in range(3):
        for kind, method in (("stream", "POST"), ("once", "POST"), ("many", "GET")):
            request = f"served-{vm}-{kind}"
            answer = d.call(vm, method, f"/{kind}/x?q=1", request, body=b"body")
            check(answer.status == 200 and answer.complete, f"{request}: {answer.status}")
            check(answer.headers["x-seal"].startswith("seal-"), "no seal")
            check(answer.headers["x-request-id"] == request, "another request's answer")
            want = whole_stream() if kind == "stream" else f"answer to {request}".encode()
            check(answer.body == want, f"{request}: wrong body {answer.body[:80]}")
            check(d.runs(request) == 1, f"{request} ran {d.runs(request)} times")
    method, path, headers, body = d.of("plain")[0].seen[0]
    check(path.endswith("?q=1"), "query changed")
    check("Api-Key" not in headers and "api-key" not in headers, "the key was passed on")
    check(headers.get("x-tenant") == "customs", f"team is missing: {headers}")


def bad_requests_are_refused(d):
    for status, options in ((404, {"path": "/unknown/x"}), (401, {"key": "key-2"}),
                            (401, {"key": ""}), (400, {"request": ""}),
                            (431, {"headers": {"X-Long": "x" * 5000}}),
                            (413, {"body": b"x" * 100001}),
                            (400, {"headers": {"X-Timeout-Ms": "soon"}})):
        call = {"path": "/many/x", "request": f"bad-{status}-{len(str(options))}", **options}
        answer = d.call(0, "POST", **call)
        check(answer.status == status, f"{options.keys()}: {answer.status}, expected {status}")
        if call["request"]:
            check(d.runs(call["request"]) == 0, "a refused request ran")


def too_large_is_refused_at_once(d):
    answer = d.call(0, "POST", "/stream/x", "giant", headers={"X-Token-Count": "1500000,80"})
    check(answer.status == 503 and "retry-after" not in answer.headers, f"{answer.status}")
    check(d.runs("giant") == 0, "a prompt larger than all engines ran")
    line = wait_until("its log line", lambda: [
        json.loads(l) for l in d.log(0).splitlines()
        if '"request":"giant"' in l and "own_answer" in l])[0]
    check(line["age_ms"] < 250, f"held for {line['age_ms']} ms although it can't be served")


def larger_than_one_engine(d):
    """Several engines hold the prompt, for as long as its answer takes and no longer."""
    engines = d.of("llm")
    large = {"X-Token-Count": "600000,80"}
    for engine in engines:
        engine.event_s = 0.4  # the answer outlives a reservation that isn't renewed
    answer = d.call(0, "POST", "/stream/x", "large", headers=large)
    check(answer.body == whole_stream(), f"{answer.status} {answer.body[:80]}")
    check(any(e.used for e in engines), "no engine held memory for it")
    wait_until("the memory is released", lambda: all(e.used <= e.released for e in engines))
    check(d.log(0).count('"event":"reserve"') == 1, "reserved more than once")

    def leave(vm, request):
        import http.client
        connection = http.client.HTTPConnection("127.0.0.1", d.port(vm, 0))
        connection.request("POST", "/stream/x", b"", {
            "Host": "front.example", "X-Request-Id": request, "Api-Key": "key-1", **large})
        connection.getresponse().read(10)
        return connection

    leave(1, "large-leaver").close()
    wait_until("memory is released without a caller", lambda: all(
        e.used <= e.released and not e.held_tokens() for e in engines))
    connection = leave(2, "large-killed")
    check(any(e.held_tokens() for e in engines), "nothing reserved")
    d.signal(2, signal.SIGKILL)
    d.processes[2].wait()
    check(all(e.longest_reservation_s() <= 4 for e in engines), "a lost VM holds memory for long")
    wait_until("memory of a lost VM is free", lambda: not any(e.held_tokens() for e in engines))
    connection.close()
    d.start(2)
    wait_until("the VM is back", lambda: d.ready(2))
    for engine in engines:
        engine.event_s = 0.01


def broken_calls(d):
    plain, engines = d.of("plain"), d.of("llm")
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
        check(answer.body == whole_stream(), f"pieces lost or doubled: {answer.body}")
    check(any('"failure":"connection broken"' in d.log(vm) for vm in range(3)),
          "no stream was cut, so nothing was resumed")
    engines[0].fault = None
    for engine in engines:
        d.store.put("servers", engine.id, engine.entry())

    for endpoint in plain:
        endpoint.fault = "cut"
    answer = d.call(0, "POST", "/once/x", "cut-once")
    check(answer.status == 502, f"a call that may have run got {answer.status}")
    check(d.runs("cut-once") == 1, "sent again although it may have run")
    for endpoint in plain:
        endpoint.fault = "reject"
    answer = d.call(1, "POST", "/once/x", "rejected-once")
    check(answer.status == 503 and "retry-after" in answer.headers, f"{answer.status}")
    check(d.runs("rejected-once") == 0, "ran although it was said not to have")
    plain[0].fault = "error"
    plain[1].fault = None
    for n in range(6):
        answer = d.call(2, "GET", "/many/x", f"error-many-{n}")
        check(answer.status == 200, f"not repeated elsewhere: {answer.status}")
    plain[0].fault = "extra"
    for n in range(10):
        answer = d.call(n % 3, "GET", "/many/x", f"extra-{n}")
        check(answer.body == f"answer to extra-{n}".encode(), f"mixed up: {answer.body}")
    plain[0].fault = None


def silent_stream(d):
    """A stream that pauses is ended only if it can go on elsewhere."""
    engines = d.of("llm")
    for engine in engines[1:]:
        d.store.put("servers", engine.id, engine.entry("draining"))
    wait_until("two engines drain", lambda: all(
        d.log(vm).count('"draining":true') >= 4 for vm in range(3)))
    engines[0].fault = "pause"
    answer = d.call(0, "POST", "/stream/x", "pause-alone")
    check(answer.complete and answer.body == whole_stream(), f"cut: {answer.body}")
    check(d.runs("pause-alone") == 1, "no other engine was there to run it")
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
    check(d.call(0, "GET", "/new/x", "older").status == 200, "an older version came into force")
    d.store.put("config", "main", configuration(6))
    wait_until("the key and the route are gone", lambda: all(
        d.call(vm, "GET", "/many/x", f"revoked-{vm}-{time.monotonic()}", key="key-2").status == 401
        and d.call(vm, "GET", "/new/x", f"gone-{vm}-{time.monotonic()}").status == 404
        for vm in range(3)))
    wait_until("a log line for junk entries", lambda: all(
        "entry_rejected" in d.log(vm) for vm in range(3)))


def store_outage(d):
    for fault in ("refuse", "reset", "silent"):
        d.store.fault = fault
        wait_until(f"VMs notice ({fault})", lambda: not any(d.ready(vm) for vm in range(3)))
        answer = d.call(0, "GET", "/many/x", f"outage-{fault}")
        check(answer.status == 503, f"a key of uncertain validity was honoured: {answer.status}")
        check(d.runs(f"outage-{fault}") == 0, "ran although it was refused")
        d.store.fault = None
        wait_until(f"VMs are back ({fault})", lambda: all(d.ready(vm) for vm in range(3)))
    d.store.forget_history()
    d.store.put("config", "main", configuration(7, ("key-3",)))
    wait_until("a change around lost history", lambda: all(
        d.call(vm, "GET", "/many/x", f"forgot-{vm}-{time.monotonic()}", key="key-3").status == 200
        for vm in range(3)))
    d.store.put("config", "main", configuration(8))
    wait_until("the old keys", lambda: all(
        d.call(vm, "GET", "/many/x", f"again-{vm}-{time.monotonic()}").status == 200
        for vm in range(3)))


def removal_after_an_outage(d):
    """An endpoint that leaves well after an outage gets nothing two seconds later."""
    d.store.fault = "refuse"
    wait_until("VMs notice", lambda: not any(d.ready(vm) for vm in range(3)))
    d.store.fault = None
    wait_until("VMs are back", lambda: all(d.ready(vm) for vm in range(3)))
    time.sleep(3.5)  # longer than lapsed entries have to return
    gone, kept = d.of("plain")
    d.store.put("servers", gone.id, None)
    time.sleep(2)  # the bound on work for an endpoint that leaves
    before = sum(gone.runs.values())
    for n in range(12):
        d.call(n % 3, "GET", "/many/x", f"removed-{n}")
    check(sum(gone.runs.values()) == before, "an endpoint that left got work")
    d.store.put("servers", gone.id, gone.entry())


def caller_leaves(d):
    import http.client
    for engine in d.of("llm"):
        engine.event_s = 0.5
    connection = http.client.HTTPConnection("127.0.0.1", d.port(0, 0))
    connection.request("POST", "/stream/x", b"", {
        "Host": "front.example", "X-Request-Id": "leaver", "Api-Key": "key-1",
        "X-Token-Count": "4000,80"})
    connection.getresponse().read(10)
    connection.close()
    wait_until("the call ends with its caller", lambda: '"outcome":"caller gone"' in d.log(0))
    for engine in d.of("llm"):
        engine.event_s = 0.01


def prompt_that_waits_is_told_of_a_stop(d):
    """A prompt that waits for memory is refused as not run when its VM stops."""
    for engine in d.of("llm"):
        engine.event_s = 0.5
    giant = {"X-Token-Count": "1200000,80", "X-Timeout-Ms": "10000"}
    first = threading.Thread(
        target=d.call, args=(0, "POST", "/stream/x", "giant-first"), kwargs={"headers": giant})
    first.start()
    wait_until("the memory is taken", lambda: any(
        ".giant-first." in reservation for e in d.of("llm") for reservation in e.used))
    answers = []
    waiting = threading.Thread(target=lambda: answers.append(
        d.call(1, "POST", "/stream/x", "giant-waits", headers=giant)))
    waiting.start()
    wait_until("it waits", lambda: any(
        "giant-waits" in line and '"ask_again_ms":200' in line
        for vm in range(3) for line in d.log(vm).splitlines()))
    d.signal(1, signal.SIGTERM)
    waiting.join()
    first.join()
    check(answers[0].status == 503, f"{answers[0].status}")
    check(answers[0].headers.get("retry-after") is not None, "not told when to come back")
    check(d.runs("giant-waits") == 0, "ran although it was refused")
    check(d.processes[1].wait(60) == 0, f"exit code {d.processes[1].returncode}")
    for engine in d.of("llm"):
        engine.event_s = 0.01
    d.start(1)
    wait_until("the VM is back", lambda: d.ready(1))


def planned_stop(d):
    for engine in d.of("llm"):
        engine.event_s = 0.2
    answers = []
    threads = [threading.Thread(target=lambda n=n: answers.append(
        d.call(1, "POST", "/stream/x", f"stop-{n}"))) for n in range(5)]
    for thread in threads:
        thread.start()
    wait_until("streams run", lambda: sum(d.runs(f"stop-{n}") for n in range(5)) == 5)
    d.signal(1, signal.SIGTERM)
    wait_until("not ready", lambda: not d.ready(1))
    for thread in threads:
        thread.join()
    check(all(a.body == whole_stream() for a in answers), "a stream was cut by the stop")
    check(d.processes[1].wait(60) == 0, f"exit code {d.processes[1].returncode}")
    for engine in d.of("llm"):
        engine.event_s = 0.01
    d.start(1)
    wait_until("the VM is back", lambda: d.ready(1))


def logs_explain(d):
    lines = [json.loads(line) for line in d.log(0).splitlines() if line.startswith("{")]
    of = [line["event"] for line in lines if line.get("request") == "served-0-stream"]
    check(of[0] in ("dispatched", "placed") and of[-1] == "finished", f"{of}")
    events = {line["event"] for line in lines}
    for event in ("start", "config_in_force", "store_lost", "store_back", "own_answer"):
        check(event in events, f"no line for {event}")
    text = d.call(0, "GET", "/metrics", port=d.port(0, 1)).body.decode()
    check("zr_gateway_requests_total" in text and "zr_gateway_request_seconds" in text, text[:500])


def test(d):
    for step in (each_kind_is_served, bad_requests_are_refused, too_large_is_refused_at_once,
                 larger_than_one_engine, broken_calls,
                 silent_stream,
                 configuration_changes, store_outage, removal_after_an_outage,
                 caller_leaves, prompt_that_waits_is_told_of_a_stop, planned_stop, logs_explain):
        print(f"- {step.__name__}", flush=True)
        step(d)


main(test)
