"""Reads SET statements: assignments of session variables."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TypeAlias

from expression import Error, Ok, Result

from cowslipfork.requests.shape import STRING, unquote, without_comments
from cowslipfork.requests.statement import StatementRefused

#: A value as SET words it; None is DEFAULT.
Value: TypeAlias = str | None


@dataclass(frozen=True, slots=True)
class Assignment:
    """A session variable and its new value.

    Attributes:
        name: variable in lower case.
        setting: new value; None is DEFAULT.
    """

    name: str
    setting: Value


Assignments: TypeAlias = Result[tuple[Assignment, ...], StatementRefused]

_SET = re.compile(r'set\s+', re.IGNORECASE)
_SCOPE = r'(?:@@(?:session|local)\.|@@(?!global)|(?:session|local)\s+|)'
_VALUE = rf'{STRING}|[-+]?[\w.]+(?:-\w+)*'
_VARIABLE = re.compile(
    rf'{_SCOPE}(?P<name>[a-z_]\w*)\s*:?=\s*(?P<value>{_VALUE})\s*',
    re.IGNORECASE | re.DOTALL,
)
_NAMES = re.compile(
    rf'names\s+(?P<charset>{_VALUE})'
    rf'(?:\s+collate\s+(?P<collation>{_VALUE}))?\s*',
    re.IGNORECASE,
)
_CHARSET = re.compile(
    rf'(?:character\s+set|charset)\s+(?P<charset>{_VALUE})\s*',
    re.IGNORECASE,
)
_ISOLATION = re.compile(
    r'(?:session\s+|local\s+)?transaction\s+isolation\s+level\s+'
    r'(?P<level>read\s+uncommitted|read\s+committed|repeatable\s+read'
    r'|serializable)\s*',
    re.IGNORECASE,
)
_ACCESS = re.compile(
    r'(?:session\s+|local\s+)?transaction\s+read\s+(?P<mode>only|write)\s*',
    re.IGNORECASE,
)


def parse_assignments(sql: str) -> Assignments:
    """Reads a SET statement.

    Args:
        sql: the statement.

    Returns:
        Its assignments in order, or why it is refused.
    """
    text = without_comments(sql).rstrip('; \t\r\n')
    start = _SET.match(text)
    place = start.end() if start else 0
    found: list[Assignment] = []
    while place < len(text):
        items, place = _item(text, place)
        if not items:
            return Error(StatementRefused(f'SET is not understood: {text}'))
        found.extend(items)
        if place < len(text) and text[place] != ',':
            return Error(StatementRefused(f'SET is not understood: {text}'))
        place = _after_comma(text, place)
    return Ok(tuple(found))


def _after_comma(text: str, place: int) -> int:
    after = place + 1
    while after < len(text) and text[after].isspace():
        after += 1
    return after


def _item(text: str, place: int) -> tuple[list[Assignment], int]:
    for pattern, build in _ITEMS:
        found = pattern.match(text, place)
        if found:
            return build(found), found.end()
    return [], place


def _value(word: str) -> Value:
    return None if word.lower() == 'default' else unquote(word)


def _names(found: re.Match[str]) -> list[Assignment]:
    charset = _value(found['charset'])
    names = [
        Assignment('character_set_client', charset),
        Assignment('character_set_results', charset),
        Assignment('character_set_connection', charset),
    ]
    if 'collation' in found.groupdict() and found['collation']:
        collation = _value(found['collation'])
        names.append(Assignment('collation_connection', collation))
    return names


def _isolation(found: re.Match[str]) -> list[Assignment]:
    level = '-'.join(found['level'].upper().split())
    return [Assignment('transaction_isolation', level)]


def _access(found: re.Match[str]) -> list[Assignment]:
    read_only = found['mode'].lower() == 'only'
    return [Assignment('transaction_read_only', str(int(read_only)))]


def _variable(found: re.Match[str]) -> list[Assignment]:
    return [Assignment(found['name'].lower(), _value(found['value']))]


_ITEMS = (
    (_NAMES, _names),
    (_CHARSET, _names),
    (_ISOLATION, _isolation),
    (_ACCESS, _access),
    (_VARIABLE, _variable),
)
