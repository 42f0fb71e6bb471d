"""Cells of the binary protocol, from the endpoint's text cells."""

from __future__ import annotations

import re
import struct
from collections.abc import Callable, Mapping
from functools import lru_cache, partial
from types import MappingProxyType
from typing import TypeAlias

from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnDefinition, ColumnType, str_len, uint_1

from cowslipfork.requests import Column

_Encode: TypeAlias = Callable[[str], bytes]

_COLUMN_CACHE = 4096
_UNSIGNED = int(ColumnDefinition.UNSIGNED_FLAG)
_HOURS_PER_DAY = 24
_MICROSECOND_DIGITS = 6

_MOMENT = re.compile(
    r'(\d{1,4})-(\d\d?)-(\d\d?)'
    r'(?:[ T](\d\d?):(\d\d?):(\d\d?)(?:\.(\d{1,6}))?)?',
)
_DURATION = re.compile(r'(-?)(\d{1,3}):(\d\d?):(\d\d?)(?:\.(\d{1,6}))?')

_DATE = struct.Struct('<BHBB')
_DATE_AND_TIME = struct.Struct('<BHBBBBB')
_DATE_AND_MICROSECONDS = struct.Struct('<BHBBBBBI')
_TIME = struct.Struct('<BBIBBB')
_TIME_AND_MICROSECONDS = struct.Struct('<BBIBBBI')

#: Signed and unsigned layouts by column type.
_INTEGERS: Mapping[int, tuple[struct.Struct, struct.Struct]] = MappingProxyType(
    {
        ColumnType.TINY: (struct.Struct('<b'), struct.Struct('<B')),
        ColumnType.SHORT: (struct.Struct('<h'), struct.Struct('<H')),
        ColumnType.YEAR: (struct.Struct('<h'), struct.Struct('<H')),
        ColumnType.INT24: (struct.Struct('<i'), struct.Struct('<I')),
        ColumnType.LONG: (struct.Struct('<i'), struct.Struct('<I')),
        ColumnType.LONGLONG: (struct.Struct('<q'), struct.Struct('<Q')),
    },
)
_FLOATS: Mapping[int, struct.Struct] = MappingProxyType(
    {
        ColumnType.FLOAT: struct.Struct('<f'),
        ColumnType.DOUBLE: struct.Struct('<d'),
    },
)
_MOMENTS = frozenset(
    (
        ColumnType.DATE,
        ColumnType.NEWDATE,
        ColumnType.DATETIME,
        ColumnType.TIMESTAMP,
    ),
)


@lru_cache(maxsize=_COLUMN_CACHE)
def binary_column(column: Column) -> ResultColumn:
    """Describes a column to the library's binary row writer.

    The library's own encoders take Python values, and lose small integers,
    unsigned ones and negative times.

    Args:
        column: column as the endpoint described it.

    Returns:
        A column that encodes text cells.
    """
    encode = _encoder(column)

    def encode_cell(_: ResultColumn, cell: str | bytes) -> bytes:
        return encode(cell)

    return ResultColumn(
        column.name,
        ColumnType.VAR_STRING,
        binary_encoder=encode_cell,
    )


def _encoder(column: Column) -> Callable[[str | bytes], bytes]:
    code = column.type_code
    layouts = _INTEGERS.get(code)
    if layouts is not None:
        layout = layouts[bool(column.flags & _UNSIGNED)]
        return partial(_from_text, partial(_integer, layout))
    real = _FLOATS.get(code)
    if real is not None:
        return partial(_from_text, partial(_float, real))
    if code in _MOMENTS:
        return partial(_from_text, _moment)
    if code == ColumnType.TIME:
        return partial(_from_text, _duration)
    return _text


def _from_text(encode: _Encode, cell: str | bytes) -> bytes:
    return encode(cell if isinstance(cell, str) else cell.decode('ascii'))


def _text(cell: str | bytes) -> bytes:
    return str_len(cell if isinstance(cell, bytes) else cell.encode('utf8'))


def _integer(layout: struct.Struct, text: str) -> bytes:
    return layout.pack(int(text))


def _float(layout: struct.Struct, text: str) -> bytes:
    return layout.pack(float(text))


def _microseconds(digits: str | None) -> int:
    return int((digits or '0').ljust(_MICROSECOND_DIGITS, '0'))


def _moment(text: str) -> bytes:
    found = _MOMENT.fullmatch(text)
    if found is None:
        raise ValueError(text)
    *numbers, digits = found.groups()
    parts = [int(number or 0) for number in numbers]
    microseconds = _microseconds(digits)
    if microseconds:
        return _DATE_AND_MICROSECONDS.pack(11, *parts, microseconds)
    if any(parts[3:]):
        return _DATE_AND_TIME.pack(7, *parts)
    return _DATE.pack(4, *parts[:3]) if any(parts) else uint_1(0)


def _duration(text: str) -> bytes:
    found = _DURATION.fullmatch(text)
    if found is None:
        raise ValueError(text)
    sign, hours, *rest, digits = found.groups()
    days, hour = divmod(int(hours), _HOURS_PER_DAY)
    parts = (int(bool(sign)), days, hour, *map(int, rest))
    microseconds = _microseconds(digits)
    if microseconds:
        return _TIME_AND_MICROSECONDS.pack(12, *parts, microseconds)
    return _TIME.pack(8, *parts) if any(parts[1:]) else uint_1(0)
