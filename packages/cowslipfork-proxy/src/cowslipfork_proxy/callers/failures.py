"""Typed failures of the callers' side and their MySQL error numbers."""

from __future__ import annotations

from enum import Enum, unique

from cowslipfork.errors import CowslipforkError
from cowslipfork.outcomes import NotRun, Refused, Unknown, describe

NOT_RUN_STATE = '45N00'
UNKNOWN_STATE = '45U00'


@unique
class MysqlErrorCode(Enum):
    """MySQL's own error numbers and SQLSTATEs that a node answers itself."""

    TOO_MANY_CONNECTIONS = (1040, '08004')
    BAD_HANDSHAKE = (1043, '08S01')
    DATABASE_DENIED = (1044, '42000')
    ACCESS_DENIED = (1045, '28000')
    NO_DATABASE = (1046, '3D000')
    UNKNOWN_COMMAND = (1047, '08S01')
    UNKNOWN_DATABASE = (1049, '42000')
    EMPTY_STATEMENT = (1065, '42000')
    INTERNAL = (1105, 'HY000')
    UNKNOWN_CHARACTER_SET = (1115, '42000')
    STATEMENT_TOO_LONG = (1153, '08S01')
    UNKNOWN_VARIABLE = (1193, 'HY000')
    WRONG_ARGUMENTS = (1210, 'HY000')
    READ_ONLY_VARIABLE = (1238, 'HY000')
    WRONG_VALUE = (1231, '42000')
    NOT_SUPPORTED = (1235, '42000')
    UNKNOWN_PREPARED = (1243, 'HY000')
    TOO_MANY_PREPARED = (1461, '42000')
    MALFORMED_PACKET = (1835, 'HY000')


class CallerFailure(CowslipforkError):
    """A failure that a caller sees as a MySQL error packet."""

    def __init__(self, errno: int, sqlstate: str, text: str) -> None:
        """Keeps what the error packet carries.

        Args:
            errno: MySQL error number.
            sqlstate: five characters.
            text: message for a person.
        """
        super().__init__(f'{errno} ({sqlstate}): {text}')
        self.errno = errno
        self.sqlstate = sqlstate
        self.text = text


def mysql_failure(kind: MysqlErrorCode, text: str) -> CallerFailure:
    """Builds a failure of the node's own.

    Args:
        kind: number and SQLSTATE.
        text: message for a person.

    Returns:
        The failure to raise.
    """
    errno, sqlstate = kind.value
    return CallerFailure(errno, sqlstate, text)


def outcome_failure(outcome: Refused | NotRun | Unknown) -> CallerFailure:
    """Turns an outcome without an answer into an error packet's content.

    Args:
        outcome: how the request ended.

    Returns:
        The failure with the endpoint's own numbers, or those of the reason.
    """
    if isinstance(outcome, Refused):
        return CallerFailure(outcome.errno, outcome.sqlstate, outcome.text)
    state = NOT_RUN_STATE if isinstance(outcome, NotRun) else UNKNOWN_STATE
    return CallerFailure(outcome.reason.value, state, describe(outcome))
