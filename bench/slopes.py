"""Processor time and memory of idle proxies, and their growth with the number of groups and of proxies. Prints one JSON object per line.

Usage: bench/slopes.py [BUILD_FOLDER]. Takes about a minute; at most 70 processes.
"""

import dataclasses
import json
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))
sys.path.insert(0, os.path.join(ROOT, "bench"))

from cluster import Cluster  # noqa: E402
from deployments import KAHEKSA  # noqa: E402
from measure import processor_seconds, resident_kb  # noqa: E402

BUILD = sys.argv[1] if len(sys.argv) > 1 else os.path.join(ROOT, "build")
BASE_PORT = 29000
IDLE_SECONDS = 5
GROUPS = (1, 6, 18)
PROXIES = (1, 3, 9)


def idle_cost(groups, proxies):
    names = tuple(f"ledger-{number + 1}" for number in range(groups))
    deployment = dataclasses.replace(KAHEKSA, groups=names)
    with Cluster(BUILD, BASE_PORT, deployment, proxies=proxies, delays=False) as cluster:
        time.sleep(2)
        proxy = cluster.proxies[0].process
        before, reports = processor_seconds(proxy), report_calls(cluster)
        time.sleep(IDLE_SECONDS)
        used = processor_seconds(proxy) - before
        calls = report_calls(cluster) - reports
        return {
            "groups": groups,
            "proxies": proxies,
            "core_percent": round(used / IDLE_SECONDS * 100, 2),
            "memory_mb": round(resident_kb(proxy) / 1024, 1),
            "reports_per_second_all_owners": round(calls / IDLE_SECONDS, 1),
        }


def report_calls(cluster):
    return sum(calls for member in cluster.all_members() for kind, calls in member.state()["calls"].items() if "report" in kind)


def fit(points, x, y):
    """Least squares fit of `y` over `x`: slope and value at zero."""
    count = len(points)
    mean_x = sum(point[x] for point in points) / count
    mean_y = sum(point[y] for point in points) / count
    squares = sum((point[x] - mean_x) ** 2 for point in points)
    slope = sum((point[x] - mean_x) * (point[y] - mean_y) for point in points) / squares
    return {"of": y, "for_each": x, "slope": round(slope, 3), "at_zero": round(mean_y - slope * mean_x, 3)}


def main():
    for varied, runs in (("groups", [(groups, 1) for groups in GROUPS]), ("proxies", [(3, proxies) for proxies in PROXIES])):
        points = []
        for groups, proxies in runs:
            points.append(idle_cost(groups, proxies))
            print(json.dumps(points[-1]), flush=True)
        for value in ("core_percent", "memory_mb"):
            print(json.dumps(fit(points, varied, value)), flush=True)


if __name__ == "__main__":
    main()
