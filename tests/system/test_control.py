"""Operators' commands, and records and their distribution to the proxies, with and without the store.

Usage: test_control.py BUILD_FOLDER [SEED [CASE]...]
"""

import contextlib
import http.client
import json
import os
import subprocess
import sys
import threading
import time

from callers import Caller
from cluster import OPERATOR_TOKEN, Cluster
from deployments import NORTESOFT
from processes import Connection, send_request, wait_until
from verdicts import check, check_equal, run_cases

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 24000
PROXIES = 3
ROUNDS = 5


@contextlib.contextmanager
def start(deployment=NORTESOFT):
    """Runs a cluster whose proxies have each accepted a change and have each other's addresses as seeds."""
    seeds = [
        {"name": f"proxy-{number + 1}", "failureDomain": deployment.domains[number], "address": f"127.0.0.1:{BASE + 30 + number}"}
        for number in range(PROXIES)
    ]
    with Cluster(BUILD, BASE, deployment, proxies=PROXIES, settings={"seeds": seeds}) as cluster:
        for proxy in cluster.proxies:
            wait_until(lambda proxy=proxy: knows_all_forms(proxy), f"{proxy.name} knows the record forms that each proxy reads")
            spec = {"service": f"warm-{proxy.name}", "groups": list(deployment.groups)}
            intent = {"kind": "RoutingIntent", "name": f"warm-{proxy.name}", "schema": "v1", "spec": spec}
            wait_until(lambda proxy=proxy, intent=intent: put(proxy, intent, who="warm")[0] == 200, f"{proxy.name} accepts")
        yield cluster


def knows_all_forms(proxy):
    _, status = operator_request(proxy, "GET", "/v1/status")
    return len(status["proxies"]) == PROXIES and all(known["forms"] for known in status["proxies"])


def operator_request(proxy, method, path, body=None, token=OPERATOR_TOKEN, who="maire", **headers):
    """Sends one request to the operators' address; returns (status, JSON body)."""
    fields = {"authorization": f"Bearer {token}", "x-operator": who}
    fields.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
    connection = Connection(proxy.operators)
    try:
        status, answer, _ = connection.send_request(method, path, body, fields)
        return status, answer
    finally:
        connection.close()


def get(proxy, kind, name):
    return operator_request(proxy, "GET", f"/v1/records/{kind}/{name}")


def put(proxy, record, **headers):
    return operator_request(proxy, "PUT", f"/v1/records/{record['kind']}/{record['name']}", record, **headers)


def in_force(proxy, kind, name):
    """Returns the record that is in force at the proxy, from the proxy's own list; None when there is none."""
    _, page = operator_request(proxy, "GET", f"/v1/records/{kind}")
    return next((item["record"] for item in page["records"] if item["record"]["name"] == name), None)


def revision(proxy):
    return operator_request(proxy, "GET", "/v1/status")[1]["revision"]


def stored(cluster, kind, name):
    """Returns the object in the store as (status, body)."""
    return send_request(cluster.store.address, "GET", f"/v1/objects/{kind}/{name}")


def run_command(cluster, proxy, *arguments, who="maire"):
    """Runs a command of the program; returns (exit code, standard output, standard error)."""
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
    """Returns the v1 record of the first group with `changes` applied to its spec."""
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


def one_of_two_concurrent_changes_is_accepted():
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
            check(str(now["version"]) in results[1 - winner][2], f"the loser's error states version {now['version']}: {results[1 - winner]}")


def change_succeeds_although_the_store_reply_is_lost():
    with start() as cluster:
        for connections in range(18, 18 + ROUNDS):
            cluster.store.faults(loseAnswers=1)
            file = write_file(cluster, "lost", first_group(cluster, connections=connections))
            code, output, errors = run_command(cluster, cluster.proxies[0], "apply", "-f", file, who="lost")
            check_equal(code, 0, f"exit code: {output} {errors}")
            _, now = stored(cluster, "DatabaseGroup", cluster.deployment.groups[0])
            check_equal(now["value"]["spec"]["connections"], connections, "the stored record")
            check(f"version {now['version']} " in output, f"the output states version {now['version']}: {output}")
        cluster.store.faults(loseAnswers=0)
        _, history = operator_request(cluster.proxies[0], "GET", "/v1/history?who=lost")
        versions = [entry["toVersion"] for entry in history["entries"]]
        check_equal((len(versions), len(set(versions))), (ROUNDS, ROUNDS), "each record was written once")


def accepted_record_stays_in_force_without_the_store():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        for mode in ("503", "silent"):
            connections = 21 if mode == "503" else 22
            status, answer = put(cluster.proxies[1], first_group(cluster, connections=connections))
            cluster.store.faults(outage=mode)
            check_equal(status, 200, f"accepted: {answer}")
            wait_in_force(cluster, group, connections)
            for number in range(PROXIES):
                check_equal(write_all(cluster, number, number), [], "failed statements during the outage")
            victim = cluster.primary(group)
            victim.process.kill()
            caller = Caller(cluster, 2)
            key = f"{cluster.deployment.prefix(group)}control"
            wait_until(lambda: caller.write("put", key, {"value": mode}).ok, "writes succeed again without the store")
            check_equal(caller.read("get", key, windowMs=5000).value, mode, "the session's own write")
            victim.start()
            cluster.store.faults(outage="")
            wait_until(lambda: put(cluster.proxies[0], first_group(cluster, connections=30))[0] == 200, "the store accepts changes again")
            wait_until(lambda: len(cluster.replicas(group)) == 2, "the member has rejoined")
            wait_in_force(cluster, group, 30)
            for proxy in cluster.proxies:
                wait_until(lambda proxy=proxy: revision(proxy) >= answer["version"], f"{proxy.name} has all revisions again")


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
        check_equal(in_force(cluster.proxies[2], "DatabaseGroup", group)["spec"]["connections"], 23, "record of the restarted proxy")
        check_equal(write_all(cluster, 1, 2), [], "failed statements at the restarted proxy")


def configuration_never_reverts():
    """A proxy that restarts while the store is slow or unavailable must not bring back replaced or deleted records."""
    with start() as cluster:
        group = cluster.deployment.groups[0]
        stopping = threading.Event()
        regressions = []
        expected_state = {"connections": 16, "deleted": False}

        def watch(proxy):
            highest_seen = 0
            while not stopping.is_set():
                try:
                    lowest_allowed, spare_deleted, ready = expected_state["connections"], expected_state["deleted"], proxy.is_ready()
                    seen = revision(proxy)
                    record = in_force(proxy, "DatabaseGroup", group)
                    spare = in_force(proxy, "DatabaseGroup", "spare")
                    if not (ready and proxy.is_ready()):
                        continue
                except (OSError, http.client.HTTPException, KeyError):
                    continue
                if seen < highest_seen:
                    regressions.append(f"{proxy.name}: revision {seen} after {highest_seen}")
                if record["spec"]["connections"] < lowest_allowed or (spare_deleted and spare):
                    regressions.append(f"{proxy.name}: {record['spec']['connections']} after {lowest_allowed}, spare {spare}")
                highest_seen = max(highest_seen, seen)

        watchers = [threading.Thread(target=watch, args=(proxy,)) for proxy in cluster.proxies]
        spare = {**first_group(cluster), "name": "spare"}
        spare["spec"]["members"] = [{"name": "spare-a", "failureDomain": "norte-bio", "address": "127.0.0.1:9"}]
        check_equal(put(cluster.proxies[0], spare)[0], 200, "the spare group")
        for watcher in watchers:
            watcher.start()
        try:
            for connections in (17, 18, 19):
                check_equal(put(cluster.proxies[0], first_group(cluster, connections=connections))[0], 200, "a newer record")
                wait_in_force(cluster, group, connections)
                expected_state["connections"] = connections
            check_equal(operator_request(cluster.proxies[1], "DELETE", "/v1/records/DatabaseGroup/spare")[0], 200, "the deletion")
            for proxy in cluster.proxies:
                wait_until(lambda proxy=proxy: in_force(proxy, "DatabaseGroup", "spare") is None, f"{proxy.name} applied the deletion")
            expected_state["deleted"] = True
            for mode in ("", "503"):
                cluster.store.faults(slowMs=300, outage=mode)
                victim = cluster.proxies[2]
                victim.process.kill()
                victim.start()
                victim.wait_until_ready()
                cluster.store.faults(slowMs=0, outage="")
            time.sleep(1)
        finally:
            stopping.set()
            for watcher in watchers:
                watcher.join()
        check_equal(regressions[:3], [], "regressions of the configuration")


def both_schemas_and_unknown_fields():
    with start() as cluster:
        v1 = first_group(cluster, connections=24, laterField={"deep": [1, 2]})
        code, _, errors = run_command(cluster, cluster.proxies[0], "apply", "-f", write_file(cluster, "v1", v1))
        check_equal(code, 0, errors)
        check("laterField" in errors, f"the unknown field is named: {errors}")
        v2 = cluster.records()[1]
        capacity = {name: v2["spec"].pop(name) for name in ("connections", "slots", "serviceTimeMs")}
        v2["schema"], v2["spec"]["capacity"] = "v2", {**capacity, "connections": 25, "laterLimit": 7}
        code, _, errors = run_command(cluster, cluster.proxies[1], "apply", "-f", write_file(cluster, "v2", v2))
        check_equal(code, 0, errors)
        for record in (v1, v2):
            name = record["name"]
            code, text, errors = run_command(cluster, cluster.proxies[2], "get", "DatabaseGroup", name, "-o", "record")
            check_equal(code, 0, errors)
            shown = json.loads(text)
            check_equal(shown["schema"], record["schema"], f"schema of {name}")
            limits = shown["spec"] if record["schema"] == "v1" else shown["spec"]["capacity"]
            limits["connections"] = 26
            file = write_file(cluster, "again", shown)
            code, _, errors = run_command(cluster, cluster.proxies[2], "apply", "-f", file)
            check_equal(code, 0, errors)
            kept = stored(cluster, "DatabaseGroup", name)[1]["value"]
            check_equal(kept["schema"], record["schema"], f"stored schema of {name}")
            later = kept["spec"].get("laterField", kept["spec"].get("capacity", {}).get("laterLimit"))
            check_equal(later, 7 if record["schema"] == "v2" else {"deep": [1, 2]}, f"unknown field of {name}")
            limits = kept["spec"] if record["schema"] == "v1" else kept["spec"]["capacity"]
            check_equal(limits["connections"], 26, f"rewritten field of {name}")
        check_equal(write_all(cluster, 1), [], "failed statements with both schemas in force")


def history_records_who_changed_what():
    with start() as cluster:
        group = cluster.deployment.groups[0]
        status, answer = put(cluster.proxies[0], first_group(cluster, connections=27), who="ander")
        check_equal(status, 200, answer)
        _, history = operator_request(cluster.proxies[1], "GET", f"/v1/history?kind=DatabaseGroup&name={group}")
        entry = history["entries"][0]
        check_equal((entry["who"], entry["toVersion"]), ("ander", answer["version"]), "who and version")
        fields = [change["field"] for change in entry["changes"]]
        check_equal(fields, ["spec.connections"], "changed fields")
        check_equal([entry["changes"][0][side] for side in ("before", "after")], [16, 27], "values")
        victim = cluster.primary(group)
        victim.process.kill()
        wait_until(lambda: not write_all(cluster, 1), "writes succeed again")
        found = wait_until(lambda: promotion_entry(cluster, group, victim), "the promotion is in the history")
        check(found["who"].startswith("system:proxy-"), f"author of the change: {found}")
        primary = cluster.primary(group).name
        status = wait_until(lambda: group_status(cluster, group, primary), f"GroupStatus names {primary}")
        check(status["schema"] in ("v1", "v2"), status)


def promotion_entry(cluster, group, previous):
    """Returns the history entry of the promotion that replaced `previous`; None when there is none yet."""
    _, history = operator_request(cluster.proxies[0], "GET", f"/v1/history?kind=GroupStatus&name={group}")
    for entry in history["entries"]:
        fields = {change["field"]: change for change in entry["changes"]}
        if fields.get("spec.primary", {}).get("before") in (previous.name, f'"{previous.name}"'):
            return entry
    return None


def group_status(cluster, group, primary):
    status, answer = get(cluster.proxies[0], "GroupStatus", group)
    return answer["record"] if status == 200 and primary in json.dumps(answer["record"]["spec"]) else None


def refused_changes_write_nothing():
    with start() as cluster:
        proxy = cluster.proxies[0]
        record = first_group(cluster, connections=28)
        path = f"/v1/records/DatabaseGroup/{record['name']}"
        before = stored(cluster, "DatabaseGroup", record["name"])
        wrong = [
            ("unauthorized", operator_request(proxy, "PUT", path, record, token="wrong-token-of-the-tests")),
            ("not-found", operator_request(proxy, "PUT", "/v1/records/Unheard/x", record)),
            ("too-large", operator_request(proxy, "PUT", path, {**record, "spec": {"padding": "x" * (2 << 20)}})),
            ("invalid-record", put(proxy, first_group(cluster, slots=-1))),
            ("invalid-record", operator_request(proxy, "PUT", path, "{not json")),
            ("malformed-request", operator_request(proxy, "PUT", "/v1/records/DatabaseGroup/other", record)),
            ("unsupported-version", put(proxy, {**record, "schema": "v9"})),
        ]
        for expected, (status, answer) in wrong:
            check_equal((isinstance(answer, dict) and answer.get("error"), status >= 400), (expected, True), f"{answer}")
        check_equal(stored(cluster, "DatabaseGroup", record["name"]), before, "the stored record")
        for kind, name in (("Unheard", "x"), ("DatabaseGroup", "other")):
            check_equal(stored(cluster, kind, name)[0], 404, f"{kind}/{name} in the store")
        _, history = operator_request(proxy, "GET", "/v1/history?who=maire")
        check_equal(history["entries"], [], "entries of refused changes")


def change_while_a_proxy_starts_is_accepted_or_refused_temporarily():
    """A change while a proxy starts is accepted, or refused with a retry-after: the starting proxy must not be taken for an old release."""
    with Cluster(BUILD, BASE, NORTESOFT, proxies=PROXIES) as cluster:
        for connections in range(18, 18 + ROUNDS):
            status, answer = put(cluster.proxies[0], first_group(cluster, connections=connections))
            check(status == 200 or "retryAfterMs" in answer, f"accepted or refused as temporary: {status} {answer}")


CASES = [
    one_of_two_concurrent_changes_is_accepted,
    change_succeeds_although_the_store_reply_is_lost,
    accepted_record_stays_in_force_without_the_store,
    proxy_starts_without_the_store,
    configuration_never_reverts,
    both_schemas_and_unknown_fields,
    history_records_who_changed_what,
    refused_changes_write_nothing,
    change_while_a_proxy_starts_is_accepted_or_refused_temporarily,
]

if __name__ == "__main__":
    chosen = sys.argv[3:]
    sys.exit(run_cases([case for case in CASES if not chosen or case.__name__ in chosen]))
