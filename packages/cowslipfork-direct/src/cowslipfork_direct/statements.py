"""A caller's statements, as parsed by the adapter of its protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType

StatementId = NewType('StatementId', str)
StatementName = NewType('StatementName', str)


@unique
class Verb(Enum):
    """The type of a statement."""

    BEGIN = 'begin'
    BEGIN_READ_ONLY = 'begin_read_only'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    FORGET = 'forget'


@dataclass(frozen=True, slots=True)
class Prepared:
    """The definition of a prepared statement, without its name.

    Attributes:
        writes: whether executing it changes data.
        template: text of the statement without its arguments.
    """

    writes: bool
    template: str


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    Attributes:
        id: identifier sent to the endpoint and written to logs.
        verb: type of the statement.
        text: the statement as the caller sent it, forwarded unchanged.
        name: variable of SET, or statement name of PREPARE, EXECUTE and
            FORGET.
        argument: value of SET, or arguments of EXECUTE.
        prepared: definition given by PREPARE; None for other statements.
    """

    id: StatementId
    verb: Verb
    text: str
    name: str = ''
    argument: str = ''
    prepared: Prepared | None = None
