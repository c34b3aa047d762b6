"""Starts stand-ins and controls them over HTTP."""

import itertools
import os

from processes import Connection, Process, send_request, wait_until, wait_until_serving


class Standin:
    """A stand-in process with a control address."""

    def __init__(self, build, role, address, folder, name, options):
        self.name = name
        self.address = address
        self.control = address
        arguments = [os.path.join(build, "standins"), role, "--listen", address, *options]
        self.process = Process(arguments, os.path.join(folder, f"{name}.log"))

    def start(self):
        self.process.start()
        wait_until_serving(self.control, "/control/state")
        return self

    def stop(self):
        self.process.resume()
        self.process.kill()

    def faults(self, **changes):
        """Merges `changes` into the active faults; returns the reply."""
        status, answer = send_request(self.control, "POST", "/control/faults", changes)
        assert status == 200, answer
        return answer

    def state(self):
        return send_request(self.control, "GET", "/control/state")[1]


class Member(Standin):
    """A stand-in member of a database group."""

    def __init__(self, build, address, folder, name, domain, slots=3, connections=40, service_us=0, open_ms=12):
        self.domain = domain
        options = ["--name", name, "--domain", domain, "--slots", slots, "--connections", connections]
        options += ["--service-us", service_us, "--open-ms", open_ms, "--state", os.path.join(folder, f"{name}.state")]
        super().__init__(build, "member", address, folder, name, options)

    def report(self):
        return send_request(self.address, "GET", "/v1/report")[1]

    def order(self, what, **body):
        """Sends the order adopt, lead or follow; returns whether the member accepted it."""
        return send_request(self.address, "POST", f"/v1/{what}", body)[1]["accepted"]

    def follow(self, term, primary):
        return self.order("follow", term=term, primary=primary.name, address=primary.address)

    def outcome(self, request_id):
        return send_request(self.address, "POST", "/v1/outcome", {"requestId": request_id})[1]

    def rows(self):
        return self.state()["rows"]


class Store(Standin):
    """The stand-in store with its instance list."""

    def __init__(self, build, address, folder, options=()):
        super().__init__(build, "store", address, folder, "store", list(options))

    def set_instances(self, instances):
        status, answer = send_request(self.address, "POST", "/control/instances", {"instances": instances})
        assert status == 200, answer


class Relay(Standin):
    """A stand-in TCP relay; its control address differs from the relayed address."""

    def __init__(self, build, address, control, target, folder, name):
        super().__init__(build, "relay", address, folder, name, ["--target", target, "--control", control])
        self.control = control


class DatabaseConnection:
    """A database connection to a member, as a proxy opens it."""

    exchanges = itertools.count(1)

    def __init__(self, member, sender="test/", timeout=60):
        self.connection = Connection(member.address, sender, timeout)
        self.status, _, _ = self.connection.send_request("POST", "/v1/open", {"client": sender})

    def call(self, path, term, operation="", key="", arguments=None, **more):
        """Sends one call under a new exchange id and returns the reply."""
        body = {"exchange": f"x{next(self.exchanges)}", "term": term, "operation": operation, "key": key}
        body.update({"arguments": arguments or {}, **more})
        _, reply, _ = self.connection.send_request("POST", f"/v1/{path}", body)
        return reply

    def write(self, term, operation, key, arguments, request_id="", fingerprint="1", **more):
        return self.call("execute", term, operation, key, arguments, write=True, requestId=request_id, fingerprint=fingerprint, **more)

    def read(self, key, **more):
        return self.call("execute", "0.0", "get", key, **more)

    def close(self):
        self.connection.close()


def make_leader(leader, others, term):
    """Makes `leader` the primary at `term` and the others its followers."""
    for member in [leader, *others]:
        assert member.order("adopt", term=term)
    assert leader.order("lead", term=term)
    for member in others:
        assert member.follow(term, leader)


def wait_for_position(member, position):
    wait_until(lambda: member.report()["log"] == position, f"{member.name} reaches {position}")
