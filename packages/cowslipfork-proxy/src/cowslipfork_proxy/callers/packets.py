"""Packets that the MySQL library can't build with an endpoint's figures."""

from __future__ import annotations

import struct
from functools import lru_cache
from itertools import repeat

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import make_column_definition_41
from mysql_mimic.types import ColumnType, str_fixed, uint_1, uint_2

from cowslipfork.requests import Column
from cowslipfork_proxy.callers.failures import CallerFailure

#: Longest error text in bytes, as in MySQL.
ERROR_TEXT_BYTES = 512

_COLUMN_TAIL = struct.Struct('<HIBHBH')
_PREPARED = struct.Struct('<BIHHBH')
_PARAMETER = Column('?', ColumnType.VAR_STRING, CharacterSet.utf8mb4)
_COLUMN_LENGTH = 1024
_COLUMN_CACHE = 4096
_ANY_DECIMALS = 31
_FLOATING = frozenset((ColumnType.FLOAT, ColumnType.DOUBLE))


def make_error(failure: CallerFailure) -> bytes:
    """Builds an error packet with any number and SQLSTATE.

    Args:
        failure: what went wrong.

    Returns:
        Payload of the packet.
    """
    text = failure.text.encode('utf8')[:ERROR_TEXT_BYTES]
    state = failure.sqlstate.encode('ascii', 'replace')
    return b''.join(
        (uint_1(0xFF), uint_2(failure.errno), b'#', str_fixed(5, state), text),
    )


@lru_cache(maxsize=_COLUMN_CACHE)
def make_column(column: Column) -> bytes:
    """Builds a column definition with the endpoint's type, charset and flags.

    The library takes only character sets that it knows by default collation,
    so the fixed tail of its packet is written anew.

    Args:
        column: column as the endpoint described it.

    Returns:
        Payload of the packet.
    """
    generic = make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
    )
    tail = _COLUMN_TAIL.pack(
        column.charset,
        _COLUMN_LENGTH,
        column.type_code,
        column.flags & 0xFFFF,
        _ANY_DECIMALS if column.type_code in _FLOATING else 0,
        0,
    )
    return generic[: -_COLUMN_TAIL.size] + tail


def make_prepared(number: int, parameters: int) -> list[bytes]:
    """Builds the answer to COM_STMT_PREPARE.

    The library ends it with an EOF packet also for drivers that expect none.

    Args:
        number: id of the prepared statement.
        parameters: how many it has.

    Returns:
        Payloads of the packets, without an EOF packet.
    """
    head = _PREPARED.pack(0, number, 0, parameters, 0, 0)
    return [head, *repeat(make_column(_PARAMETER), parameters)]
