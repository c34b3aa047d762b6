"""Callers of a soak: sessions that read, write, run transactions, set values and use prepared statements."""

import asyncio
import itertools

from platform_standins import CallerSession, Refused, SessionLost, statements
from guaranteechecker import Sent

ITEMS = 60
# A statement sent this shortly before the end of its session may not have been read.
LOSS_SLACK_S = 0.2


class Route:
    """What callers know of one database name."""

    def __init__(self, host, group, sees_own_writes, staleness_s, timeout_s):
        self.host = host
        self.group = group
        self.sees_own_writes = sees_own_writes
        self.staleness_s = staleness_s
        self.timeout_s = timeout_s


class Session:
    """One open session at a proxy."""

    def __init__(self, caller, proxy, route):
        self.caller = caller
        self.proxy = proxy
        self.route = route
        self.wire = CallerSession()
        self.values = {}
        self.prepared = {}
        self.own_commit = None
        self.transaction = None
        self.fresh_from = 0.0
        self.writes = []

    async def open(self):
        await self.wire.open(self.proxy.port("callers"), self.route.host, self.caller.name)

    def close(self):
        self.wire.close()

    async def ask(self, text, identifier=None):
        """Sends one statement; returns (rows, signature) or raises."""
        identifier = identifier or self.caller.next_id()
        asked_at = self.caller.clock()
        try:
            return await self.wire.ask(identifier, text)
        except SessionLost:
            self.caller.cut(self, identifier, asked_at)
            raise

    # Statements that members run

    def note(self, identifier, text):
        now = self.caller.clock()
        fresh_from = self.fresh_from if self.transaction else now
        own = self.own_commit if self.route.sees_own_writes else None
        sent = Sent(self.caller.name, text, self.route, now, fresh_from, self.transaction, dict(self.values), dict(self.prepared), own)
        self.caller.promises.send(identifier, sent)

    async def run(self, text):
        """Runs a read, write or commit; success is checked against what members ran. Returns the statement's id."""
        identifier = self.caller.next_id()
        self.note(identifier, text)
        try:
            rows, signature = await self.ask(text, identifier)
        except Refused as refusal:
            ids = [identifier] + (self.writes if self.transaction else [])
            known = [each for each in ids if each in self.caller.promises.sent]
            self.caller.promises.refused(known, refusal.code)
            raise
        if signature is not None:
            self.caller.promises.answered(self.route.group, identifier, rows, signature)
        return identifier

    def committed(self, identifiers):
        self.caller.promises.acknowledged_writes(self.route.group, identifiers)
        commits = self.caller.promises.commits_of.get(identifiers[-1])
        if commits:
            self.own_commit = commits[-1]


class Caller:
    """One caller: opens sessions at ready proxies and works until it is told to end."""

    def __init__(self, name, random, fleet, routes, promises, clock):
        self.name = name
        self.random = random
        self.fleet = fleet
        self.routes = routes
        self.promises = promises
        self.clock = clock
        self.numbers = itertools.count(1)
        self.served = []
        self.failed = []

    def next_id(self):
        return f"{self.name}-{next(self.numbers)}"

    def cut(self, session, identifier, asked_at):
        """The session ended although a statement was not answered."""
        took = self.clock() - asked_at
        sent = self.promises.sent.get(identifier)
        passed_on = sent is not None and bool(sent.runs)
        # A statement that crosses the end of a session at rest was not taken in.
        crossed = not passed_on and took <= LOSS_SLACK_S
        in_time = took < session.route.timeout_s * 0.7
        if in_time and not crossed and self.fleet.stopping_undisturbed(session.proxy, asked_at):
            self.promises.breach("cut by a graceful stop", f"{identifier} at {session.proxy.name} after {took:.2f} s")

    async def work(self, end):
        while self.clock() < end():
            proxy = self.fleet.choose(self.random)
            if proxy is None:
                await asyncio.sleep(0.1)
                continue
            session = Session(self, proxy, self.random.choice(self.routes))
            try:
                await session.open()
                for _ in range(self.random.choice((1, 3, 40))):
                    if self.clock() >= end():
                        break
                    await self._operation(session)
                    await asyncio.sleep(self.random.uniform(0.0, 0.12))
            except (SessionLost, Refused):
                self.failed.append(self.clock())
                await asyncio.sleep(self.random.uniform(0.02, 0.2))
            finally:
                session.close()

    async def _operation(self, session):
        """One operation; its refusals end it, not the session."""
        draw = self.random.random()
        try:
            if draw < 0.10:
                await self._set(session)
            elif draw < 0.20:
                await self._prepared(session)
            elif draw < 0.45:
                await self._transaction(session)
            elif draw < 0.62:
                session.committed([await session.run(statements.write(self._item(), self._data()))])
            else:
                await session.run(statements.read(self._item()))
            self.served.append(self.clock())
        except Refused:
            self.failed.append(self.clock())
            await self._recover(session)
            await asyncio.sleep(self.random.uniform(0.02, 0.1))

    async def _recover(self, session):
        """Brings the session back out of a failed transaction."""
        session.transaction, session.writes = None, []
        if not session.wire.rests():
            await session.ask(statements.ROLLBACK)

    async def _set(self, session):
        name, value = self.random.choice(("tz", "who")), self._data()
        await session.ask(statements.set_value(name, value))
        session.values[name] = value

    async def _prepared(self, session):
        access = self.random.choice((statements.READ, statements.WRITE))
        name = self.random.choice(("s1", "s2"))
        if name in session.prepared:
            await session.ask(statements.deallocate(name))
            del session.prepared[name]
        shape = f"q{self.random.randrange(4)}"
        await session.ask(statements.prepare(name, access, shape))
        session.prepared[name] = (access, shape)
        if access == statements.READ:
            await session.run(statements.execute(name, self._item()))
        else:
            session.committed([await session.run(statements.execute(name, self._item(), self._data()))])

    async def _transaction(self, session):
        reads_only = self.random.random() < 0.4
        session.transaction = self.next_id()
        session.fresh_from = self.clock()
        session.writes = []
        first = True
        await session.ask(statements.begin(reads_only))
        for _ in range(self.random.randrange(1, 6)):
            if first:
                session.fresh_from, first = self.clock(), False
            if not reads_only and self.random.random() < 0.5:
                session.writes.append(await session.run(statements.write(self._item(), self._data())))
            else:
                await session.run(statements.read(self._item()))
            await asyncio.sleep(self.random.choice((0.0, 0.0, 0.03, 0.2)))
        ending = self.random.random()
        if ending < 0.06:
            raise SessionLost("leaves in the middle")
        if ending < 0.15:
            await session.ask(statements.ROLLBACK)
            self.promises.refused(session.writes, statements.ROLLED_BACK)
        else:
            await session.run(statements.COMMIT)
            if session.writes:
                session.committed(session.writes)
        session.transaction, session.writes = None, []

    def _item(self):
        return f"i{self.random.randrange(ITEMS):x}"

    def _data(self):
        return f"{self.random.getrandbits(40):x}"


