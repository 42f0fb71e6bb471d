"""An endpoint as a member of its group: role, term, log and database."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from cowslipfork.groups import EndpointRole, EndpointStatus
from cowslipfork.ids import EndpointId, Mark, Position, Term
from cowslipfork_lab.endpoint.database import Database, Outcome
from cowslipfork_lab.endpoint.dialect import Statement
from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed
from cowslipfork_lab.endpoint.journal import Journal
from cowslipfork_lab.endpoint.log import Change, Entry, Log
from cowslipfork_lab.endpoint.settings import SELF

#: Term of a group that was never promoted anew.
FIRST_TERM = Term(1)


class Member:
    """State of an endpoint in its group.

    Every method runs without waiting, so each is one step to all others.
    """

    def __init__(self, name: str, journal: Journal) -> None:
        """Starts fenced with what the journal holds.

        Args:
            name: endpoint id.
            journal: keeps log and term over restarts.
        """
        self._name = EndpointId(name)
        self._journal = journal
        term, entries = journal.load()
        self._term = term
        self._log = Log(list(entries))
        self._role = EndpointRole.FENCED
        self._following = ''
        self._database = Database()
        self._appended = asyncio.Event()
        self._state_changed = asyncio.Event()
        self._on_fence: list[Callable[[], None]] = []
        for entry in self._log.entries:
            self._database.apply(entry)

    @property
    def term(self) -> Term:
        """Term that the endpoint is in."""
        return self._term

    @property
    def role(self) -> EndpointRole:
        """What the endpoint does in its term."""
        return self._role

    @property
    def following(self) -> str:
        """Address of the primary to follow; empty if none."""
        return self._following

    @property
    def log(self) -> Log:
        """Applied entries."""
        return self._log

    @property
    def database(self) -> Database:
        """Its SQL."""
        return self._database

    @property
    def appended(self) -> asyncio.Event:
        """Set and replaced with each new entry."""
        return self._appended

    @property
    def state_changed(self) -> asyncio.Event:
        """Set and replaced with each change of term or role."""
        return self._state_changed

    def status(self, *, leaving: bool) -> EndpointStatus:
        """Answers ``SHOW GROUP STATUS``."""
        return EndpointStatus(
            self._name,
            self._role,
            self._term,
            self._log.last,
            leaving,
        )

    def start(self, primary: str) -> None:
        """Takes its first role in a new group.

        Args:
            primary: address of the first primary, or ``SELF``; empty to
                stay fenced.
        """
        if not primary or self._term > Term(0):
            return
        if primary == SELF:
            self._move(FIRST_TERM, EndpointRole.PRIMARY)
        else:
            self._move(FIRST_TERM, EndpointRole.FENCED, primary)

    def on_fence(self, callback: Callable[[], None]) -> None:
        """Registers what drops the open transactions."""
        self._on_fence.append(callback)

    def fence(self, term: Term) -> None:
        """Moves to a term and takes no writes.

        Raises:
            StatementFailed: the endpoint is in a later term.
        """
        self.require(term >= self._term)
        self._drop_transactions()
        self._move(term, EndpointRole.FENCED)

    def promote(self, term: Term) -> None:
        """Becomes the primary of the term.

        Raises:
            StatementFailed: it is not fenced at this term.
        """
        self.require(term == self._term)
        if self._role == EndpointRole.PRIMARY:
            return
        self.require(self._role == EndpointRole.FENCED and not self._following)
        self._move(term, EndpointRole.PRIMARY)

    def follow(self, term: Term, primary: str) -> None:
        """Begins to follow a primary; a replica once its log agrees.

        Raises:
            StatementFailed: it is in a later term, or primary of this one.
        """
        self.require(term >= self._term)
        if term == self._term:
            self.require(self._role != EndpointRole.PRIMARY)
            if self._following == primary:
                return
        self._drop_transactions()
        self._move(term, EndpointRole.FENCED, primary)

    def agree(self, ends: Iterable[Mark]) -> None:
        """Drops what the primary lacks and becomes a replica.

        Args:
            ends: last mark of each term in the primary's log.
        """
        shared = self._log.shared_with(ends)
        if shared < len(self._log.entries):
            self._truncate(shared)
        self._move(self._term, EndpointRole.REPLICA, self._following)

    def require(self, permitted: object) -> None:
        """Refuses a statement of another term.

        Raises:
            StatementFailed: it is not permitted.
        """
        if not permitted:
            raise StatementFailed(
                ErrorNumber.OTHER_TERM,
                f'endpoint is {self._role.value} in term {self._term}',
            )

    def write(self, statement: Statement) -> Outcome:
        """Runs a write in the open transaction.

        Raises:
            StatementFailed: no primary, or the statement is wrong.
        """
        if self._role != EndpointRole.PRIMARY:
            raise StatementFailed(
                ErrorNumber.READ_ONLY,
                f'endpoint is {self._role.value} in term {self._term}',
            )
        return self._database.write(statement)

    def commit(self) -> None:
        """Commits the open transaction as one entry of the log."""
        changes: Sequence[Change] = self._database.commit()
        if changes:
            mark = self._log.next_mark(self._term)
            self._append(Entry(mark, tuple(changes)))

    def apply(self, entry: Entry) -> None:
        """Applies an entry of the primary's log."""
        self._database.apply(entry)
        self._append(entry)

    def _append(self, entry: Entry) -> None:
        self._log.entries.append(entry)
        self._journal.append(entry)
        self._appended.set()
        self._appended = asyncio.Event()

    def _truncate(self, shared: Position) -> None:
        del self._log.entries[shared:]
        self._journal.rewrite(self._term, self._log.entries)
        self._database = Database()
        for entry in self._log.entries:
            self._database.apply(entry)

    def _drop_transactions(self) -> None:
        self._database.rollback()
        for callback in self._on_fence:
            callback()

    def _move(self, term: Term, role: EndpointRole, follow: str = '') -> None:
        if term != self._term:
            self._journal.move(term)
        self._term = term
        self._role = role
        self._following = follow
        self._state_changed.set()
        self._state_changed = asyncio.Event()
