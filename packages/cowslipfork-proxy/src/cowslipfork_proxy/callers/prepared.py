"""Prepared statements of one caller."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from io import BytesIO
from itertools import chain, count, zip_longest

from mysql_mimic.results import NullBitmap
from mysql_mimic.types import read_uint_1, read_uint_4, read_uint_len

from cowslipfork.requests import Statement, classify
from cowslipfork.requests.shape import COMMENT, QUOTED_NAME, STRING, unquote
from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure
from cowslipfork_proxy.callers.parameters import (
    ParameterType,
    read_literals,
    read_types,
)

#: Most prepared statements of one caller connection.
MOST_PREPARED = 256

#: Most parameters of a statement, as in MySQL.
MOST_PARAMETERS = 65_535

_COUNT_FOLLOWS = 8
_TOKEN = re.compile(f'{STRING}|{QUOTED_NAME}|{COMMENT}|[?]', re.DOTALL)


@dataclass(slots=True)
class Prepared:
    """A prepared statement.

    Attributes:
        number: its id.
        statement: its class.
        pieces: text around the parameters; one more than parameters.
        types: of the last execution; drivers needn't repeat them.
        long_data: values that were sent ahead, by parameter.
        too_long: whether they went over the limit.
    """

    number: int
    statement: Statement
    pieces: tuple[str, ...]
    types: tuple[ParameterType, ...] = ()
    long_data: dict[int, bytearray] = field(default_factory=dict)
    too_long: bool = False

    @property
    def parameters(self) -> int:
        """Number of parameters."""
        return len(self.pieces) - 1

    def fill(self, literals: list[str]) -> str:
        """Puts values in the places of the parameters.

        Args:
            literals: SQL literals in order.

        Returns:
            The statement to run.
        """
        pairs = zip_longest(self.pieces, literals, fillvalue='')
        return ''.join(chain.from_iterable(pairs))


@dataclass(frozen=True, slots=True)
class Execution:
    """A prepared statement with its values.

    Attributes:
        statement: its class.
        sql: values filled in.
        attributes: query attributes.
    """

    statement: Statement
    sql: str
    attributes: Mapping[str, object]


class PreparedStatements:
    """All prepared statements of one caller."""

    __slots__ = ('_known', '_numbers')

    def __init__(self) -> None:
        """Starts without any."""
        self._known: dict[int, Prepared] = {}
        self._numbers = count(1)

    def prepare(self, sql: str) -> Prepared:
        """Prepares a statement.

        Args:
            sql: with ``?`` for parameters.

        Returns:
            The prepared statement.

        Raises:
            CallerFailure: too many, or the statement is refused.
        """
        if len(self._known) >= MOST_PREPARED:
            raise mysql_failure(
                MysqlErrorCode.TOO_MANY_PREPARED,
                f'a connection keeps at most {MOST_PREPARED} statements',
            )
        classified = classify(sql)
        if classified.is_error():
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED, str(classified.error)
            )
        pieces = _pieces(sql)
        if len(pieces) > MOST_PARAMETERS:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED, 'too many parameters'
            )
        prepared = Prepared(next(self._numbers), classified.ok, pieces)
        self._known[prepared.number] = prepared
        return prepared

    def find(self, number: int) -> Prepared:
        """Looks a statement up.

        Args:
            number: its id.

        Returns:
            The statement.

        Raises:
            CallerFailure: it is not there.
        """
        prepared = self._known.get(number)
        if prepared is None:
            raise mysql_failure(
                MysqlErrorCode.UNKNOWN_PREPARED,
                f'Unknown prepared statement handler ({number})',
            )
        return prepared

    def send_ahead(
        self,
        number: int,
        parameter: int,
        part: bytes,
        limit: int,
    ) -> None:
        """Keeps a part of a value; failures wait for the execution.

        Args:
            number: id of the statement.
            parameter: number of the parameter.
            part: bytes to append.
            limit: longest value in bytes.
        """
        prepared = self._known.get(number)
        if prepared is None or parameter >= prepared.parameters:
            return
        buffer = prepared.long_data.setdefault(parameter, bytearray())
        if sum(map(len, prepared.long_data.values())) + len(part) > limit:
            prepared.too_long = True
            buffer.clear()
            return
        buffer.extend(part)

    def close(self, number: int) -> None:
        """Forgets a statement.

        Args:
            number: its id; an unknown one is passed over.
        """
        self._known.pop(number, None)

    def clear(self) -> None:
        """Forgets all statements."""
        self._known.clear()

    def execution(self, packet: bytes, *, named: bool) -> Execution:
        """Reads an execution.

        Args:
            packet: payload of COM_STMT_EXECUTE.
            named: whether the caller sends query attributes.

        Returns:
            The statement with its values.

        Raises:
            CallerFailure: it is not there, or a value can't be used.
        """
        reader = BytesIO(packet)
        prepared = self.find(read_uint_4(reader))
        flags = read_uint_1(reader)
        read_uint_4(reader)
        total = prepared.parameters
        if named and (total or flags & _COUNT_FOLLOWS):
            total = read_uint_len(reader)
        if not prepared.parameters <= total <= MOST_PARAMETERS:
            raise mysql_failure(
                MysqlErrorCode.WRONG_ARGUMENTS, 'wrong number of parameters'
            )
        return _execution(reader, prepared, total, named=named)


def _execution(
    reader: BytesIO,
    prepared: Prepared,
    total: int,
    *,
    named: bool,
) -> Execution:
    literals: list[str] = []
    types = prepared.types
    if prepared.too_long:
        prepared.too_long = False
        prepared.long_data.clear()
        raise mysql_failure(
            MysqlErrorCode.STATEMENT_TOO_LONG, 'parameters are too long'
        )
    if total:
        nulls = NullBitmap.from_buffer(reader, total)
        if read_uint_1(reader):
            types = read_types(reader, total, named=named)
        if len(types) != total:
            raise mysql_failure(
                MysqlErrorCode.WRONG_ARGUMENTS,
                'types of parameters are missing',
            )
        literals = read_literals(reader, types, nulls, prepared.long_data)
        prepared.types = types
        prepared.long_data.clear()
    own = prepared.parameters
    extra = zip(types[own:], literals[own:], strict=True)
    return Execution(
        prepared.statement,
        prepared.fill(literals[:own]),
        {kind.name: _plain(literal) for kind, literal in extra if kind.name},
    )


def _plain(literal: str) -> str | None:
    return None if literal == 'NULL' else unquote(literal)


def _pieces(sql: str) -> tuple[str, ...]:
    places = [
        found.start() for found in _TOKEN.finditer(sql) if found.group() == '?'
    ]
    starts = (0, *(place + 1 for place in places))
    ends = (*places, len(sql))
    return tuple(
        sql[start:end] for start, end in zip(starts, ends, strict=True)
    )
