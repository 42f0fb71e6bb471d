"""Checks base file and all overlays together, as a change is accepted."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from cowslipfork.configuration._ini import read_ini
from cowslipfork.configuration.model import Configuration, Role
from cowslipfork.configuration.parser import parse_configuration
from cowslipfork.configuration.problems import Problem, ProblemKind
from cowslipfork.ids import SiteName

#: Sections that name something in the store or on the wire: the same name in
#: two overlays would be two things under one name.
_FLEET_WIDE = ('group', 'endpoint')


def check_files(base: str, overlays: Mapping[str, str]) -> tuple[Problem, ...]:
    """Checks a configuration for every site.

    Args:
        base: text of the base file.
        overlays: texts by site.

    Returns:
        Every problem, each once; empty if it can be accepted.
    """
    found = [
        *_check_sites(base, overlays),
        *_check_fleet(base, overlays),
    ]
    return tuple(dict.fromkeys(found))


def _check_sites(base: str, overlays: Mapping[str, str]) -> Iterator[Problem]:
    if not overlays:
        yield Problem('', '', '', 'no overlay of a site', ProblemKind.MISSING)
    for site, overlay in sorted(overlays.items()):
        checked = parse_configuration(base, overlay, SiteName(site))
        if checked.is_error():
            yield from checked.error.problems
        else:
            yield from _check_operators(site, checked.ok)


def _check_operators(
    site: str,
    configuration: Configuration,
) -> Iterator[Problem]:
    roles = {operator.role for operator in configuration.operators.values()}
    if Role.OPERATOR not in roles:
        yield Problem(
            f'overlay {site}',
            'operator',
            'role',
            'nobody has the role operator and could accept the next change',
            ProblemKind.CONTRADICTION,
        )


def _check_fleet(base: str, overlays: Mapping[str, str]) -> Iterator[Problem]:
    shared, _ = read_ini(base, 'base')
    owners: dict[str, str] = {}
    for site, overlay in sorted(overlays.items()):
        sections, _ = read_ini(overlay, f'overlay {site}')
        for heading in sections:
            owner = owners.setdefault(heading, site)
            own = heading.startswith(_FLEET_WIDE) and heading not in shared
            if own and owner != site:
                yield Problem(
                    f'overlay {site}',
                    heading,
                    '',
                    f'overlay {owner} has one of that name',
                    ProblemKind.DUPLICATE,
                )
