"""UNASKED: clients send broken packets: a line whose text holds a line feed without a carriage return."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from deployment import BROKEN, HELD, CallerSession, Deployment, Refused, SessionLost, run_case, statements  # noqa: E402

BROKEN_PACKETS = 5


async def send_line(deployment, proxy, text):
    """Opens a session, sends `text` and CR LF, and records what comes back for a moment."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port("callers"))
    writer.write(b"START db0-p client\r\n")
    await asyncio.wait_for(reader.readline(), 2.0)
    writer.write(text.encode() + b"\r\n")
    deployment.record(f"client sent to {proxy.name}: {text!r} and CR LF")
    try:
        while line := await asyncio.wait_for(reader.readline(), 3.0):
            deployment.record(f"client received {line!r}")
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()


async def usual_work(deployment, proxy, sent):
    """Writes and reads as usual, and expects to be served."""
    session = CallerSession()
    await session.open(proxy.port("callers"), "db0-p", "client")
    for number in range(10):
        identifier = f"{proxy.name}-{number}"
        text = statements.write(f"a{number}", f"d{number}") if number % 2 else statements.read(f"a{number}")
        sent[identifier] = text
        try:
            await session.send_statement(identifier, text)
        except Refused as refusal:
            deployment.record(f"{identifier} refused: {refusal.code}")
        await asyncio.sleep(0.1)
    session.close()


async def case(deployment: Deployment, trouble):
    sent = {}

    def ran(connection, identifier, text, access, signature, rows):
        deployment.record(f"{connection.member.name} ran {identifier}: {text!r}")
        if identifier not in sent:
            deployment.broken(f"{connection.member.name} ran {identifier} {text!r}, which no client sent")
        elif sent[identifier] != text:
            deployment.broken(f"{connection.member.name} ran {identifier} with the text {text!r}; its client sent {sent[identifier]!r}")

    def committed(member, commit):
        deployment.record(f"{member.name} committed {commit.writes}")

    deployment.observer.ran = ran
    deployment.observer.committed = committed
    await deployment.start_members(1, max_connections=40, lag_s=0.012, promote_s=0.6)
    await deployment.start_platform()
    for number in range(3):
        deployment.start_process(deployment.add_proxy(f"proxy-{number}", f"zone-{'abc'[number]}"))
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    for proxy in deployment.proxies:
        await usual_work(deployment, proxy, sent)
    for number in range(BROKEN_PACKETS):
        # One line as the page defines it: it ends with CR LF, and its last field extends to the end of the line.
        identifier = f"b{number}"
        separator = "\n" if trouble else " "
        text = f"WRITE note{number} paid{separator}QUERY x{number} WRITE salary{number} 9999"
        sent[identifier] = text
        try:
            await send_line(deployment, deployment.proxies[number % 3], f"QUERY {identifier} {text}")
        except (SessionLost, OSError, asyncio.TimeoutError) as fault:
            deployment.record(f"{identifier} failed: {fault}")
    return BROKEN if deployment.violations else HELD


if __name__ == "__main__":
    run_case(case, __file__)
