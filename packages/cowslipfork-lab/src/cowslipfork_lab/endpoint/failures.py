"""Errors of the endpoint stand-in with their MySQL numbers and SQLSTATEs."""

from __future__ import annotations

import sqlite3
from enum import IntEnum, unique

from mysql_mimic.errors import SQLSTATES, MysqlError


@unique
class ErrorNumber(IntEnum):
    """Numbers that the stand-in answers with."""

    TOO_MANY_CONNECTIONS = 1040
    NULL_VALUE = 1048
    TABLE_EXISTS = 1050
    UNKNOWN_COLUMN = 1054
    DUPLICATE_ENTRY = 1062
    SYNTAX = 1064
    UNKNOWN = 1105
    UNKNOWN_TABLE = 1146
    UNKNOWN_VARIABLE = 1193
    LOCK_WAIT_TIMEOUT = 1205
    ROLLED_BACK = 1213
    READ_ONLY = 1290
    FOREIGN_KEY = 1452
    CHECK_VIOLATED = 3819
    OTHER_TERM = 4701
    NO_FREE_SLOT = 4702


# The library looks SQLSTATEs up here when it writes an error packet.
SQLSTATES.update(
    {
        ErrorNumber.NULL_VALUE: b'23000',
        ErrorNumber.TABLE_EXISTS: b'42S01',
        ErrorNumber.UNKNOWN_COLUMN: b'42S22',
        ErrorNumber.DUPLICATE_ENTRY: b'23000',
        ErrorNumber.UNKNOWN_TABLE: b'42S02',
        ErrorNumber.ROLLED_BACK: b'40001',
        ErrorNumber.FOREIGN_KEY: b'23000',
    },
)

_SQLITE_MESSAGES = (
    ('UNIQUE constraint failed', ErrorNumber.DUPLICATE_ENTRY),
    ('NOT NULL constraint failed', ErrorNumber.NULL_VALUE),
    ('FOREIGN KEY constraint failed', ErrorNumber.FOREIGN_KEY),
    ('CHECK constraint failed', ErrorNumber.CHECK_VIOLATED),
    ('no such table', ErrorNumber.UNKNOWN_TABLE),
    ('no such column', ErrorNumber.UNKNOWN_COLUMN),
    ('has no column named', ErrorNumber.UNKNOWN_COLUMN),
    ('already exists', ErrorNumber.TABLE_EXISTS),
    ('syntax error', ErrorNumber.SYNTAX),
    ('incomplete input', ErrorNumber.SYNTAX),
    ('unrecognized token', ErrorNumber.SYNTAX),
)


class StatementFailed(MysqlError):
    """A statement that ends in an error packet."""

    def __init__(self, number: ErrorNumber, message: str) -> None:
        """Remembers number and text.

        Args:
            number: MySQL's number.
            message: text for a person.
        """
        super().__init__(message, number)


def failure_of(error: sqlite3.Error) -> StatementFailed:
    """Maps an error of SQLite to MySQL's number for the same failure.

    Args:
        error: what SQLite raised.

    Returns:
        The failure to answer with.
    """
    text = str(error)
    number = next(
        (known for part, known in _SQLITE_MESSAGES if part in text),
        ErrorNumber.UNKNOWN,
    )
    return StatementFailed(number, text)


def is_syntax_error(error: sqlite3.Error) -> bool:
    """Tells whether SQLite could not parse a statement."""
    return failure_of(error).code == ErrorNumber.SYNTAX
