"""Planned stops of endpoints and proxies, which lose nothing.

Usage: test_stops.py BUILD_FOLDER [SEED [CASE]...]
"""

import contextlib
import http.client
import json
import sys
import threading
import time

from callers import Caller
from cluster import OPERATOR_TOKEN, Cluster
from deployments import NORTESOFT
from processes import Connection, ask, wait_until
from verdicts import check, check_equal, run_cases
from workload import Workload

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 25000
PROXIES = 3
LEAVING_SECONDS = 3
WATCHED_SECONDS = 2
STATEMENT_WINDOW_MS = 5000


@contextlib.contextmanager
def start(deployment=NORTESOFT):
    """A cluster whose proxies know each other's readable forms, and as seeds each other's addresses."""
    seeds = [
        {"name": f"proxy-{number + 1}", "failureDomain": deployment.domains[number], "address": f"127.0.0.1:{BASE + 30 + number}"}
        for number in range(PROXIES)
    ]
    with Cluster(BUILD, BASE, deployment, proxies=PROXIES, settings={"seeds": seeds}) as cluster:
        for proxy in cluster.proxies:
            wait_until(lambda proxy=proxy: knows_all_forms(proxy), f"{proxy.name} knows what all proxies read")
        yield cluster


def operate(proxy, method, path, body=None):
    """One request on the operators' address; returns (status, JSON body)."""
    connection = Connection(proxy.operators)
    try:
        status, answer, _ = connection.ask(method, path, body, {"authorization": f"Bearer {OPERATOR_TOKEN}", "x-operator": "maire"})
        return status, answer
    finally:
        connection.close()


def knows_all_forms(proxy):
    _, status = operate(proxy, "GET", "/v1/status")
    return len(status["proxies"]) == PROXIES and all(known["forms"] for known in status["proxies"])


def put_plan(cluster, name, group, member):
    """Asks for a stop plan; goes on asking while the proxy says that it should come back."""
    spec = {"endpoint": {"group": group, "member": member.name}}
    plan = {"kind": "StopPlan", "name": name, "schema": "v1", "spec": spec}

    def settled():
        status, answer = operate(cluster.proxies[0], "PUT", f"/v1/records/StopPlan/{name}", plan)
        return None if "retryAfterMs" in answer else (status, answer)

    return wait_until(settled, f"an answer on the plan {name}")


def progress(cluster, plan):
    status, answer = operate(cluster.proxies[0], "GET", f"/v1/records/PlanStatus/{plan}")
    return answer["record"]["spec"] if status == 200 else {}


def wait_until_done(cluster, plan):
    wait_until(lambda: "done" in json.dumps(progress(cluster, plan)), f"plan {plan} is done")


def statements_at(workload, member, since):
    """Statements that began after `since` and that the member served."""
    return [event for event in workload.events if event.served_by == member.name and event.start >= since]


def check_no_new_work(cluster, workload, member, ordered):
    """After a few seconds nothing new reaches the member, by what it served and by its slots."""
    time.sleep(max(0.0, ordered + LEAVING_SECONDS - time.monotonic()))
    since = time.monotonic()
    taken = 0
    while time.monotonic() < since + WATCHED_SECONDS:
        taken += 1 if member.state()["slots"] else 0
        time.sleep(0.01)
    late = statements_at(workload, member, since)
    kinds = sorted({event.kind for event in late})
    check_equal((len(late), taken), (0, 0), f"(statements, slots seen taken) at {member.name} after {LEAVING_SECONDS} s {kinds}")
    check(any(event.start >= since and event.ran == "yes" for event in workload.events), "others serve on")


def failures(workload):
    """Answers of the workload that are failures.

    The workload's own sessions write the same rows, and the members roll one of two such transactions back, also in calm times.
    """
    expected = ("transaction statement-failed", "transaction given up: ok", "read from primary", "read from replica")
    return {name: count for name, count in workload.answers().items() if not name.endswith(" ok") and name not in expected}


def longest_write_gap_ms(workload, keys):
    """Longest time without an acknowledged write on `keys`."""
    ends = sorted(event.end for event in workload.events if event.kind == "append" and event.ran == "yes" and event.effects[0][0] in keys)
    return max((1000 * (after - before) for before, after in zip(ends, ends[1:])), default=0.0)


def open_transaction(cluster, group):
    """A transaction with one write on the group's primary."""
    caller = Caller(cluster, 1)
    key = f"{cluster.deployment.prefix(group)}stop"
    begun = caller.begin(key, windowMs=STATEMENT_WINDOW_MS)
    check(begun.ok, f"begin: {begun}")
    written = caller.write("put", key, {"value": "kept"}, transaction=begun.transaction, windowMs=STATEMENT_WINDOW_MS)
    check(written.ok, f"write inside: {written}")
    return caller, key, begun.transaction


def commit(caller, key, transaction):
    done = caller.commit(transaction, f"stop-{SEED}", windowMs=STATEMENT_WINDOW_MS)
    check(done.ok, f"commit: {done}")
    check_equal(caller.read("get", key, windowMs=STATEMENT_WINDOW_MS).value, "kept", "the committed write")


def run_leaving_replica(order):
    """A replica leaves as `order(cluster, group, member)` says, under load and with a transaction in flight."""
    with start() as cluster:
        group = cluster.deployment.groups[0]
        member = cluster.replicas(group)[0]
        with Workload(cluster, SEED) as workload:
            time.sleep(1)
            caller, key, transaction = open_transaction(cluster, group)
            ordered = time.monotonic()
            order(cluster, group, member)
            commit(caller, key, transaction)
            check_no_new_work(cluster, workload, member, ordered)
            work = member.state()["lastWorkAfterLeavingMs"]
        check_equal(failures(workload), {}, "failed requests")
        check(work <= 1000 * LEAVING_SECONDS, f"last work came {work} ms after the member's own report")
        workload.verify()


# Cases


def plan_for_a_replica():
    def order(cluster, group, member):
        status, answer = put_plan(cluster, "stop-replica", group, member)
        check_equal(status, 200, f"the plan: {answer}")
        wait_until_done(cluster, "stop-replica")

    run_leaving_replica(order)


def plan_for_the_primary():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        member = cluster.primary(group)
        with Workload(cluster, SEED) as workload:
            time.sleep(1)
            status, answer = put_plan(cluster, "stop-primary", group, member)
            ordered = time.monotonic()
            check_equal(status, 200, f"the plan: {answer}")
            wait_until_done(cluster, "stop-primary")
            check(cluster.primary(group) is not member, f"{member.name} no longer leads")
            check_no_new_work(cluster, workload, member, ordered)
        print(f"# longest write gap of {group}: {longest_write_gap_ms(workload, workload.keys[group]):.1f} ms", flush=True)
        check_equal(failures(workload), {}, "failed requests")
        workload.verify()


def listed_as_leaving():
    def order(cluster, group, member):
        cluster.listed[member.name] = "leaving"
        cluster.publish_instances()

    run_leaving_replica(order)


def reported_as_leaving():
    def order(cluster, group, member):
        member.faults(leaving=True)

    run_leaving_replica(order)


def plans_without_a_majority_are_refused():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        first, second = cluster.replicas(group)
        status, answer = put_plan(cluster, "stop-first", group, first)
        check_equal(status, 200, f"the first plan: {answer}")
        status, answer = put_plan(cluster, "stop-second", group, second)
        check_equal((status, answer.get("error")), (409, "plan-refused"), f"the second plan: {answer}")
        check_equal(ask(cluster.store.address, "GET", "/v1/objects/StopPlan/stop-second")[0], 404, "the second plan in the store")
        other = cluster.deployment.groups[1]
        status, answer = put_plan(cluster, "stop-other", other, cluster.replicas(other)[0])
        check_equal(status, 200, f"a plan of another group: {answer}")


class Client(threading.Thread):
    """A caller as a balancer's clients are: it follows `connection: close` and asks /ready before it connects."""

    def __init__(self, cluster, number, stopping):
        super().__init__(daemon=True)
        self.caller = Caller(cluster, number)
        self.cluster = cluster
        self.number = number
        self.stopping = stopping
        self.acknowledged = []
        self.failed = []

    def run(self):
        group = self.cluster.deployment.groups[self.number % len(self.cluster.deployment.groups)]
        key = f"{self.cluster.deployment.prefix(group)}client/{self.number}"
        sent = 0
        while not self.stopping.is_set():
            sent += 1
            item = f"c{self.number}-{sent}"
            answer = self.caller.write("append", key, {"item": item}, requestId=item, windowMs=STATEMENT_WINDOW_MS)
            (self.acknowledged if answer.ok else self.failed).append(item if answer.ok else repr(answer))
            if not answer.ok or answer.headers.get("connection", "").lower() == "close":
                self.change_proxy()
            time.sleep(0.01)
        self.caller.close()
        self.key = key

    def change_proxy(self):
        """Goes to the next proxy that says it is ready."""
        for step in range(1, len(self.cluster.proxies) + 1):
            number = (self.caller.proxy + step) % len(self.cluster.proxies)
            try:
                if self.cluster.proxies[number].is_ready():
                    self.caller.roam(number)
                    return
            except (OSError, http.client.HTTPException):
                continue


@contextlib.contextmanager
def clients(cluster, count=9):
    """Clients that write during the block; afterwards nothing may have failed and nothing be lost or doubled."""
    stopping = threading.Event()
    threads = [Client(cluster, number, stopping) for number in range(count)]
    for thread in threads:
        thread.start()
    try:
        yield threads
    finally:
        stopping.set()
        for thread in threads:
            thread.join()
    failed = [fault for thread in threads for fault in thread.failed]
    check_equal(failed[:3], [], f"{len(failed)} failed requests")
    for thread in threads:
        check(thread.acknowledged, f"client {thread.number} had nothing acknowledged")
        group = cluster.deployment.groups[thread.number % len(cluster.deployment.groups)]
        check_equal(cluster.final_rows(group)[thread.key], thread.acknowledged, "the acknowledged items of a client")


def proxy_stops_under_load():
    with start() as cluster, clients(cluster):
        time.sleep(1)
        check_equal(cluster.proxies[1].process.terminate(), 0, "exit code")
        time.sleep(1)


def rolling_replacement_of_all_proxies():
    with start() as cluster:
        with Workload(cluster, SEED) as workload, clients(cluster):
            for number, proxy in enumerate(cluster.proxies):
                time.sleep(1)
                workload.avoided.add(number)
                check_equal(proxy.process.terminate(), 0, f"exit code of {proxy.name}")
                proxy.start()
                proxy.wait_until_ready()
                workload.avoided.discard(number)
            time.sleep(1)
        workload.verify()


CASES = [
    plan_for_a_replica,
    plan_for_the_primary,
    listed_as_leaving,
    reported_as_leaving,
    plans_without_a_majority_are_refused,
    proxy_stops_under_load,
    rolling_replacement_of_all_proxies,
]

if __name__ == "__main__":
    chosen = sys.argv[3:]
    sys.exit(run_cases([case for case in CASES if not chosen or case.__name__ in chosen]))
