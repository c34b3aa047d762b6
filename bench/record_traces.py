"""Records the decisions of one group owner in named failure cases, as traces for tests/trace/recorded.

Usage: bench/record_traces.py [BUILD_FOLDER [CASE]...]. Runs real processes without emulated delays; a case takes a few seconds.
"""

import dataclasses
import os
import shutil
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

from callers import Caller  # noqa: E402
from cluster import Cluster  # noqa: E402
from deployments import KAHEKSA  # noqa: E402
from processes import wait_until  # noqa: E402

BUILD = sys.argv[1] if len(sys.argv) > 1 else os.path.join(ROOT, "build")
TARGET = os.path.join(ROOT, "tests", "trace", "recorded")
GROUP = "ledger-1"
DEPLOYMENT = dataclasses.replace(KAHEKSA, groups=(GROUP,))
BASE_PORT = 29500


def write(cluster, window_ms=5000):
    answer = Caller(cluster, 1).write("put", f"{GROUP}/trace", {"value": 1}, windowMs=window_ms)
    assert answer.ok, answer


def bootstrap(cluster):
    """Three members without a term: one becomes primary."""


def killed_primary(cluster):
    cluster.primary(GROUP).process.kill()
    write(cluster)


def killed_primary_returns(cluster):
    primary = cluster.primary(GROUP)
    primary.process.kill()
    write(cluster)
    primary.start()
    time.sleep(0.5)


def two_primaries_killed_in_turn(cluster):
    for _ in range(2):
        primary = wait_until(lambda: cluster.primary(GROUP), "a primary")
        primary.process.kill()
        write(cluster)
        primary.start()
        time.sleep(0.5)


def killed_replica(cluster):
    cluster.replicas(GROUP)[0].process.kill()
    write(cluster)


def short_pause(cluster):
    primary = cluster.primary(GROUP)
    primary.process.pause()
    time.sleep(0.1)
    primary.process.resume()
    time.sleep(0.3)


def long_pause(cluster):
    primary = cluster.primary(GROUP)
    primary.process.pause()
    write(cluster)
    primary.process.resume()
    time.sleep(0.5)


def primary_cut_from_its_peers(cluster):
    primary = cluster.primary(GROUP)
    primary.faults(cut=[replica.name for replica in cluster.replicas(GROUP)])
    write(cluster)


def primary_cut_from_one_owner(cluster):
    cluster.primary(GROUP).faults(cut=["proxy-1"])
    time.sleep(0.6)


def replicas_stand_still(cluster):
    for replica in cluster.replicas(GROUP):
        replica.faults(stuck=True)
    Caller(cluster, 1).write("put", f"{GROUP}/trace", {"value": 2}, windowMs=600)
    for replica in cluster.replicas(GROUP):
        replica.faults(stuck=False)
    time.sleep(0.5)


def leaving_primary(cluster):
    primary = cluster.primary(GROUP)
    primary.faults(leaving=True)
    wait_until(lambda: cluster.primary(GROUP) not in (None, primary), "another primary")


def killed_primary_in_a_store_outage(cluster):
    cluster.store.faults(outage="503")
    cluster.primary(GROUP).process.kill()
    write(cluster)


CASES = [
    bootstrap,
    killed_primary,
    killed_primary_returns,
    two_primaries_killed_in_turn,
    killed_replica,
    short_pause,
    long_pause,
    primary_cut_from_its_peers,
    primary_cut_from_one_owner,
    replicas_stand_still,
    leaving_primary,
    killed_primary_in_a_store_outage,
]


class TracedCluster(Cluster):
    """A cluster whose proxies each record traces to a file of their own."""

    def settings_of(self, proxy):
        return {**super().settings_of(proxy), "trace": {"file": os.path.join(self.folder, proxy.name)}}


def record(case):
    with TracedCluster(BUILD, BASE_PORT, DEPLOYMENT, proxies=3, delays=False) as cluster:
        case(cluster)
        proxy = cluster.proxies[0]
        proxy.process.terminate()
        source = os.path.join(cluster.folder, f"{proxy.name}.{GROUP}.jsonl")
        shutil.copyfile(source, os.path.join(TARGET, f"{case.__name__}.jsonl"))
    print(case.__name__, flush=True)


def main():
    os.makedirs(TARGET, exist_ok=True)
    chosen = sys.argv[2:]
    for case in CASES:
        if not chosen or case.__name__ in chosen:
            record(case)


if __name__ == "__main__":
    main()
