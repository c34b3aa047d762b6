"""Runs session proxy processes against stand-ins, injects faults, and checks the guarantees meanwhile.

Usage: python3 soak.py BUILD_FOLDER [--seed N] [--seconds S] [--processes P] [--callers C] [--gap S] [--keep]
The same seed draws the same faults; a run also depends on the machine's timing.
"""

import argparse
import asyncio
import json
import math
import os
import random
import shutil
import socket
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "system")]

import faults  # noqa: E402
import fleet as fleets  # noqa: E402
from callers import Caller, Route  # noqa: E402
from configurationcheck import ConfigurationCheck  # noqa: E402
from customercheck import CustomerCheck  # noqa: E402
from platform_standins import (  # noqa: E402
    DatabaseGroup,
    ObjectStore,
    Operator,
    Promotions,
    Response,
    customers,
    keep_entries,
    serve,
    serve_member,
)
from guaranteechecker import GuaranteeChecker  # noqa: E402

ZONES = ("east", "west", "south")
GROUPS = 2
MEMBERS = 3
# Port ranges of members and services, and of proxies. Each concurrent run takes one slot; a run of more than a hundred processes also
# uses the proxy ports of the following slots.
SLOTS = 15
SERVICE_PORTS_FROM = 9000
SERVICE_PORTS = 200
PROXY_PORTS = 800
# Callers must be served again this long after the last fault ended.
RECOVERY_S = 12.0
WARM_UP_S = 4.0
ROUTES_PER_CHANGE = 1400
CUSTOMERS = 5


def acquire_slot():
    """Returns (slot, lock) of a port range that no other run uses; the lock is a socket that must stay open."""
    for slot in range(SLOTS):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", SERVICE_PORTS_FROM + (slot + 1) * SERVICE_PORTS - 1))
            return slot, lock
        except OSError:
            lock.close()
    raise SystemExit("all port ranges are in use")


class Soak:
    """One run of the soak."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.slot, self.lock = acquire_slot()
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.checker = GuaranteeChecker(self.clock)
        # In larger fleets a proxy forwards sessions, so the entry proxy is not the one that sends to the member; and configurations stay
        # small, since one Python process serves them.
        self.small = options.processes <= fleets.MAX_RELAYED_PROXIES
        self.tasks = []
        self.fault_log = []
        self.faults_ended_at = None
        self.store = None

    def clock(self):
        return self.loop.time() - self.started

    def log(self, text):
        self.fault_log.append(f"{self.clock():7.2f} {text}")

    async def run(self):
        options = self.options
        fleets.FIRST_PORT += self.slot * PROXY_PORTS
        groups = await self._start_members()
        store, operator, promotions = await self._start_platform(groups)
        program = os.path.join(options.build, "cardamomstep")
        fleet = fleets.Fleet(options.processes, ZONES, program, self.folder, self.clock)
        self.checker.customers = CustomerCheck(self.checker, operator.customers, fleet, self.loop.time)
        self.fleet = fleet
        store_ports = await self._serve_store(store, fleet)
        if self.small:
            self.checker.member_drain_s = fleets.MEMBER_DRAIN_S
            self.checker.undisturbed = fleet.undisturbed
        await fleet.relay_peers()
        await fleet.relay_members([member.port for group in groups for member in group.members.values()])
        await fleet.start(store_ports, self.promotions_port)
        self._spawn(fleet.probe())
        self._spawn(ConfigurationCheck(fleet, operator, self.checker, self.clock).watch())
        try:
            return await self._run_faults(fleet, groups, store, promotions, operator)
        finally:
            for task in self.tasks:
                task.cancel()
            fleet.kill_all()

    def _spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def _start_members(self):
        port = SERVICE_PORTS_FROM + self.slot * SERVICE_PORTS
        groups = []
        for number in range(GROUPS):
            connections = max(24, self.options.processes)
            group = DatabaseGroup(f"db{number}", self.checker, max_connections=connections)
            for index in range(MEMBERS):
                member = group.add(f"m{number}{index}", ZONES[index], port, 1000 + index)
                port += 1
                await serve_member(member, self.random)
            self._spawn(group.replicate())
            groups.append(group)
        return groups

    async def _start_platform(self, groups):
        store = self.store = ObjectStore(self.random)
        held = customers.draw(self.options.customers, random.Random(self.options.seed)) if self.options.customers else None
        operator = Operator(store, groups, self.random, growth=ROUTES_PER_CHANGE if self.small else 0, customers=held)
        await operator.change()
        self._spawn(keep_entries(store, groups))
        promotions = Promotions(groups, self.checker)
        self.promotions_port = SERVICE_PORTS_FROM + self.slot * SERVICE_PORTS + SERVICE_PORTS // 2
        await serve(promotions.handle, self.promotions_port)
        return store, operator, promotions

    async def _serve_store(self, store, fleet):
        """Serves the store on one port for each proxy, so that replies name that proxy's relays; returns the ports by proxy name."""
        ports = {}
        for proxy in fleet.proxies:

            async def handle(request, proxy=proxy):
                reply = await store.handle(request, proxy.name)
                holds_no_addresses = "/config" in request.path
                if reply.body is None or request.method != "GET" or holds_no_addresses:
                    return reply
                body = json.loads(fleet.translate(proxy, json.dumps(reply.body)))
                return Response(reply.status, body, headers=reply.headers)

            server = await serve(handle, 0)
            ports[proxy.name] = server.sockets[0].getsockname()[1]
        return ports

    async def _run_faults(self, fleet, groups, store, promotions, operator):
        options = self.options
        until = WARM_UP_S + options.seconds
        # Callers work until RECOVERY_S after this time, which is known once all faults have ended.
        self.faults_ended_at = math.inf
        routes = [Route(*route) for route in operator.routes()]
        callers = [
            Caller(f"c{number}", random.Random(options.seed * 1000 + number), fleet, routes, self.checker, self.clock, operator.customers)
            for number in range(options.callers)
        ]
        working = [asyncio.ensure_future(caller.work(lambda: self.faults_ended_at + RECOVERY_S)) for caller in callers]
        await asyncio.sleep(WARM_UP_S)
        served_before = sum(len(caller.served_times) for caller in callers)
        if served_before == 0:
            self.checker.add_violation("start", "nothing was served before the first fault")
        extra_random = random.Random(f"platform {options.seed}")
        world = faults.World(fleet, groups, store, promotions, self.checker, operator, self.clock, self.random, extra_random)
        await faults.run_faults(world, until, options.gap, self.log)
        self.faults_ended_at = self.clock()
        await asyncio.gather(*working)
        self._check_recovery(callers)
        self.checker.check_logs(groups)
        for unexpected_exit in fleet.unexpected_exits:
            self.checker.add_violation("unexpected exit", unexpected_exit)
        return callers

    def _check_recovery(self, callers):
        since = self.faults_ended_at + RECOVERY_S - 3.0
        served = sum(1 for caller in callers for at in caller.served_times if at >= since)
        failed = sum(1 for caller in callers for at in caller.failed_times if at >= since)
        if served < 3 * failed or served == 0:
            self.checker.add_violation("recovery", f"{served} served and {failed} not in the last 3 s")

    def report(self, callers):
        """Prints the result of the run; returns the exit code."""
        served = sum(len(caller.served_times) for caller in callers)
        failed = sum(len(caller.failed_times) for caller in callers)
        violations = self.checker.violations
        print(f"seed {self.options.seed}: {served} operations served, {failed} not, {dict(self.checker.counts)}")
        calls = ", ".join(f"{count} {kind}" for kind, count in self.store.calls.most_common())
        print(f"  calls to the store in {self.clock():.0f} s by {self.options.processes} proxies: {calls}")
        if self.options.customers:
            print(f"  {self.checker.customers.summary()}")
        within, across = self.fleet.renewal_bytes()
        print(f"  bytes of renewals and announcements: {within} within failure domains, {across} across them")
        for violation in violations[:20]:
            print(f"  BROKEN {violation}")
        if violations or self.options.keep:
            with open(os.path.join(self.folder, "faults.txt"), "w", encoding="utf-8") as file:
                file.write("\n".join(self.fault_log) + "\n")
            print(f"  logs: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        print(f"{'not ok' if violations else 'ok'} seed-{self.options.seed}", flush=True)
        return 1 if violations else 0


def parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="how long new faults are started")
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--gap", type=float, default=1.5, help="average seconds between the starts of two faults")
    parser.add_argument("--customers", type=int, help="number of customers, 0 for none; by default 5 for even seeds and 0 for odd ones")
    parser.add_argument("--keep", action="store_true", help="keep the logs in any case")
    options = parser.parse_args(arguments)
    if options.customers is None:
        options.customers = CUSTOMERS if options.seed % 2 == 0 else 0
    return options


async def main(options):
    soak = Soak(options)
    code = soak.report(await soak.run())
    # Exits without waiting for the stand-ins' open connections: their ends would only add log output.
    os._exit(code)


if __name__ == "__main__":
    asyncio.run(main(parse(sys.argv[1:])))
