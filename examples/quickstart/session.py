"""Runs three proxies and two services on loopback and shows a session: write, read through another proxy, failover.

Usage: session.py BUILD_FOLDER
"""

import json
import os
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

from processes import Process, send_request, wait_until  # noqa: E402
from standins import Member, Store  # noqa: E402

EXAMPLES = os.path.join(ROOT, "examples")
RECORD_FOLDERS = [os.path.join(EXAMPLES, "kaheksa", "records"), os.path.join(EXAMPLES, "quickstart", "records")]
PROXY_COUNT = 3
WINDOW_MS = 1000


def step(text):
    print(f"quickstart: {text}", flush=True)


def read_json(*path):
    with open(os.path.join(*path)) as file:
        return json.load(file)


def groups():
    """Returns the specs of the database groups in the example records, by name."""
    records = [read_json(folder, name) for folder in RECORD_FOLDERS for name in sorted(os.listdir(folder))]
    return {record["name"]: record["spec"] for record in records if record["kind"] == "DatabaseGroup"}


class Proxy:
    """A proxy process with the settings of an example file."""

    def __init__(self, build, folder, number):
        file = os.path.join(EXAMPLES, "kaheksa", f"proxy-{number}.json")
        self.settings = read_json(file)
        self.name = self.settings["instance"]
        self.domain = self.settings["failureDomain"]
        self.callers = self.settings["callers"]["listen"]
        program = os.path.join(build, "cardamomstep")
        self.process = Process([program, "proxy", "--settings", file], os.path.join(folder, f"{self.name}.log"))

    def listed(self):
        address = self.settings["peers"]["advertise"]
        return {"name": self.name, "domain": self.domain, "address": address, "role": "proxy", "state": "live"}

    def send_statement(self, service, access, operation, key, arguments, session="", **more):
        """Sends one statement; returns (status, answer)."""
        body = {"access": access, "operation": operation, "key": key, "arguments": arguments, "windowMs": WINDOW_MS, **more}
        if session:
            body["session"] = session
        return send_request(self.callers, "POST", f"/v1/services/{service}/statements", body)


class Quickstart:
    """The processes of the quickstart. Use it as a context manager: it stops them when the block ends."""

    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="cardamomstep-quickstart-")
        folder = self.temporary_folder.name
        self.proxies = [Proxy(self.build, folder, number + 1) for number in range(PROXY_COUNT)]
        settings = self.proxies[0].settings
        self.store = Store(self.build, settings["platform"]["store"], folder)
        self.members = {}
        for group, spec in groups().items():
            for member in spec["members"]:
                limits = {"slots": spec["slots"], "connections": spec["connections"]}
                arguments = [self.build, member["address"], folder, member["name"], member["failureDomain"]]
                self.members.setdefault(group, []).append(Member(*arguments, **limits))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for proxy in self.proxies:
            proxy.process.kill()
        for process in [*self.all_members(), self.store]:
            process.stop()
        self.temporary_folder.cleanup()

    def all_members(self):
        return [member for members in self.members.values() for member in members]

    def start(self):
        step(f"starting the store and {len(self.all_members())} members of {len(self.members)} database groups")
        for process in [self.store, *self.all_members()]:
            process.start()
        self.store.set_instances([proxy.listed() for proxy in self.proxies])
        for proxy in self.proxies:
            step(f"starting {proxy.name} in failure domain {proxy.domain}")
            proxy.process.start()
        for proxy in self.proxies:
            wait_until(lambda: send_request(proxy.callers, "GET", "/health", timeout=2)[0] == 200, f"{proxy.name} is healthy")

    def apply(self, folder, *options, **more):
        """Runs `cardamomstep apply` on a folder of records; returns its exit code."""
        operators = self.proxies[0].settings["operators"]
        environment = {**os.environ, "CARDAMOMSTEP_ADDRESS": operators["listen"], "CARDAMOMSTEP_TOKEN": operators["token"]}
        command = [os.path.join(self.build, "cardamomstep"), "apply", "-f", folder, "--operator", "quickstart", *options]
        return subprocess.run(command, env=environment, **more).returncode

    def apply_records(self):
        self.wait_until_ready()
        step("waiting until the proxies have found each other and accept changes")
        first_record = os.path.join(RECORD_FOLDERS[0], "ledger-1.json")
        discard_output = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
        wait_until(lambda: self.apply(first_record, **discard_output) == 0, "a record is applied", 20)
        for folder in RECORD_FOLDERS:
            step(f"cardamomstep apply -f {os.path.relpath(folder, ROOT)} --wait")
            if self.apply(folder, "--wait") != 0:
                raise SystemExit("quickstart: FAILED: the records were not applied")
        self.wait_until_ready()

    def wait_until_ready(self):
        for proxy in self.proxies:
            wait_until(lambda: send_request(proxy.callers, "GET", "/ready", timeout=2)[0] == 200, f"{proxy.name} is ready")

    def primary(self, group):
        leading = [m for m in self.members[group] if m.process.is_running() and m.report()["role"] == "primary"]
        return leading[0] if leading else None


def until_ok(send, what):
    """Repeats a request with a request id until it succeeds; the id makes the request idempotent."""

    def attempt():
        status, answer = send()
        return answer if status == 200 else None

    return wait_until(attempt, what, max_wait_seconds=20)


def write(proxy, service, key, item, session=""):
    answer = until_ok(lambda: proxy.send_statement(service, "write", "append", key, {"item": item}, session, requestId=item), f"write of {item}")
    step(f"wrote {item} to {service} through {proxy.name}: served by {answer['servedBy']} at {answer['mark']}")
    return answer["session"]


def read_from_replica(proxy, service, key, session, expected):
    """Reads until a replica serves the read; every answer must contain what the session wrote."""

    def attempt():
        status, answer = proxy.send_statement(service, "read", "get", key, {}, session)
        if status != 200:
            return None
        value = answer["rows"][0]["value"] if answer["rows"] else []
        if value != expected:
            raise SystemExit(f"quickstart: FAILED: {proxy.name} read {value}, expected {expected}")
        return answer if answer["fromReplica"] else None

    answer = wait_until(attempt, f"a replica of {service} answers", max_wait_seconds=20)
    step(f"read {expected} from {service} through {proxy.name}: served by replica {answer['servedBy']}")


def run(build):
    with Quickstart(build) as system:
        system.start()
        system.apply_records()
        first, second, third = system.proxies
        sessions = {}
        for service, key in (("ledger", "ledger-1/table-7"), ("catalogue", "catalogue-1/kapten-tuli")):
            sessions[service] = write(first, service, key, f"{service}-item-1")
            read_from_replica(second, service, key, sessions[service], [f"{service}-item-1"])
        victim = wait_until(lambda: system.primary("ledger-1"), "ledger-1 has a primary")
        step(f"killing {victim.name}, the primary of ledger-1")
        victim.process.kill()
        started = time.monotonic()
        session = write(first, "ledger", "ledger-1/table-7", "ledger-item-2", sessions["ledger"])
        step(f"first write after the kill took {1000 * (time.monotonic() - started):.0f} ms")
        read_from_replica(third, "ledger", "ledger-1/table-7", session, ["ledger-item-1", "ledger-item-2"])
    step("ok")


if __name__ == "__main__":
    run(sys.argv[1] if len(sys.argv) > 1 else "build")
