"""Deployments that the system tests run: failure domains, services, sizes and network delays."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Deployment:
    """One deployment: failure domains, one service with its groups, and the network delays between domains.

    slots, connections, open_ms, service_ms: limits and times of each member, as in MemberOptions of standins/member.h.
    between_domains_ms, to_clients_ms, store_ms: one-way network delays.
    """

    name: str
    region: str
    domains: tuple
    service: str
    groups: tuple
    members_per_group: int
    slots: int
    connections: int
    between_domains_ms: float
    to_clients_ms: float
    open_ms: int
    service_ms: int = 2
    store_ms: float = 1.0
    proxies: int = 6
    extra: dict = field(default_factory=dict)

    def member_names(self, group):
        return [f"{group}-{'abc'[index]}" for index in range(self.members_per_group)]

    def prefix(self, group):
        """Returns the prefix of all keys of `group`."""
        return f"{group}/"


NORTESOFT = Deployment(
    name="nortesoft",
    region="norte",
    domains=("norte-bio", "norte-sdr", "norte-ovd"),
    service="convenios-db",
    groups=("convenios-1", "convenios-2", "convenios-3"),
    members_per_group=3,
    slots=2,
    connections=16,
    between_domains_ms=3.5,
    to_clients_ms=3.0,
    open_ms=12,
)

KAHEKSA = Deployment(
    name="kaheksa",
    region="ee-north",
    domains=("ee-north-a", "ee-north-b", "ee-north-c"),
    service="ledger",
    groups=("ledger-1", "ledger-2", "ledger-3"),
    members_per_group=3,
    slots=3,
    connections=40,
    between_domains_ms=3.0,
    to_clients_ms=1.0,
    open_ms=12,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (NORTESOFT, KAHEKSA)}
