"""Rules of classification by the first word of a shape."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import partial
from types import MappingProxyType

from expression import Error, Ok

from cowslipfork.requests import _patterns as patterns
from cowslipfork.requests._reads import is_pure_read
from cowslipfork.requests.request import Operation
from cowslipfork.requests.statement import (
    Classified,
    LocalStatement,
    Statement,
    StatementRefused,
)


def refused(why: str) -> Classified:
    """Refuses a statement.

    Args:
        why: message for a person.

    Returns:
        The typed refusal.
    """
    return Error(StatementRefused(why))


def read_rule(shape: str, *, parsed: bool = True) -> Classified:
    """Classifies what begins like a query.

    Args:
        shape: in lower case.
        parsed: whether the shape is short enough to be parsed.

    Returns:
        A read only if parsing proves it; else a write.
    """
    if patterns.LOCAL_SELECT.fullmatch(shape):
        return Ok(Statement(local=LocalStatement.SELECT))
    pure = parsed and not patterns.LOCKING.search(shape) and is_pure_read(shape)
    bound = patterns.CONNECTION_BOUND.search(shape) is not None
    operation = Operation.READ if pure else Operation.WRITE
    return Ok(Statement(operation, connection_bound=bound))


def _write(shape: str) -> Classified:
    bound = patterns.CONNECTION_BOUND.search(shape) is not None
    return Ok(Statement(Operation.WRITE, connection_bound=bound))


def _definition(shape: str) -> Classified:
    if re.match(r'\w+\s+temporary\b', shape):
        return refused('temporary tables are not supported')
    return Ok(Statement(Operation.WRITE, implicit_commit=True))


def _show(shape: str) -> Classified:
    if patterns.LOCAL_SHOW.match(shape):
        return Ok(Statement(local=LocalStatement.SHOW))
    if patterns.FORWARDED_SHOW.match(shape):
        return Ok(Statement(Operation.READ))
    return refused('this SHOW is not supported')


def _explain(shape: str) -> Classified:
    runs = re.match(r'\w+\s+analyze\b', shape)
    return Ok(Statement(Operation.WRITE if runs else Operation.READ))


def _begin(shape: str) -> Classified:
    if patterns.BEGIN.fullmatch(shape):
        return Ok(Statement(Operation.BEGIN))
    return refused('this way to start a transaction is not supported')


def _end(shape: str) -> Classified:
    if patterns.ROLLBACK_TO.match(shape):
        return _savepoint(shape)
    if not patterns.END.fullmatch(shape):
        return refused('this way to end a transaction is not supported')
    commits = shape.startswith('commit')
    return Ok(Statement(Operation.COMMIT if commits else Operation.ROLLBACK))


def _savepoint(shape: str) -> Classified:
    return Ok(Statement(Operation.WRITE, connection_bound=True))


def _local(local: LocalStatement, shape: str) -> Classified:
    return Ok(Statement(local=local))


BY_FIRST_WORD: MappingProxyType[str, Callable[[str], Classified]] = (
    MappingProxyType(
        {
            **dict.fromkeys(
                ('select', 'with', '(', 'values', 'table'), read_rule
            ),
            **dict.fromkeys(
                ('insert', 'update', 'delete', 'replace', 'call', 'do'),
                _write,
            ),
            **dict.fromkeys(
                ('create', 'alter', 'drop', 'truncate', 'rename'),
                _definition,
            ),
            **dict.fromkeys(('analyze', 'optimize'), _definition),
            **dict.fromkeys(('explain', 'describe', 'desc'), _explain),
            **dict.fromkeys(('begin', 'start'), _begin),
            **dict.fromkeys(('commit', 'rollback'), _end),
            **dict.fromkeys(('savepoint', 'release'), _savepoint),
            'show': _show,
            'set': partial(_local, LocalStatement.SET),
            'use': partial(_local, LocalStatement.USE),
        },
    )
)
