"""Interface to the platform's store: compare-and-swap, prefixes, watches."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import NewType, Protocol

from cowslipfork.errors import CowslipforkError

#: A time for which keys stay; when it ends they are removed.
LeaseId = NewType('LeaseId', int)


#: Number that rises whenever the store returns from an older copy of its data.
#: Revisions and leases mean something only together with their era.
StoreEra = NewType('StoreEra', int)


class StoreDown(CowslipforkError):
    """The store did not answer; a read or an unsent write had no effect."""

    def __init__(self, operation: str, cause: str) -> None:
        """Remembers what failed.

        Args:
            operation: name of the call, such as ``swap``.
            cause: error of the client library.
        """
        super().__init__(f'store {operation} failed: {cause}')
        self.operation = operation
        self.cause = cause


class StoreUncertain(StoreDown):
    """A write's answer was lost: it may have taken effect."""


class EraEnded(StoreUncertain):
    """The store returned from an older copy during the call.

    A write may have taken effect before or after that; a result that was read
    or renewed before proves nothing any more.
    """


class WatchClosed(StoreDown):
    """The store closed a watch's connection; a new one may work at once."""


class HistoryLost(StoreDown):
    """The store has dropped the changes that a watch asked for."""


class TooManyChanges(HistoryLost):
    """The changes that a watch asked for are longer than the watch allowed."""


class LeaseLost(StoreDown):
    """The lease has ended; what was to be written with it was not."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        key: full key.
        content: value, at most a megabyte.
        revision: store revision of the last change; 0 if absent.
    """

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key's last change has this revision (0: absent)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A change.

    Attributes:
        key: full key.
        content: new value; None deletes the key.
        lease: lease that the key ends with; None keeps it for ever.
    """

    key: str
    content: bytes | None
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Result of a compare-and-swap.

    Attributes:
        succeeded: whether every condition held and all was written.
        revision: store revision after the call.
    """

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class Event:
    """A watched change; content None means deleted.

    Attributes:
        key: full key.
        content: new value; None if the key was deleted.
        revision: store revision of the change.
        restored: whether it was read from a store that had just returned from
            an older copy, so that it may be older than what is known.
    """

    key: str
    content: bytes | None
    revision: int
    restored: bool = False


class Store(Protocol):
    """What cowslipfork asks of the platform's store."""

    async def get(self, key: str) -> Entry | None:
        """Reads one key.

        Raises:
            StoreDown: no answer in time.
        """

    async def list_prefix(self, prefix: str) -> tuple[Sequence[Entry], int]:
        """Reads all keys below a prefix and the store revision of the read.

        Raises:
            StoreDown: no answer in time.
        """

    async def swap(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
    ) -> SwapResult:
        """Writes all puts if all compares hold, in one transaction.

        Raises:
            StoreUncertain: the answer was lost.
            StoreDown: the call was certainly not made.
        """

    def watch(
        self,
        prefix: str,
        after: int,
        max_size: int | None = None,
    ) -> AsyncIterator[list[Event]]:
        """Yields changes below a prefix later than store revision ``after``.

        Args:
            prefix: prefix of the keys.
            after: store revision.
            max_size: most bytes of content to read at a time; None for no
                limit.

        Raises:
            TooManyChanges: more than ``max_size`` have changed at a time.
            HistoryLost: list again and watch from there.
            StoreDown: the watch broke; it may go on after the last event.
        """


class LeasingStore(Store, Protocol):
    """A store that also grants leases."""

    async def grant(self, ttl: float) -> LeaseId:
        """Grants a lease.

        Args:
            ttl: seconds for which it lasts without renewal.

        Raises:
            StoreDown: no answer in time; a lease may have been granted.
        """

    async def renew(self, lease: LeaseId) -> bool:
        """Renews a lease.

        Returns:
            Whether it had not ended when the store answered.

        Raises:
            StoreDown: no answer in time.
        """

    async def end(self, lease: LeaseId) -> bool:
        """Ends a lease.

        Returns:
            Whether it lasted until now; false if it had ended already.

        Raises:
            StoreDown: no answer in time; it may have ended.
        """
