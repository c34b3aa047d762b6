"""A small deployment on loopback addresses: session proxies as processes, beside the project's stand-ins of members and platform.

Used by the cases under review/. Nothing here disturbs the deployment; each case does that itself.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.join(HERE, "..", "..")
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "platform"))

from standins import statements  # noqa: E402
from standins.callersession import CallerSession, Refused, SessionLost  # noqa: E402
from standins.connections import Promotions, serve_member  # noqa: E402
from standins.databasegroup import DatabaseGroup  # noqa: E402
from standins.httpserver import Response, serve  # noqa: E402
from standins.objectstore import ObjectStore  # noqa: E402
from standins.operator import Operator, keep_entries  # noqa: E402

__all__ = ["BROKEN", "HELD", "CallerSession", "CaseNotRun", "Deployment", "Refused", "Response", "SessionLost", "run_case", "serve", "statements"]

PROGRAM = os.path.join(ROOT, "target", "cardamomstep")
ZONES = ("zone-a", "zone-b", "zone-c")
LISTENERS = ("callers", "readiness", "peers", "sessions", "metrics")
READY_TIMEOUT_S = 25.0
# Above the ports of the tests in tests/.
FIRST_PORT = 28_500
LAST_PORT = 32_500
BLOCK_PORTS = 100

# Exit codes.
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseNotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Ports:
    """Gives out ports of a block that no other run uses; the block's last port is its lock and stays bound."""

    def __init__(self):
        for first in random.sample(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS), (LAST_PORT - FIRST_PORT) // BLOCK_PORTS):
            self.lock = socket.socket()
            try:
                self.lock.bind(("127.0.0.1", first + BLOCK_PORTS - 1))
                self.left = list(range(first, first + BLOCK_PORTS - 1))
                return
            except OSError:
                self.lock.close()
        raise CaseNotRun("all blocks of ports are in use")

    def take(self, count):
        """Returns ports that nothing listens on now."""
        ports = []
        while len(ports) < count:
            if not self.left:
                raise CaseNotRun("the block of ports is used up")
            port = self.left.pop()
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            ports.append(port)
        return ports


class Observer:
    """What members and the platform see; a case overrides what it judges."""

    def __init__(self, deployment):
        self.deployment = deployment

    def ran(self, connection, identifier, text, access, signature, rows):
        pass

    def committed(self, member, commit):
        pass

    def promoted(self, group, member):
        self.deployment.record(f"platform: {member.name} leads {group.name} in term {member.term}")

    def ordered(self, lease_holder, token):
        pass

    def published(self, member, state):
        if state != "ready":
            self.deployment.record(f"store: acknowledged that {member.name} is {state}")


class Proxy:
    """One session proxy process."""

    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.ports = {}
        self.child = None
        self.settings_file = ""
        self.log_file = ""
        # For the relays of tests/soak, which find the proxy of a connection by its process.
        self.process = self
        self.relays = {}

    def port(self, listener):
        return self.ports[listener]

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, number)


class Deployment:
    """Members, store, promotions and proxies of one run."""

    def __init__(self, folder, bounds=None):
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(7)
        self.ports = Ports()
        self.bounds = {"graceS": 6, "configApplyMs": 3000, "drainMs": 7000, "heartbeatMs": 1200, **(bounds or {})}
        self.observer = Observer(self)
        self.groups = []
        self.proxies = []
        self.tasks = []
        self.store = ObjectStore(self.random)
        self.operator = None
        self.promotions = None
        self.promotions_port = 0
        self.store_port = 0
        self.violations = []

    def now(self):
        return self.loop.time() - self.started

    def record(self, text):
        self.record_file.write(f"{self.now():8.3f} {text}\n")

    def broken(self, text):
        self.violations.append(text)
        self.record(f"BROKEN {text}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start_members(self, group_count, member_server=serve_member, **options):
        """Starts groups of three members, one in each zone; the first member of each leads."""
        ports = self.ports.take(3 * group_count)
        for number in range(group_count):
            group = DatabaseGroup(f"db{number}", self.observer, **options)
            for index, zone in enumerate(ZONES):
                member = group.add(f"m{number}{index}", zone, ports.pop(), 1000 + index)
                await member_server(member, self.random)
            self.spawn(group.replicate())
            self.groups.append(group)

    async def start_platform(self, store_handler=None, promotions_handler=None):
        self.operator = Operator(self.store, self.groups, self.random)
        await self.operator.change()
        self.spawn(keep_entries(self.store, self.groups))
        self.promotions = Promotions(self.groups, self.observer)
        self.promotions_port, self.store_port = self.ports.take(2)
        await serve(promotions_handler or self.promotions.handle, self.promotions_port)

        async def handle(request):
            return await self.store.handle(request, "proxy")

        await serve(store_handler or handle, self.store_port)

    def add_proxy(self, name, zone):
        proxy = Proxy(name, zone)
        proxy.ports = dict(zip(LISTENERS, self.ports.take(len(LISTENERS))))
        proxy.settings_file = os.path.join(self.temporary, f"{name}.json")
        proxy.log_file = os.path.join(self.temporary, f"{name}.log")
        self.proxies.append(proxy)
        return proxy

    def start_process(self, proxy, store_port=None, promotions_port=None, new_fleet=True):
        """Starts the proxy with the command of the deploy file and the settings that its template renders."""
        settings = {
            "instance": proxy.name,
            "failureDomain": proxy.zone,
            "listen": {listener: f"127.0.0.1:{port}" for listener, port in proxy.ports.items()},
            "store": f"127.0.0.1:{store_port or self.store_port}",
            "promotions": f"127.0.0.1:{promotions_port or self.promotions_port}",
            "stopGraceMs": self.bounds["graceS"] * 1000,
            "configurationDeadlineMs": self.bounds["configApplyMs"],
            "memberDrainMs": self.bounds["drainMs"],
            "memberHeartbeatMs": self.bounds["heartbeatMs"],
            "region": "region-1",
            "learnMemberCapacity": False,
            "newFleet": new_fleet,
        }
        with open(proxy.settings_file, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        arguments = [PROGRAM, "session-proxy", "--settings", proxy.settings_file]
        with open(proxy.log_file, "ab") as log:
            proxy.child = subprocess.Popen(arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"started {proxy.name}")

    async def is_ready(self, proxy):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", proxy.port("readiness")), 1.0)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200" in status
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, proxies=None):
        until = self.now() + READY_TIMEOUT_S
        for proxy in proxies or self.proxies:
            while not await self.is_ready(proxy):
                if self.now() > until:
                    raise CaseNotRun(f"{proxy.name} is not ready after {READY_TIMEOUT_S} s")
                await asyncio.sleep(0.1)

    def lease_holder(self):
        """Returns the proxy that the stored lease names; None if it names none."""
        stored = self.store.objects["fleet-lease"].get("lease")
        name = stored["spec"].get("holder") if stored else None
        return next((proxy for proxy in self.proxies if proxy.name == name), None)

    def end(self):
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies:
            if proxy.child is not None and proxy.child.poll() is None:
                os.kill(proxy.child.pid, signal.SIGCONT)
                os.kill(proxy.child.pid, signal.SIGKILL)
            if proxy.child is not None:
                proxy.child.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.temporary}")
        else:
            shutil.rmtree(self.temporary)
        self.record_file.close()


async def _run(case, folder):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder)
    code = NOT_RUN
    try:
        code = await case(deployment, trouble)
    except CaseNotRun as fault:
        deployment.record(f"NOT RUN {fault}")
        print(f"not run: {fault}")
    except Exception:  # A fault of the case itself must not count as a broken rule.
        traceback.print_exc()
        code = NOT_RUN
    finally:
        deployment.record(f"exit code {code}")
        deployment.end()
    for violation in deployment.violations[:5]:
        print(f"BROKEN {violation}")
    print({BROKEN: f"rule broken ({len(deployment.violations)} times)", HELD: "rule held", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    # Open connections of the stand-ins would only add output.
    os._exit(code)


def run_case(case, file):
    """Runs `case(deployment, trouble)`, which returns the exit code, in the folder of `file`."""
    asyncio.run(_run(case, os.path.dirname(os.path.abspath(file))))
