"""Tests that the stand-ins follow docs/design/member.md and docs/design/store-interface.md."""

import contextlib
import http.client
import sys
import tempfile
import threading

from processes import Connection, send_request, wait_until
from standins import DatabaseConnection, Member, Relay, Store, make_leader, wait_for_position
from verdicts import check, check_equal, run_cases

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
BASE = 21000
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


def address(number):
    return f"127.0.0.1:{BASE + number}"


@contextlib.contextmanager
def group(**options):
    """Runs three members."""
    with tempfile.TemporaryDirectory() as folder:
        members = [Member(BUILD, address(n), folder, f"group-{n}", f"domain-{n}", **options) for n in (1, 2, 3)]
        try:
            yield [member.start() for member in members]
        finally:
            for member in members:
                member.stop()


@contextlib.contextmanager
def store(*options):
    with tempfile.TemporaryDirectory() as folder:
        running = Store(BUILD, address(10), folder, options)
        try:
            yield running.start()
        finally:
            running.stop()


def put_object(name, value, version=None):
    headers = {} if version is None else {"if-match": str(version)}
    status, answer = send_request(address(10), "PUT", f"/v1/objects/Thing/{name}", value, headers)
    return status, answer["version"]


def replicates_to_followers():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        for count in range(20):
            connection.write("1.a", "append", "list", {"item": count}, f"r{count}")
        for member in (a, b, c):
            wait_for_position(member, "1.a/21")
            check_equal(member.rows(), {"list": list(range(20))}, member.name)


def stuck_replica_falls_behind_and_catches_up():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        wait_for_position(b, "1.a/1")
        wait_for_position(c, "1.a/1")
        b.faults(stuck=True)
        DatabaseConnection(a).write("1.a", "put", "k", {"value": 1}, "r1")
        wait_for_position(c, "1.a/2")
        check_equal(b.report()["log"], "1.a/1", "stuck replica")
        b.faults(stuck=False)
        wait_for_position(b, "1.a/2")


def refuses_lower_terms():
    with group() as (a, b, c):
        make_leader(a, [b, c], "2.a")
        connection = DatabaseConnection(a)
        check(not a.order("adopt", term="1.f"), "adopt of a lower term")
        check(not a.order("lead", term="1.f"), "lead of a lower term")
        check(not b.follow("1.f", c), "follow of a lower term")
        check_equal(connection.write("1.f", "put", "k", {"value": 1})["refusal"], "lower-term", "write")
        check_equal(connection.write("3.f", "put", "k", {"value": 1})["refusal"], "not-primary", "write of a higher term")
        check(a.order("adopt", term="3.b"), "adopt of a higher term")
        check_equal(a.report()["role"], "replica", "role after adopting")
        check_equal(connection.write("2.a", "put", "k", {"value": 1})["refusal"], "lower-term", "write after adopting")
        check_equal(connection.write("3.b", "put", "k", {"value": 1})["refusal"], "not-primary", "write at the new term")
        check_equal(a.rows(), {}, "rows")


def pull_of_higher_term_ends_leadership():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        check(b.order("adopt", term="2.b"), "adopt at b")
        wait_until(lambda: a.report()["adopted"] == "2.b", "a learns the term from b's pull")
        check_equal(a.report()["role"], "replica", "role of a")


def request_id_runs_once():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        first = connection.write("1.a", "add", "n", {"by": 5}, "r1", "7")
        second = connection.write("1.a", "add", "n", {"by": 5}, "r1", "7")
        check(second["repeated"], "the second is a repetition")
        check_equal((second["rows"], second["mark"]), (first["rows"], first["mark"]), "stored result")
        check_equal(connection.write("1.a", "add", "n", {"by": 6}, "r1", "8")["refusal"], "request-id-reused", "other body")
        check_equal(a.rows(), {"n": 5}, "rows")
        wait_for_position(b, "1.a/2")
        make_leader(b, [a, c], "2.b")
        check(DatabaseConnection(b).write("2.b", "add", "n", {"by": 5}, "r1", "7")["repeated"], "request id known after a promotion")
        outcome = b.outcome("r1")
        check_equal((outcome["found"], outcome["fingerprint"], outcome["mark"]), (True, "7", "1.a/2"), "outcome")
        check(not b.outcome("r2")["found"], "outcome of an unknown id")


def operation_none_closes_a_request_id():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        check_equal(connection.write("1.a", "none", "k", {}, "r1", "9")["mark"], "1.a/2", "entry without effect")
        check_equal(connection.write("1.a", "put", "k", {"value": 1}, "r1", "7")["refusal"], "request-id-reused", "write after the id was closed")
        check_equal(a.rows(), {}, "rows")


def diverged_tail_is_dropped():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        connection.write("1.a", "put", "kept", {"value": 1}, "r1")
        wait_for_position(b, "1.a/2")
        wait_for_position(c, "1.a/2")
        for member in (b, c):
            member.faults(cut=[a.name])
        for count in range(5):
            connection.write("1.a", "put", f"lost-{count}", {"value": 1}, f"lost-{count}")
        for member in (b, c):
            check(member.order("adopt", term="2.b"), "adopt")
        check(b.order("lead", term="2.b") and c.follow("2.b", b), "b leads")
        DatabaseConnection(b).write("2.b", "put", "new", {"value": 2}, "r2")
        check_equal(a.report()["log"], "1.a/7", "log of the cut-off primary")
        for member in (b, c):
            member.faults(cut=[])
        check(a.follow("2.b", b), "a follows")
        wait_for_position(a, "2.b/4")
        check_equal(a.rows(), {"kept": 1, "new": 2}, "rows of a")
        check(not a.outcome("lost-0")["found"], "request id of a dropped entry")


def transaction_is_one_entry():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        transaction = connection.call("begin", "1.a", needsPrimary=True)["transaction"]
        connection.write("1.a", "put", "x", {"value": 1}, transaction=transaction)
        connection.write("1.a", "add", "y", {"by": 2}, transaction=transaction)
        seen = connection.read("x", transaction=transaction)
        check_equal(seen["rows"], [{"key": "x", "value": 1}], "own write in the transaction")
        other = DatabaseConnection(a)
        check_equal(other.read("x")["rows"], [], "rows seen outside before the commit")
        check_equal(other.read("x", transaction=transaction)["refusal"], "transaction-unknown", "another connection")
        check_equal(connection.read("x")["refusal"], "transaction-unknown", "statement outside on the same connection")
        committed = connection.call("commit", "1.a", write=True, transaction=transaction, requestId="t1", fingerprint="3")
        check_equal(committed["mark"], "1.a/2", "mark of the commit")
        again = other.call("commit", "1.a", write=True, transaction=transaction, requestId="t1", fingerprint="3")
        check(again["repeated"], "commit sent again")
        check_equal(a.rows(), {"x": 1, "y": 2}, "rows")


def transaction_ends_with_connection_and_term():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        transaction = connection.call("begin", "1.a", needsPrimary=True)["transaction"]
        connection.write("1.a", "put", "x", {"value": 1}, transaction=transaction)
        connection.close()
        wait_until(lambda: a.state()["openTransactions"] == 0, "rollback")
        connection = DatabaseConnection(a)
        transaction = connection.call("begin", "1.a", needsPrimary=True)["transaction"]
        check(a.order("adopt", term="2.a") and a.order("lead", term="2.a"), "new term")
        refused = connection.call("commit", "2.a", write=True, transaction=transaction, requestId="t1", fingerprint="3")
        check_equal(refused["refusal"], "transaction-unknown", "commit after a new term")
        check_equal(a.rows(), {}, "rows")


def conflicting_commit_is_refused():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connection = DatabaseConnection(a)
        transaction = connection.call("begin", "1.a", needsPrimary=True)["transaction"]
        connection.read("n", transaction=transaction)
        connection.write("1.a", "put", "n", {"value": 1}, transaction=transaction)
        DatabaseConnection(a).write("1.a", "put", "n", {"value": 2}, "r1")
        refused = connection.call("commit", "1.a", write=True, transaction=transaction, requestId="t1", fingerprint="3")
        check_equal(refused["refusal"], "statement-failed", "commit")
        check_equal(a.rows(), {"n": 2}, "rows")


def connections_are_limited():
    with group(connections=2) as (a, b, c):
        first, second, third = (DatabaseConnection(a) for _ in range(3))
        check_equal((first.status, second.status, third.status), (200, 200, 429), "status of three opens")
        first.close()
        wait_until(lambda: a.state()["connections"] == 1, "release")
        check_equal(DatabaseConnection(a).status, 200, "open after a release")
        check_equal(a.state()["mostConnections"], 2, "highest number of connections")


def slots_are_limited():
    with group(slots=2, service_us=30000) as (a, b, c):
        make_leader(a, [b, c], "1.a")
        connections = [DatabaseConnection(a) for _ in range(6)]
        threads = [threading.Thread(target=connection.read, args=("k",)) for connection in connections]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        state = a.state()
        check_equal(state["mostSlots"], 2, "highest number of slots in use")
        check(state["mostWaitingForSlots"] > 0, "waiting statements were counted")


def silent_connections_stay_silent():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        old = DatabaseConnection(a, timeout=1)
        a.faults(silentOpen=True)
        try:
            old.read("k")
            check(False, "an answer on a silent connection")
        except TimeoutError:
            pass
        check_equal(DatabaseConnection(a).read("k")["rowCount"], 0, "read on a new connection")


def answer_faults_are_injected():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        a.faults(loseAnswers=1)
        try:
            DatabaseConnection(a).write("1.a", "put", "k", {"value": [1]}, "r1")
            check(False, "an answer that should be lost")
        except CONNECTION_ERRORS:
            check_equal(a.rows(), {"k": [1]}, "the lost change took effect")
        a.faults(truncateAnswers=1)
        try:
            DatabaseConnection(a).read("k")
            check(False, "a whole answer that should be truncated")
        except CONNECTION_ERRORS:
            pass
        a.faults(swapAnswers=1)
        check(DatabaseConnection(a).read("k")["exchange"].startswith("another-"), "swapped exchange")
        a.faults(dropRows=1)
        dropped = DatabaseConnection(a).read("k")
        check_equal((dropped["rows"], dropped["rowCount"]), ([], 1), "missing row")
        a.faults(duplicateAnswers=1)
        check_equal(DatabaseConnection(a).read("k")["rowCount"], 1, "duplicated answer")


def cut_and_freeze():
    with group() as (a, b, c):
        a.faults(cut=["proxy-1"])
        try:
            send_request(a.address, "GET", "/v1/report", sender="proxy-1/domain-1")
            check(False, "an answer to a cut instance")
        except CONNECTION_ERRORS:
            pass
        check_equal(send_request(a.address, "GET", "/v1/report", sender="proxy-2/domain-1")[0], 200, "another instance")
        a.faults(freeze=True)
        try:
            send_request(a.address, "GET", "/v1/report", timeout=1)
            check(False, "an answer while frozen")
        except TimeoutError:
            pass
        a.faults(freeze=False)
        check_equal(send_request(a.address, "GET", "/v1/report")[0], 200, "after the freeze")


def state_survives_a_kill():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        DatabaseConnection(a).write("1.a", "add", "n", {"by": 5}, "r1", "7")
        wait_for_position(b, "1.a/2")
        a.process.kill()
        a.start()
        check_equal(a.report(), {"member": a.name, "role": "replica", "adopted": "1.a", "log": "1.a/2", "leaving": False}, "report")
        check(a.outcome("r1")["found"], "request id")
        check_equal(a.rows(), {"n": 5}, "rows")
        make_leader(a, [b, c], "2.a")
        wait_for_position(b, "2.a/3")


def report_waits_for_a_change():
    with group() as (a, b, c):
        make_leader(a, [b, c], "1.a")
        seen = {}

        def wait():
            path = "/v1/report?afterTerm=1.a&afterMark=1.a/1&afterRole=primary&afterLeaving=false&waitMs=30000"
            seen.update(send_request(a.address, "GET", path)[1])

        thread = threading.Thread(target=wait)
        thread.start()
        DatabaseConnection(a).write("1.a", "put", "k", {"value": 1}, "r1")
        thread.join()
        check_equal(seen["log"], "1.a/2", "mark")
        a.faults(leaving=True)
        check(a.report()["leaving"], "leaving")


def store_updates_on_condition():
    with store() as _:
        check_equal(put_object("a", {"n": 1}, 0), (200, 1), "create")
        check_equal(put_object("a", {"n": 2}, 0), (412, 1), "create again")
        check_equal(put_object("b", {"n": 1}), (200, 2), "unconditional")
        check_equal(put_object("a", {"n": 2}, 1), (200, 3), "update")
        check_equal(put_object("c", {"n": 1}, 1), (412, 0), "update of nothing")
        check_equal(send_request(address(10), "GET", "/v1/objects/Thing/a")[1]["value"], {"n": 2}, "value")
        check_equal(send_request(address(10), "DELETE", "/v1/objects/Thing/a", headers={"if-match": "1"})[0], 412, "delete of an old version")
        check_equal(send_request(address(10), "DELETE", "/v1/objects/Thing/a", headers={"if-match": "3"})[1]["version"], 4, "delete")
        check_equal(send_request(address(10), "GET", "/v1/objects/Thing/a")[0], 404, "deleted")
        listed = send_request(address(10), "GET", "/v1/objects")[1]
        check_equal((listed["revision"], [o["name"] for o in listed["objects"]]), (4, ["b"]), "list")
        check_equal(send_request(address(10), "PUT", "/v1/objects/Thing/big", '"' + "x" * (1 << 20) + '"')[0], 413, "large value")


def store_watch_waits_and_drops_history():
    with store() as _:
        seen = {}

        def watch():
            seen.update(send_request(address(10), "GET", "/v1/watch?after=0&waitMs=30000")[1])

        thread = threading.Thread(target=watch)
        thread.start()
        put_object("a", {"n": 1})
        thread.join()
        check_equal([(e["name"], e["version"]) for e in seen["events"]], [("a", 1)], "events")
        put_object("a", {"n": 2})
        send_request(address(10), "DELETE", "/v1/objects/Thing/a")
        later = send_request(address(10), "GET", "/v1/watch?after=1&waitMs=0")[1]
        check_equal([e.get("deleted", False) for e in later["events"]], [False, True], "change and deletion")
        send_request(address(10), "POST", "/control/forget", {})
        check_equal(send_request(address(10), "GET", "/v1/watch?after=1&waitMs=0")[0], 410, "too old")


def store_loses_answers_and_has_outages():
    with store() as running:
        running.faults(loseAnswers=1)
        try:
            put_object("a", {"n": 1}, 0)
            check(False, "an answer that should be lost")
        except CONNECTION_ERRORS:
            check_equal(put_object("a", {"n": 1}, 0), (412, 1), "the lost change took effect")
        running.faults(outage="503")
        check_equal(send_request(address(10), "GET", "/v1/objects")[0], 503, "refusing outage")
        running.faults(outage="silent")
        try:
            send_request(address(10), "GET", "/v1/objects", timeout=1)
            check(False, "an answer in a silent outage")
        except TimeoutError:
            pass
        running.faults(outage="")
        check_equal(send_request(address(10), "GET", "/v1/objects")[0], 200, "after the outage")


def store_limits_rates_and_counts():
    with store("--writes-per-second", "5") as running:
        connection = Connection(address(10))
        statuses = [connection.send_request("PUT", "/v1/objects/Thing/a", "1")[0] for _ in range(100)]
        check(429 in statuses, "a write above the rate")
        writes = running.state()["writes"]
        check_equal((writes["total"], writes["refused"]), (100, statuses.count(429)), "counts")


def instance_list_lags():
    with store() as running:
        running.set_instances([{"name": "p1", "domain": "d", "address": "127.0.0.1:1", "state": "live"}])
        running.faults(lagMs=600000)
        running.set_instances([])
        check_equal(len(send_request(address(10), "GET", "/v1/instances")[1]["instances"]), 1, "length of the outdated list")


def relay_forwards_cuts_and_silences():
    with store() as target, tempfile.TemporaryDirectory() as folder:
        relay = Relay(BUILD, address(11), address(12), target.address, folder, "relay")
        try:
            relay.start()
            relay.faults(delayMs=2, jitterMs=1)
            old = Connection(relay.address, timeout=1)
            check_equal(old.send_request("GET", "/v1/objects")[0], 200, "through the relay")
            relay.faults(silentOpen=True)
            try:
                old.send_request("GET", "/v1/objects")
                check(False, "an answer on a silent connection")
            except TimeoutError:
                pass
            check_equal(send_request(relay.address, "GET", "/v1/objects")[0], 200, "on a new connection")
            relay.faults(cut=True)
            try:
                send_request(relay.address, "GET", "/v1/objects")
                check(False, "an answer through a cut relay")
            except CONNECTION_ERRORS:
                pass
            relay.faults(cut=False)
            check_equal(send_request(relay.address, "GET", "/v1/objects")[0], 200, "after the cut")
        finally:
            relay.stop()


CASES = [
    replicates_to_followers,
    stuck_replica_falls_behind_and_catches_up,
    refuses_lower_terms,
    pull_of_higher_term_ends_leadership,
    request_id_runs_once,
    operation_none_closes_a_request_id,
    diverged_tail_is_dropped,
    transaction_is_one_entry,
    transaction_ends_with_connection_and_term,
    conflicting_commit_is_refused,
    connections_are_limited,
    slots_are_limited,
    silent_connections_stay_silent,
    answer_faults_are_injected,
    cut_and_freeze,
    state_survives_a_kill,
    report_waits_for_a_change,
    store_updates_on_condition,
    store_watch_waits_and_drops_history,
    store_loses_answers_and_has_outages,
    store_limits_rates_and_counts,
    instance_list_lags,
    relay_forwards_cuts_and_silences,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
