"""Starts a whole deployment: the store, members, relays and proxies, each as a separate process."""

import json
import os
import tempfile

from processes import Process, send_request, wait_until
from standins import Member, Relay, Store

OPERATOR_TOKEN = "operator-token-of-the-tests"
READY_TIMEOUT_SECONDS = 30


class Proxy:
    """One proxy process with its settings file."""

    def __init__(self, build, folder, name, domain, addresses):
        self.name = name
        self.domain = domain
        self.callers, self.operators, self.peers = addresses
        self.settings_file = os.path.join(folder, f"{name}.json")
        program = os.path.join(build, "cardamomstep")
        self.process = Process([program, "proxy", "--settings", self.settings_file], os.path.join(folder, f"{name}.log"))

    def start(self):
        self.process.start()
        return self

    def is_ready(self):
        return send_request(self.callers, "GET", "/ready", timeout=2)[0] == 200

    def wait_until_ready(self):
        wait_until(lambda: self.is_ready() or not self.process.is_running(), f"{self.name} is ready", READY_TIMEOUT_SECONDS)
        assert self.process.is_running(), f"{self.name} ended: {self.process.log()[-2000:]}"

    def stop(self):
        self.process.resume()
        self.process.kill()


class Cluster:
    """A deployment that runs on loopback, on ports from `base` up.

    Use it as a context manager: it kills every process that it started when the block ends, also after an error.
    """

    def __init__(self, build, base, deployment, proxies=None, relays=False, delays=True, settings=None):
        self.build = os.path.abspath(build)
        self.base = base
        self.deployment = deployment
        self.delays = delays
        self.extra_settings = settings or {}
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="cardamomstep-")
        self.folder = self.temporary_folder.name
        self.store = Store(self.build, self.address(0), self.folder)
        self.proxies = [self._proxy(index) for index in range(proxies or deployment.proxies)]
        self.members = {}
        for group in deployment.groups:
            self.members[group] = [self._member(group, index) for index in range(deployment.members_per_group)]
        self.relays = self._relays() if relays else {}
        self.listed = {proxy.name: "live" for proxy in self.proxies}

    # Layout

    def address(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    def _proxy(self, index):
        domain = self.deployment.domains[index % len(self.deployment.domains)]
        addresses = [self.address(10 + index), self.address(20 + index), self.address(30 + index)]
        return Proxy(self.build, self.folder, f"proxy-{index + 1}", domain, addresses)

    def _member(self, group, index):
        deployment = self.deployment
        number = deployment.groups.index(group) * deployment.members_per_group + index
        return Member(
            self.build,
            self.address(40 + number),
            self.folder,
            deployment.member_names(group)[index],
            deployment.domains[index % len(deployment.domains)],
            slots=deployment.slots,
            connections=deployment.connections,
            open_ms=deployment.open_ms,
            service_us=deployment.service_ms * 1000,
        )

    def _relays(self):
        relays = {}
        for proxy in self.proxies:
            for domain in self.deployment.domains:
                if domain != proxy.domain:
                    offset = 100 + 2 * len(relays)
                    name = f"relay-{domain}-{proxy.name}"
                    relays[domain, proxy.name] = Relay(
                        self.build, self.address(offset), self.address(offset + 1), proxy.peers, self.folder, name
                    )
        return relays

    def all_members(self):
        return [member for members in self.members.values() for member in members]

    # Files

    def settings_of(self, proxy):
        return {
            "instance": proxy.name,
            "failureDomain": proxy.domain,
            "region": self.deployment.region,
            "callers": {"listen": proxy.callers},
            "operators": {"listen": proxy.operators, "token": OPERATOR_TOKEN},
            "peers": {"listen": proxy.peers, "advertise": proxy.peers},
            "platform": {"store": self.store.address},
            **self.extra_settings,
        }

    def records(self):
        """Returns the records of the deployment: its groups and the routing intent."""
        deployment = self.deployment
        records = []
        for group, members in self.members.items():
            specs = [{"name": m.name, "failureDomain": m.domain, "address": m.address} for m in members]
            spec = {"members": specs, "connections": deployment.connections, "slots": deployment.slots}
            spec["serviceTimeMs"] = deployment.service_ms
            records.append({"kind": "DatabaseGroup", "name": group, "schema": "v1", "spec": spec})
        prefixes = [{"prefix": deployment.prefix(group), "group": group} for group in deployment.groups]
        spec = {"service": deployment.service, "groups": list(deployment.groups), "prefixes": prefixes}
        records.append({"kind": "RoutingIntent", "name": deployment.service, "schema": "v1", "spec": spec})
        return records

    def put_record(self, record):
        """Writes a record straight to the store, without the operators' interface; returns its version."""
        status, answer = send_request(self.store.address, "PUT", f"/v1/objects/{record['kind']}/{record['name']}", record)
        assert status == 200, answer
        return answer["version"]

    # Start and stop

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        self.start_standins()
        for record in self.records():
            self.put_record(record)
        self.start_proxies()
        self.wait_until_serving()

    def start_standins(self):
        for process in [self.store, *self.all_members()]:
            process.start()
        if self.delays:
            self.set_delays()
        self.publish_instances()

    def start_proxies(self):
        for proxy in self.proxies:
            with open(proxy.settings_file, "w") as file:
                json.dump(self.settings_of(proxy), file, indent=2)
            proxy.start()
        for relay in self.relays.values():
            relay.start()
            relay.faults(delayMs=self.deployment.between_domains_ms if self.delays else 0)
        for proxy in self.proxies:
            proxy.wait_until_ready()

    def set_delays(self):
        domains = self.deployment.domains
        between = self.deployment.between_domains_ms
        pairs = [(a, b) for index, a in enumerate(domains) for b in domains[index + 1 :]]
        delays = [{"from": a, "to": b, "ms": between, "jitterMs": 0.5} for a, b in pairs]
        for member in self.all_members():
            member.faults(delays=delays)
        self.store.faults(delays=[{"from": domain, "to": "", "ms": self.deployment.store_ms} for domain in domains])

    def publish_instances(self):
        """Writes the platform's instance list; `listed` gives the states, and proxies without an entry are left out."""
        entries = []
        for proxy in self.proxies:
            if proxy.name not in self.listed:
                continue
            paths = {domain: relay.address for (domain, name), relay in self.relays.items() if name == proxy.name}
            entry = {"name": proxy.name, "domain": proxy.domain, "address": proxy.peers, "role": "proxy"}
            entries.append({**entry, "state": self.listed[proxy.name], "addressFrom": paths})
        for member in self.all_members():
            state = self.listed.get(member.name, "live")
            entry = {"name": member.name, "domain": member.domain, "address": member.address}
            entries.append({**entry, "role": "endpoint", "state": state})
        self.store.set_instances(entries)

    def wait_until_serving(self):
        """Waits until every group has accepted a write."""
        for group in self.deployment.groups:
            wait_until(lambda: self.probe(group), f"group {group} accepts writes", READY_TIMEOUT_SECONDS)

    def probe(self, group):
        path = f"/v1/services/{self.deployment.service}/statements"
        body = {"access": "write", "operation": "put", "key": f"{group}/probe", "arguments": {"value": 1}}
        return send_request(self.proxies[0].callers, "POST", path, body)[0] == 200

    def stop(self):
        for process in [*self.proxies, *self.relays.values(), *self.all_members(), self.store]:
            process.stop()
        self.temporary_folder.cleanup()

    # State

    def primary(self, group):
        """Returns the member that leads `group` at the highest term; None when no running member reports that it leads."""
        reports = []
        for member in self.members[group]:
            if member.process.is_running():
                report = member.report()
                reports.append((parse_term(report["adopted"]), report["role"] == "primary", member))
        leaders = [(term, member) for term, leads, member in reports if leads]
        return max(leaders, key=lambda leader: leader[0])[1] if leaders else None

    def replicas(self, group):
        primary = self.primary(group)
        return [member for member in self.members[group] if member is not primary]

    def final_rows(self, group):
        """Returns the rows of the member that leads `group` at the highest term."""
        primary = wait_until(lambda: self.primary(group), f"{group} has a primary")
        return primary.rows()


def parse_term(text):
    number, proposer = text.split(".")
    return int(number), int(proposer, 16)
