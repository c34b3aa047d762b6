"""Operators' commands, records and their spread, with and without the store.

Usage: test_control.py BUILD_FOLDER [SEED [CASE]...]
"""

import contextlib
import json
import os
import subprocess
import sys
import threading
import time

from callers import Caller
from cluster import OPERATOR_TOKEN, Cluster
from deployments import KAHEKSA, NORTESOFT
from processes import Connection, ask, wait_until
from verdicts import check, check_equal, run_cases

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 24000
PROXIES = 3
ROUNDS = 5


@contextlib.contextmanager
def start(deployment=NORTESOFT):
    """A cluster whose proxies have heard of each other's readable forms."""
    with Cluster(BUILD, BASE, deployment, proxies=PROXIES) as cluster:
        for proxy in cluster.proxies:
            wait_until(lambda proxy=proxy: knows_all_forms(proxy), f"{proxy.name} knows what all proxies read")
        yield cluster


def knows_all_forms(proxy):
    _, status = operate(proxy, "GET", "/v1/status")
    return len(status["proxies"]) == PROXIES and all(known["forms"] for known in status["proxies"])


def operate(proxy, method, path, body=None, token=OPERATOR_TOKEN, who="maire", **headers):
    """One request on the operators' address; returns (status, JSON body)."""
    fields = {"authorization": f"Bearer {token}", "x-operator": who}
    fields.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
    connection = Connection(proxy.operators)
    try:
        status, answer, _ = connection.ask(method, path, body, fields)
        return status, answer
    finally:
        connection.close()


def get(proxy, kind, name):
    return operate(proxy, "GET", f"/v1/records/{kind}/{name}")


def put(proxy, record, **headers):
    return operate(proxy, "PUT", f"/v1/records/{record['kind']}/{record['name']}", record, **headers)


def in_force(proxy, kind, name):
    """The record that is in force at the proxy, from its own list; None when there is none."""
    _, page = operate(proxy, "GET", f"/v1/records/{kind}")
    return next((item["record"] for item in page["records"] if item["record"]["name"] == name), None)


def revision(proxy):
    return operate(proxy, "GET", "/v1/status")[1]["revision"]


def stored(cluster, kind, name):
    """The object as the store holds it: (status, body)."""
    return ask(cluster.store.address, "GET", f"/v1/objects/{kind}/{name}")


def run_command(cluster, proxy, *arguments, who="maire"):
    """Runs a command of the program; returns (exit code, output, errors)."""
    program = os.path.join(cluster.build, "cardamomstep")
    access = ["--address", proxy.operators, "--token", OPERATOR_TOKEN, "--operator", who]
    done = subprocess.run([program, *arguments, *access], capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout, done.stderr


def write_file(cluster, name, record):
    path = os.path.join(cluster.folder, f"{name}.json")
    with open(path, "w") as file:
        json.dump(record, file)
    return path


def first_group(cluster, **changes):
    """The v1 record of the first group with changed fields of its spec."""
    record = cluster.records()[0]
    record["spec"].update(changes)
    return record


def write_all(cluster, value, proxy=0):
    """Writes one key of each group; returns the answers that failed."""
    caller = Caller(cluster, proxy)
    keys = [f"{cluster.deployment.prefix(group)}control" for group in cluster.deployment.groups]
    answers = [caller.write("put", key, {"value": value}, windowMs=5000) for key in keys]
    caller.close()
    return [answer for answer in answers if not answer.ok]


def wait_in_force(cluster, name, connections):
    for proxy in cluster.proxies:
        found = lambda proxy=proxy: in_force(proxy, "DatabaseGroup", name)["spec"]["connections"] == connections
        wait_until(found, f"{proxy.name} has {connections} connections of {name} in force")


# Cases


def one_of_two_operators_wins():
    with start() as cluster:
        for round_number in range(ROUNDS):
            _, current = stored(cluster, "DatabaseGroup", cluster.deployment.groups[0])
            results = [None, None]
            barrier = threading.Barrier(2)

            def apply(number, expected):
                record = first_group(cluster, connections=20 + 2 * round_number + number)
                file = write_file(cluster, f"race-{number}", record)
                barrier.wait()
                arguments = ["apply", "-f", file, "--expect", str(expected)]
                results[number] = run_command(cluster, cluster.proxies[number], *arguments, who=f"operator-{number}")

            threads = [threading.Thread(target=apply, args=(number, current["version"])) for number in (0, 1)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            check_equal(sorted(result[0] for result in results), [0, 3], f"exit codes of {results}")
            winner = [result[0] for result in results].index(0)
            _, now = stored(cluster, "DatabaseGroup", cluster.deployment.groups[0])
            check_equal(now["value"]["spec"]["connections"], 20 + 2 * round_number + winner, "the winner's record")
            check(str(now["version"]) in results[1 - winner][2], f"the loser is told {now['version']}: {results[1 - winner]}")


def lost_store_answer_is_no_failure():
    with start() as cluster:
        for connections in range(18, 18 + ROUNDS):
            cluster.store.faults(loseAnswers=1)
            file = write_file(cluster, "lost", first_group(cluster, connections=connections))
            code, output, errors = run_command(cluster, cluster.proxies[0], "apply", "-f", file, who="lost")
            check_equal(code, 0, f"exit code: {output} {errors}")
            _, now = stored(cluster, "DatabaseGroup", cluster.deployment.groups[0])
            check_equal(now["value"]["spec"]["connections"], connections, "the stored record")
            check(f"version {now['version']} " in output, f"told version {now['version']}: {output}")
        cluster.store.faults(loseAnswers=0)
        _, history = operate(cluster.proxies[0], "GET", "/v1/history?who=lost")
        versions = [entry["toVersion"] for entry in history["entries"]]
        check_equal((len(versions), len(set(versions))), (ROUNDS, ROUNDS), "each record was written once")


def accepted_record_outlives_the_store():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        for mode in ("503", "silent"):
            connections = 21 if mode == "503" else 22
            status, answer = put(cluster.proxies[1], first_group(cluster, connections=connections))
            cluster.store.faults(outage=mode)
            check_equal(status, 200, f"accepted: {answer}")
            wait_in_force(cluster, group, connections)
            for proxy in cluster.proxies:
                check(revision(proxy) >= answer["version"], f"{proxy.name} has revision {answer['version']}")
            for number in range(PROXIES):
                check_equal(write_all(cluster, number, number), [], "failed statements during the outage")
            victim = cluster.primary(group)
            victim.process.kill()
            caller = Caller(cluster, 2)
            key = f"{cluster.deployment.prefix(group)}control"
            wait_until(lambda: caller.write("put", key, {"value": mode}).ok, "writes come back without the store")
            check_equal(caller.read("get", key, windowMs=5000).value, mode, "the session's own write")
            victim.start()
            cluster.store.faults(outage="")
            wait_until(lambda: put(cluster.proxies[0], first_group(cluster, connections=30))[0] == 200, "the store is back")
            wait_until(lambda: len(cluster.replicas(group)) == 2, "the member is back")
            wait_in_force(cluster, group, 30)


def proxy_starts_without_the_store():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        status, answer = put(cluster.proxies[0], first_group(cluster, connections=23))
        check_equal(status, 200, f"accepted: {answer}")
        wait_in_force(cluster, group, 23)
        cluster.proxies[2].process.kill()
        cluster.store.faults(outage="silent")
        cluster.proxies[2].start()
        cluster.proxies[2].wait_until_ready()
        wait_until(lambda: revision(cluster.proxies[2]) >= answer["version"], "the new proxy has the revision")
        check_equal(in_force(cluster.proxies[2], "DatabaseGroup", group)["spec"]["connections"], 23, "its record")
        check_equal(write_all(cluster, 1, 2), [], "failed statements at the new proxy")


def proxy_that_starts_is_not_taken_for_an_old_release():
    """A change while a proxy starts is accepted, or refused with a time to come back."""
    with Cluster(BUILD, BASE, NORTESOFT, proxies=PROXIES) as cluster:
        for connections in range(18, 18 + ROUNDS):
            status, answer = put(cluster.proxies[0], first_group(cluster, connections=connections))
            check(status == 200 or "retryAfterMs" in answer, f"told as passing: {status} {answer}")


CASES = [
    one_of_two_operators_wins,
    lost_store_answer_is_no_failure,
    accepted_record_outlives_the_store,
    proxy_starts_without_the_store,
    proxy_that_starts_is_not_taken_for_an_old_release,
]

if __name__ == "__main__":
    chosen = sys.argv[3:]
    sys.exit(run_cases([case for case in CASES if not chosen or case.__name__ in chosen]))
