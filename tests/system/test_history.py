"""Histories of many sessions under faults, verified by the checker.

Usage: test_history.py BUILD_FOLDER [SEED [CASE]...]
"""

import random
import sys
import time

from cluster import Cluster
from deployments import KAHEKSA, NORTESOFT
from verdicts import check_equal, run_cases
from workload import Workload

BUILD = sys.argv[1] if len(sys.argv) > 1 else "build"
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
BASE = 26000
FAULT_FREE_SECONDS = 0.5
FAULT_SECONDS = 1.5


def run_with(deployment, *faults):
    """Runs a workload, injects the faults one after the other, and verifies the history."""
    with Cluster(BUILD, BASE, deployment, relays=True) as cluster:
        rng = random.Random(SEED)
        with Workload(cluster, SEED, client_ms=deployment.to_clients_ms) as workload:
            for fault in faults:
                time.sleep(FAULT_FREE_SECONDS)
                fault(cluster, workload, rng)
            time.sleep(FAULT_FREE_SECONDS)
        workload.verify()
        mixed = sum(member.state()["mixedStatements"] for member in cluster.all_members())
        check_equal(mixed, 0, "statements outside a transaction on its connection")
        print(f"# {deployment.name} seed {SEED}: {summary(workload)}", flush=True)


def summary(workload):
    return ", ".join(f"{name} {count}" for name, count in sorted(workload.answers().items()))


# Faults: each one starts, lasts FAULT_SECONDS and ends


def any_group(cluster, rng):
    return rng.choice(list(cluster.members))


def kill_primary(cluster, workload, rng):
    victim = cluster.primary(any_group(cluster, rng))
    victim.process.kill()
    time.sleep(FAULT_SECONDS)
    victim.start()
    cluster.set_delays()


def kill_replica(cluster, workload, rng):
    victim = rng.choice(cluster.replicas(any_group(cluster, rng)))
    victim.process.kill()
    time.sleep(FAULT_SECONDS)
    victim.start()
    cluster.set_delays()


def pause_primary(cluster, workload, rng):
    victim = cluster.primary(any_group(cluster, rng))
    victim.process.pause()
    time.sleep(FAULT_SECONDS)
    victim.process.resume()


def cut_off_primary(cluster, workload, rng):
    """Cuts the primary off from its replicas and from all proxies except those of its own failure domain."""
    group = any_group(cluster, rng)
    victim = cluster.primary(group)
    unreachable = [proxy.name for proxy in cluster.proxies if proxy.domain != victim.domain]
    unreachable += [member.name for member in cluster.replicas(group)]
    victim.faults(cut=unreachable, cutSilently=True)
    time.sleep(FAULT_SECONDS)
    victim.faults(cut=[], cutSilently=False)


def lag_and_stall_replicas(cluster, workload, rng):
    replicas = cluster.replicas(any_group(cluster, rng))
    replicas[0].faults(lagMs=300)
    replicas[1].faults(stuck=True)
    time.sleep(FAULT_SECONDS)
    replicas[0].faults(lagMs=0)
    replicas[1].faults(stuck=False)


def silence_connections(cluster, workload, rng):
    for member in cluster.all_members():
        member.faults(silentOpen=True)
    time.sleep(FAULT_SECONDS)


def silence_peers(cluster, workload, rng):
    for relay in cluster.relays.values():
        relay.faults(silentOpen=True)
    time.sleep(FAULT_SECONDS)


def cut_peers(cluster, workload, rng):
    for relay in cluster.relays.values():
        relay.faults(cut=True)
    time.sleep(FAULT_SECONDS)
    for relay in cluster.relays.values():
        relay.faults(cut=False)


def damage_answers(cluster, workload, rng):
    for member in cluster.all_members():
        member.faults(loseAnswers=3, truncateAnswers=2, swapAnswers=2, duplicateAnswers=2, dropRows=2)
    time.sleep(FAULT_SECONDS)


def store_outage(cluster, workload, rng):
    cluster.store.faults(outage=rng.choice(["503", "silent"]))
    kill_primary(cluster, workload, rng)
    cluster.store.faults(outage="")


def kill_proxy(cluster, workload, rng):
    number = rng.randrange(len(cluster.proxies))
    victim = cluster.proxies[number]
    victim.process.kill()
    time.sleep(FAULT_SECONDS)
    victim.start()
    victim.wait_until_ready()


def pause_proxy(cluster, workload, rng):
    victim = rng.choice(cluster.proxies)
    victim.process.pause()
    time.sleep(FAULT_SECONDS)
    victim.process.resume()


ALL_FAULTS = [
    kill_primary,
    kill_replica,
    pause_primary,
    cut_off_primary,
    lag_and_stall_replicas,
    silence_connections,
    silence_peers,
    cut_peers,
    damage_answers,
    store_outage,
    kill_proxy,
    pause_proxy,
]


# Cases


def case_of(fault):
    def case():
        run_with(KAHEKSA if ALL_FAULTS.index(fault) % 2 else NORTESOFT, fault)

    case.__name__ = fault.__name__
    return case


def no_fault():
    run_with(NORTESOFT)


def faults_in_random_order():
    rng = random.Random(SEED)
    run_with(KAHEKSA, *rng.sample(ALL_FAULTS, len(ALL_FAULTS)))


CASES = [no_fault, *[case_of(fault) for fault in ALL_FAULTS], faults_in_random_order]

if __name__ == "__main__":
    chosen = sys.argv[3:]
    sys.exit(run_cases([case for case in CASES if not chosen or case.__name__ in chosen]))
