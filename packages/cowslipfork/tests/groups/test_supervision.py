import asyncio
from functools import wraps
from inspect import Signature, signature

import pytest
from cluster import Cluster, serving, wait_until_true
from tracker_fixture import E1, E2, E3, GROUP
from virtual_time import now, run_virtual

from cowslipfork.groups import (
    Condition,
    EndpointRole,
    encode_record,
    first_record,
    read_record,
    record_key,
    write_refusal,
)
from cowslipfork.outcomes import Reason
from cowslipfork.store.memory import Fault


def clustered(test):
    """Runs a test with a started cluster in which one write is acknowledged."""

    @wraps(test)
    def wrapper(*args, **kwargs):
        async def scenario():
            cluster = Cluster()
            cluster.start()
            await asyncio.sleep(0.5)
            assert await cluster.nodes[0].write('first')
            try:
                await test(cluster, *args, **kwargs)
            finally:
                await cluster.stop()
            assert not cluster.promises_broken()

        run_virtual(scenario())

    wrapper.__signature__ = Signature(
        list(signature(test).parameters.values())[1:]
    )
    return wrapper


def kill(cluster):
    cluster.group.servers[E1].dead = True


def freeze(cluster):
    cluster.group.servers[E1].not_frozen.clear()


def cut_off(cluster):
    for name in (E2, E3, 'n1', 'n2', 'n3'):
        cluster.group.cut(E1, name)


def cut_from_replicas(cluster):
    cluster.group.cut(E1, E2)
    cluster.group.cut(E1, E3)


def restart(cluster):
    cluster.group.servers[E1].restart()


FAULTS = {
    'kill': (kill, 0.3),
    'freeze': (freeze, 0.8),
    'cut off': (cut_off, 0.8),
    'cut from replicas': (cut_from_replicas, 2.5),
    'restart': (restart, 0.3),
}


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('lost_nodes', [0, 1])
@clustered
async def test_another_primary_takes_over(cluster, fault, lost_nodes):
    inject, bound = FAULTS[fault]
    if lost_nodes:
        # The carrier fails together with the primary; the node of the next rank
        # takes over.
        cluster.nodes[0].kill()
        cluster.nodes[1].rank = 0
    inject(cluster)
    assert await cluster.until_serving(term=2) < bound
    assert not cluster.lost()
    assert cluster.primary().term == 2
    assert (await read_record(cluster.store, GROUP)).record.serving


@pytest.mark.parametrize('fault', FAULTS)
@clustered
async def test_the_old_primary_returns_and_follows(cluster, fault):
    for name in (E2, E3):
        cluster.group.cut(E1, name)
    group = cluster.group
    for number in range(5):
        group.servers[E1].write(1, ('tail', number))
    FAULTS[fault][0](cluster)
    await cluster.until_serving(term=2)
    old = group.servers[E1]
    if old.dead:
        old.restart()
    old.not_frozen.set()
    group.heal()
    await asyncio.sleep(1)
    assert old.role is EndpointRole.REPLICA
    assert old.log == cluster.primary().log
    assert not cluster.lost()
    assert all(serving(node) for node in cluster.nodes)


@clustered
async def test_a_replaced_primary_that_is_still_reached_acknowledges_nothing(
    cluster,
):
    # Node n3 and the old primary are on one side, all others on the other.
    for name in (E2, E3, 'n1', 'n2'):
        cluster.group.cut(E1, name)
    for name in (E2, E3):
        cluster.group.cut('n3', name)
    cluster.isolated.add('n3')
    stale = asyncio.create_task(cluster.nodes[2].write('stale', patience=9))
    await cluster.until_serving(term=2)
    assert cluster.nodes[2].tracker.record.term == 1
    assert await cluster.nodes[2].write('staler') is None
    assert await stale is None
    assert cluster.nodes[2].health.condition is not Condition.CLAIMING
    assert not cluster.lost()


@clustered
async def test_an_isolated_node_replaces_no_primary(cluster):
    for name in (E1, E2, E3):
        cluster.group.cut('n1', name)
    await asyncio.sleep(3)
    assert cluster.nodes[0].health.condition is Condition.CUT_OFF
    refusal = write_refusal(Condition.CUT_OFF)
    assert refusal.reason is Reason.NO_PRIMARY and refusal.retry_after_ms
    cluster.isolated.add('n1')
    await asyncio.sleep(3)
    assert cluster.store.revision == 0
    cluster.group.heal()
    await asyncio.sleep(1)
    assert serving(cluster.nodes[0])
    assert cluster.group.servers[E1].term == 1


@clustered
async def test_stalled_connections_cause_no_promotion(cluster):
    for node in cluster.nodes:
        cluster.group.stalled_connections.add((node.name, E1))
    await asyncio.sleep(3)
    assert cluster.store.revision == 0
    assert all(serving(node) for node in cluster.nodes)


@pytest.mark.parametrize('when', ['before', 'during'])
@clustered
async def test_no_promotion_without_the_store(cluster, when):
    if when == 'before':
        cluster.store.fail(Fault.DOWN)
        kill(cluster)
    else:
        kill(cluster)
        await wait_until_true(lambda: cluster.published)
        cluster.store.fail(Fault.DOWN)
    await asyncio.sleep(3)
    condition = cluster.nodes[0].health.condition
    assert condition is Condition.STORE_DOWN
    assert write_refusal(condition).reason is Reason.STORE_DOWN
    assert not any(
        node.tracker.record.term == 2 and node.tracker.record.serving
        for node in cluster.nodes
    )
    cluster.store.heal()
    assert await cluster.until_serving(term=2) < 2
    assert not cluster.lost()


@clustered
async def test_claimers_back_off_while_the_store_is_down(cluster):
    cluster.store.fail(Fault.DOWN)
    kill(cluster)
    await asyncio.sleep(5)
    before = cluster.store.calls['get']
    await asyncio.sleep(60)
    # Each of the three claimers reads the store about once a second, and gossip
    # reads it twice a second.
    assert cluster.store.calls['get'] - before < 60 * (3 + 2)


@clustered
async def test_a_failed_store_does_not_affect_a_healthy_group(cluster):
    cluster.store.fail(Fault.DOWN)
    await asyncio.sleep(3)
    assert await cluster.nodes[0].write('second')
    assert all(serving(node) for node in cluster.nodes)


@clustered
async def test_no_promotion_without_a_majority_of_endpoints(cluster):
    kill(cluster)
    cluster.group.servers[E2].dead = True
    await asyncio.sleep(6)
    assert cluster.nodes[0].health.condition is Condition.NO_MAJORITY
    assert write_refusal(Condition.NO_MAJORITY).reason is Reason.NO_PRIMARY
    cluster.group.servers[E2].restart()
    assert await cluster.until_serving(term=2) < 4
    assert not cluster.lost()


@clustered
async def test_a_new_primary_that_fails_at_once_is_replaced(cluster):
    kill(cluster)
    await wait_until_true(lambda: any(r.serving for r in cluster.published))
    cluster.group.servers[cluster.published[-1].primary].dead = True
    cluster.group.servers[E1].restart()
    await cluster.until_serving(term=3)
    assert not cluster.lost()


@clustered
async def test_a_leaving_primary_hands_over(cluster):
    leaving = cluster.group.servers[E1]
    leaving.leaving = True
    begun = now()
    await cluster.until_serving(term=2)
    assert now() - begun < 0.5
    assert cluster.primary().name != E1
    assert not cluster.lost()
    await asyncio.sleep(1)
    assert leaving.role is EndpointRole.REPLICA
    assert (await read_record(cluster.store, GROUP)).record.term == 2


@pytest.mark.parametrize('fault', [Fault.LOST_ANSWER, Fault.LOST_REQUEST])
@pytest.mark.parametrize('count', [1, 2, 3])
@clustered
async def test_lost_answers_of_the_store_do_not_stop_a_claim(
    cluster, fault, count
):
    for _ in range(count):
        cluster.store.fail_once(fault)
    kill(cluster)
    assert await cluster.until_serving(term=2) < 0.4
    assert cluster.primary().term == 2


#: Calls of a claim: read, claim, three fences, promote, publish.
CLAIM_CALLS = 7


@pytest.mark.parametrize('step', range(1, CLAIM_CALLS + 1))
@pytest.mark.parametrize('side', ['before', 'after'])
@clustered
async def test_a_claimer_may_crash_at_any_step(cluster, step, side):
    claimer = cluster.nodes[0]
    setattr(claimer.crash_injector, f'dies_{side}', step)
    kill(cluster)
    await wait_until_true(lambda: not claimer.alive)
    cluster.nodes[1].rank = 0
    await cluster.until_serving(term=2)
    assert not cluster.lost()
    terms = [record.term for record in cluster.published]
    assert terms == sorted(terms)


@clustered
async def test_two_claimers_agree_on_one_record(cluster):
    for node in cluster.nodes:
        node.rank = 0
    kill(cluster)
    assert await cluster.until_serving(term=2) < 3
    await asyncio.sleep(2)
    assert not cluster.lost()
    assert len({node.tracker.record for node in cluster.nodes}) == 1


# The claimer is paused after each number of calls of a claim. When it resumes,
# its compare-and-swap or its fence is refused.
@pytest.mark.parametrize('calls', range(1, CLAIM_CALLS + 1))
@clustered
async def test_a_paused_claimer_is_refused_when_it_resumes(cluster, calls):
    paused, other = cluster.nodes[:2]
    before = paused.crash_injector.calls
    kill(cluster)
    await wait_until_true(lambda: paused.crash_injector.calls - before >= calls)
    paused.crash_injector.awake.clear()
    cluster.isolated.add(paused.name)
    other.rank = 0
    await cluster.until_serving(term=2)
    serving_record = (await read_record(cluster.store, GROUP)).record
    paused.crash_injector.awake.set()
    await asyncio.sleep(0.3)
    cluster.isolated.clear()
    await asyncio.sleep(2)
    record = (await read_record(cluster.store, GROUP)).record
    assert paused.tracker.record == record
    # Its own claim may be superseded, but it must never undo the other's.
    assert record.term >= serving_record.term and record.serving
    assert cluster.primary().name == record.primary


@clustered
async def test_a_new_term_begins_with_an_entry_of_that_term(cluster):
    kill(cluster)
    tracker = cluster.nodes[0].tracker
    await wait_until_true(
        lambda: tracker.record.serving and tracker.record.term == 2
    )
    # A repeated job writes nothing, but must still be acknowledged.
    found = await tracker.wait_until_acknowledged(
        tracker.record.term, now() + 1
    )
    assert found.ok.term == 2


@clustered
async def test_an_invalid_record_stops_only_promotions(cluster):
    key = record_key(GROUP.name)
    cluster.store.put(key, b'\xff')
    kill(cluster)
    await asyncio.sleep(3)
    assert cluster.nodes[0].health.condition is Condition.STORE_DOWN
    assert all(node.alive for node in cluster.nodes)
    cluster.store.put(key, encode_record(first_record(GROUP)))
    assert await cluster.until_serving(term=2) < 3


@clustered
async def test_a_primary_that_was_removed_is_replaced(cluster):
    node = cluster.nodes[0]
    node.kill()
    await asyncio.sleep(0)
    node.start(without=E1)
    assert await cluster.until_serving(term=2) < 0.5
    assert cluster.primary().name != E1
