"""Faults of what the platform gives: odd entries of another writer, members that fail requests, promotions without an answer.

They are drawn apart from those in faults.py, so that a seed still draws the same ones there.
"""

import asyncio

from platform_standins import ForeignWriter

# Until a lease that was overwritten is taken, and a proxy whose entry was overwritten counts as settled.
LEASE_S = 9.0


async def odd_entries(world):
    """Leaves odd entries for a while; proxies may start beside them."""
    writer, for_s = ForeignWriter(world.store, world.extra_random), world.extra_random.uniform(2.0, 8.0)
    await writer.add_entries(world.extra_random.choice((1, 3)))
    if world.extra_random.random() < 0.5:
        await world.fleet.kill(world.extra_random.choice(world.fleet.proxies), 0.5)
    await asyncio.sleep(for_s)
    await writer.remove_entries()


async def overwritten_entries(world):
    """Overwrites an entry of the proxies' own, or the lease."""
    world.record_disturbance(LEASE_S)
    writer = ForeignWriter(world.store, world.extra_random)
    if world.extra_random.random() < 0.3:
        await writer.overwrite_lease()
    else:
        await writer.overwrite_fleet_entry()


async def member_fails_requests(world):
    """Makes a member fail part of its requests, of whatever kind they are, without effect."""
    group, for_s = world.extra_random.choice(world.groups), world.extra_random.uniform(2.0, 6.5)
    world.record_disturbance(for_s)
    member = world.extra_random.choice(list(group.members.values()))
    member.failure_probability = 0.45
    await asyncio.sleep(for_s)
    member.failure_probability = 0.0


async def promotions_without_answer(world):
    """Makes the platform promote members without a reply."""
    for_s = world.extra_random.uniform(1.0, 5.0)
    world.record_disturbance(for_s)
    world.promotions.loses_answers = True
    await asyncio.sleep(for_s)
    world.promotions.loses_answers = False


ALL = (odd_entries, odd_entries, overwritten_entries, member_fails_requests, member_fails_requests, promotions_without_answer)
# Of the faults in faults.py, how many come with one of these.
SHARE = 0.3
