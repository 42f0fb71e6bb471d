"""Checks base file and all overlays together, as a change is accepted."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from cowslipfork.configuration._ini import IniFile, read_ini
from cowslipfork.configuration.model import Configuration, Role
from cowslipfork.configuration.parser import parse_files
from cowslipfork.configuration.problems import Problem, ProblemKind
from cowslipfork.ids import SiteName

#: Sections that name something in the store or on the wire: the same name in
#: two overlays would be two things under one name.
_FLEET_WIDE = frozenset(('group', 'endpoint'))


def check_files(base: str, overlays: Mapping[str, str]) -> tuple[Problem, ...]:
    """Checks a configuration for every site.

    Args:
        base: text of the base file.
        overlays: texts by site.

    Returns:
        Every problem, each once; empty if it can be accepted.
    """
    base_file = read_ini(base, 'base')
    files = {
        site: read_ini(overlay, f'overlay {site}')
        for site, overlay in sorted(overlays.items())
    }
    found = [
        *_check_sites(base_file, files),
        *_check_fleet(base_file, files),
    ]
    return tuple(dict.fromkeys(found))


def _check_sites(
    base: IniFile,
    overlays: Mapping[str, IniFile],
) -> Iterator[Problem]:
    if not overlays:
        yield Problem('', '', '', 'no overlay of a site', ProblemKind.MISSING)
    for site, overlay in overlays.items():
        checked = parse_files(base, overlay, SiteName(site))
        if checked.is_error():
            yield from checked.error.problems
        else:
            yield from _check_operators(overlay.name, checked.ok)


def _check_operators(
    file: str,
    configuration: Configuration,
) -> Iterator[Problem]:
    roles = {operator.role for operator in configuration.operators.values()}
    if Role.OPERATOR not in roles:
        yield Problem(
            file,
            'operator',
            'role',
            'nobody has the role operator and could accept the next change',
            ProblemKind.CONTRADICTION,
        )


def _check_fleet(
    base: IniFile,
    overlays: Mapping[str, IniFile],
) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for overlay in overlays.values():
        for heading in overlay.sections:
            owner = owners.setdefault(heading, overlay.name)
            own = heading not in base.sections
            if own and owner != overlay.name and _is_fleet_wide(heading):
                yield Problem(
                    overlay.name,
                    heading,
                    '',
                    f'{owner} has one of that name',
                    ProblemKind.DUPLICATE,
                )


def _is_fleet_wide(heading: str) -> bool:
    return heading.partition(' ')[0] in _FLEET_WIDE
