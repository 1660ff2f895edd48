"""Guards against non-repeatable calls that run twice or are reported wrongly.

Started by operations_test.sh, which sets the addresses. A wait has a generous
bound that only ends a broken run.
"""
import http.client
import json
import os
import signal
import sys
import threading
import time

CALLERS = os.environ["CALLERS"].split()
PIDS = [int(pid) for pid in os.environ["PIDS"].split()]
SERVICES = ["127.0.0.1:%d" % (int(os.environ["SERVICE_FIRST_PORT"]) + i) for i in range(3)]
BOUND = 120  # seconds
failures = []


def check(condition, message):
    if not condition:
        failures.append(message)
        print("FAILED: " + message, flush=True)


def http_call(address, method, path, body=None, headers=None, timeout=BOUND):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, response.read().decode()
    finally:
        connection.close()


def fault(kind, name):
    status, _, _ = http_call(os.environ[kind], "POST", "/fault/" + name)
    assert status == 200, name


def wait_for(condition, what):
    end = time.monotonic() + BOUND
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    check(False, "no such event: " + what)
    return False


def executions(key):
    return sum(json.loads(http_call(s, "GET", "/executions")[2])["executions"].get(key, 0)
               for s in SERVICES)


def record_state(key):
    status, _, body = http_call(os.environ["PLATFORM"], "GET",
                                "/v1/objects/operations/customs.register." + key)
    return json.loads(json.loads(body)["value"])["state"] if status == 200 else "absent"


def operation_writes():
    state = json.loads(http_call(os.environ["PLATFORM_FAULT"], "GET", "/fault/state")[2])
    return state["calls"].get("write.operations", 0)


class Call(threading.Thread):
    """One call of a caller, in a thread of its own."""

    def __init__(self, vm, key, deadline_ms=20000, request_class="held", body="entry"):
        super().__init__(daemon=True)
        self.vm, self.key, self.body = vm, key, body
        self.deadline_ms, self.request_class = deadline_ms, request_class
        self.status, self.run_state, self.replayed, self.error = 0, "", False, {}
        self.lost = False
        self.start()

    def run(self):
        begin = time.monotonic()
        headers = {"authorization": "Bearer customs-key", "x-zr-class": self.request_class,
                   "x-zr-deadline-ms": str(self.deadline_ms)}
        if self.key:
            headers["idempotency-key"] = self.key
        try:
            self.status, names, self.answer = http_call(
                CALLERS[self.vm], "POST", "/services/register/entries", self.body, headers,
                self.deadline_ms / 1000 + BOUND)
            self.run_state = names.get("x-zr-run", "")
            self.replayed = names.get("x-zr-replayed") == "true"
            if self.status != 200:
                self.error = json.loads(self.answer).get("error", {})
        except OSError:
            self.lost = True
        except http.client.HTTPException:
            self.lost = True
        self.seconds = time.monotonic() - begin

    def done(self):
        self.join(self.deadline_ms / 1000 + BOUND)
        check(not self.is_alive(), "no answer by the deadline for " + self.key)
        return self

    def __str__(self):
        return "%s at vm-%d: %d %s %s" % (self.key, self.vm, self.status, self.run_state, self.error)


def settle(vms=range(4)):
    """Waits until no operation is in progress, so that counts are final."""
    def idle(vm):
        text = http_call(CALLERS[vm], "GET", "/metrics")[2]
        return "zr_operations_in_progress 0" in text.splitlines()
    for vm in vms:
        wait_for(lambda vm=vm: idle(vm), "vm-%d has no operations" % vm)


def judge(calls):
    """Compares the answers for a key with what the service has seen."""
    key = calls[0].key
    count = executions(key)
    states = [call.run_state for call in calls]
    text = "; ".join(str(call) for call in calls)
    check(count <= 1, "%d executions: %s" % (count, text))
    check(all(call.run_state or (call.lost and key.startswith("kill")) for call in calls),
          "no answer: " + text)
    if "ran" in states:
        check(count == 1, "answered \"ran\" without an execution: " + text)
    if all(state == "not-run" for state in states):
        check(count == 0, "every answer was \"not-run\": " + text)


def story_twice(label, faults):
    """The same registration at the same time through two VMs, then once more."""
    for name in faults:
        fault("PLATFORM_FAULT", name)
    groups = []
    for number in range(0, 40, 8):
        batch = []
        for i in range(number, number + 8):
            key = "%s-%d" % (label, i)
            batch.append([Call(i % 4, key), Call((i + 1 + i // 4) % 4, key)])
        for calls in batch:
            for call in calls:
                call.done()
        groups += batch
    settle()
    for calls in groups:
        judge(calls)
        again = Call(3 - calls[0].vm, calls[0].key).done()
        settle()
        judge(calls + [again])
        if record_state(calls[0].key) == "done" and any(c.run_state == "ran" for c in calls):
            check(again.replayed and again.status == 200, "no replay: " + str(again))
            first = next(c for c in calls if c.run_state == "ran")
            check(again.answer == first.answer, "another answer was replayed: " + str(again))
    fault("PLATFORM_FAULT", "clear")
    states = [call.run_state for calls in groups for call in calls]
    print("%s: %s" % (label, {s: states.count(s) for s in sorted(set(states))}), flush=True)
    if not faults:
        check(states.count("ran") >= len(groups), "a registration has not run")


def story_headers():
    call = Call(0, "").done()
    check(call.status == 400 and call.run_state == "not-run", "no key: " + str(call))
    first = Call(0, "headers-1").done()
    other = Call(1, "headers-1", body="another entry").done()
    check(first.run_state == "ran", str(first))
    check(other.status == 409 and other.run_state == "not-run", "reused key: " + str(other))
    check(executions("headers-1") == 1, "reused key ran")


def story_store_down():
    fault("PLATFORM_FAULT", "outage?on=1")
    prompt = Call(0, "down-prompt", 100000, "prompt")
    short = Call(1, "down-short", 3000)
    held = Call(2, "down-held", 110000)
    for call in (prompt.done(), short.done()):
        check(call.run_state == "not-run", "store down: " + str(call))
        check(executions(call.key) == 0, "ran without a record: " + call.key)
    check(prompt.error.get("code") == "unavailable", "not refused: " + str(prompt))
    check(short.seconds >= 2.5, "not held until its deadline: " + str(short))
    check(held.is_alive(), "not held: " + held.key)
    fault("PLATFORM_FAULT", "clear")
    held.done()
    settle()
    check(held.run_state == "ran", "held call: " + str(held))
    judge([held])
    judge([short])
    judge([prompt])


def story_answer_lost():
    """The service has run the call and its answer is lost."""
    fault("SERVICE_FAULT", "all/break_answers?p=1")
    calls = [Call(0, "answer-lost").done(), Call(1, "answer-lost").done()]
    fault("SERVICE_FAULT", "all/break_answers?p=0")
    calls.append(Call(2, "answer-lost").done())
    for call in calls:
        check(call.run_state == "may-have-run", str(call))
        check(call.error.get("record") == "dispatched", "no record state: " + str(call))
    judge(calls)


def story_kill():
    """SIGKILL once after the dispatch, and once as soon as the record is claimed."""
    fault("SERVICE_FAULT", "all/slow?ms=3000")
    calls = [Call(3, "kill-dispatched")]
    wait_for(lambda: executions("kill-dispatched") == 1, "the service runs the call")
    os.kill(PIDS[3], signal.SIGKILL)
    fault("SERVICE_FAULT", "all/slow?ms=0")
    calls[0].done()
    calls.append(Call(0, "kill-dispatched").done())
    check(calls[1].run_state == "may-have-run", "after SIGKILL: " + str(calls[1]))
    judge(calls)

    before = operation_writes()
    fault("PLATFORM_FAULT", "slow?ms=700")
    fault("PLATFORM_FAULT", "lost_answers?p=1")
    calls = [Call(2, "kill-claimed")]
    # The claim's answer is lost, so that a read of 700 ms precedes the dispatch.
    wait_for(lambda: operation_writes() > before, "the record is claimed")
    os.kill(PIDS[2], signal.SIGKILL)
    fault("PLATFORM_FAULT", "clear")
    calls[0].done()
    time.sleep(1)  # a write that was under way takes effect
    state = record_state("kill-claimed")
    calls.append(Call(1, "kill-claimed", 60000).done())
    settle([0, 1])
    print("killed with the record %s: %s" % (state, calls[1]), flush=True)
    wanted = "ran" if state == "claimed" else "may-have-run"
    check(calls[1].run_state == wanted, "record %s: %s" % (state, calls[1]))
    judge(calls)


def story_busy():
    """A refusal by the service is no outcome: the same key runs later."""
    fault("SERVICE_FAULT", "all/freeze")
    frozen = Call(0, "busy", 2000).done()
    fault("SERVICE_FAULT", "all/unfreeze")
    settle()
    judge([frozen])
    again = Call(1, "busy").done()
    check(frozen.run_state != "not-run" or again.run_state == "ran", str(again))
    settle()
    judge([frozen, again])


def story_caller_gone():
    """The caller hangs up in the middle; the outcome is stored for its repeat."""
    fault("SERVICE_FAULT", "all/slow?ms=1500")
    connection = http.client.HTTPConnection(CALLERS[0], timeout=BOUND)
    connection.request("POST", "/services/register/entries", "entry", {
        "authorization": "Bearer customs-key", "idempotency-key": "gone"})
    wait_for(lambda: executions("gone") == 1, "the service runs the call")
    connection.close()
    fault("SERVICE_FAULT", "all/slow?ms=0")
    wait_for(lambda: record_state("gone") == "done", "the outcome is stored")
    again = Call(1, "gone").done()
    check(again.run_state == "ran" and again.replayed, "caller gone: " + str(again))
    judge([again])


def story_orders():
    """A wanted version reaches the engine through the holder of the placement lease."""
    operator, engine = os.environ["OPERATOR"], os.environ["ENGINE"]
    token = {"authorization": "Bearer " + os.environ["TOKEN"]}
    config = json.loads(http_call(operator, "GET", "/v1/config", None, token)[2])
    document = config["document"].replace("model = reader\n", "model = reader\nversion = v9\n")
    status, _, body = http_call(operator, "PUT", "/v1/config", document,
                                {**token, "if-match": str(config["version"])})
    check(status in (200, 202), "config: %d %s" % (status, body))
    wait_for(lambda: json.loads(http_call(engine, "GET", "/engine/load")[2])["version"] == "v9",
             "the engine runs the wanted version")


def story_retention():
    """Only expired records are deleted; one without an outcome is reported and kept."""
    wait_for(lambda: record_state("old-released") == "absent", "the expired record is deleted")
    reported = "zr_retention_reports_total"
    wait_for(lambda: any(reported in http_call(vm, "GET", "/metrics")[2] for vm in CALLERS),
             "the record without an outcome is reported")
    check(record_state("old-dispatched") == "dispatched", "a dispatched record was deleted")
    check(record_state("young-released") == "released", "a young record was deleted")


def story_stop():
    """A planned stop waits for the operation and for its record."""
    fault("SERVICE_FAULT", "all/slow?ms=2000")
    call = Call(1, "stop")
    wait_for(lambda: executions("stop") == 1, "the service runs the call")
    os.kill(PIDS[1], signal.SIGTERM)
    call.done()
    fault("SERVICE_FAULT", "all/slow?ms=0")
    check(call.run_state == "ran", "planned stop: " + str(call))
    wait_for(lambda: record_state("stop") == "done", "the outcome is stored")


STORIES = {
    "headers": story_headers,
    # Before the faults: a delete that is lost is tried again at the next sweep, in 10 minutes.
    "retention": story_retention,
    "twice": lambda: story_twice("twice", []),
    "lost-5": lambda: story_twice("lost-5", ["lost_answers?p=0.05"]),
    "lost-30": lambda: story_twice("lost-30", ["lost_answers?p=0.3"]),
    "late": lambda: story_twice("late", ["lost_requests?p=0.1", "delayed_effect?ms=600&p=0.3"]),
    "busy": story_busy,
    "caller-gone": story_caller_gone,
    "orders": story_orders,
    "answer-lost": story_answer_lost,
    "store-down": story_store_down,
    "kill": story_kill,
    "stop": story_stop,
}
for name in sys.argv[1:] or STORIES:
    print("story " + name, flush=True)
    STORIES[name]()
print("%d failures, seed %s" % (len(failures), os.environ["ZR_SEED"]))
sys.exit(1 if failures else 0)
