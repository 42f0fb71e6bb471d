"""Calls of the platform's store: their counts, eras, log events and errors."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeVar

from cowslipfork.store.port import (
    StoreDown,
    StoreEra,
    StoreUncertain,
    TooManyChanges,
    WatchClosed,
)
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.decoding import parse_whole_number
from cowslipfork_direct.http_client import (
    HttpClient,
    HttpNotSent,
    HttpResponseLost,
    HttpResponseTooLong,
    ResponseLimits,
)
from cowslipfork_direct.http_connection import HttpReply, HttpRequest
from cowslipfork_direct.store_era import ONLY_ERA, EraTracker

log = logging.getLogger(__name__)

_MS_PER_SECOND: Final = 1000

_OK: Final = 200

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call of the store.

    Attributes:
        operation: name of the call, for counts, errors and the log.
        request: its request.
        limits: limits of the answer.
    """

    operation: str
    request: HttpRequest
    limits: ResponseLimits


class StoreCalls:
    """Makes calls and tells failed ones from those with an unknown result."""

    def __init__(
        self, eras: EraTracker, era_header: str, counts: Counter[str]
    ) -> None:
        """Starts without calls.

        Args:
            eras: is told the era in each answer.
            era_header: header of an answer with the era, in lower case.
            counts: counter of calls by name and status.
        """
        self._eras = eras
        self._era_header = era_header
        self._counts = counts

    async def run(
        self,
        client: HttpClient,
        call: StoreCall,
        read: Callable[[HttpReply], _Answer],
    ) -> _Answer:
        """Makes a call.

        Args:
            client: client that sends it.
            call: the call.
            read: decodes its answer, as in ``HttpClient.request``.

        Raises:
            EraEnded: the store returned from an older copy during the call.
            StoreUncertain: the answer to a swap was lost.
            TooManyChanges: the answer exceeds the limit of its size.
            WatchClosed: the connection of a watch was closed.
            StoreDown: no answer; ``read`` may raise others.
        """
        era = self._eras.current
        begun_at = boot_time()

        def read_checked(reply: HttpReply) -> _Answer:
            self._counts[f'{call.operation} {reply.status}'] += 1
            self._eras.check(call.operation, era, self._era_of(reply))
            return read(reply)

        try:
            return await client.request(call.request, call.limits, read_checked)
        except HttpNotSent as error:
            self._counts[f'{call.operation} unsent'] += 1
            _log_failed_call(call, client, begun_at, error)
            raise StoreDown(call.operation, str(error)) from error
        except HttpResponseTooLong as error:
            self._counts[f'{call.operation} long'] += 1
            raise TooManyChanges(call.operation, str(error)) from error
        except HttpResponseLost as error:
            self._counts[f'{call.operation} lost'] += 1
            _log_failed_call(call, client, begun_at, error)
            raise lost_answer_error(
                call.operation, str(error), closed=error.closed
            ) from error

    def _era_of(self, reply: HttpReply) -> StoreEra | None:
        """Returns the era in an answer; None if a refusal does not tell it."""
        era = parse_whole_number(reply.headers.get(self._era_header, ''))
        if era is not None:
            return StoreEra(era)
        return ONLY_ERA if reply.status == _OK else None


def lost_answer_error(
    operation: str, cause: str, *, closed: bool = False
) -> StoreDown:
    """Returns the error for a lost answer; only a swap's effect is in doubt.

    Args:
        operation: name of the call.
        cause: why there is no answer.
        closed: whether its connection was closed.
    """
    if operation == 'watch' and closed:
        return WatchClosed(operation, cause)
    error_type = StoreUncertain if operation == 'swap' else StoreDown
    return error_type(operation, cause)


def _log_failed_call(
    call: StoreCall,
    client: HttpClient,
    begun_at: float,
    error: HttpNotSent | HttpResponseLost,
) -> None:
    """Logs a call without a complete answer."""
    received = error.received if isinstance(error, HttpResponseLost) else None
    log.info(
        'store_call_failed',
        extra={
            'operation': call.operation,
            'via': client.via.host if client.via else 'direct',
            'sent': received is not None,
            'received': received or 0,
            'ms': round((boot_time() - begun_at) * _MS_PER_SECOND),
            'cause': str(error),
        },
    )
