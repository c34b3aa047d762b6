"""PINNED: a member fails part of its requests while its health check is good, also those that apply a session's values."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from deployment import BROKEN, HELD, CallerSession, Deployment, Refused, SessionLost, run_case, statements  # noqa: E402
from standins.connections import MAX_LINE_BYTES, MemberConnection  # noqa: E402

# The share of its requests that the member fails, and for how long.
FAILING_SHARE = 0.45
FAILING_S = 6.5
SESSIONS = 6


class GreyConnection(MemberConnection):
    """A connection to a member that fails part of its requests, whatever they are; none of those has an effect."""

    failing = set()

    async def _query(self, line):
        own = line.split(" ", 2)[2].startswith("STATUS")
        if self.member.name in self.failing and not own and self.random.random() < FAILING_SHARE:
            await self._send("ERROR FAILED injected", self._ready())
            return
        await super()._query(line)


async def serve_grey_member(member, random):
    async def on_connection(reader, writer):
        await GreyConnection(member, reader, writer, random).run()

    return await asyncio.start_server(on_connection, "127.0.0.1", member.port, limit=MAX_LINE_BYTES)


async def work(deployment, proxy, name, sent):
    """Opens a session, sets a value of its own, writes and reads; begins anew when the value was not acknowledged."""
    number = 0
    while True:
        session = CallerSession()
        values = {}
        try:
            await session.open(proxy.port("callers"), "db0-p", name)
            await session.send_statement(f"{name}-set-{number}", statements.set_value("region", name))
            values = {"region": name}
            deployment.record(f"{name}: SET region {name} was acknowledged")
            while True:
                number += 1
                identifier = f"{name}-{number}"
                sent[identifier] = values
                deployment.record(f"{identifier} sent")
                try:
                    text = statements.write(name, identifier) if number % 3 == 0 else statements.read("a1")
                    await session.send_statement(identifier, text)
                    deployment.record(f"{identifier} answered")
                except Refused as refusal:
                    deployment.record(f"{identifier} refused: {refusal.code}")
                await asyncio.sleep(0.05)
        except (Refused, SessionLost, OSError) as fault:
            deployment.record(f"{name}: session ended: {fault}")
            session.close()
            await asyncio.sleep(0.1)


async def case(deployment: Deployment, trouble):
    sent = {}

    def ran(connection, identifier, text, access, signature, rows):
        member = connection.member.name
        deployment.record(f"{identifier} {text} ran at {member} with the values {connection.values}")
        if connection.values != sent[identifier]:
            deployment.broken(f"{identifier} {text} ran at {member} with the values {connection.values}, its client was acknowledged {sent[identifier]}")

    def committed(member, commit):
        deployment.record(f"{member.name} committed {commit.writes}")

    deployment.observer.ran = ran
    deployment.observer.committed = committed
    await deployment.start_members(1, member_server=serve_grey_member, slots=4, max_connections=46, lag_s=0.02, promote_s=0.6)
    await deployment.start_platform()
    for number in range(3):
        deployment.start_process(deployment.add_proxy(f"proxy-{number}", f"zone-{'abc'[number]}"))
    await deployment.wait_ready()
    for proxy in deployment.proxies:
        for number in range(SESSIONS):
            deployment.spawn(work(deployment, proxy, f"{proxy.name}-c{number}", sent))
    await asyncio.sleep(5.0)
    if trouble:
        GreyConnection.failing.add("m00")
        deployment.record(f"m00 fails {FAILING_SHARE} of its requests")
    await asyncio.sleep(FAILING_S)
    GreyConnection.failing.clear()
    await asyncio.sleep(2.0)
    return BROKEN if deployment.violations else HELD


if __name__ == "__main__":
    run_case(case, __file__)
