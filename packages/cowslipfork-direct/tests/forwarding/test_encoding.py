"""What is forwarded arrives unchanged."""

import msgspec
import pytest
from direct_fakes.world import run
from hypothesis import given
from hypothesis import strategies as st

from cowslipfork.configuration import AgeRule, FreshRule, SessionRule
from cowslipfork.ids import Mark
from cowslipfork.outcomes import Done, NotRun, Reason, Unknown
from cowslipfork_direct.answers import Answer, Failed
from cowslipfork_direct.execution import Executed
from cowslipfork_direct.forwarding.encoding import (
    TRAVEL_TIME,
    executed_of,
    forwarded,
    received,
    reply_of,
)
from cowslipfork_direct.forwarding.messages import (
    DoneReply,
    EndTransaction,
    Ran,
    RunInTransaction,
    RunSingle,
)
from cowslipfork_direct.routes import Route
from cowslipfork_direct.statements import Prepared, Statement, Verb
from cowslipfork_direct.work import StatementRequest

#: Statements are decoded from latin-1, so no character is a lone surrogate.
TEXT = st.text(st.characters(max_codepoint=255))
SECONDS = st.floats(0, 1000)
NUMBERS = st.integers(0, 2**53)
MARKS = st.builds(Mark, NUMBERS, NUMBERS)
PREPARED = st.builds(Prepared, st.booleans(), TEXT)
REASONS = st.sampled_from(Reason)
STATEMENTS = st.builds(
    Statement,
    TEXT,
    st.sampled_from(Verb),
    TEXT,
    TEXT,
    TEXT,
    st.none() | PREPARED,
)
RULES = (
    st.builds(AgeRule, SECONDS) | st.builds(SessionRule) | st.builds(FreshRule)
)
ROUTES = st.builds(
    Route,
    TEXT,
    TEXT,
    RULES,
    SECONDS,
    SECONDS,
    NUMBERS,
    NUMBERS,
    st.booleans(),
)
REQUESTS = st.builds(
    StatementRequest,
    STATEMENTS,
    ROUTES,
    st.dictionaries(TEXT, TEXT),
    st.none() | PREPARED,
    st.just(0.0),
    SECONDS,
    st.none() | MARKS,
    st.none() | TEXT,
)
ANSWERS = st.builds(Answer, st.lists(TEXT).map(tuple), st.none() | TEXT)
OUTCOMES = (
    st.builds(Done, ANSWERS)
    | st.builds(Failed, TEXT)
    | st.builds(NotRun, REASONS, NUMBERS, TEXT)
    | st.builds(Unknown, st.none() | TEXT, NUMBERS, TEXT, REASONS)
)
FIELDS = st.dictionaries(TEXT, st.none() | TEXT | NUMBERS | st.booleans())
EXECUTED = st.builds(
    Executed, OUTCOMES, st.none() | MARKS, FIELDS, st.booleans()
)


def over_the_wire(message):
    encoded = msgspec.json.encode(message)
    assert b'\n' not in encoded
    return msgspec.json.decode(encoded, type=type(message))


@given(REQUESTS, st.booleans(), st.booleans())
def test_a_request_arrives_unchanged(request, begins, read_only):
    """Guards against a field that is lost on the way."""

    async def main():
        message = RunInTransaction('t1', begins, read_only, forwarded(request))
        arrived = over_the_wire(message)
        assert arrived == message
        assert over_the_wire(RunSingle(message.request)) == RunSingle(
            arrived.request
        )
        return received(arrived.request)

    result = run(main())
    for name in (
        'statement',
        'route',
        'values',
        'prepared',
        'session_mark',
        'workspace',
        'writes',
        'max_age',
    ):
        assert getattr(result, name) == getattr(request, name)
    assert result.deadline == pytest.approx(request.deadline - TRAVEL_TIME)


@given(EXECUTED)
def test_a_result_arrives_unchanged(executed):
    """Guards against an outcome that turns into another one."""
    assert executed_of(over_the_wire(reply_of(executed))) == executed


def test_details_of_other_types_are_written_as_text():
    executed = Executed(Done(Answer()), log_fields={'mark': Mark(1, 2)})
    assert reply_of(executed).log_fields == {'mark': str(Mark(1, 2))}


def test_fields_of_newer_versions_are_ignored():
    """Guards against links that end while versions are mixed."""
    line = b'{"outcome":{"type":"done","new":1},"newer":[2]}'
    assert msgspec.json.decode(line, type=Ran) == Ran(DoneReply())
    line = b'{"transaction":"t1","newer":2}'
    decoded = msgspec.json.decode(line, type=EndTransaction)
    assert decoded == EndTransaction('t1')
