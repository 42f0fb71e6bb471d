"""Statements of a caller, already typed by the protocol that brought them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import NewType

StatementId = NewType('StatementId', str)
StatementName = NewType('StatementName', str)


@unique
class Verb(Enum):
    """What a statement does."""

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
    """A prepared statement: what a caller's name for it stands for.

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
        id: identifies it towards the endpoint and in logs.
        verb: what it does.
        text: the statement as the caller sent it, passed on unchanged.
        name: variable of SET, or name of PREPARE, EXECUTE and FORGET.
        argument: value of SET, or arguments of EXECUTE.
        prepared: what PREPARE prepares.
    """

    id: StatementId
    verb: Verb
    text: str
    name: str = ''
    argument: str = ''
    prepared: Prepared | None = None
