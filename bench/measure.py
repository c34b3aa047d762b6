"""Benchmarks of the running system; see scripts/bench --help. Prints one JSON object per line, and a table on stderr."""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

from callers import Caller  # noqa: E402
from cluster import Cluster  # noqa: E402
from deployments import DEPLOYMENTS  # noqa: E402
from workload import Workload  # noqa: E402

BASE_PORT = 28000
TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    with open(f"/proc/{process.child.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kb(process):
    with open(f"/proc/{process.child.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


class Bench:
    def __init__(self, options):
        self.options = options
        self.deployment = DEPLOYMENTS[options.deployment]

    def cluster(self, **more):
        settings = {"relays": True, "delays": True, **more}
        return Cluster(self.options.build, BASE_PORT, self.deployment, **settings)

    def result(self, **values):
        head = {"measure": self.options.measure, "deployment": self.deployment.name, "seed": self.options.seed}
        return {**head, "runs": self.options.runs, **values}

    def load(self, cluster, proxies=None, **flags):
        """Runs the load generator; returns its result with the proxies' processor time per statement."""
        addresses = ",".join(proxy.callers for proxy in (proxies or cluster.proxies))
        prefixes = ",".join(self.deployment.prefix(group) for group in self.deployment.groups)
        command = [os.path.join(self.options.build, "bench-load"), "--proxies", addresses]
        command += ["--service", self.deployment.service, "--prefixes", prefixes]
        for name, value in flags.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        before = sum(processor_seconds(proxy.process) for proxy in cluster.proxies)
        done = subprocess.run(command, capture_output=True, text=True, timeout=180, check=True)
        used = sum(processor_seconds(proxy.process) for proxy in cluster.proxies) - before
        result = json.loads(done.stdout)
        result["processor_us_per_statement"] = round(used / max(1, result["statements"]) * 1e6)
        return result

    # Measures

    def reads(self):
        """Fraction of reads served by replicas under a mixed load of sessions; the whole history is checked."""
        for run in range(self.options.runs):
            seed = self.options.seed + run
            with self.cluster() as cluster:
                with Workload(cluster, seed, client_ms=self.deployment.to_clients_ms) as workload:
                    time.sleep(6)
                violation_counts = violations(workload)
                counts = workload.answers()
                load = self.load(cluster, callers=24, seconds=5, rate=300, read_share=0.9, age=-1)
            replicas, primary = counts["read from replica"], counts["read from primary"]
            yield self.result(
                seed=seed,
                replica_share=fraction(replicas + load["reads_from_replicas"], replicas + primary + load["reads"]),
                replica_share_possible=1.0,
                replica_share_primary_only=0.0,
                reads=replicas + primary + load["reads"],
                p50_ms=load["p50_ms"],
                p99_ms=load["p99_ms"],
                **violation_counts,
            )

    def failover(self):
        """Time from the kill of a primary to the first acknowledged write of one caller."""
        gaps = []
        with self.cluster() as cluster:
            with Workload(cluster, self.options.seed, sessions=4, client_ms=self.deployment.to_clients_ms) as workload:
                for run in range(self.options.runs):
                    gaps.append(self.one_failover(cluster, run))
            violation_counts = violations(workload)
        yield self.result(
            gap_ms_p50=round(statistics.median(gaps), 1), gap_ms_max=round(max(gaps), 1), gaps_ms=[round(gap, 1) for gap in gaps], **violation_counts
        )

    def one_failover(self, cluster, run):
        group = self.deployment.groups[run % len(self.deployment.groups)]
        primary = wait_for(lambda: cluster.primary(group))
        caller = Caller(cluster, run)
        key = f"{self.deployment.prefix(group)}gap"
        wait_for(lambda: caller.write("put", key, {"value": run}).ok)
        began = time.monotonic()
        primary.process.kill()
        wait_for(lambda: caller.write("put", key, {"value": run}, windowMs=5000).ok)
        gap = (time.monotonic() - began) * 1000
        primary.start()
        cluster.set_delays()
        time.sleep(0.5)
        return gap

    def overload(self):
        """Statements completed within their window at 1, 2 and 5 times the capacity of the groups."""
        with self.cluster() as cluster:
            capacity = self.load(cluster, callers=96, seconds=5, read_share=0.5, age=500, window=1000)["in_window_per_second"]
            completed = {}
            for factor in (1, 2, 5):
                load = self.load(cluster, callers=int(96 * factor), seconds=5, rate=capacity * factor, read_share=0.5, age=500, window=300)
                completed[f"{factor}x"] = round(load["in_window_per_second"])
                completed[f"{factor}x_answers"] = load["answers"]
        peak = max(completed[f"{factor}x"] for factor in (1, 2, 5))
        yield self.result(capacity_per_second=round(capacity), completed=completed, least_of_peak=fraction(completed["5x"], peak))

    def overhead(self):
        """Latency of a write sent directly to a member and through each proxy, which may forward it to a second one; no emulated delays.

        Then the throughput of the proxies, and the memory of one with idle connections."""
        with self.cluster(relays=False, delays=False) as cluster:
            group = self.deployment.groups[0]
            member = wait_for(lambda: cluster.primary(group))
            direct = direct_latencies(member, f"{self.deployment.prefix(group)}direct")
            through = {}
            for proxy in range(len(cluster.proxies)):
                caller = Caller(cluster, proxy)
                through[cluster.proxies[proxy].name] = percentiles(write_latencies(caller, f"{self.deployment.prefix(group)}via"))
            load = self.load(cluster, callers=64, seconds=5, read_share=0.9, age=1000)
            idle = self.idle_memory(cluster)
        yield self.result(straight_ms=percentiles(direct), through_ms=through, load=load, **idle)

    def idle_memory(self, cluster, connections=4000):
        proxy = cluster.proxies[0]
        before = resident_kb(proxy.process)
        command = [os.path.join(self.options.build, "bench-load"), "--proxies", proxy.callers, "--idle", str(connections), "--seconds", "2"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as idle_load:
            open_now = json.loads(idle_load.stdout.readline())["idle_connections"]
            after = resident_kb(proxy.process)
        return {"idle_connections": open_now, "idle_connections_mb": round((after - before) / 1024, 1)}

    def control(self):
        """Processor time, memory and store calls of idle proxies."""
        with self.cluster() as cluster:
            time.sleep(2)
            before = [processor_seconds(proxy.process) for proxy in cluster.proxies]
            calls = cluster.store.state()["calls"]
            time.sleep(10)
            after = [processor_seconds(proxy.process) for proxy in cluster.proxies]
            later = cluster.store.state()["calls"]
            memory = [resident_kb(proxy.process) for proxy in cluster.proxies]
        rates = {kind: (later[kind] - calls.get(kind, 0)) / 10 / len(cluster.proxies) for kind in later}
        percent = [round((end - begin) / 10 * 100, 2) for begin, end in zip(before, after)]
        yield self.result(core_percent=percent, memory_mb=[round(kb / 1024, 1) for kb in memory], store_calls_per_second_per_node=rates)


def violations(workload):
    """Checks the history of `workload`; returns the error text, if it has violations, and how often the text mentions each kind."""
    found = {"stale": 0, "lost": 0, "doubled": 0, "false_not_run": 0}
    try:
        workload.verify()
    except AssertionError as fault:
        found["violations"] = str(fault)[:500]
        for violation in found:
            if violation != "violations":
                found[violation] = found["violations"].count(violation.split("_")[0])
    return found


def wait_for(condition, seconds=60):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise SystemExit("bench: timed out while waiting")


def fraction(part, whole):
    return round(part / whole, 4) if whole else None


def percentiles(values):
    ordered = sorted(values)
    return {"p50": round(ordered[len(ordered) // 2], 2), "p99": round(ordered[int(len(ordered) * 0.99) - 1], 2)}


def write_latencies(caller, key, count=300):
    caller.write("put", key, {"value": 0})
    latencies = []
    for number in range(count):
        began = time.monotonic()
        caller.write("put", key, {"value": number})
        latencies.append((time.monotonic() - began) * 1000)
    return latencies


def direct_latencies(member, key, count=300):
    from processes import Connection

    connection = Connection(member.address, "bench/", 10)
    connection.send_request("POST", "/v1/open", {"client": "bench"}, {})
    term = member.report()["adopted"]
    latencies = []
    for number in range(count):
        call = {"exchange": str(number), "term": term, "write": True, "needsPrimary": True, "operation": "put", "key": key}
        call.update({"arguments": {"value": number}, "requestId": f"bench-{number}", "fingerprint": "1"})
        began = time.monotonic()
        connection.send_request("POST", "/v1/execute", call, {})
        latencies.append((time.monotonic() - began) * 1000)
    return latencies


def plot(results, file):
    """Plots the numbers of the results as a PNG with gnuplot (package gnuplot-nox)."""
    points = [(f"{r['deployment']} {name}", value) for r in results for name, value in r.items() if isinstance(value, float)]
    rows = "\n".join(f'"{name}" {value}' for name, value in points)
    script = f'set terminal png size 1000,500\nset output "{file}"\nset style fill solid\nset xtics rotate by -30\n$data << E\n{rows}\nE\n'
    subprocess.run(["gnuplot"], input=script + "plot $data using 2:xtic(1) with boxes notitle\n", text=True, check=True)


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench", description="Benchmarks real processes with the sizes and delays of a deployment.")
    parser.add_argument("measure", choices=["reads", "failover", "overload", "overhead", "control"])
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="kaheksa")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1, help="number of runs; for failover, of failovers in one run")
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--plot", metavar="FILE", help="write a PNG (needs gnuplot-nox)")
    options = parser.parse_args()
    bench = Bench(options)
    results = []
    for result in getattr(bench, options.measure)():
        results.append(result)
        print(json.dumps(result), flush=True)
        for name, value in result.items():
            print(f"{name:34} {value}", file=sys.stderr)
    if options.plot:
        plot(results, options.plot)


if __name__ == "__main__":
    main()
