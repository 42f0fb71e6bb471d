"""Classifies statements, once for each shape."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, unique
from functools import lru_cache
from types import MappingProxyType

from cowslipfork.requests.request import Operation

_SHAPES = 4096

_LITERAL = re.compile(
    r"""
    '(?:[^'\\]|\\.|'')*'
    | "(?:[^"\\]|\\.|"")*"
    | `(?:[^`]|``)*`
    | /\*(?!!).*?\*/
    | \#[^\n]*
    | --(?=\s)[^\n]*
    | \b\d[\w.]*
    """,
    re.VERBOSE | re.DOTALL,
)


@unique
class Local(Enum):
    """Statements that the entry node answers itself."""

    SET = 'set'
    USE = 'use'
    SHOW = 'show'
    SELECT = 'select'


@dataclass(frozen=True, slots=True)
class Statement:
    """What a statement does.

    Attributes:
        operation: for the group; None if the entry node answers it.
        local: how the entry node answers it.
    """

    operation: Operation | None = None
    local: Local | None = None


_FIRST = MappingProxyType(
    {
        'select': Operation.READ,
        'with': Operation.READ,
        'show': Operation.READ,
        'begin': Operation.BEGIN,
        'start': Operation.BEGIN,
        'commit': Operation.COMMIT,
        'rollback': Operation.ROLLBACK,
    }
)


def _mask(found: re.Match[str]) -> str:
    first = found.group()[0]
    if first in {'/', '#', '-'}:
        return ' '
    return '`' if first == '`' else '?'


def shape_of(sql: str) -> str:
    """Removes literals, quoted names and comments.

    Args:
        sql: a statement.

    Returns:
        The shape, the same for statements that differ in literals only.
    """
    return _LITERAL.sub(_mask, sql).strip().lower()


def classify(sql: str) -> Statement:
    """Says what a statement does.

    Args:
        sql: a statement.

    Returns:
        Its class, from a bounded cache of shapes.
    """
    return _classify_shape(shape_of(sql))


@lru_cache(maxsize=_SHAPES)
def _classify_shape(shape: str) -> Statement:
    words = shape.split(maxsplit=1)
    first = words[0] if words else ''
    if first in {'set', 'use'}:
        return Statement(local=Local(first))
    if first == 'select' and '@@' in shape:
        return Statement(local=Local.SELECT)
    operation = _FIRST.get(first, Operation.WRITE)
    if operation is Operation.READ and ' for update' in shape:
        operation = Operation.WRITE
    return Statement(operation)
