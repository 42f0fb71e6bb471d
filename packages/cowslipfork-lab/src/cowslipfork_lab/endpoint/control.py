"""Control port of an endpoint: faults and counters by MySQL statements."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import asdict
from types import MappingProxyType

from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ColumnType
from mysql_mimic.variables import GlobalVariables, SessionVariables

from cowslipfork_lab.endpoint.failures import ErrorNumber, StatementFailed
from cowslipfork_lab.endpoint.faults import Partition
from cowslipfork_lab.endpoint.group_statements import status_row
from cowslipfork_lab.endpoint.state import EndpointState

_SET = re.compile(
    r"\s*SET\s+GLOBAL\s+(lab_\w+)\s*=\s*'?([\w.]+)'?\s*$",
    re.IGNORECASE,
)
_COUNTERS = re.compile(r'\s*SHOW\s+LAB\s+COUNTERS\s*$', re.IGNORECASE)
_STATUS = re.compile(r'\s*SHOW\s+GROUP\s+STATUS\s*$', re.IGNORECASE)
_MILLISECONDS = 1000

_Setter = Callable[[EndpointState, str], None]


class ControlSession(BaseSession):
    """A connection to the control port; no fault touches it."""

    def __init__(
        self, state: EndpointState, next_id: Callable[[], int]
    ) -> None:
        """Binds the session to an endpoint.

        Args:
            state: the endpoint.
            next_id: gives the number of the next client connection.
        """
        self.variables = SessionVariables(GlobalVariables())
        self.username: str | None = None
        self.database: str | None = None
        self._state = state
        self._next_id = next_id

    async def handle_query(
        self,
        sql: str,
        attrs: dict[str, str],
    ) -> ResultSet | None:
        """Runs a statement of the control port.

        Args:
            sql: ``SET GLOBAL lab_...``, ``SHOW LAB COUNTERS`` or
                ``SHOW GROUP STATUS``.
            attrs: query attributes, unused.

        Returns:
            Counters or status; None for a setting.

        Raises:
            StatementFailed: no such variable.
        """
        if _COUNTERS.match(sql):
            return self._counters()
        if _STATUS.match(sql):
            return status_row(self._state)
        match = _SET.match(sql)
        if match:
            self._set(match.group(1).lower(), match.group(2))
        return None

    def _set(self, name: str, setting: str) -> None:
        if name == 'lab_silent':
            self._state.faults.block_connections_below(self._next_id())
            return
        setter = _SETTERS.get(name)
        if setter is None:
            raise StatementFailed(
                ErrorNumber.UNKNOWN_VARIABLE,
                f'Unknown variable {name}',
            )
        setter(self._state, setting)

    def _counters(self) -> ResultSet:
        rows = list(asdict(self._state.counters).items())
        return ResultSet(
            rows,
            [
                ResultColumn('name', ColumnType.VAR_STRING),
                ResultColumn('count', ColumnType.LONGLONG),
            ],
        )


def _duration(attribute: str) -> _Setter:
    def apply(state: EndpointState, setting: str) -> None:
        setattr(state.faults, attribute, float(setting) / _MILLISECONDS)

    return apply


def _freeze(state: EndpointState, setting: str) -> None:
    state.faults.freeze(frozen=setting != '0')


def _cut(state: EndpointState, setting: str) -> None:
    state.faults.set_partition(Partition(setting))


def _leave(state: EndpointState, setting: str) -> None:
    state.faults.leaving = setting != '0'


_SETTERS: Mapping[str, _Setter] = MappingProxyType(
    {
        'lab_lag_ms': _duration('lag_seconds'),
        'lab_service_ms': _duration('service_seconds'),
        'lab_connect_ms': _duration('connect_seconds'),
        'lab_lock_wait_ms': _duration('lock_wait_seconds'),
        'lab_frozen': _freeze,
        'lab_partition': _cut,
        'lab_leaving': _leave,
    }
)
