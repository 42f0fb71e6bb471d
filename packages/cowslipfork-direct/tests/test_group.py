"""The primary that a group knows, while entries of its servers change."""

import asyncio
from dataclasses import replace

from direct_fakes.world import World, run, statement

from cowslipfork.outcomes import Done
from cowslipfork_direct.link import EndpointRole

#: Seconds until nodes have followed a change of the store or of the primary.
FOLLOWED = 2

#: Seconds that a statement takes, and until entries change meanwhile.
SERVICE_TIME = 0.05
ENTRY_DELAY = 0.04

#: Seconds that a busy primary takes to report its status.
STATUS_TIME = 0.03


async def handed_over_world():
    """Returns a world after a handover; its entries have the old roles."""
    made = World()
    for number in (1, 2, 3):
        made.start_node(f'n{number}', 'abc'[number - 1])
    await asyncio.sleep(FOLLOWED)
    old = made.database.primary
    old.leaving = True
    made.list_server(old)
    await asyncio.sleep(FOLLOWED)
    assert made.database.primary is not old
    return made


def test_in_doubt_write_while_the_new_roles_are_listed_is_confirmed():
    """Guards against a handover that is followed by a second gap."""

    async def main():
        made = await handed_over_world()
        session = await made.session()
        await session.run(statement('WRITE a'))
        made.database.primary.service_time = SERVICE_TIME
        made.database.primary.status_time = STATUS_TIME
        loop = asyncio.get_running_loop()
        loop.call_later(ENTRY_DELAY, made.list_servers)
        outcome = await session.run(statement('WRITE b'))
        await made.close()
        return outcome

    assert isinstance(run(main()), Done)


def with_role(entries, name, role):
    return [
        replace(entry, role=role) if entry.endpoint == name else entry
        for entry in entries
    ]


def test_only_the_present_primary_keeps_its_status_in_a_new_role():
    """Guards against a status that counts although an entry denies it."""

    async def main():
        made = await handed_over_world()
        group = made.nodes['n1']._view.groups[made.database.name]
        leader = group.leader
        other = next(
            server.name for server in made.servers.values() if server.leaving
        )
        entries = [endpoint.listed for endpoint in group.endpoints.values()]
        known = []
        for name, role in (
            (leader.endpoint, EndpointRole.PRIMARY),
            (other, EndpointRole.REPLICA),
            (leader.endpoint, EndpointRole.REPLICA),
        ):
            entries = with_role(entries, name, role)
            group.update_endpoints(entries)
            known.append((group.leader, group.observed_status(other)))
        await made.close()
        return leader, known

    leader, known = run(main())
    leaders, statuses = zip(*known, strict=True)
    assert leaders == (leader, leader, None)
    assert statuses[0] is not None
    assert statuses[1] is None
