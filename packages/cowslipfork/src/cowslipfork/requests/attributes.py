"""Query attributes that say how a statement is to be served."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeAlias

from expression import Error, Ok, Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName, KindName, Mark, RequestId, SessionId
from cowslipfork.sessions import decode_token, is_token

#: Names of the query attributes, and of session variables after a prefix.
ATTRIBUTES = ('kind', 'session', 'request_id', 'deadline_ms')
VARIABLE_PREFIX = 'cowslipfork_'

LONGEST_ID = 128
LONGEST_DEADLINE_MS = 600_000

_ID = re.compile(rf'[\w.:/+=-]{{1,{LONGEST_ID}}}', re.ASCII)
_DIGITS = re.compile(r'\d{1,9}', re.ASCII)


class AttributeRefused(CowslipforkError):
    """A query attribute has a value that can't be used."""

    def __init__(self, name: str, why: str) -> None:
        """Remembers which one.

        Args:
            name: of the attribute.
            why: what is wrong with the value.
        """
        super().__init__(f'{name}: {why}')
        self.name = name
        self.why = why


@dataclass(frozen=True, slots=True)
class QueryAttributes:
    """Checked attributes of a statement.

    Attributes:
        kind: names the reading rule and class.
        session: session id, if one was given.
        marks: marks of the session token, if one was given.
        request_id: idempotency key.
        deadline_ms: milliseconds from arrival.
    """

    kind: KindName | None = None
    session: SessionId | None = None
    marks: Mapping[GroupName, Mark] | None = None
    request_id: RequestId | None = None
    deadline_ms: int | None = None


Checked: TypeAlias = Result[QueryAttributes, AttributeRefused]

NO_ATTRIBUTES = QueryAttributes()


def check_attributes(raw: Mapping[str, object]) -> Checked:
    """Checks attributes; others than cowslipfork's are passed over.

    Args:
        raw: values by name; None and the empty text count as not given.

    Returns:
        The checked attributes, or the first that is wrong.
    """
    try:
        return Ok(_checked(raw))
    except AttributeRefused as refused:
        return Error(refused)


def _checked(raw: Mapping[str, object]) -> QueryAttributes:
    kind = _identifier(raw, 'kind')
    request_id = _identifier(raw, 'request_id')
    session = _text(raw, 'session')
    marks: Mapping[GroupName, Mark] | None = None
    if session and is_token(session):
        marks = _token_marks(session)
        session = None
    elif session:
        session = _identifier(raw, 'session')
    return QueryAttributes(
        kind=KindName(kind) if kind else None,
        session=SessionId(session) if session else None,
        marks=marks,
        request_id=RequestId(request_id) if request_id else None,
        deadline_ms=_deadline(raw),
    )


def _text(raw: Mapping[str, object], name: str) -> str | None:
    given = raw.get(name)
    if given is None or given == '':
        return None
    if isinstance(given, bool | float | bytes):
        raise AttributeRefused(name, 'must be a text')
    return str(given)


def _identifier(raw: Mapping[str, object], name: str) -> str | None:
    text = _text(raw, name)
    if text is not None and not _ID.fullmatch(text):
        raise AttributeRefused(
            name,
            f'must be 1 to {LONGEST_ID} letters, digits or any of _.:/+=-',
        )
    return text


def _token_marks(text: str) -> Mapping[GroupName, Mark]:
    marks = decode_token(text)
    if marks.is_error():
        raise AttributeRefused('session', str(marks.error))
    return marks.ok


def _deadline(raw: Mapping[str, object]) -> int | None:
    text = _text(raw, 'deadline_ms')
    if text is None:
        return None
    if not _DIGITS.fullmatch(text) or not 1 <= int(text) <= LONGEST_DEADLINE_MS:
        raise AttributeRefused(
            'deadline_ms',
            f'must be a number from 1 to {LONGEST_DEADLINE_MS}',
        )
    return int(text)
