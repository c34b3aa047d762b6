"""Runs the session proxy as processes against stand-ins, does them harm, and checks the promises meanwhile.

Usage: python3 soak.py BUILD_FOLDER [--seed N] [--seconds S] [--processes P] [--callers C] [--gap S] [--keep]
The same seed draws the same faults; the course of a run also depends on the machine.
"""

import argparse
import asyncio
import json
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
from platform_standins import (  # noqa: E402
    DatabaseGroup,
    ObjectStore,
    Operator,
    Promotions,
    Response,
    keep_entries,
    serve,
    serve_member,
)
from guaranteechecker import Promises  # noqa: E402

ZONES = ("east", "west", "south")
GROUPS = 2
MEMBERS = 3
# Ranges of ports: those of members and services, and of proxies. Runs side by side take a slot each; one of more than a hundred
# processes needs the next slots' proxy ports, too.
SLOTS = 15
SERVICE_PORTS_FROM = 9000
SERVICE_PORTS = 200
PROXY_PORTS = 800
# Callers that were served before faults began are served again this long after the last fault ended.
RECOVERY_S = 12.0
WARM_UP_S = 4.0


def take_slot():
    """(slot, lock) of a range of ports that no other run uses; the lock is a socket to keep."""
    for slot in range(SLOTS):
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", SERVICE_PORTS_FROM + (slot + 1) * SERVICE_PORTS - 1))
            return slot, lock
        except OSError:
            lock.close()
    raise SystemExit("all ranges of ports are in use")


class Soak:
    """One run."""

    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.slot, self.lock = take_slot()
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.promises = Promises(self.clock)
        self.tasks = []
        self.notes = []
        self.faults_over = None
        self.store = None

    def clock(self):
        return self.loop.time() - self.started

    def log(self, text):
        self.notes.append(f"{self.clock():7.2f} {text}")

    async def run(self):
        options = self.options
        fleets.FIRST_PORT += self.slot * PROXY_PORTS
        groups = await self._members()
        store, operator, promotions = await self._platform(groups)
        program = os.path.join(options.build, "cardamomstep")
        fleet = fleets.Fleet(options.processes, ZONES, program, self.folder, self.clock)
        store_ports = await self._serve_store(store, fleet)
        await fleet.relay_peers()
        await fleet.start(store_ports, self.promotions_port)
        await fleet.relay_members([member.port for group in groups for member in group.members.values()])
        self._go(fleet.probe())
        try:
            return await self._play(fleet, groups, store, promotions, operator)
        finally:
            for task in self.tasks:
                task.cancel()
            fleet.end()

    def _go(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def _members(self):
        port = SERVICE_PORTS_FROM + self.slot * SERVICE_PORTS
        groups = []
        for number in range(GROUPS):
            connections = max(24, self.options.processes)
            group = DatabaseGroup(f"db{number}", self.promises, max_connections=connections)
            for index in range(MEMBERS):
                member = group.add(f"m{number}{index}", ZONES[index], port, 1000 + index)
                port += 1
                await serve_member(member, self.random)
            self._go(group.replicate())
            groups.append(group)
        return groups

    async def _platform(self, groups):
        store = self.store = ObjectStore(self.random)
        operator = Operator(store, groups, self.random)
        await operator.change()
        self._go(keep_entries(store, groups))
        promotions = Promotions(groups, self.promises)
        self.promotions_port = SERVICE_PORTS_FROM + self.slot * SERVICE_PORTS + SERVICE_PORTS // 2
        await serve(promotions.handle, self.promotions_port)
        return store, operator, promotions

    async def _serve_store(self, store, fleet):
        """A port of the store for each proxy, so that answers name its own relays; returns the ports."""
        ports = {}
        for proxy in fleet.proxies:

            async def handle(request, proxy=proxy):
                answer = await store.handle(request, proxy.name)
                if answer.body is None or request.method != "GET":
                    return answer
                body = json.loads(fleet.translate(proxy, json.dumps(answer.body)))
                return Response(answer.status, body)

            server = await serve(handle, 0)
            ports[proxy.name] = server.sockets[0].getsockname()[1]
        return ports

    async def _play(self, fleet, groups, store, promotions, operator):
        options = self.options
        until = WARM_UP_S + options.seconds
        self.faults_over = until + 60.0
        routes = [Route(*route) for route in operator.routes()]
        callers = [
            Caller(f"c{number}", random.Random(options.seed * 1000 + number), fleet, routes, self.promises, self.clock)
            for number in range(options.callers)
        ]
        working = [asyncio.ensure_future(caller.work(lambda: self.faults_over + RECOVERY_S)) for caller in callers]
        await asyncio.sleep(WARM_UP_S)
        served_before = sum(len(caller.served) for caller in callers)
        if served_before == 0:
            self.promises.breach("start", "nothing was served before the first fault")
        world = faults.World(fleet, groups, store, promotions, self.promises, operator, self.clock, self.random)
        await faults.play(world, until, options.gap, self.log)
        self.faults_over = self.clock()
        await asyncio.gather(*working)
        self._check_recovery(callers)
        self.promises.check_logs(groups)
        for end in fleet.unexpected_ends:
            self.promises.breach("ended by itself", end)
        return callers

    def _check_recovery(self, callers):
        since = self.faults_over + RECOVERY_S - 3.0
        served = sum(1 for caller in callers for at in caller.served if at >= since)
        failed = sum(1 for caller in callers for at in caller.failed if at >= since)
        if served < 3 * failed or served == 0:
            self.promises.breach("recovery", f"{served} served and {failed} not in the last 3 s")

    def report(self, callers):
        """Prints the verdict; returns the exit code."""
        served = sum(len(caller.served) for caller in callers)
        failed = sum(len(caller.failed) for caller in callers)
        breaches = self.promises.breaches
        print(f"seed {self.options.seed}: {served} operations served, {failed} not, {dict(self.promises.counts)}")
        calls = ", ".join(f"{count} {sort}" for sort, count in self.store.calls.most_common())
        print(f"  calls to the store in {self.clock():.0f} s by {self.options.processes} proxies: {calls}")
        for breach in breaches[:20]:
            print(f"  BROKEN {breach}")
        if breaches or self.options.keep:
            with open(os.path.join(self.folder, "faults.txt"), "w", encoding="utf-8") as file:
                file.write("\n".join(self.notes) + "\n")
            print(f"  logs: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        print(f"{'not ok' if breaches else 'ok'} seed-{self.options.seed}", flush=True)
        return 1 if breaches else 0


def parse(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="how long faults are begun")
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--gap", type=float, default=1.5, help="seconds between two faults on average")
    parser.add_argument("--keep", action="store_true", help="keep the logs in any case")
    return parser.parse_args(arguments)


async def main(options):
    soak = Soak(options)
    code = soak.report(await soak.run())
    # Open connections of the stand-ins end with this process; waiting for each would only add noise.
    os._exit(code)


if __name__ == "__main__":
    asyncio.run(main(parse(sys.argv[1:])))
