"""Planned stops of endpoints and proxies under load: no request fails and no acknowledged write is lost.

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
from processes import Connection, send_request, wait_until
from verdicts import check, check_equal, run_cases
from workload import Workload

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 25000
PROXIES = 3
# A leaving member must receive no new work this long after the order to leave.
LEAVING_SECONDS = 3
# How long the test checks that it receives none.
WATCHED_SECONDS = 2
STATEMENT_WINDOW_MS = 5000


@contextlib.contextmanager
def start(deployment=NORTESOFT):
    """Runs a cluster whose proxies have each other's addresses as seeds and know which record forms (kind and schema) each one reads."""
    seeds = [
        {"name": f"proxy-{number + 1}", "failureDomain": deployment.domains[number], "address": f"127.0.0.1:{BASE + 30 + number}"}
        for number in range(PROXIES)
    ]
    with Cluster(BUILD, BASE, deployment, proxies=PROXIES, settings={"seeds": seeds}) as cluster:
        for proxy in cluster.proxies:
            wait_until(lambda proxy=proxy: knows_all_forms(proxy), f"{proxy.name} knows the record forms that each proxy reads")
        yield cluster


def operator_request(proxy, method, path, body=None):
    """Sends one request to the operators' address; returns (status, JSON body)."""
    connection = Connection(proxy.operators)
    try:
        status, answer, _ = connection.send_request(method, path, body, {"authorization": f"Bearer {OPERATOR_TOKEN}", "x-operator": "maire"})
        return status, answer
    finally:
        connection.close()


def knows_all_forms(proxy):
    _, status = operator_request(proxy, "GET", "/v1/status")
    return len(status["proxies"]) == PROXIES and all(known["forms"] for known in status["proxies"])


def put_plan(cluster, name, group, member):
    """Submits a stop plan and repeats it while the proxy answers with a retry-after; returns (status, JSON body)."""
    spec = {"endpoint": {"group": group, "member": member.name}}
    plan = {"kind": "StopPlan", "name": name, "schema": "v1", "spec": spec}

    def settled():
        status, answer = operator_request(cluster.proxies[0], "PUT", f"/v1/records/StopPlan/{name}", plan)
        return None if "retryAfterMs" in answer else (status, answer)

    return wait_until(settled, f"a final answer on the plan {name}")


def progress(cluster, plan):
    status, answer = operator_request(cluster.proxies[0], "GET", f"/v1/records/PlanStatus/{plan}")
    return answer["record"]["spec"] if status == 200 else {}


def wait_until_done(cluster, plan):
    wait_until(lambda: "done" in json.dumps(progress(cluster, plan)), f"plan {plan} is done")


def statements_at(workload, member, since):
    """Returns the statements that began at or after `since` and that the member served."""
    return [event for event in workload.events if event.served_by == member.name and event.start >= since]


def check_no_new_work(cluster, workload, member, ordered_at):
    """Checks that LEAVING_SECONDS after the order the member serves no new statements and none of its slots is in use."""
    time.sleep(max(0.0, ordered_at + LEAVING_SECONDS - time.monotonic()))
    since = time.monotonic()
    samples_in_use = 0
    while time.monotonic() < since + WATCHED_SECONDS:
        samples_in_use += 1 if member.state()["slots"] else 0
        time.sleep(0.01)
    served = statements_at(workload, member, since)
    kinds = sorted({event.kind for event in served})
    check_equal((len(served), samples_in_use), (0, 0), f"(statements, samples with slots in use) at {member.name} after {LEAVING_SECONDS} s {kinds}")
    check(any(event.start >= since and event.ran == "yes" for event in workload.events), "other members continue to serve")


def failed_answers(workload):
    """Returns the number of answers of each kind that is a failure.

    Sessions of the workload write the same rows, and a member rolls one of two conflicting transactions back, also without
    faults: these answers are no failures.
    """
    expected = ("transaction statement-failed", "transaction abandoned: ok", "read from primary", "read from replica")
    return {name: count for name, count in workload.answers().items() if not name.endswith(" ok") and name not in expected}


def longest_write_gap_ms(workload, keys):
    """Returns the longest time in ms without an acknowledged write to `keys`."""
    ends = sorted(event.end for event in workload.events if event.kind == "append" and event.ran == "yes" and event.effects[0][0] in keys)
    return max((1000 * (after - before) for before, after in zip(ends, ends[1:])), default=0.0)


def open_transaction(cluster, group):
    """Opens a transaction with one write at the group's primary; returns (caller, key, transaction)."""
    caller = Caller(cluster, 1)
    key = f"{cluster.deployment.prefix(group)}stop"
    begun = caller.begin(key, windowMs=STATEMENT_WINDOW_MS)
    check(begun.ok, f"begin: {begun}")
    written = caller.write("put", key, {"value": "kept"}, transaction=begun.transaction, windowMs=STATEMENT_WINDOW_MS)
    check(written.ok, f"write in the transaction: {written}")
    return caller, key, begun.transaction


def commit(caller, key, transaction):
    done = caller.commit(transaction, f"stop-{SEED}", windowMs=STATEMENT_WINDOW_MS)
    check(done.ok, f"commit: {done}")
    check_equal(caller.read("get", key, windowMs=STATEMENT_WINDOW_MS).value, "kept", "the committed write")


def run_leaving_replica(order):
    """Makes a replica leave by `order(cluster, group, member)`, under load and with an open transaction."""
    with start() as cluster:
        group = cluster.deployment.groups[0]
        member = cluster.replicas(group)[0]
        with Workload(cluster, SEED) as workload:
            time.sleep(1)
            caller, key, transaction = open_transaction(cluster, group)
            ordered_at = time.monotonic()
            order(cluster, group, member)
            commit(caller, key, transaction)
            check_no_new_work(cluster, workload, member, ordered_at)
            last_work_ms = member.state()["lastWorkAfterLeavingMs"]
        check_equal(failed_answers(workload), {}, "failed requests")
        check(last_work_ms <= 1000 * LEAVING_SECONDS, f"the last work arrived {last_work_ms} ms after the member reported that it leaves")
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
            ordered_at = time.monotonic()
            check_equal(status, 200, f"the plan: {answer}")
            wait_until_done(cluster, "stop-primary")
            check(cluster.primary(group) is not member, f"{member.name} no longer leads")
            check_no_new_work(cluster, workload, member, ordered_at)
        print(f"# longest write gap of {group}: {longest_write_gap_ms(workload, workload.keys[group]):.1f} ms", flush=True)
        check_equal(failed_answers(workload), {}, "failed requests")
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
        check_equal(send_request(cluster.store.address, "GET", "/v1/objects/StopPlan/stop-second")[0], 404, "the second plan in the store")
        other = cluster.deployment.groups[1]
        status, answer = put_plan(cluster, "stop-other", other, cluster.replicas(other)[0])
        check_equal(status, 200, f"a plan of another group: {answer}")


class Client(threading.Thread):
    """A caller that behaves as a client behind a load balancer: it obeys `connection: close` and checks /ready before it connects."""

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
        count_sent = 0
        while not self.stopping.is_set():
            count_sent += 1
            item = f"c{self.number}-{count_sent}"
            answer = self.caller.write("append", key, {"item": item}, requestId=item, windowMs=STATEMENT_WINDOW_MS)
            (self.acknowledged if answer.ok else self.failed).append(item if answer.ok else repr(answer))
            if not answer.ok or answer.headers.get("connection", "").lower() == "close":
                self.change_proxy()
            time.sleep(0.01)
        self.caller.close()
        self.key = key

    def change_proxy(self):
        """Connects to the next proxy whose /ready succeeds."""
        for step in range(1, len(self.cluster.proxies) + 1):
            number = (self.caller.proxy + step) % len(self.cluster.proxies)
            try:
                if self.cluster.proxies[number].is_ready():
                    self.caller.switch_proxy(number)
                    return
            except (OSError, http.client.HTTPException):
                continue


@contextlib.contextmanager
def clients(cluster, count=9):
    """Runs clients that write during the block; then checks that no write failed, was lost or was applied twice."""
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
