"""PINNED: clients prepare a statement whose shape holds a blank."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from deployment import BROKEN, HELD, CallerSession, Deployment, Refused, SessionLost, run_case, statements  # noqa: E402
from standins.connections import MAX_LINE_BYTES, MemberConnection  # noqa: E402

ROUNDS = 10


class StrictConnection(MemberConnection):
    """A connection to a member that refuses a PREPARE without READ or WRITE after the name."""

    async def _own_prepare(self, text):
        words = text.split(" ", 3)
        if len(words) < 4 or words[2] not in ("READ", "WRITE"):
            await self._send("ERROR MALFORMED the access is READ or WRITE", self._ready())
            return
        await super()._own_prepare(text)


async def serve_strict_member(member, random):
    async def on_connection(reader, writer):
        await StrictConnection(member, reader, writer, random).run()

    return await asyncio.start_server(on_connection, "127.0.0.1", member.port, limit=MAX_LINE_BYTES)


async def run_prepared(deployment, proxy, identifier, shape, arguments, sent):
    """Prepares a write of `shape` in a new session and executes it once."""
    session = CallerSession()
    try:
        await session.open(proxy.port("callers"), "db0-p", "client")
        prepare = statements.prepare("s1", "WRITE", shape)
        await session.send_statement(f"{identifier}-prepare", prepare)
        deployment.record(f"{identifier}: {prepare!r} was acknowledged")
        sent[identifier] = (shape, arguments)
        deployment.record(f"{identifier}: sends 'EXECUTE s1 {arguments}'")
        await session.send_statement(identifier, f"EXECUTE s1 {arguments}")
        deployment.record(f"{identifier}: success")
    except (Refused, SessionLost, OSError) as fault:
        deployment.record(f"{identifier}: {fault}")
    session.close()


async def case(deployment: Deployment, trouble):
    sent = {}

    def ran(connection, identifier, text, access, signature, rows):
        _, name, arguments = text.split(" ", 2)
        shape = connection.prepared[name][1]
        deployment.record(f"{connection.member.name} ran {identifier}: {text!r}, of the shape {shape!r}")
        if (shape, arguments) != sent[identifier]:
            deployment.broken(f"{identifier} ran the shape {shape!r} with {arguments!r}; its client sent {sent[identifier]}")

    def committed(member, commit):
        deployment.record(f"{member.name} committed {commit.writes}")

    deployment.observer.ran = ran
    deployment.observer.committed = committed
    await deployment.start_members(1, member_server=serve_strict_member, slots=2, max_connections=16, lag_s=0.02, promote_s=0.6)
    await deployment.start_platform()
    for number in range(3):
        deployment.start_process(deployment.add_proxy(f"proxy-{number}", f"zone-{'abc'[number]}"))
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    blank = " " if trouble else "-"
    for number in range(ROUNDS):
        proxy = deployment.proxies[number % 3]
        await run_prepared(deployment, proxy, f"a{number}", "q2c", f"item{number} data{number}", sent)
        await run_prepared(deployment, proxy, f"b{number}", f"q2c{blank}wide", f"salary{number} 100", sent)
        await asyncio.sleep(0.2)
    return BROKEN if deployment.violations else HELD


if __name__ == "__main__":
    run_case(case, __file__)
