"""LOST and ONE: a promotion that cannot be confirmed for 3 s is given up, and the old primary is used again beside the promoted member."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "lib"), os.path.join(HERE, "..", "..", "tests", "soak")]

from deployment import BROKEN, HELD, CaseNotRun, CallerSession, Deployment, Refused, SessionLost, run_case, statements  # noqa: E402
from relay import Relay, RelayFault, SharedRelay  # noqa: E402
from standins.connections import serve_member  # noqa: E402

# How long one replica receives nothing, and how long the new primary is partitioned: the largest doses of the site.
DEAF_S = 6.5
CUT_S = 5.0
# Time between the start of the first and the release.
RELEASE_AFTER_S = 2.9
SESSIONS = 8


async def work(deployment, proxy, name, acknowledged):
    """Writes in one session after the other at `proxy`."""
    number = 0
    while True:
        session = CallerSession()
        try:
            await session.open(proxy.port("callers"), "db0-p", "client")
            while True:
                number += 1
                identifier = f"{name}-{number}"
                try:
                    await session.send_statement(identifier, statements.write(f"a{number % 50}", f"d{number}"))
                    acknowledged(identifier, proxy)
                except Refused as refusal:
                    deployment.record(f"{identifier} refused: {refusal.code}")
                await asyncio.sleep(0.1)
        except (Refused, SessionLost, OSError) as fault:
            deployment.record(f"{name}: session ended: {fault}")
            session.close()
            await asyncio.sleep(0.1)


class Judge:
    """Follows commits, acknowledgements and promotions."""

    def __init__(self, deployment):
        self.deployment = deployment
        # By write: the member, the commit, and when it was committed.
        self.commits = {}
        self.acknowledged_commits = []
        # The members that were promoted, with their terms and times.
        self.promotions = []

    def committed(self, member, commit):
        for identifier, _, _ in commit.writes:
            self.commits[identifier] = (member, commit, self.deployment.now())

    def acknowledged(self, identifier, proxy):
        member, commit, at = self.commits[identifier]
        self.acknowledged_commits.append((identifier, commit))
        self.deployment.record(f"{identifier} acknowledged by {proxy.name}: committed at {member.name} as {commit.position}")
        newer = [name for name, term, since in self.promotions if term > commit.term and since < at]
        if newer:
            self.deployment.broken(f"ONE: {identifier} was committed at {member.name} after {newer[-1]} was promoted, and acknowledged")

    def promoted(self, group, member):
        self.deployment.record(f"platform: {member.name} leads {group.name} in term {member.term}")
        self.promotions.append((member.name, member.term, self.deployment.now()))
        lost = [identifier for identifier, commit in self.acknowledged_commits if commit not in member.log]
        if lost:
            self.deployment.broken(f"LOST: {member.name} is promoted without {len(lost)} acknowledged commits: {', '.join(lost)}")


async def case(deployment: Deployment, trouble):
    first_order = asyncio.get_running_loop().create_future()
    judge = Judge(deployment)
    targets = []

    def ordered(holder, token):
        deployment.record(f"platform: promotion ordered by {holder} with token {token}")
        if not first_order.done():
            first_order.set_result(holder)

    async def serve_behind_relays(member, random):
        """Serves m01 behind one relay for each proxy, so that the path of one of them can be cut."""
        await serve_member(member, random)
        if member.name == "m01":
            targets.append(member.port)
            member.port = (await SharedRelay(deployment.proxies, member.port).start()).port

    deployment.observer.ordered = ordered
    deployment.observer.committed = judge.committed
    deployment.observer.promoted = judge.promoted
    await deployment.start_members(1, member_server=serve_behind_relays, slots=2, max_connections=16, lag_s=0.02, promote_s=0.6)
    await deployment.start_platform()
    group = deployment.groups[0]
    for number in range(3):
        proxy = deployment.add_proxy(f"proxy-{number}", f"zone-{'abc'[number]}")
        proxy.relays = {targets[0]: Relay("m01", targets[0])}
    for proxy in deployment.proxies:
        deployment.start_process(proxy)
    await deployment.wait_ready()
    for proxy in deployment.proxies:
        for number in range(SESSIONS):
            deployment.spawn(work(deployment, proxy, f"{proxy.name}-c{number}", judge.acknowledged))
    await asyncio.sleep(5.0)
    if trouble:
        deployment.spawn(keep_deaf(deployment, group.members["m02"]))
    await asyncio.sleep(RELEASE_AFTER_S)
    group.members["m00"].state = "draining"
    try:
        by = await asyncio.wait_for(first_order, 10.0)
    except asyncio.TimeoutError as fault:
        raise CaseNotRun("no promotion was ordered") from fault
    if trouble:
        holder = next(proxy for proxy in deployment.proxies if proxy.name == by)
        await cut_off(deployment, group, holder, targets[0])
    await asyncio.sleep(8.0)
    missing = [identifier for identifier, commit in judge.acknowledged_commits if commit not in group.leader.log]
    deployment.record(f"acknowledged commits that {group.leader.name}, the primary at the end, lacks: {len(missing)} {', '.join(missing)}")
    return BROKEN if deployment.violations else HELD


async def keep_deaf(deployment, member):
    member.replication_blocked = True
    deployment.record(f"{member.name} receives nothing")
    await asyncio.sleep(DEAF_S)
    member.replication_blocked = False
    deployment.record(f"{member.name} receives again")


async def cut_off(deployment, group, proxy, port):
    """Partitions m01 from the other members and from `proxy`; all other paths stay."""
    group.cut_pairs.update({("m01", "m00"), ("m00", "m01"), ("m01", "m02"), ("m02", "m01")})
    relay = proxy.relays[port]
    relay.set_fault(RelayFault.SILENT)
    deployment.record(f"m01 is partitioned from the other members and from {proxy.name}")
    await asyncio.sleep(CUT_S)
    relay.set_fault(RelayFault.NONE)
    relay.reset()
    group.cut_pairs.clear()
    deployment.record("the partition has ended")


if __name__ == "__main__":
    run_case(case, __file__)
