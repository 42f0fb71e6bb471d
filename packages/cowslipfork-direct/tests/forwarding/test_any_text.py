"""Texts of any bytes, and of any length, over peer links."""

import asyncio
import json
from dataclasses import replace

from direct_fakes.linked_nodes import run_linked
from direct_fakes.peer_fixture import ask, outcome, run_peers
from direct_fakes.peers import request
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import Answer
from cowslipfork_direct.statements import Prepared, Statement, Verb

MIB = 1_048_576

#: Any text of the statement protocol, with what often goes wrong.
TEXT = st.text(st.characters(max_codepoint=255)) | st.text(
    '\r\n\x00\x0b\x0c\x1c\x85\xa0\xff "\\', max_size=20
)
VALUES = st.dictionaries(TEXT, TEXT, max_size=4)
STATEMENTS = st.builds(
    Statement,
    TEXT,
    st.sampled_from((Verb.READ, Verb.WRITE, Verb.EXECUTE)),
    TEXT,
    TEXT,
    TEXT,
)
ROWS = st.lists(TEXT, max_size=4).map(tuple)


def sent(statement, values, template, **fields):
    prepared = Prepared(statement.verb is Verb.WRITE, template)
    return replace(
        request('READ a'),
        statement=statement,
        values=values,
        prepared=prepared,
        **fields,
    )


@settings(max_examples=200, deadline=None)
@given(STATEMENTS, VALUES, TEXT, ROWS, TEXT, st.booleans())
def test_any_text_passes_whole(
    statement, values, template, rows, signature, single
):
    """Guards against statements and rows that are changed on the way."""

    async def main(nodes):
        outgoing = sent(statement, values, template)
        answer = Answer(rows, signature)
        nodes.locals[nodes.first].outcomes.append(Done(answer))
        if single:
            executed = await nodes.executor.run_single(outgoing)
        else:
            transaction = nodes.executor.begin(read_only=False)
            executed = await transaction.run(outgoing)
            await transaction.end()
        (arrived,) = nodes.locals[nodes.first].requests
        return outgoing, arrived, executed.outcome, answer

    outgoing, arrived, outcome, answer = run_linked(main)
    for name in ('statement', 'values', 'prepared', 'workspace'):
        assert getattr(arrived, name) == getattr(outgoing, name)
    assert outcome == Done(answer)


LONG_TEXT = f'WRITE a {(MIB - 100) * chr(1)}'


def test_a_long_statement_of_control_characters_runs_once():
    """Guards against a text that can't be forwarded, and is never run."""

    async def main(nodes):
        single = await nodes.executor.run_single(request(LONG_TEXT))
        transaction = nodes.executor.begin(read_only=False)
        first = await transaction.run(request(LONG_TEXT))
        await transaction.run(request('COMMIT'))
        return single, first, nodes

    single, first, nodes = run_linked(main)
    assert isinstance(single.outcome, Done)
    assert isinstance(first.outcome, Done)
    assert nodes.own.requests[0].statement.text == LONG_TEXT
    assert nodes.group.log == [LONG_TEXT, LONG_TEXT]


def test_a_transaction_that_a_long_statement_ends_keeps_nothing():
    """Guards against a promise that is not kept."""

    async def main(nodes):
        transaction = await nodes.transaction('WRITE b')
        executed = await transaction.run(request(LONG_TEXT))
        await asyncio.sleep(0.1)
        after = await transaction.run(request('COMMIT'))
        return executed, after, nodes

    executed, after, nodes = run_linked(main)
    for each in (executed.outcome, after.outcome):
        assert isinstance(each, NotRun)
        assert each.reason is Reason.TRANSACTION_LOST
    assert not executed.may_have_run
    assert nodes.group.ran[LONG_TEXT] == 0
    assert nodes.group.log == []
    assert not nodes.group.open


LONG_ROWS = (MIB * chr(1), 'end')


def test_long_rows_of_control_characters_are_read_at_the_entry_node():
    """Guards against rows that no caller can read."""

    async def main(nodes):
        answer = Done(Answer(LONG_ROWS, 'signed'))
        for executor in (*nodes.locals.values(), nodes.own):
            executor.outcomes.append(answer)
        return await nodes.executor.run_single(request('READ a'))

    assert run_linked(main).outcome.answer.rows == LONG_ROWS


def test_long_rows_of_a_write_leave_its_outcome_open():
    """Guards against a promise about a write that has run."""

    async def main(nodes):
        answer = Done(Answer(LONG_ROWS, 'signed'))
        nodes.locals[nodes.first].outcomes.append(answer)
        return await nodes.executor.run_single(request('WRITE a')), nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, Unknown)
    assert not nodes.own.requests


def test_long_rows_in_a_transaction_roll_it_back():
    """Guards against a promise that is not kept."""

    async def main(nodes):
        transaction = await nodes.transaction('WRITE b')
        answer = Done(Answer(LONG_ROWS, 'signed'))
        nodes.locals[nodes.first].outcomes.append(answer)
        executed = await transaction.run(request('READ a'))
        await asyncio.sleep(0.1)
        return executed, nodes

    executed, nodes = run_linked(main)
    assert isinstance(executed.outcome, NotRun)
    assert nodes.group.log == []
    assert not nodes.group.open


@settings(max_examples=100, deadline=None)
@given(st.lists(st.lists(st.integers(-2, 8), max_size=6), min_size=2))
def test_surplus_replies_are_taken_for_no_other_request(surplus):
    """Guards against a late second reply that answers the next request."""

    async def main(network, client, _server):
        async def serve(reader, writer):
            await reader.readline()
            writer.write(b'{"node":"n3"}\n')
            for numbers in surplus:
                frame = json.loads(await reader.readline())
                own = frame[3]['text']
                lines = [(number, 'surplus') for number in numbers]
                lines = [line for line in lines if line[0] != frame[1]]
                lines += [(frame[1], own), (frame[1], 'second')]
                for number, text in lines:
                    reply = ['reply', number, {'text': text}]
                    writer.write(json.dumps(reply).encode() + b'\n')

        network.listen('n3', serve)
        return [
            (await ask(client, node='n3', text=f't{turn}')).text
            for turn, _ in enumerate(surplus)
        ]

    assert run_peers(main) == [f't{turn}' for turn, _ in enumerate(surplus)]


def test_a_reply_after_the_time_out_is_taken_for_no_other_request():
    """Guards against a late reply that answers the next request."""

    async def main(_network, client, _server):
        late = await outcome(ask(client, 0.2, 'late', timeout=0.1))
        replies = await asyncio.gather(
            *(ask(client, wait, f't{wait}') for wait in (0.3, 0.05, 0))
        )
        return late, [reply.text for reply in replies]

    late, texts = run_peers(main)
    assert late.may_have_run
    assert texts == ['t0.3', 't0.05', 't0']
