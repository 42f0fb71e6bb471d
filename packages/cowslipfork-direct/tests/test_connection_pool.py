"""The pool of connections to an endpoint, by workspace."""

import asyncio
import random
from itertools import accumulate

import pytest
from direct_fakes.world import run
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.configuration import RequestClass
from cowslipfork.ids import (
    ClassName,
    EndpointId,
    FailureDomain,
    GroupName,
    WorkspaceName,
)
from cowslipfork.limits import QueuedRequest, QueueRejection, SlotQueue
from cowslipfork_direct.checkout import Checkout, check_out
from cowslipfork_direct.connection_pool import (
    IDLE_LIMIT,
    SPARE_IDLE_LIMIT,
    WORKSPACE_IDLE_LIMIT,
    ConnectionPool,
)
from cowslipfork_direct.group import SPARE_LINKS, Group
from cowslipfork_direct.link import (
    EndpointRole,
    LinkRefused,
    Network,
    ReplyCode,
)
from cowslipfork_direct.link_quota import LinkQuota
from cowslipfork_direct.listing import ListedEndpoint
from cowslipfork_direct.pool_policy import Wanted, may_use_another
from cowslipfork_direct.reading import read_candidates

A = EndpointId('a')
W = WorkspaceName('w')
X = WorkspaceName('x')
Y = WorkspaceName('y')
LOOKUP = RequestClass(ClassName('lookup'), 16, 200, deadline=2.5)

#: Seconds of a slot that opening a connection and a statement take.
OPENING_TIME = 0.012
SERVICE_TIME = 0.018


class FakeLink:
    def __init__(self, workspace):
        self.workspace = workspace
        self.closed = False
        self.reusable = True

    def close(self):
        self.closed = True


class Opener:
    """Opens links and remembers them; may refuse."""

    def __init__(self):
        self.links = []
        self.full = False

    @property
    def open(self):
        return [link for link in self.links if not link.closed]

    async def __call__(self, workspace):
        await asyncio.sleep(OPENING_TIME)
        if self.full:
            raise LinkRefused(A, 'full', ReplyCode.TOO_MANY_CONNECTIONS)
        link = FakeLink(workspace)
        self.links.append(link)
        return link


def pool_of(opener, links=2, spare=0):
    pool = ConnectionPool(A, opener, lambda: None)
    pool.set_quota(links, spare)
    return pool


async def use(pool, workspace):
    pooled = await pool.check_out(Wanted({}, workspace))
    await asyncio.sleep(SERVICE_TIME)
    pooled.used_at = asyncio.get_running_loop().time()
    pool.check_in(pooled, usable=True)
    return pooled


def test_a_connection_is_opened_for_each_workspace_while_there_is_room():
    async def main():
        opener = Opener()
        pool = pool_of(opener)
        used = [await use(pool, name) for name in (W, X, W, X)]
        return opener, pool, used

    opener, pool, used = run(main())
    assert [link.workspace for link in opener.links] == [W, X]
    assert [pooled.workspace for pooled in used] == [W, X, W, X]
    assert (pool.opened, pool.evicted) == (2, 0)


def test_the_least_recently_used_connection_makes_room():
    async def main():
        opener = Opener()
        pool = pool_of(opener)
        for name in (W, X, W, Y):
            await use(pool, name)
        return opener, pool

    opener, pool = run(main())
    assert [link.workspace for link in opener.open] == [W, Y]
    assert (pool.opened, pool.evicted) == (3, 1)
    assert pool.has_idle(W)
    assert not pool.has_idle(X)


def test_mixed_idle_connection_with_a_late_answer_is_not_used_again():
    async def main():
        opener = Opener()
        pool = pool_of(opener)
        await use(pool, W)
        opener.links[0].reusable = False
        await use(pool, W)
        return opener

    opener = run(main())
    assert [link.closed for link in opener.links] == [True, False]


def test_mixed_connection_that_answered_twice_is_closed_after_its_use():
    async def main():
        opener = Opener()
        pool = pool_of(opener)
        pooled = await pool.check_out(Wanted({}, W))
        opener.links[0].reusable = False
        pool.check_in(pooled, usable=True)
        return opener, pool

    opener, pool = run(main())
    assert opener.open == []
    assert pool.open_links == 0


def test_connections_that_are_being_opened_count_against_the_share():
    """Else those opened at the same time exceed what the endpoint accepts."""

    async def main():
        opener = Opener()
        pool = pool_of(opener, links=3)
        await use(pool, W)
        await use(pool, X)
        await asyncio.gather(*(use(pool, Y) for _ in range(2)))
        return opener

    assert len(run(main()).open) == 3


def test_an_endpoint_that_is_full_accepts_one_in_place_of_another():
    async def main():
        opener = Opener()
        pool = pool_of(opener, links=5)
        await use(pool, W)
        opener.full = True
        with pytest.raises(LinkRefused):
            await use(pool, X)
        opener.full = False
        assert pool.has_room
        await use(pool, X)
        return opener, pool

    opener, pool = run(main())
    assert [link.workspace for link in opener.open] == [X]
    assert pool.evicted == 1


def test_a_full_endpoint_without_idle_connections_is_not_asked_again_at_once():
    async def main():
        opener = Opener()
        pool = pool_of(opener)
        opener.full = True
        with pytest.raises(LinkRefused):
            await use(pool, W)
        opener.full = False
        assert not pool.has_room
        with pytest.raises(LinkRefused):
            await use(pool, W)
        await asyncio.sleep(1)
        await use(pool, W)
        return opener

    assert len(run(main()).links) == 1


def test_connections_of_withdrawn_workspaces_are_closed():
    """Those in use serve their statement first, and then nobody."""

    async def main():
        opener = Opener()
        pool = pool_of(opener, links=5)
        await use(pool, W)
        await use(pool, X)
        first = await pool.check_out(Wanted({}, W))
        second = await pool.check_out(Wanted({}, W))
        pool.check_in(first, usable=True)
        pool.retire({W})
        in_use = not second.link.closed
        pool.check_in(second, usable=True)
        return opener, in_use

    opener, in_use = run(main())
    assert in_use
    assert [link.workspace for link in opener.open] == [X]


def test_connections_opened_for_withdrawn_workspaces_serve_once():
    """Guards against late statements of other nodes that hold connections."""

    async def main():
        opener = Opener()
        pool = pool_of(opener, links=5)
        opening = asyncio.create_task(use(pool, W))
        await asyncio.sleep(OPENING_TIME / 2)
        pool.retire({W})
        await opening
        await use(pool, W)
        withdrawn = len(opener.open)
        pool.retire(())
        await use(pool, W)
        return withdrawn, len(opener.open)

    assert run(main()) == (0, 1)


def test_connections_of_workspaces_are_kept_longer():
    """Each of many workspaces has pauses longer than the usual limit."""

    async def main():
        opener = Opener()
        pool = pool_of(opener, links=5)
        for name in (None, W, X):
            await use(pool, name)
        await asyncio.sleep(IDLE_LIMIT + 0.1)
        await use(pool, X)
        after = [link.workspace for link in opener.open]
        await asyncio.sleep(WORKSPACE_IDLE_LIMIT + 0.1)
        await use(pool, X)
        return after, [link.workspace for link in opener.open]

    after, in_the_end = run(main())
    assert after == [W, X]
    assert in_the_end == [X]


pool_actions = st.lists(
    st.one_of(
        st.tuples(st.just('use'), st.sampled_from([None, W, X, Y])),
        st.tuples(st.just('control'), st.none()),
        st.tuples(st.just('return'), st.integers(0, 20)),
        st.tuples(st.just('break'), st.integers(0, 20)),
        st.tuples(st.just('quota'), st.integers(1, 5)),
        st.tuples(st.just('retire'), st.sampled_from([W, X])),
        st.tuples(st.just('wait'), st.floats(0, 40)),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(pool_actions)
def test_connections_serve_one_workspace_and_are_not_closed_while_in_use(
    actions,
):
    run(_random_run(actions))


async def _random_run(actions):
    opener = Opener()
    pool = pool_of(opener, links=3)
    links = 3
    held = []
    for action, argument in actions:
        open_before = pool.open_links
        if action in {'use', 'control'} and len(held) < links:
            control = action == 'control'
            pooled = await pool.check_out(Wanted({}, argument, control))
            assert control or pooled.link.workspace == argument
            assert pooled.link.workspace == pooled.workspace
            held.append(pooled)
        elif action in {'return', 'break'} and held:
            pooled = held.pop(argument % len(held))
            pooled.used_at = asyncio.get_running_loop().time()
            pool.check_in(pooled, usable=action == 'return')
            assert pooled.link.closed or action == 'return'
        elif action == 'quota':
            links = argument
            pool.set_quota(links, 0)
        elif action == 'retire':
            pool.retire({argument})
            assert not pool.has_idle(argument)
        elif action == 'wait':
            await asyncio.sleep(argument)
        assert not any(pooled.link.closed for pooled in held)
        assert len(opener.open) == pool.open_links
        # A smaller quota leaves those in use open, and for a moment after it.
        assert pool.open_links <= max(links, open_before)
        assert pool.in_use == len(held)


class Carrier:
    """A node that sends statements of workspaces to an endpoint.

    Its pool and queue are real; statements and openings take time only.
    """

    def __init__(self, links, statements_at_once, seed):
        self.rng = random.Random(seed)
        self.opener = Opener()
        self.pool = pool_of(self.opener, links)
        self.served = 0
        self.rejected = 0
        self._queue = SlotQueue(
            {A: statements_at_once},
            links - statements_at_once,
            self.rng.random,
            may_use_another,
        )

    async def play(self, per_second, seconds):
        """Sends statements.

        Args:
            per_second: statements a second by workspace.
            seconds: seconds for which they arrive.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        names = list(per_second)
        cumulative = list(accumulate(per_second.values()))
        calls = []
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(cumulative[-1]))
            (name,) = self.rng.choices(names, cum_weights=cumulative)
            calls.append(asyncio.create_task(self._call(name)))
        await asyncio.gather(*calls)

    async def _call(self, workspace):
        loop = asyncio.get_running_loop()
        queued = QueuedRequest(
            LOOKUP, lambda: (A,), loop.time() + 0.25, workspace=workspace
        )
        if isinstance(await self._queue.acquire(queued), QueueRejection):
            self.rejected += 1
            return
        begun = loop.time()
        pooled = await self.pool.check_out(Wanted({}, workspace))
        assert pooled.link.workspace == workspace
        await asyncio.sleep(SERVICE_TIME * self.rng.uniform(0.5, 1.5))
        assert not pooled.link.closed
        pooled.used_at = loop.time()
        self.pool.check_in(pooled, usable=True)
        self._queue.release(A, loop.time() - begun, workspace)
        self.served += 1


#: Slots of the endpoint, its connections, and the workspaces before it.
SLOTS = 5
CONNECTIONS = 78
WORKSPACES = 82
CARRIERS = 3

#: Greatest fraction of the slots that opening connections may take.
OPENING_SHARE = 0.1

SECONDS = 20


def zipf(load):
    """Returns statements a second by workspace.

    Args:
        load: fraction of what the slots allow.
    """
    weights = {f'w{rank}': 1 / rank for rank in range(1, WORKSPACES + 1)}
    unit = load * SLOTS / SERVICE_TIME / sum(weights.values())
    return {name: weight * unit for name, weight in weights.items()}


def opening_bound(load):
    """Returns the greatest fraction of statements that may open a connection.

    Args:
        load: fraction of what the slots allow.
    """
    statements = load * SLOTS / SERVICE_TIME
    return OPENING_SHARE * SLOTS / OPENING_TIME / statements


def played(*patterns, seed):
    """Returns carriers that served statements by workspace side by side."""
    carriers = [
        Carrier(CONNECTIONS // CARRIERS, 4, f'{seed} {number}')
        for number in range(len(patterns))
    ]

    async def main():
        await asyncio.gather(
            *(
                carrier.play(pattern, SECONDS)
                for carrier, pattern in zip(carriers, patterns, strict=True)
            )
        )

    run(main())
    opened = sum(carrier.pool.opened for carrier in carriers)
    served = sum(carrier.served for carrier in carriers)
    assert not any(carrier.rejected for carrier in carriers)
    assert all(
        len(carrier.opener.open) <= CONNECTIONS // CARRIERS
        for carrier in carriers
    )
    return opened / served


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_workspaces_divided_among_carriers_open_few_connections(seed):
    """At 80% load at most 0.19 of the statements may open one."""
    rng = random.Random(seed)
    patterns = [{} for _ in range(CARRIERS)]
    for name, rate in zipf(0.8).items():
        rng.choice(patterns)[name] = rate
    assert played(*patterns, seed=seed) < opening_bound(0.8) < 0.19


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_workspaces_before_the_connections_of_one_carrier(seed):
    """At its third of the load at most 0.45 of the statements may open one."""
    load = 1 / CARRIERS
    assert played(zipf(load), seed=seed) < opening_bound(load) <= 0.45


def listed(name, domain='d1'):
    return ListedEndpoint(
        EndpointId(name),
        GroupName('g'),
        '127.0.0.1',
        1,
        FailureDomain(domain),
        SLOTS,
        False,
        EndpointRole.REPLICA,
        born=1,
    )


def group_of(opener, *names):
    async def open_link(target, _):
        return await opener(target.workspace)

    network = Network(open_link, None)
    group = Group(GroupName('g'), network, tuple, lambda *_: None)
    group.update_endpoints(map(listed, names))
    return group


async def begin(group, workspace, wait=1.0):
    queued = QueuedRequest(
        LOOKUP,
        lambda: (A,),
        asyncio.get_running_loop().time() + wait,
        workspace=workspace,
    )
    return await check_out(group, queued, Wanted({}, workspace))


@pytest.mark.parametrize(
    ('quota', 'slots', 'most'),
    [
        ((4,), 4, 4 + SPARE_LINKS),
        ((4, 2), 2, 4),
        ((4, 9), 4, 4),
    ],
)
def test_statements_at_once_are_limited_apart_from_connections(
    quota, slots, most
):
    async def main():
        group = group_of(Opener(), 'a')
        group.set_link_quota(LinkQuota(*quota))
        # A change of the endpoints must keep the limits.
        group.update_endpoints([listed('a'), listed('b')])
        taken = 0
        for _ in range(most):
            assert group.queue.free == {'a': slots, 'b': slots}
            assert isinstance(await begin(group, W), Checkout)
            group.queue.suspend(A)
            taken += 1
        return await begin(group, W, wait=0.1)

    assert isinstance(run(main()), QueueRejection)


def test_connections_beyond_the_kept_ones_are_closed_without_use():
    async def main():
        opener = Opener()
        group = group_of(opener, 'a')
        group.set_link_quota(LinkQuota(2, kept=1))
        first, second = await begin(group, W), await begin(group, W)
        used = len(opener.open)
        first.release()
        second.release()
        await asyncio.sleep(2 * SPARE_IDLE_LIMIT)
        return used, len(opener.open)

    assert run(main()) == (2, 1)


def test_a_share_that_is_used_up_waits():
    async def main():
        opener = Opener()
        group = group_of(opener, 'a')
        group.set_link_quota(LinkQuota(2, 2))
        first, second = await begin(group, W), await begin(group, W)
        waiting = asyncio.create_task(begin(group, X))
        await asyncio.sleep(0.1)
        waited = not waiting.done() and len(opener.open) == 2
        first.release()
        third = await waiting
        # One more of the first workspace must not get more than half.
        more = asyncio.create_task(begin(group, W))
        others = asyncio.create_task(begin(group, Y))
        await asyncio.sleep(0.1)
        third.release()
        await asyncio.sleep(0.1)
        limited = others.done() and not more.done()
        second.release()
        await more
        return opener, waited, limited

    opener, waited, limited = run(main())
    assert waited
    assert limited
    assert len(opener.open) == 2


def test_a_group_closes_the_connections_of_withdrawn_workspaces():
    async def main():
        opener = Opener()
        group = group_of(opener, 'a')
        for name in (W, X):
            checkout = await begin(group, name)
            checkout.release()
        group.retire_connections({W})
        return opener

    assert [link.workspace for link in run(main()).open] == [X]


def test_a_read_prefers_an_endpoint_with_a_connection_of_its_workspace():
    """Each further endpoint that serves a workspace costs a connection."""

    async def main():
        group = group_of(Opener(), 'b', 'a', 'c')
        checkout = await begin(group, W)
        checkout.release()
        local = FailureDomain('d1')
        return [
            read_candidates(group, local, (), None, workspace)
            for workspace in (W, X, None)
        ]

    of_workspace, of_other, of_none = run(main())
    assert of_workspace == ['a', 'b', 'c']
    assert of_other == of_none == ['b', 'a', 'c']
