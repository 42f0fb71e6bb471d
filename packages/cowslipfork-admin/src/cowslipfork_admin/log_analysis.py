"""Finds the path of a request, and what nodes believed, in their logs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from cowslipfork_admin.log_lines import LogLine

#: Events of the request's node and group that are shown before it.
EVENTS_BEFORE: Final = 8

#: Events that change what a node believes, with the column they belong to.
BELIEFS: Final = MappingProxyType(
    {
        'leader_changed': 'primary',
        'configuration_read': 'configuration',
        'store_lost': 'store',
        'store_back': 'store',
        'store_way': 'store',
        'takeover_posted': 'takeover',
        'started': 'node',
        'stopping': 'node',
        'stopped': 'node',
    }
)


#: Further events that tell why a request went as it did.
CAUSES: Final = frozenset(
    (
        *BELIEFS,
        'endpoint_silent',
        'endpoint_reached',
        'endpoint_gone',
        'endpoint_listed',
        'primary_suspected',
        'leader_not_proved',
        'lease_ended',
        'settings_reloaded',
        'configuration_unreadable',
        'workspaces_changed',
    ),
)


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs tell of one request.

    Attributes:
        lines: lines that carry its id.
        before: what its node learnt of its group, or of itself, before.
    """

    lines: tuple[LogLine, ...]
    before: tuple[LogLine, ...]


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Follows a request.

    Args:
        request_id: id that the caller gave it.
        lines: events of all nodes, in order.

    Returns:
        Its path; empty if no line carries the id.
    """
    earlier: list[LogLine] = []
    own: list[LogLine] = []
    for line in lines:
        if line.fields.get('id') == request_id:
            own.append(line)
        elif not own and line.event in CAUSES:
            earlier.append(line)
    if not own:
        return Explanation((), ())
    group = own[-1].fields.get('group')
    concerning = [
        before
        for before in earlier
        if before.vm == own[0].vm and before.fields.get('group', group) == group
    ]
    return Explanation(tuple(own), tuple(concerning[-EVENTS_BEFORE:]))


def last_lines(lines: Iterable[LogLine]) -> list[LogLine]:
    """Gives the last event of each node, the earliest first.

    Args:
        lines: events of all nodes, in order.
    """
    last = {line.vm: line for line in lines}
    return sorted(last.values(), key=lambda line: line.time)


@dataclass(slots=True)
class Beliefs:
    """What one node believes at a moment, by column."""

    columns: dict[str, str] = field(default_factory=dict)

    def take(self, line: LogLine) -> bool:
        """Takes an event over; tells whether it changed anything."""
        column = BELIEFS.get(line.event)
        if column is None:
            return False
        name, text = _belief(column, line)
        changed = self.columns.get(name) != text
        self.columns[name] = text
        return changed


def timeline(
    lines: Iterable[LogLine],
) -> Iterator[tuple[LogLine, dict[str, Beliefs]]]:
    """Follows what nodes believe.

    Args:
        lines: events of all nodes, in order.

    Yields:
        Each event that changed something, with the beliefs of all nodes
        after it.
    """
    beliefs: dict[str, Beliefs] = {}
    for line in lines:
        if beliefs.setdefault(line.vm, Beliefs()).take(line):
            yield line, beliefs


def _belief(column: str, line: LogLine) -> tuple[str, str]:
    fields = line.fields
    group = fields.get('group', '')
    if column == 'primary':
        leader = fields.get('leader', 'None')
        return f'primary of {group}', f'{leader} in term {fields.get("term")}'
    if column == 'takeover':
        phase = f'{fields.get("kind")} {fields.get("phase")}'
        return f'takeover of {group}', f'{phase} by {fields.get("claimer")}'
    if column == 'configuration':
        return column, fields.get('revision', '')
    if line.event == 'store_way':
        return column, f'via {fields.get("via")}'
    return column, line.event
