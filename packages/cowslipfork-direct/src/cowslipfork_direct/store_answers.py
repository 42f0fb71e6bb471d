"""What the status of an answer of the store tells about its call."""

from __future__ import annotations

from typing import Final

from cowslipfork.store.port import (
    LeaseLost,
    StoreDown,
    StoreUncertain,
)

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_UNAVAILABLE: Final = 503

#: Statuses of requests that were refused.
_REFUSED: Final = range(400, 500)


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
