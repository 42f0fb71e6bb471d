"""Report of an experiment for a person."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any


def report_text(document: Mapping[str, Any]) -> str:
    """Writes the figures as lines and a table.

    Args:
        document: the JSON report.

    Returns:
        Text.
    """
    return '\n'.join(_lines(document))


def _lines(document: Mapping[str, Any]) -> Iterator[str]:
    settings = document['settings']
    yield ' '.join(f'{name}={setting}' for name, setting in settings.items())
    for name in (
        'requests',
        'goodput_per_second',
        'weighted_availability',
        'replica_read_share',
    ):
        yield f'{name}: {_rounded(document[name])}'
    gaps = ', '.join(map(_rounded, document['failover_gap_seconds']))
    yield f'failover_gap_seconds: {gaps or "-"}'
    yield f'violations: {len(document["violations"])}'
    yield from document['violations'][:10]
    yield (
        f'{"kind":20} {"due":>7} {"done":>7} {"refused":>7} {"not run":>7} '
        f'{"unknown":>7} {"p50 ms":>8} {"p99 ms":>8}'
    )
    for kind, figures in document['kinds'].items():
        endings = figures['endings']
        latency = figures['latency_ms']
        yield (
            f'{kind:20} {figures["requests"]:7} '
            f'{endings.get("done", 0):7} {endings.get("refused", 0):7} '
            f'{endings.get("not_run", 0):7} {endings.get("unknown", 0):7} '
            f'{latency["p50"]:8.1f} {latency["p99"]:8.1f}'
        )
    for name, counters in document['endpoints'].items():
        yield (
            f'{name}: slots_maximum={counters["slots_maximum"]} '
            f'slots_refused={counters["slots_refused"]} '
            f'connections_maximum={counters["connections_maximum"]} '
            f'connections_refused={counters["connections_refused"]} '
            f'reads={counters["reads"]} writes={counters["writes"]}'
        )


def _rounded(figure: float | None) -> str:
    return '-' if figure is None else f'{figure:.4g}'
