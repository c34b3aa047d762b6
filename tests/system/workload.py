"""Sessions that write, read and run transactions while faults occur, and record their history for the checker."""

import random
import threading
import time
from collections import Counter

from callers import Caller
from checker import Event, check_history
from processes import wait_until

KEYS_PER_GROUP = 4
WINDOW_MS = 1000
OUTCOME_TIMEOUT_SECONDS = 60


def history_keys(deployment):
    """Returns the keys of the workload by group."""
    return {group: [f"{deployment.prefix(group)}h/{n}" for n in range(KEYS_PER_GROUP)] for group in deployment.groups}


class Session(threading.Thread):
    """One session that sends random requests until the workload stops."""

    def __init__(self, workload, number):
        super().__init__(daemon=True)
        self.workload = workload
        self.name = f"s{number}"
        self.rng = random.Random(workload.seed * 1000 + number)
        self.caller = Caller(workload.cluster, number, client_ms=workload.client_ms)
        self.events = []
        self.unknown = []
        self.answers = Counter()
        self.sent = 0
        self.failure = None

    def run(self):
        try:
            while not self.workload.stopping.is_set():
                self.step()
                time.sleep(self.rng.random() * self.workload.pause_seconds)
        except Exception as failure:  # raised again by Workload.verify()
            self.failure = failure
        finally:
            self.caller.close()

    def step(self):
        if self.rng.random() < 0.2 or not self.workload.may_use(self.caller.proxy):
            self.caller.switch_proxy(self.workload.choose_proxy(self.rng))
        group = self.rng.choice(list(self.workload.keys))
        choices = [(self.append, 35), (self.read, 40), (self.read_all, 10), (self.transaction, 15)]
        actions, weights = zip(*choices)
        self.rng.choices(actions, weights)[0](group)

    def next_request_id(self):
        self.sent += 1
        return f"{self.workload.seed}-{self.name}-{self.sent}"

    def record(self, event, answer):
        """Records `event` with the result in `answer`."""
        event.end = time.monotonic()
        event.ran = answer.ran
        if answer.ok:
            event.row_count, event.rows = answer.body.get("rowCount"), len(answer.rows)
        if event.request_id and answer.body.get("requestId"):
            event.answered_id = answer.body["requestId"]
        event.mark, event.served_by = answer.mark or "", answer.body.get("servedBy", "")
        self.events.append(event)
        self.answers[f"{event.kind} {answer.error or ('ok' if answer.ok else 'no-answer')}"] += 1
        if answer.ok and event.kind == "read":
            self.answers["read from replica" if answer.body.get("fromReplica") else "read from primary"] += 1
        return answer

    def back_off(self, answer):
        if not answer.ok:
            time.sleep(min(answer.body.get("retryAfterMs", 20), 200) / 1000)

    def append(self, group):
        key = self.rng.choice(self.workload.keys[group])
        request_id = self.next_request_id()
        for _ in range(2):
            event = Event(self.name, "append", time.monotonic(), 0, request_id, [(key, request_id)])
            answer = self.caller.write("append", key, {"item": request_id}, requestId=request_id, windowMs=WINDOW_MS)
            self.record(event, answer)
            self.back_off(answer)
            if answer.ran != "no":
                break
        if answer.ran == "unknown":
            self.unknown.append((request_id, key))

    def read(self, group):
        key = self.rng.choice(self.workload.keys[group])
        event = Event(self.name, "read", time.monotonic(), 0, key=key)
        more = {"acceptedAgeMs": 1000} if self.rng.random() < 0.2 else {}
        answer = self.caller.read("get", key, windowMs=WINDOW_MS, **more)
        self.record_read(event, answer, [key])

    def read_all(self, group):
        prefix = f"{self.workload.cluster.deployment.prefix(group)}h/"
        event = Event(self.name, "read", time.monotonic(), 0, key=prefix)
        answer = self.caller.read("list", prefix, windowMs=WINDOW_MS)
        self.record_read(event, answer, self.workload.keys[group])

    def record_read(self, event, answer, keys):
        self.record(event, answer)
        event.ran = "yes" if answer.ok else "no"
        if answer.ok:
            event.seen = {key: [] for key in keys}
            event.seen.update({row["key"]: row["value"] for row in answer.rows})
        self.back_off(answer)

    def transaction(self, group):
        keys = self.rng.sample(self.workload.keys[group], 2)
        request_id = self.next_request_id()
        event = Event(self.name, "transaction", time.monotonic(), 0, request_id, [(key, f"{request_id}/{key}") for key in keys])
        begun = self.caller.begin(keys[0], windowMs=WINDOW_MS)
        if not begun.ok:
            self.answers[f"begin {begun.error or 'no-answer'}"] += 1
            self.back_off(begun)
            return
        for key, item in event.effects:
            answer = self.caller.write("append", key, {"item": item}, transaction=begun.transaction, windowMs=WINDOW_MS)
            if not answer.ok:
                self.abandon(event, begun.transaction, answer)
                return
        self.read_inside(event, begun.transaction, keys[0])
        if self.rng.random() < 0.2:
            self.abandon(event, begun.transaction, self.caller.rollback(begun.transaction, windowMs=WINDOW_MS))
            return
        answer = self.record(event, self.caller.commit(begun.transaction, request_id, windowMs=WINDOW_MS))
        if answer.ran == "unknown":
            self.unknown.append((request_id, keys[0]))
        self.back_off(answer)

    def read_inside(self, event, transaction, key):
        inside = Event(self.name, "read", time.monotonic(), 0, key=key, inside=event.request_id)
        answer = self.caller.read("get", key, transaction=transaction, windowMs=WINDOW_MS)
        self.record_read(inside, answer, [key])

    def abandon(self, event, transaction, answer):
        """Rolls a transaction back whose commit was never sent, so that it must not take effect."""
        event.end = time.monotonic()
        event.ran, event.sent = "no", False
        self.events.append(event)
        self.answers[f"transaction abandoned: {answer.error or 'ok'}"] += 1
        self.caller.rollback(transaction, windowMs=WINDOW_MS)

    def resolve(self):
        """Queries the outcome of each request whose outcome is unknown until it is known."""
        for request_id, key in self.unknown:
            wait_until(lambda: self.resolve_one(request_id, key), f"outcome of {request_id}", OUTCOME_TIMEOUT_SECONDS)

    def resolve_one(self, request_id, key):
        self.caller.switch_proxy(self.workload.choose_proxy(self.rng))
        event = Event(self.name, "outcome", time.monotonic(), 0, request_id)
        answer = self.record(event, self.caller.outcome(request_id, key))
        return answer.ran in ("yes", "no")


class Workload:
    """Runs sessions against a cluster until the block ends.

    Use it as a context manager around the faults, then call `verify()`.
    """

    def __init__(self, cluster, seed, sessions=12, pause_seconds=0.02, client_ms=0.0):
        self.cluster = cluster
        self.seed = seed
        self.pause_seconds = pause_seconds
        self.client_ms = client_ms
        self.keys = history_keys(cluster.deployment)
        self.stopping = threading.Event()
        # Numbers of the proxies that sessions must not use.
        self.avoided = set()
        self.sessions = [Session(self, number) for number in range(sessions)]

    def may_use(self, proxy):
        return proxy not in self.avoided

    def choose_proxy(self, rng):
        usable = [number for number in range(len(self.cluster.proxies)) if self.may_use(number)]
        return rng.choice(usable)

    def __enter__(self):
        for session in self.sessions:
            session.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for session in self.sessions:
            session.join()

    @property
    def events(self):
        return [event for session in self.sessions for event in session.events]

    def answers(self):
        """Returns the number of answers of each kind."""
        total = Counter()
        for session in self.sessions:
            total.update(session.answers)
        return total

    def final_rows(self):
        rows = {}
        for group in self.keys:
            rows.update(self.cluster.final_rows(group))
        return {key: value for key, value in rows.items() if isinstance(value, list)}

    def verify(self):
        """Resolves unknown outcomes, then fails if the history has violations or no write was acknowledged."""
        for session in self.sessions:
            if session.failure:
                raise session.failure
        self.cluster.wait_until_serving()
        for session in self.sessions:
            session.resolve()
        violations = check_history(self.events, self.final_rows())
        if violations:
            kinds = dict(Counter(violation.kind for violation in violations))
            shown = "; ".join(f"{v.kind}: {v.description}" for v in violations[:3])
            raise AssertionError(f"seed {self.seed}: violations {kinds}: {shown}")
        acknowledged = sum(1 for event in self.events if event.ran == "yes" and event.effects)
        assert acknowledged > 0, f"seed {self.seed}: nothing was acknowledged: {dict(self.answers())}"
