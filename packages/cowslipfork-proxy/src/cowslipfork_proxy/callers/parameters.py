"""Parameters of prepared statements, read and written as SQL literals.

The library's reader knows no dates, decimals or repeated executions, and its
writer doesn't escape quotes, so the values are read here with its primitives.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from io import BytesIO
from types import MappingProxyType
from typing import TypeAlias

from mysql_mimic.results import NullBitmap
from mysql_mimic.types import (
    ColumnType,
    read_double,
    read_float,
    read_int_1,
    read_int_2,
    read_int_4,
    read_int_8,
    read_str_len,
    read_uint_1,
    read_uint_2,
    read_uint_4,
    read_uint_8,
)

from cowslipfork_proxy.callers.failures import MysqlErrorCode, mysql_failure
from cowslipfork_proxy.callers.literals import (
    blob_literal,
    decimal_literal,
    real_literal,
    text_literal,
)

_UNSIGNED = 0x80
_HOURS_PER_DAY = 24

#: Lengths of moments and times without the parts that are zero.
_DATE_BYTES = 4
_DATE_TIME_BYTES = 7
_TIME_BYTES = 8

_Reader: TypeAlias = Callable[[BytesIO], int]

_INTEGERS: Mapping[int, tuple[_Reader, _Reader]] = MappingProxyType(
    {
        ColumnType.TINY: (read_int_1, read_uint_1),
        ColumnType.BOOL: (read_int_1, read_uint_1),
        ColumnType.SHORT: (read_int_2, read_uint_2),
        ColumnType.YEAR: (read_int_2, read_uint_2),
        ColumnType.LONG: (read_int_4, read_uint_4),
        ColumnType.INT24: (read_int_4, read_uint_4),
        ColumnType.LONGLONG: (read_int_8, read_uint_8),
    },
)
_BLOBS = frozenset(
    (
        ColumnType.BLOB,
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.BIT,
        ColumnType.GEOMETRY,
    ),
)
_TEXTS = frozenset(
    (
        ColumnType.VARCHAR,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
        ColumnType.ENUM,
        ColumnType.SET,
        ColumnType.JSON,
    ),
)
_DECIMALS = frozenset((ColumnType.DECIMAL, ColumnType.NEWDECIMAL))
_MOMENTS = frozenset(
    (ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP),
)


@dataclass(frozen=True, slots=True)
class ParameterType:
    """How a parameter is encoded.

    Attributes:
        code: MySQL column type number.
        unsigned: whether an integer has no sign.
        name: of a query attribute; empty for a statement's parameter.
    """

    code: int
    unsigned: bool
    name: str = ''


def read_types(
    reader: BytesIO,
    count: int,
    *,
    named: bool,
) -> tuple[ParameterType, ...]:
    """Reads the types of parameters.

    Args:
        reader: at the first type.
        count: number of parameters.
        named: whether names follow the types.

    Returns:
        Types in order.
    """
    return tuple(_read_type(reader, named=named) for _ in range(count))


def read_literals(
    reader: BytesIO,
    types: tuple[ParameterType, ...],
    nulls: NullBitmap,
    long_data: Mapping[int, bytearray],
) -> list[str]:
    """Reads values as SQL literals.

    Args:
        reader: at the first value.
        types: of all parameters.
        nulls: which are NULL.
        long_data: values that were sent ahead, by number.

    Returns:
        Literals in order.
    """
    literals: list[str] = []
    for number, kind in enumerate(types):
        ahead = long_data.get(number)
        if nulls.is_flipped(number):
            literals.append('NULL')
        elif ahead is None:
            literals.append(_read_literal(reader, kind))
        else:
            literals.append(_sent_ahead(kind, bytes(ahead)))
    return literals


def _read_type(reader: BytesIO, *, named: bool) -> ParameterType:
    code = read_uint_1(reader)
    unsigned = bool(read_uint_1(reader) & _UNSIGNED)
    name = read_str_len(reader).decode('utf8') if named else ''
    return ParameterType(code, unsigned, name)


def _sent_ahead(kind: ParameterType, content: bytes) -> str:
    if kind.code in _BLOBS:
        return blob_literal(content)
    return text_literal(content)


def _read_literal(reader: BytesIO, kind: ParameterType) -> str:
    code = kind.code
    integers = _INTEGERS.get(code)
    if integers:
        return str(integers[kind.unsigned](reader))
    if code in _TEXTS:
        return text_literal(read_str_len(reader))
    if code in _BLOBS:
        return blob_literal(read_str_len(reader))
    if code in _DECIMALS:
        return decimal_literal(read_str_len(reader).decode('ascii'))
    if code in _MOMENTS:
        return _moment(reader)
    return _rare_literal(reader, code)


def _rare_literal(reader: BytesIO, code: int) -> str:
    if code == ColumnType.FLOAT:
        return real_literal(read_float(reader))
    if code == ColumnType.DOUBLE:
        return real_literal(read_double(reader))
    if code == ColumnType.TIME:
        return _duration(reader)
    if code == ColumnType.NULL:
        return 'NULL'
    raise mysql_failure(
        MysqlErrorCode.NOT_SUPPORTED, f'parameters of type {code}'
    )


def _moment(reader: BytesIO) -> str:
    length = read_uint_1(reader)
    if not length:
        return "'0000-00-00'"
    year = read_uint_2(reader)
    month, day = read_uint_1(reader), read_uint_1(reader)
    date = f'{year:04}-{month:02}-{day:02}'
    if length == _DATE_BYTES:
        return f"'{date}'"
    clock = _clock(reader)
    fraction = _fraction(reader) if length > _DATE_TIME_BYTES else ''
    return f"'{date} {clock}{fraction}'"


def _duration(reader: BytesIO) -> str:
    length = read_uint_1(reader)
    if not length:
        return "'00:00:00'"
    sign = '-' if read_uint_1(reader) else ''
    days = read_uint_4(reader)
    clock = _clock(reader, days * _HOURS_PER_DAY)
    fraction = _fraction(reader) if length > _TIME_BYTES else ''
    return f"'{sign}{clock}{fraction}'"


def _clock(reader: BytesIO, extra_hours: int = 0) -> str:
    hours = read_uint_1(reader) + extra_hours
    minutes, seconds = read_uint_1(reader), read_uint_1(reader)
    return f'{hours:02}:{minutes:02}:{seconds:02}'


def _fraction(reader: BytesIO) -> str:
    return f'.{read_uint_4(reader):06}'
