"""Single statements: which node executes them, one failure at a time."""

import asyncio

import pytest
from direct_fakes.peers import GROUP, SILENCE, TIMEOUT, Nodes, now, request
from direct_fakes.world import run

from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.carriers import NodeTraits


def run_with(fault, text, *, after=0, **settings):
    """Runs a statement at ``entry`` with a fault that hits its best carrier.

    Returns:
        The result, the seconds until it, and the nodes 5 s later.
    """

    async def main():
        nodes = Nodes(**settings)
        first = nodes.carriers[0]
        first.local.service_time = 0.02
        if after:
            loop = asyncio.get_running_loop()
            loop.call_later(after, fault, nodes, first)
        else:
            fault(nodes, first)
        begun = now()
        executed = await nodes.entry.executor.run_single(request(text))
        waited = now() - begun
        await asyncio.sleep(5)
        return executed, waited, nodes

    return run(main())


def no_fault(nodes, first):
    """Leaves everything as it is."""


def kill(nodes, first):
    nodes.kill(first)


def refuse(nodes, first):
    first.refuses = True


def lose_request(nodes, first):
    first.loses_requests = 1


def lose_answer(nodes, first):
    first.loses_answers = 1


def silence_answers(nodes, first):
    first.silent_answers = True


def freeze(nodes, first):
    """Freezes the carrier, which goes on 2 s later."""
    first.awake.clear()
    asyncio.get_running_loop().call_later(2, first.awake.set)


def leave(nodes, first):
    first.service.leave(first.server)


def unconfigure(nodes, first):
    first.configured = False


def forget_group(nodes, first):
    first.knows_group = False


def test_the_best_carrier_executes_a_statement():
    executed, waited, nodes = run_with(no_fault, 'WRITE a')
    assert isinstance(executed.outcome, Done)
    assert executed.outcome.answer.signature == 'signed'
    assert executed.mark == nodes.group.mark
    assert nodes.group.log == ['WRITE a']
    assert [bool(host.local.requests) for host in nodes.carriers] == [
        True,
        False,
        False,
    ]
    assert waited < 0.03


def test_the_carrier_gets_the_whole_request():
    _, _, nodes = run_with(no_fault, 'WRITE a')
    (arrived,) = nodes.carriers[0].local.requests
    assert arrived.values == {'colour': 'red'}
    assert arrived.workspace == 'w'
    assert arrived.route.group == GROUP
    assert arrived.deadline == pytest.approx(TIMEOUT, abs=0.03)


def test_the_line_of_the_request_tells_the_carrier():
    executed, _, nodes = run_with(refuse, 'WRITE a')
    fields = executed.log_fields
    assert fields['carrier'] == nodes.carriers[1].name
    assert fields['forward_tries'] == 2
    assert fields['endpoint'] == 'e1'
    assert fields['ms'] < 100


@pytest.mark.parametrize('text', ['READ a', 'WRITE a'])
@pytest.mark.parametrize(
    'fault', [kill, refuse, leave, unconfigure, forget_group]
)
def test_a_carrier_that_takes_nothing_is_passed_over(fault, text):
    """Guards against refusals while other carriers are there."""
    executed, waited, nodes = run_with(fault, text)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.carriers[1].name
    assert nodes.group.ran[text] == 1
    assert waited < 0.1


@pytest.mark.parametrize(
    ('fault', 'after', 'at_most'),
    [
        (kill, 0.01, 0.1),
        (lose_request, 0, 0.1),
        (lose_answer, 0, 0.1),
        (silence_answers, 0, SILENCE + 0.1),
        (freeze, 0, SILENCE + 0.1),
    ],
)
def test_a_read_goes_on_at_the_next_carrier(fault, after, at_most):
    """Guards against reads that fail with one carrier."""
    executed, waited, nodes = run_with(fault, 'READ a', after=after)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.carriers[1].name
    assert waited < at_most


@pytest.mark.parametrize(
    ('fault', 'after', 'at_most', 'ran'),
    [
        (kill, 0.01, 0.1, {0, 1}),
        (lose_request, 0, 0.1, {0}),
        (lose_answer, 0, 0.1, {1}),
        (silence_answers, 0, SILENCE + 0.1, {1}),
        (freeze, 0, SILENCE + 0.1, {1}),
    ],
)
def test_a_write_that_may_have_arrived_is_unknown(fault, after, at_most, ran):
    """Guards against a write that runs twice, also after a frozen carrier."""
    executed, waited, nodes = run_with(fault, 'WRITE a', after=after)
    assert isinstance(executed.outcome, Unknown)
    assert waited < at_most
    assert nodes.group.ran['WRITE a'] in ran
    assert nodes.links_to(nodes.carriers[1]) == 0


def test_a_late_answer_of_a_frozen_carrier_is_dropped():
    """Guards against an answer that reaches a later statement."""

    async def main():
        nodes = Nodes()
        first = nodes.carriers[0]
        first.awake.clear()
        late = await nodes.entry.executor.run_single(request('READ a'))
        asyncio.get_running_loop().call_later(0.01, first.awake.set)
        nodes.suspected.clear()
        nodes.group.log.append('new')
        read = await nodes.entry.executor.run_single(request('READ b'))
        await asyncio.sleep(1)
        return late, read

    late, read = run(main())
    assert late.outcome.answer.rows == ()
    assert read.outcome.answer.rows == ('new',)


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('READ a', Reason.DEADLINE),
        ('WRITE a', Reason.OUTCOME_UNKNOWN),
    ],
)
def test_an_answer_that_is_late_ends_at_the_deadline(text, reason):
    """Guards against callers that wait longer than their route allows."""

    def slow_down(nodes, first):
        first.local.service_time = 3

    executed, waited, nodes = run_with(slow_down, text)
    assert isinstance(executed.outcome, Unknown)
    assert executed.outcome.reason is reason
    assert waited == pytest.approx(TIMEOUT, abs=0.01)
    assert nodes.links_to(nodes.carriers[1]) == 0


@pytest.mark.parametrize(
    'refusal',
    [
        NotRun(Reason.NO_FREE_SLOT, 40, 'full'),
        NotRun(Reason.QUEUE_FULL, 70, 'full'),
        NotRun(Reason.NO_PRIMARY, 500),
    ],
)
def test_a_refusal_for_lack_of_room_is_passed_on(refusal):
    """Guards against overload that spreads to all other carriers."""

    def fill(nodes, first):
        first.local.outcomes.append(refusal)

    executed, _, nodes = run_with(fill, 'WRITE a')
    assert executed.outcome == refusal
    assert nodes.links_to(nodes.carriers[1]) == 0


def test_further_nodes_follow_the_carriers():
    """Guards against a group that is lost with its carriers."""

    def kill_carriers(nodes, first):
        for host in nodes.carriers:
            nodes.kill(host)

    executed, _, nodes = run_with(kill_carriers, 'WRITE a', size=12)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['forward_tries'] == 4
    assert nodes.group.ran['WRITE a'] == 1


def test_the_entry_node_is_the_last():
    """Guards against refusals by a node that reaches the endpoints itself."""

    def kill_others(nodes, first):
        entry = nodes.entry
        for host in nodes.hosts.values():
            if host is not entry:
                nodes.kill(host)

    executed, _, nodes = run_with(kill_others, 'WRITE a', size=12)
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['carrier'] == nodes.entry.name
    assert executed.log_fields['forward_tries'] == 6


def test_suspected_nodes_are_not_tried():
    def suspect_all(nodes, first):
        for name in nodes.hosts:
            nodes.suspect(nodes.entry.name, name)

    executed, _, nodes = run_with(suspect_all, 'WRITE a')
    assert isinstance(executed.outcome, Done)
    assert executed.log_fields['forward_tries'] == 0
    assert not nodes.links


def test_a_carrier_executes_its_own_statements_without_a_link():
    async def main():
        nodes = Nodes()
        first = nodes.carriers[0]
        executed = await first.executor.run_single(request('WRITE a'))
        return executed, nodes

    executed, nodes = run(main())
    assert isinstance(executed.outcome, Done)
    assert not nodes.links


def test_a_read_is_not_sent_again_without_time():
    """Guards against answers after the deadline."""

    async def main():
        nodes = Nodes()
        nodes.carriers[0].awake.clear()
        made = request('READ a', timeout=SILENCE + 0.1)
        return await nodes.entry.executor.run_single(made), nodes

    executed, nodes = run(main())
    assert executed.outcome.reason is Reason.DEADLINE
    assert nodes.links_to(nodes.carriers[1]) == 0


def test_nodes_that_disagree_on_the_carriers_run_each_write_once():
    """Guards against work that is doubled or lost while views differ."""

    async def main():
        nodes = Nodes(size=9)
        one, other = (nodes.hosts[name] for name in ('n0', 'n1'))
        seen_by_other = dict(nodes.traits)
        for name in one.table.carriers(GROUP):
            seen_by_other.pop(name)
        other.table._candidates = lambda: seen_by_other
        other.table.refresh()
        assert not set(one.table.carriers(GROUP)) & set(
            other.table.carriers(GROUP)
        )
        executed = await asyncio.gather(
            *(
                host.executor.run_single(request(f'WRITE {number}'))
                for number, host in enumerate((one, other) * 20)
            )
        )
        return executed, nodes

    executed, nodes = run(main())
    assert all(isinstance(one.outcome, Done) for one in executed)
    assert sorted(nodes.group.log) == sorted(
        f'WRITE {number}' for number in range(40)
    )
    assert set(nodes.group.ran.values()) == {1}


def test_a_node_of_an_older_version_in_the_list_is_passed_over():
    """Guards against refusals while versions are mixed.

    An older node has no traits and closes peer links, which it doesn't know.
    """

    def make_older(nodes, first):
        for host in nodes.carriers[:2]:
            host.refuses = True
            nodes.traits[host.name] = NodeTraits()

    executed, _, nodes = run_with(make_older, 'WRITE a', size=9)
    assert isinstance(executed.outcome, Done)
    assert nodes.group.ran['WRITE a'] == 1


def test_forwarded_statements_are_counted_by_outcome():
    _, _, nodes = run_with(refuse, 'WRITE a')
    text = nodes.entry.metrics.text().decode()
    assert 'cowslipfork_forwarded_total{outcome="done"} 1.0' in text
    assert 'cowslipfork_forwarded_total{outcome="not_reached"} 1.0' in text


def test_a_lost_carrier_is_logged_once(caplog):
    caplog.set_level('INFO')
    run_with(lose_request, 'WRITE a')
    (line,) = [one for one in caplog.records if one.msg == 'carrier_lost']
    assert line.failure == 'lost'
    assert line.work == 'write'
