"""Answers that the entry node gives itself."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from typing import TypeAlias

from mysql_mimic.types import ColumnType

from cowslipfork.requests import Answer, Cell, Column, Row, Rows
from cowslipfork.requests.shape import STRING, unquote, without_comments
from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure
from cowslipfork_proxy.callers.variables import Setting

#: Gives a variable's or a function's value by its name in lower case.
Lookup: TypeAlias = Callable[[str], Setting]

_BINARY = 63
_UTF8MB4 = 255

_SELECT = re.compile(r'select\s+', re.IGNORECASE)
_ITEM = re.compile(
    rf"""
    (?P<text>
        @@(?:(?:session|global|local)\.)?(?P<variable>\w+)
        | (?P<function>\w+)\s*\(\s*\)
        | (?P<word>current_user)
        | (?P<literal>{STRING}|\d+)
    )
    (?:\s+(?:as\s+)?(?P<alias>(?!from\b|limit\b)\w+|`[^`]*`|{STRING}))?
    \s*(?P<more>,?)\s*
    """,
    re.IGNORECASE | re.VERBOSE | re.DOTALL,
)
_LIKE = re.compile(
    rf'\blike\s*(?P<pattern>{STRING})',
    re.IGNORECASE | re.DOTALL,
)
_QUOTES = '`"\''


async def _batch(rows: list[Row]) -> Rows:
    yield rows


def select_locally(sql: str, lookup: Lookup) -> Answer:
    """Answers a SELECT of variables, functions and literals.

    Args:
        sql: the statement.
        lookup: gives values.

    Returns:
        One row.

    Raises:
        CallerFailure: an item is unknown.
    """
    items = tuple(_items(without_comments(sql)))
    settings = tuple(_setting(item, lookup) for item in items)
    columns = tuple(
        _column(_name(item), setting)
        for item, setting in zip(items, settings, strict=True)
    )
    row = tuple(map(_cell, settings))
    return Answer(columns=columns, rows=_batch([row]))


def show_locally(
    sql: str,
    settings: Iterable[tuple[str, Setting]],
) -> Answer:
    """Answers SHOW VARIABLES, STATUS, WARNINGS and ERRORS.

    Args:
        sql: the statement.
        settings: all variables.

    Returns:
        Variables as asked for; the others are empty.
    """
    lowered = sql.lower()
    if 'warnings' in lowered or 'errors' in lowered:
        return _no_warnings(lowered)
    columns = (
        _column('Variable_name', ''),
        _column('Value', ''),
    )
    if 'variables' not in lowered:
        return Answer(columns=columns)
    wanted = _like(sql)
    rows: list[Row] = [
        (name, _shown(setting))
        for name, setting in settings
        if wanted.fullmatch(name)
    ]
    return Answer(columns=columns, rows=_batch(rows))


def _no_warnings(lowered: str) -> Answer:
    if 'count' in lowered:
        columns = (_column('@@session.warning_count', 0),)
        return Answer(columns=columns, rows=_batch([('0',)]))
    names = ('Level', 'Code', 'Message')
    return Answer(columns=tuple(_column(name, '') for name in names))


def _like(sql: str) -> re.Pattern[str]:
    found = _LIKE.search(without_comments(sql))
    pattern = unquote(found['pattern']) if found else '%'
    escaped = re.escape(pattern).replace('%', '.*').replace('_', '.')
    return re.compile(escaped, re.IGNORECASE)


def _items(text: str) -> Iterator[re.Match[str]]:
    start = _SELECT.match(text)
    place = start.end() if start else 0
    more = ','
    while more:
        item = _ITEM.match(text, place)
        if item is None:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED, f"can't answer {text}"
            )
        yield item
        place = item.end()
        more = item['more']


def _setting(item: re.Match[str], lookup: Lookup) -> Setting:
    literal = item['literal']
    if literal is None:
        name = item['variable'] or item['function'] or item['word']
        return lookup(name.lower())
    return int(literal) if literal.isdecimal() else unquote(literal)


def _name(item: re.Match[str]) -> str:
    text: str = item['alias'] or item['text']
    return text.strip(_QUOTES)


def _column(name: str, setting: Setting) -> Column:
    if isinstance(setting, int):
        return Column(name, ColumnType.LONGLONG, _BINARY)
    return Column(name, ColumnType.VAR_STRING, _UTF8MB4)


def _cell(setting: Setting) -> Cell:
    if setting is None:
        return None
    return str(int(setting)) if isinstance(setting, bool) else str(setting)


def _shown(setting: Setting) -> Cell:
    if isinstance(setting, bool):
        return 'ON' if setting else 'OFF'
    return '' if setting is None else str(setting)
