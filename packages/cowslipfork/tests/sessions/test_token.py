from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipfork.ids import GroupName, Mark, Position, Term
from cowslipfork.sessions import (
    MAX_TOKEN_GROUPS,
    decode_token,
    encode_token,
    is_token,
)

_NUMBERS = st.integers(min_value=0, max_value=2**62)
_MARKS = st.dictionaries(
    st.text(min_size=1, max_size=64).map(GroupName),
    st.builds(Mark, _NUMBERS.map(Term), _NUMBERS.map(Position)),
    max_size=MAX_TOKEN_GROUPS,
)


@settings(derandomize=True)
@given(_MARKS)
def test_a_token_gives_back_its_marks(marks):
    token = encode_token(marks).ok
    assert is_token(token)
    assert token.isascii()
    assert decode_token(token).ok == marks


@settings(derandomize=True)
@given(_MARKS, st.data())
def test_a_damaged_token_is_refused(marks, data):
    token = encode_token(marks).ok
    place = data.draw(st.integers(0, len(token) - 1))
    other = data.draw(st.characters(exclude_characters=token[place]))
    damaged = decode_token(token[:place] + other + token[place + 1 :])
    assert damaged.is_error() or damaged.ok == marks


@settings(derandomize=True)
@given(st.text())
def test_any_text_is_read_or_refused(text):
    assert decode_token(f'cowslip1.{text}').is_error()


def test_the_order_of_writes_does_not_matter():
    first, second = GroupName('a'), GroupName('b')
    mark = Mark(Term(1), Position(2))
    assert (
        encode_token({first: mark, second: mark}).ok
        == encode_token({second: mark, first: mark}).ok
    )


MALFORMED = (
    '',
    'cowslip2.AAAA',
    'cowslip1.',
    'cowslip1.AAAAAAAAAAAA',
    'cowslip1.' + 'A' * 20_000,
)


@pytest.mark.parametrize('text', MALFORMED)
def test_malformed_tokens(text):
    assert decode_token(text).is_error()


def test_a_session_spans_a_bounded_number_of_groups():
    mark = Mark(Term(1), Position(1))
    names = map(str, range(MAX_TOKEN_GROUPS + 1))
    assert encode_token({GroupName(name): mark for name in names}).is_error()
