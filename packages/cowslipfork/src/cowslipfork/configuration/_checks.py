"""Checks that span sections: references, shared names, contradictions."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable, Collection, Hashable, Iterator
from typing import Any, TypeAlias

from cowslipfork.configuration._build import Built, nearest
from cowslipfork.configuration.problems import Problem, ProblemKind

#: Yields what is wrong with sections taken together.
Check: TypeAlias = Callable[[list[Built]], Iterator[Problem]]


def check_all(built: list[Built]) -> list[Problem]:
    """Runs every check.

    Args:
        built: sections as far as they could be read.

    Returns:
        The problems found.
    """
    return list(
        itertools.chain.from_iterable(check(built) for check in _CHECKS)
    )


def _problem(
    section: Built,
    key: str,
    text: str,
    kind: ProblemKind = ProblemKind.CONTRADICTION,
) -> Problem:
    return Problem(section.file_of(key), section.heading, key, text, kind)


def _of(built: list[Built], heading: str) -> list[Built]:
    return [section for section in built if section.schema.heading == heading]


def _references(built: list[Built]) -> Iterator[Problem]:
    names: dict[str, dict[str, None]] = defaultdict(dict)
    for section in built:
        names[section.schema.heading][section.name] = None
    for section in built:
        for key in section.schema.keys:
            if key.refers and key.field_name in section.fields:
                yield from _unknown(
                    section,
                    key.name,
                    key.refers,
                    section.fields[key.field_name],
                    names[key.refers],
                )


def _unknown(
    section: Built,
    key: str,
    heading: str,
    named: str | tuple[str, ...],
    known: Collection[str],
) -> Iterator[Problem]:
    wanted = (named,) if isinstance(named, str) else named
    for name in wanted:
        if name not in known:
            text = f'no {heading} "{name}"{nearest(name, known)}'
            yield _problem(section, key, text, ProblemKind.BAD_REFERENCE)


def _failure_domains(built: list[Built]) -> Iterator[Problem]:
    site = next(iter(_of(built, 'site')), None)
    if site is None or 'failure_domains' not in site.fields:
        return
    known = site.fields['failure_domains']
    for endpoint in _of(built, 'endpoint'):
        domain = endpoint.fields.get('failure_domain')
        if domain is not None:
            yield from _unknown(
                endpoint,
                'failure_domain',
                'failure domain',
                domain,
                known,
            )


def _distinct(
    heading: str,
    key: str,
    value_of: Callable[[dict[str, Any]], Hashable | None],
) -> Check:
    def check(built: list[Built]) -> Iterator[Problem]:
        first: dict[Hashable, str] = {}
        for section in _of(built, heading):
            value = value_of(section.fields)
            if value is None:
                continue
            owner = first.setdefault(value, section.heading)
            if owner != section.heading:
                yield _problem(
                    section,
                    key,
                    f'is the same as that of [{owner}]',
                    ProblemKind.DUPLICATE,
                )

    return check


def _endpoint_address(fields: dict[str, Any]) -> Hashable | None:
    if 'host' in fields and 'port' in fields:
        return fields['host'], fields['port']
    return None


def _shared_endpoints(built: list[Built]) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for group in _of(built, 'group'):
        for endpoint in group.fields.get('endpoints', ()):
            owner = owners.setdefault(endpoint, group.heading)
            if owner != group.heading:
                text = f'endpoint "{endpoint}" belongs to [{owner}] already'
                yield _problem(group, 'endpoints', text, ProblemKind.DUPLICATE)


def _connections(built: list[Built]) -> Iterator[Problem]:
    for endpoint in _of(built, 'endpoint'):
        slots = endpoint.fields.get('slots', 0)
        connections = endpoint.fields.get('connections')
        if connections is not None and connections <= slots:
            text = (
                f'{connections} connections leave none beside {slots} slots '
                'for status questions'
            )
            yield _problem(endpoint, 'connections', text)


def _failover_times(built: list[Built]) -> Iterator[Problem]:
    for section in _of(built, 'failover'):
        made = section.made
        if made is not None and made.suspect_after < made.probe_interval:
            text = 'is shorter than probe_interval: every primary is suspect'
            yield _problem(section, 'suspect_after', text)


_CHECKS: tuple[Check, ...] = (
    _references,
    _failure_domains,
    _distinct('endpoint', 'port', _endpoint_address),
    _distinct('group', 'database', lambda fields: fields.get('database')),
    _distinct(
        'operator',
        'token_hash',
        lambda fields: fields.get('token_hash'),
    ),
    _shared_endpoints,
    _connections,
    _failover_times,
)
