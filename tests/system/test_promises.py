"""Single guarantees, each tested on a whole deployment under the failure that could break it."""

import contextlib
import dataclasses
import sys
import threading
import time

from callers import Caller
from cluster import Cluster
from deployments import KAHEKSA
from processes import wait_until
from verdicts import check, check_equal, run_cases

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
BASE = 24000
GROUP = KAHEKSA.groups[0]
KEY = f"{GROUP}/h/0"
READ_SECONDS = 1.0
# Time window of a write while replication is stopped.
UNCONFIRMED_WINDOW_MS = 3000
# One connection for each owner of a group.
ONE_CONNECTION_PER_OWNER = 3
LONG_WINDOW_MS = 5000
SHORT_WINDOW_MS = 1000


def deployment():
    return Cluster(BUILD, BASE, KAHEKSA)


@contextlib.contextmanager
def replication_stopped(cluster):
    """Stops replication to all replicas of the group during the block."""
    replicas = cluster.replicas(GROUP)
    for replica in replicas:
        replica.faults(stuck=True)
    yield replicas
    for replica in replicas:
        replica.faults(stuck=False)


def final_items(cluster):
    wait_until(lambda: cluster.probe(GROUP), "the group accepts writes")
    return cluster.final_rows(GROUP).get(KEY, [])


def session_sees_its_writes_through_every_proxy():
    with deployment() as cluster:
        for replica in cluster.replicas(GROUP):
            replica.faults(lagMs=100)
        caller = Caller(cluster)
        for number in range(len(cluster.proxies)):
            caller.switch_proxy(number)
            item = f"i{number}"
            check(caller.write("append", KEY, {"item": item}, requestId=item).ok, f"write of {item}")
            caller.switch_proxy(number + 1)
            answer = caller.read("get", KEY)
            check(answer.ok and item in answer.value, f"read of {item} through another proxy: {answer}")


def request_with_a_lost_answer_runs_once():
    with deployment() as cluster:
        cluster.primary(GROUP).faults(loseAnswers=1)
        caller = Caller(cluster)
        first = caller.write("append", KEY, {"item": "i1"}, requestId="i1")
        check(first.ran in ("yes", "unknown"), f"answer: {first}")
        caller.switch_proxy(1)
        again = wait_until(lambda: send_again(caller), "the request is answered when sent again")
        check_equal(again.body["requestId"], "i1", "request id")
        check_equal(final_items(cluster), ["i1"], "items")


def send_again(caller):
    answer = caller.write("append", KEY, {"item": "i1"}, requestId="i1")
    return answer if answer.ok else None


def reused_request_id_is_refused():
    with deployment() as cluster:
        caller = Caller(cluster)
        check(caller.write("append", KEY, {"item": "i1"}, requestId="r").ok, "first write")
        caller.switch_proxy(1)
        other = caller.write("append", KEY, {"item": "i2"}, requestId="r")
        check_equal((other.status, other.error, other.ran), (409, "request-id-reused", "no"), "other body")
        check_equal(final_items(cluster), ["i1"], "items")


def damaged_token_is_refused():
    with deployment() as cluster:
        caller = Caller(cluster)
        check(caller.write("append", KEY, {"item": "i1"}, requestId="i1").ok, "write")
        caller.session = caller.session[:-1] + ("0" if caller.session[-1] != "0" else "1")
        answer = caller.read("get", KEY)
        check_equal((answer.status, answer.error), (400, "invalid-token"), "read with a damaged token")


def items_that_were_read_survive_a_failover():
    with deployment() as cluster:
        writer, reader = Caller(cluster, 0), Caller(cluster, 1)
        check(writer.write("append", KEY, {"item": "i0"}, requestId="i0").ok, "first write")
        primary = cluster.primary(GROUP)
        seen = set()
        with replication_stopped(cluster):
            writing = threading.Thread(target=writer.write, args=("append", KEY, {"item": "i1"}), kwargs={"requestId": "i1", "windowMs": 300})
            writing.start()
            end = time.monotonic() + READ_SECONDS
            while time.monotonic() < end:
                answer = reader.read("get", KEY, windowMs=200)
                seen.update(answer.value or [] if answer.ok else [])
            primary.process.kill()
            writing.join()
        missing = seen - set(final_items(cluster))
        check_equal(missing, set(), "items that were read and are missing at the end")


def new_primary_acknowledges_only_writes_on_a_majority():
    with deployment() as cluster:
        caller = Caller(cluster, 0)
        check(caller.write("append", KEY, {"item": "i0"}, requestId="i0").ok, "first write")
        primary = cluster.primary(GROUP)
        answers = []
        with replication_stopped(cluster) as replicas:
            more = {"requestId": "i1", "windowMs": UNCONFIRMED_WINDOW_MS}
            writing = threading.Thread(target=lambda: answers.append(caller.write("append", KEY, {"item": "i1"}, **more)))
            writing.start()
            wait_until(lambda: "i1" in primary.rows().get(KEY, []), "the write reaches the primary")
            for member in [primary, *replicas]:
                member.order("adopt", term="50.1")
            primary.order("lead", term="50.1")
            time.sleep(0.1)
            primary.process.kill()
        writing.join()
        items = final_items(cluster)
        check(answers[0].ran != "yes" or "i1" in items, f"acknowledged, but missing at the end: {answers[0]}")
        check(answers[0].ran != "no" or "i1" not in items, f"reported as not run, but present: {answers[0]}")


@contextlib.contextmanager
def transaction_and_waiting_write():
    """Opens a transaction on its owner's only connection to the primary, and sends a write that waits for that connection."""
    with Cluster(BUILD, BASE, dataclasses.replace(KAHEKSA, connections=ONE_CONNECTION_PER_OWNER)) as cluster:
        caller, other = Caller(cluster), Caller(cluster)
        begun = caller.begin(KEY, windowMs=LONG_WINDOW_MS)
        check(begun.ok, f"begin: {begun}")
        answers = []
        more = {"requestId": "waiting", "windowMs": LONG_WINDOW_MS}
        writing = threading.Thread(target=lambda: answers.append(other.write("append", f"{GROUP}/h/1", {"item": "waiting"}, **more)))
        writing.start()
        time.sleep(0.3)
        yield caller, begun.transaction
        writing.join()
        check(answers[0].ok, f"the write that waited: {answers[0]}")


def transaction_continues_while_a_write_waits_for_its_connection():
    with transaction_and_waiting_write() as (caller, transaction):
        inside = caller.write("append", KEY, {"item": "i1"}, transaction=transaction, windowMs=SHORT_WINDOW_MS)
        check(inside.ok, f"statement in the transaction: {inside}")
        check(caller.commit(transaction, "c1", windowMs=SHORT_WINDOW_MS).ok, "commit")


def abandoned_transaction_is_ended_for_a_waiting_write():
    with transaction_and_waiting_write() as (caller, _):
        caller.close()


CASES = [
    session_sees_its_writes_through_every_proxy,
    request_with_a_lost_answer_runs_once,
    reused_request_id_is_refused,
    damaged_token_is_refused,
    items_that_were_read_survive_a_failover,
    new_primary_acknowledges_only_writes_on_a_majority,
    transaction_continues_while_a_write_waits_for_its_connection,
    abandoned_transaction_is_ended_for_a_waiting_write,
]

if __name__ == "__main__":
    chosen = sys.argv[2:]
    sys.exit(run_cases([case for case in CASES if not chosen or case.__name__ in chosen]))
