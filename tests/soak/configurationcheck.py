"""Checks that each proxy has a configuration in force in time, and never an older one again."""

import asyncio
import re

from fleet import CONFIGURATION_DEADLINE_S

POLL_S = 0.5
REQUEST_TIMEOUT_S = 2.0
VERSION = re.compile(rb"^configuration_version (\d+)", re.MULTILINE)


class ConfigurationCheck:
    """Polls the version that each proxy's metrics show, and compares it with what the store accepted."""

    def __init__(self, fleet, operator, checker, clock):
        self.fleet = fleet
        self.operator = operator
        self.checker = checker
        self.clock = clock
        # By proxy name: when its process started, and the newest version that it showed.
        self.newest = {}

    async def watch(self):
        """Polls all proxies until it is cancelled."""
        while True:
            await asyncio.gather(*(self._poll(proxy) for proxy in self.fleet.proxies if proxy.ready))
            await asyncio.sleep(POLL_S)

    async def _poll(self, proxy):
        started_at = proxy.started_at
        at, loop_time = self.clock(), asyncio.get_running_loop().time()
        version = await _version_of(proxy)
        if version is not None and proxy.started_at == started_at:
            self.judge(proxy, at, loop_time, version)

    def judge(self, proxy, at, loop_time, version):
        """Compares the version in force at a proxy, asked for at `at` (`loop_time` in the event loop's clock), with the accepted ones."""
        started_at, newest = self.newest.get(proxy.name, (None, 0))
        if started_at == proxy.started_at and version < newest:
            self.checker.add_violation("configuration went back", f"{proxy.name} shows {version} after {newest}")
        self.newest[proxy.name] = (proxy.started_at, version)
        due = [accepted for accepted_at, accepted in self.operator.accepted if accepted_at + CONFIGURATION_DEADLINE_S < loop_time]
        if due and version < due[-1] and self.fleet.undisturbed(proxy, at - CONFIGURATION_DEADLINE_S):
            self.checker.add_violation("configuration late", f"{proxy.name} shows {version}, {due[-1]} is due")


async def _version_of(proxy):
    """Returns the version that the proxy's metrics show; None without a reply."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", proxy.port("metrics")), REQUEST_TIMEOUT_S)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        page = await asyncio.wait_for(reader.read(), REQUEST_TIMEOUT_S)
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return None
    found = VERSION.search(page)
    return int(found[1]) if found else None
