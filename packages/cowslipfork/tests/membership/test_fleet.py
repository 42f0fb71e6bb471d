import asyncio
import random
from functools import partial

from fake_fleet import FakeWorld, five_nodes, wait_until_true
from virtual_time import run_virtual

from cowslipfork.membership.member import MemberState
from cowslipfork.store.memory import Fault


def scenario(main):
    """Runs a test under virtual time, always with the same jitter."""

    def run():
        random.seed(5)
        run_virtual(main())

    run.__name__ = main.__name__
    return run


def in_force(world, revision):
    return world.revisions() == {revision}


@scenario
async def test_change_comes_into_force_on_all_nodes():
    world = await five_nodes()
    world.accept(1)
    assert await wait_until_true(lambda: world.revisions() == {1}, 2) < 0.5
    for revision in range(2, 30):
        world.accept(revision)
        await wait_until_true(partial(in_force, world, revision), 1)
    links = [len(node.fleet.linked_peers) for node in world.nodes.values()]
    assert links == [4] * 5
    await world.stop()


@scenario
async def test_killed_node_is_gone_at_once_and_comes_back_as_a_new_one():
    world = await five_nodes()
    await world.kill('vm3')
    took = await wait_until_true(
        lambda: world.states_at_others('vm3') == {MemberState.GONE}, 2
    )
    assert took < 0.5
    world.start('vm3', 'punjab-3')
    await wait_until_true(world.all_live, 3)
    await world.stop()


@scenario
async def test_leaving_node_gets_no_work():
    world = await five_nodes()
    world.nodes['vm1'].fleet.announce_leaving()
    await wait_until_true(
        lambda: world.states_at_others('vm1') == {MemberState.LEAVING}, 1
    )
    for node in world.nodes.values():
        assert 'vm1' not in {
            location.vm for location in node.members.eligible_locations()
        }
    await world.kill('vm1')
    await wait_until_true(
        lambda: world.states_at_others('vm1') == {MemberState.GONE}, 1
    )
    await world.stop()


@scenario
async def test_node_that_ends_at_once_is_still_seen_leaving():
    world = await five_nodes()
    await asyncio.sleep(1)
    node = world.nodes['vm1']
    node.fleet.announce_leaving()
    node.task.cancel()
    await wait_until_true(
        lambda: world.states_at_others('vm1') == {MemberState.LEAVING}, 0.2
    )
    await world.stop()


@scenario
async def test_silent_node_is_gone_only_after_two_others_miss_it():
    world = await five_nodes()
    # vm0 does not hear vm4, all others do
    world.network.cut('vm4:1', 'vm0:1')
    for _ in range(200):
        await asyncio.sleep(0.1)
        assert MemberState.GONE not in world.states_at_others('vm4')
    world.partition(['vm4'], ['vm0', 'vm1', 'vm2', 'vm3'])
    await wait_until_true(
        lambda: world.states_at_others('vm4') == {MemberState.GONE}, 10
    )
    world.network.heal()
    await wait_until_true(world.all_live, 15)
    await world.stop()


@scenario
async def test_node_cut_from_everything_is_not_current():
    world = await five_nodes()
    await wait_until_true(world.all_in_touch, 2)
    world.store.fail(Fault.DOWN)
    world.partition(['vm4'], ['vm0', 'vm1', 'vm2', 'vm3'])
    now = asyncio.get_running_loop().time
    lonely = world.nodes['vm4']
    took = await wait_until_true(lambda: not lonely.fleet.is_current(now()), 10)
    assert took < 8
    assert all(
        node.fleet.is_current(now())
        for node in world.nodes.values()
        if node is not lonely
    )
    world.network.heal()
    await wait_until_true(lambda: lonely.fleet.is_current(now()), 15)
    await world.stop()


@scenario
async def test_node_is_told_when_it_gains_and_loses_its_majority():
    world = FakeWorld()
    world.store.fail(Fault.DOWN)
    for number in range(3):
        world.start(f'vm{number}')
    told = []
    node = world.nodes['vm0']
    now = asyncio.get_running_loop().time
    node.fleet.watch_majority(
        lambda: told.append(node.members.has_majority(now()))
    )
    await wait_until_true(world.all_live, 5)
    await asyncio.sleep(2)
    assert not told
    world.store.heal()
    await wait_until_true(world.all_in_touch, 10)
    await asyncio.sleep(1)
    world.partition(['vm0'], ['vm1', 'vm2'])
    await wait_until_true(lambda: told == [True, False], 5)
    await world.stop()


@scenario
async def test_ten_minutes_without_store():
    world = await five_nodes()
    world.accept(1)
    await wait_until_true(lambda: world.revisions() == {1}, 2)
    world.store.fail(Fault.DOWN)
    before = world.store.calls.total()
    await asyncio.sleep(600)
    down = world.store.calls.total() - before
    world.start('vm5', 'punjab-1')
    await wait_until_true(lambda: world.revisions() == {1}, 3)
    await wait_until_true(world.all_in_touch, 2)
    world.accept(2)
    before = world.store.calls.total()
    world.store.heal()
    await wait_until_true(lambda: world.revisions() == {2}, 15)
    await asyncio.sleep(10)
    back = world.store.calls.total() - before
    relays = sum(node.members.own.relay for node in world.nodes.values())
    assert relays == 6
    assert down < 600 * relays * 2
    assert back < 25 * relays * 2
    await world.stop()


@scenario
async def test_regions_apart_go_on_and_rejoin():
    world = FakeWorld()
    regions = ('punjab', 'cairo', 'lima')
    for number in range(18):
        region = regions[number % 3]
        world.start(f'vm{number:02}', f'{region}-{number // 3 % 2}')
    await wait_until_true(world.all_live, 10)
    await asyncio.sleep(15)
    links = [len(node.fleet.linked_peers) for node in world.nodes.values()]
    assert max(links) <= 8
    apart = [name for name in world.nodes if int(name[2:]) % 3 == 0]
    world.partition(apart, [name for name in world.nodes if name not in apart])
    world.accept(1)
    for _ in range(20):
        await asyncio.sleep(3)
        for node in world.nodes.values():
            assert 'gone' not in node.states().values()
            assert node.members.has_majority(asyncio.get_running_loop().time())
    world.network.heal()
    await wait_until_true(world.all_live, 15)
    world.accept(2)
    await wait_until_true(lambda: world.revisions() == {2}, 3)
    digests = {node.local_records.digest for node in world.nodes.values()}
    assert len(digests) == 1
    await world.stop()


@scenario
async def test_lost_failure_domain():
    world = FakeWorld()
    for number in range(24):
        world.start(f'vm{number:02}', f'punjab-{number % 3}')
    await wait_until_true(world.all_live, 10)
    lost = [name for name in world.nodes if int(name[2:]) % 3 == 0]
    world.partition(lost, [name for name in world.nodes if name not in lost])
    rest = [world.nodes[name] for name in world.nodes if name not in lost]
    await wait_until_true(
        lambda: all(
            {node.states()[name] for name in lost} == {'gone'} for node in rest
        ),
        6,
    )
    now = asyncio.get_running_loop().time()
    assert all(node.members.has_majority(now) for node in rest)
    assert not any(world.nodes[name].members.has_majority(now) for name in lost)
    await world.stop()
