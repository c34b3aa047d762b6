"""Successive failovers under load: the first write after each kill of a primary is acknowledged within its window.

Usage: test_failover.py BUILD_FOLDER [SEED [CASE]...]
"""

import sys
import threading
import time

from callers import Caller
from cluster import Cluster
from deployments import KAHEKSA, NORTESOFT
from processes import wait_until
from verdicts import check_equal, run_cases
from workload import Workload

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 23000
FAILOVERS = 9
WRITERS = 6
LOAD_BEFORE_KILL_SECONDS = 0.2
WINDOW_MS = 10000


class Writer(threading.Thread):
    """Writes to one group continuously, so that some write is in flight whenever a primary is killed."""

    def __init__(self, cluster, group, number):
        super().__init__(daemon=True)
        self.caller = Caller(cluster, number)
        self.key = f"{cluster.deployment.prefix(group)}writer-{number}"
        self.stopping = threading.Event()
        self.refused = []

    def run(self):
        while not self.stopping.is_set():
            answer = self.caller.write("put", self.key, {"value": 1}, windowMs=WINDOW_MS)
            if not answer.ok:
                self.refused.append(answer)


def with_writers(cluster, group, action):
    """Runs `action` while writers write to the group; each of their writes must be acknowledged. Returns the result of `action`."""
    writers = [Writer(cluster, group, number) for number in range(WRITERS)]
    for writer in writers:
        writer.start()
    result = action()
    for writer in writers:
        writer.stopping.set()
    for writer in writers:
        writer.join()
    check_equal([answer for writer in writers for answer in writer.refused], [], f"writes to {group} that were not acknowledged")
    return result


def fail_over(cluster, number):
    """Kills a primary and sends a write; returns the time in ms until the write was acknowledged."""
    group = cluster.deployment.groups[number % len(cluster.deployment.groups)]
    primary = wait_until(lambda: cluster.primary(group), f"{group} has a primary")
    caller = Caller(cluster, number)
    key = f"{cluster.deployment.prefix(group)}gap"
    wait_until(lambda: caller.write("put", key, {"value": number}).ok, f"{group} accepts writes")
    return with_writers(cluster, group, lambda: kill_and_write(cluster, primary, caller, key, number))


def kill_and_write(cluster, primary, caller, key, number):
    time.sleep(LOAD_BEFORE_KILL_SECONDS)
    began = time.monotonic()
    primary.process.kill()
    answer = caller.write("put", key, {"value": number}, windowMs=WINDOW_MS)
    gap = (time.monotonic() - began) * 1000
    check_equal((answer.ran, answer.error), ("yes", None), f"first write after the kill of {primary.name}")
    primary.start()
    cluster.set_delays()
    wait_until(lambda: primary.report()["adopted"] != "0.0", f"{primary.name} has adopted a term again")
    return gap


def successive_kills(deployment):
    with Cluster(BUILD, BASE, deployment, relays=True) as cluster:
        with Workload(cluster, SEED, sessions=4, client_ms=deployment.to_clients_ms) as workload:
            gaps = [fail_over(cluster, number) for number in range(FAILOVERS)]
        workload.verify()
        print(f"# {deployment.name}: gaps in ms {[round(gap) for gap in gaps]}", flush=True)


def successive_kills_nortesoft():
    successive_kills(NORTESOFT)


def successive_kills_kaheksa():
    successive_kills(KAHEKSA)


if __name__ == "__main__":
    chosen = sys.argv[3:]
    cases = [successive_kills_nortesoft, successive_kills_kaheksa]
    sys.exit(run_cases([case for case in cases if not chosen or case.__name__ in chosen]))
