"""Tells the answer to a call of the store from a late one to an earlier call.

Answers name no call. An earlier answer may arrive once more on its connection
after the next call was sent there; only its content shows that. Calls are
linearizable, and the revision of the store increases with each change.

A late answer that is the same as the one to this call would be in everything
that is checked here passes for it: a renewal of the same lease, and a read of
the same keys while no later change is known.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from cowslipfork.store.port import (
    Event,
    LeaseId,
    LeaseLost,
    Put,
    StoreDown,
    StoreUncertain,
)
from cowslipfork_direct.http_client import UnexpectedResponse
from cowslipfork_direct.store_era import EraTracker

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_UNAVAILABLE: Final = 503

#: Statuses of requests that were refused.
_REFUSED: Final = range(400, 500)


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """What tells an answer about a lease from one about keys.

    Attributes:
        lease: number of the lease; 0 if it is not told.
        ttl_ms: time to live in milliseconds; 0 if it is not told.
        key: key of an item; empty in an answer about a lease.
        revision: revision of an item or a transaction; 0 if it is not told.
        read_revision: revision of a read; 0 if it is not told.
    """

    lease: int = 0
    ttl_ms: float = 0
    key: str = ''
    revision: int = 0
    read_revision: int = 0


class KnownRevision:
    """Newest revision of the store that the answers to one client showed."""

    def __init__(self, eras: EraTracker) -> None:
        """Starts without an answer.

        Args:
            eras: eras of the store; revisions of an earlier one count no more.
        """
        self._eras = eras
        self._era = eras.current
        self._newest = 0

    @property
    def newest(self) -> int:
        """Newest known revision; 0 if none is known."""
        return self._newest if self._era == self._eras.current else 0

    def ensure_read(self, known: int, revision: int) -> None:
        """Checks and notes the revision of a read.

        Args:
            known: newest revision that was known when the call began.
            revision: revision in the answer.

        Raises:
            UnexpectedResponse: the read is older than the call.
        """
        self._note(revision, revision >= known)

    def ensure_written(
        self, known: int, revision: int, puts: Sequence[Put]
    ) -> None:
        """Checks and notes the revision of a transaction.

        Args:
            known: newest revision that was known when the call began.
            revision: revision in the answer.
            puts: changes of the transaction; deletes of keys that do not
                exist may change nothing.

        Raises:
            UnexpectedResponse: the transaction is older than the call.
        """
        changes = any(put.content is not None for put in puts)
        self._note(revision, revision >= known + int(changes))

    def _note(self, revision: int, fits: bool) -> None:
        newest = self.newest
        self._era = self._eras.current
        if not fits:
            # Later calls must not all fail if the store itself went back.
            self._newest = 0
            raise UnexpectedResponse(f'revision {revision} after {newest}')
        self._newest = max(newest, revision)


def ensure_page(prefix: str, after: str, keys: Iterable[str]) -> None:
    """Checks the keys in a page of a list.

    Args:
        prefix: prefix that was asked for.
        after: key after which the page begins.
        keys: keys in the answer.

    Raises:
        UnexpectedResponse: a key was not asked for.
    """
    for key in keys:
        if not key.startswith(prefix) or key <= after:
            raise UnexpectedResponse(f'{key} is not below {prefix}')


def ensure_changes(
    prefix: str, after: int, revision: int, events: Sequence[Event]
) -> None:
    """Checks the answer to a watch.

    Args:
        prefix: prefix that was asked for.
        after: revision after which changes were asked for.
        revision: revision that the next watch continues from.
        events: changes in the answer.

    Raises:
        UnexpectedResponse: a change was not asked for, or the answer ends
            before the revision that the watch begins from.
    """
    ensure_page(prefix, '', (event.key for event in events))
    oldest = min((event.revision for event in events), default=after + 1)
    if revision < after or oldest <= after:
        raise UnexpectedResponse(f'changes at {oldest} after {after}')


def ensure_granted(answer: LeaseAnswer, last: LeaseId | None) -> LeaseId:
    """Returns the lease in the answer to a grant.

    Args:
        answer: the answer.
        last: lease that was granted last; None for none.

    Raises:
        UnexpectedResponse: it grants no lease, or the last one again.
    """
    lease = LeaseId(answer.lease)
    if not (lease and answer.ttl_ms) or answer.key or lease == last:
        raise UnexpectedResponse(f'no grant of a lease: {answer}')
    return lease


def ensure_renewed(lease: LeaseId, answer: LeaseAnswer) -> None:
    """Checks the answer to the renewal of a lease, which may be empty.

    Args:
        lease: lease that was to be renewed.
        answer: the answer.

    Raises:
        UnexpectedResponse: it is that to a read, to a write or to the grant
            of another lease.
    """
    changes = answer.revision or answer.read_revision
    is_of_keys = answer.key or (changes and not answer.ttl_ms)
    if is_of_keys or answer.lease not in {0, lease}:
        raise UnexpectedResponse(f'no renewal of lease {lease}: {answer}')


def ensure_ok(operation: str, status: int) -> None:
    """Checks the status of an answer.

    Args:
        operation: name of the call, for the error.
        status: status code.

    Raises:
        StoreDown: the call had no result.
    """
    if status != _OK:
        raise StoreDown(operation, f'unexpected status {status}')


def is_found(operation: str, status: int) -> bool:
    """Returns whether a key or a lease exists.

    Args:
        operation: name of the call, for the error.
        status: status code.

    Raises:
        StoreDown: the call had no result.
    """
    if status != _NOT_FOUND:
        ensure_ok(operation, status)
    return status == _OK


def is_swapped(status: int) -> bool:
    """Returns whether the conditions of a swap held.

    Args:
        status: status code.

    Raises:
        LeaseLost: a lease does not exist; nothing was written.
        StoreUncertain: the status does not tell whether it was written.
        StoreDown: the swap was refused; nothing was written.
    """
    if status == _NOT_FOUND:
        raise LeaseLost('swap', 'the lease does not exist')
    if status not in {_OK, _CONFLICT}:
        refused = status in _REFUSED or status == _UNAVAILABLE
        error_type = StoreDown if refused else StoreUncertain
        raise error_type('swap', f'unexpected status {status}')
    return status == _OK
