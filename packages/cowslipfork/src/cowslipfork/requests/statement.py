"""What a statement does, and why one may be refused."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeAlias

from expression import Result

from cowslipfork.errors import CowslipforkError
from cowslipfork.requests.request import Operation


@unique
class LocalStatement(Enum):
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
        local: how the entry node answers it; None if the group does.
        connection_bound: whether it means one server connection, and so
            makes sense inside a transaction only.
        implicit_commit: whether a server would commit an open transaction
            before it.
    """

    operation: Operation | None = None
    local: LocalStatement | None = None
    connection_bound: bool = False
    implicit_commit: bool = False


class StatementRefused(CowslipforkError):
    """A statement that a pool of server connections can't serve."""


Classified: TypeAlias = Result[Statement, StatementRefused]
