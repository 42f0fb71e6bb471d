"""Who a caller is by its key."""

import asyncio
from dataclasses import replace

import pytest
from direct_fakes.keyed_callers import (
    ONE_KEY,
    configure_keys,
    reason_of,
)
from direct_fakes.servers import ONE_WAY
from direct_fakes.world import run, statement, world
from hypothesis import given
from hypothesis import strategies as st

from cowslipfork.configuration import FreshRule
from cowslipfork.ids import Revision
from cowslipfork.outcomes import NotRun, Reason
from cowslipfork_direct.metrics import Metrics
from cowslipfork_direct.routes import Route, RoutingTable, Workspace
from cowslipfork_direct.view import View
from cowslipfork_direct.workspaces import (
    Revocation,
    Workspaces,
    by_name,
    digest_of,
    digest_prefix,
)

ROUTE = Route('orders', 'g', FreshRule(), 0.8, 0.2, 1, 1)
EXEMPT = replace(ROUTE, auth_exempt=True)


def workspace(name, *keys, priority=0):
    return Workspace(name, frozenset(map(digest_of, keys)), priority)


def table_of(revision, *workspaces):
    return RoutingTable(
        Revision(revision), workspaces={one.name: one for one in workspaces}
    )


def workspaces_of(*members, answered_at=lambda: 0.0, **rules):
    made = Workspaces(answered_at, Revocation(**rules))
    made.adopt(table_of(1, *members))
    return made


def test_without_workspaces_callers_need_no_key():
    """Guards deployments that have no workspaces."""
    made = Workspaces(lambda: 0.0, Revocation(fail_closed=True))
    made.adopt(RoutingTable(Revision(1)))
    assert made.identify(ROUTE, None) is None
    assert made.identify(ROUTE, digest_of('any')) is None


@pytest.mark.parametrize(
    ('route', 'key', 'identity'),
    [
        (ROUTE, 'first', 'one'),
        (ROUTE, 'second', 'one'),
        (ROUTE, 'third', 'two'),
        (ROUTE, 'Third', Reason.UNKNOWN_KEY),
        (ROUTE, '', Reason.UNKNOWN_KEY),
        (EXEMPT, 'first', 'one'),
        (EXEMPT, 'unknown', None),
        (EXEMPT, '', None),
    ],
)
def test_a_key_identifies_its_workspace(route, key, identity):
    made = workspaces_of(
        workspace('one', 'first', 'second'),
        workspace('two', 'third'),
        workspace('none'),
    )
    found = made.identify(route, digest_of(key))
    assert (reason_of(found) or found) == identity


def test_a_workspace_tells_its_priority():
    made = workspaces_of(workspace('one', 'k', priority=3))
    assert made.priority('one') == 3
    assert made.priority('unknown') == 0
    assert made.priority(None) == 0
    assert made.find('one').name == 'one'
    assert made.find('unknown') is None


@pytest.mark.parametrize(
    ('members', 'named'),
    [
        ([workspace('a'), workspace('a', 'k')], ['a']),
        ([workspace('a', 'k'), workspace('b', 'l', 'k')], ['a', 'b']),
    ],
)
def test_a_doubled_name_or_key_is_a_conflict(members, named):
    conflict = by_name(members).error
    assert all(f'"{name}"' in str(conflict) for name in named)


def test_the_empty_key_has_no_digest():
    """Guards against a caller without a key that matches an empty key."""
    assert digest_of('') is None
    assert digest_prefix(None) == ''


@pytest.mark.parametrize('key', ['k\udcff', '\ud800', 'ключ', 'k' * 100_000])
def test_any_text_has_a_digest(key):
    assert len(digest_prefix(digest_of(key))) == 8


def test_a_node_that_fails_closed_refuses_after_the_limit():
    async def main():
        times = {'answer': 0.0}
        made = workspaces_of(
            workspace('one', 'k'),
            answered_at=lambda: times['answer'],
            limit=2,
            fail_closed=True,
        )
        loop_start = asyncio.get_running_loop().time()
        times['answer'] = loop_start
        await asyncio.sleep(1.9)
        before = made.identify(ROUTE, digest_of('k'))
        await asyncio.sleep(0.2)
        after = made.identify(ROUTE, digest_of('k'))
        exempt = made.identify(EXEMPT, None)
        times['answer'] = asyncio.get_running_loop().time()
        return before, after, exempt, made.identify(ROUTE, digest_of('k'))

    before, after, exempt, again = run(main())
    assert before == again == 'one'
    assert after.reason is exempt.reason is Reason.NOT_CURRENT
    assert after.retry_after_ms > 0


@given(
    st.lists(
        st.tuples(
            st.integers(1, 9),
            st.dictionaries(
                st.sampled_from('ab'),
                st.sets(st.sampled_from(['k1', 'k2', 'k3']), max_size=2),
            ),
        ),
        max_size=12,
    )
)
def test_only_the_highest_revision_tells_which_keys_are_known(arrivals):
    """Guards against a withdrawn key that an older table brings back."""

    async def main():
        made = Workspaces(lambda: 0.0, Revocation())
        view = View(None, tuple, Metrics(), lambda _: None)
        view.listen(made.adopt)
        highest, expected = 0, None
        for revision, keys_of in arrivals:
            taken = set()
            members = []
            for name, keys in keys_of.items():
                members.append(workspace(name, *(keys - taken)))
                taken |= keys
            view.adopt(table_of(revision, *members))
            if revision > highest:
                highest, expected = revision, taken
            for key in ('k1', 'k2', 'k3') if highest else ():
                identity = made.identify(ROUTE, digest_of(key))
                known = not isinstance(identity, NotRun)
                assert known == (key in expected)

    asyncio.run(main())


@pytest.mark.parametrize('left', [(workspace('w', 'k'),), ()])
def test_a_workspace_that_is_removed_has_no_keys(left):
    """Guards against connections that are kept for a removed workspace."""
    known = workspaces_of(workspace('w', 'k'), workspace('x', 'l'))
    known.adopt(table_of(2, *left))
    names = {one.name for one in left}
    assert known.without_keys == {'w', 'x'} - names
    known.adopt(table_of(3, workspace('w', 'k'), workspace('x', 'l')))
    assert known.without_keys == set()


class Admissions:
    """Admits all operations; counts those that are given back."""

    def __init__(self):
        self.given_back = 0

    async def admit(self, workspace):
        return None

    def give_back(self, workspace, admitted_at):
        self.given_back += 1


@pytest.mark.parametrize(('reached', 'given_back'), [(True, 0), (False, 1)])
def test_the_admission_of_a_transaction_that_was_lost_is_used(
    reached, given_back
):
    """Guards against more operations at endpoints than a limit allows."""

    async def main():
        async with world() as made:
            configure_keys(made, ONE_KEY)
            await asyncio.sleep(0.2)
            node = made.nodes['n1']
            admissions = Admissions()
            node._session_context = replace(
                node._session_context, admission=admissions
            )
            session = await made.session(key='first-key')
            await session.run(statement('BEGIN'))
            # The primary gets the statement, and its answer is lost.
            for server in made.servers.values():
                server.full = not reached
            task = asyncio.create_task(session.run(statement('WRITE a 1')))
            # Time for BEGIN, and until the statement has arrived.
            await asyncio.sleep(6.5 * ONE_WAY)
            for server in made.servers.values():
                server.blocked = True
            outcome = await task
            return outcome, admissions, made.servers['e1'].statements

    outcome, admissions, statements = run(main())
    assert isinstance(outcome, NotRun)
    assert bool(statements) == reached
    assert admissions.given_back == given_back
