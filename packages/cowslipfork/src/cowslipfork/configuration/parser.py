"""Reads base file and overlay into a checked configuration."""

from __future__ import annotations

from functools import lru_cache
from typing import Any, Final

from expression import Error, Ok, Result

from cowslipfork.configuration._build import Builder, Built
from cowslipfork.configuration._checks import check_all
from cowslipfork.configuration._ini import IniFile, merge, read_ini
from cowslipfork.configuration.model import Configuration, Failover, Limits
from cowslipfork.configuration.problems import Problem, Problems
from cowslipfork.configuration.tables import CONFIGURATION
from cowslipfork.ids import SiteName

#: Configurations kept: of a node's own site, and the one before.
KEPT: Final = 2


@lru_cache(maxsize=KEPT)
def parse_configuration(
    base_text: str,
    overlay_text: str,
    site: SiteName,
) -> Result[Configuration, Problems]:
    """Reads a site's configuration as ``parse_uncached`` does.

    Most changes at full size concern another site's overlay: the same texts
    are not read again.

    Args:
        base_text: INI text of the base file.
        overlay_text: INI text of the site's overlay.
        site: the site that the overlay is for.

    Returns:
        The configuration, or every problem at once; not to be changed.
    """
    return parse_uncached(base_text, overlay_text, site)


def parse_uncached(
    base_text: str,
    overlay_text: str,
    site: SiteName,
) -> Result[Configuration, Problems]:
    """Reads a site's configuration and checks it as a whole.

    Args:
        base_text: INI text of the base file.
        overlay_text: INI text of the site's overlay.
        site: the site that the overlay is for.

    Returns:
        The configuration, or every problem at once.
    """
    overlay = read_ini(overlay_text, f'overlay {site}')
    return parse_files(read_ini(base_text, 'base'), overlay, site)


def parse_files(
    base: IniFile,
    overlay: IniFile,
    site: SiteName,
) -> Result[Configuration, Problems]:
    """Reads a site's configuration from files whose syntax was read.

    Args:
        base: the base file.
        overlay: the site's overlay.
        site: the site that the overlay is for.

    Returns:
        The configuration, or every problem at once.
    """
    builder = Builder(CONFIGURATION)
    built = builder.build(
        merge(base.sections, overlay.sections),
        {'site': {'name': site}},
    )
    found = [
        *base.problems,
        *overlay.problems,
        *(_placed(problem, overlay.name) for problem in builder.problems),
        *check_all(built),
    ]
    if found:
        return Error(Problems(tuple(found)))
    return Ok(_assemble(built))


def _placed(problem: Problem, file: str) -> Problem:
    """Puts a missing section into the overlay, where it belongs."""
    return (
        problem
        if problem.file
        else Problem(
            file,
            problem.section,
            problem.key,
            problem.text,
            problem.kind,
        )
    )


def _assemble(built: list[Built]) -> Configuration:
    single = {
        section.heading: section.made
        for section in built
        if not section.schema.named
    }
    return Configuration(
        site=single['site'],
        limits=single.get('limits', Limits()),
        failover=single.get('failover', Failover()),
        classes=_named(built, 'class'),
        kinds=_named(built, 'kind'),
        endpoints=_named(built, 'endpoint'),
        groups=_named(built, 'group'),
        teams=_named(built, 'team'),
        operators=_named(built, 'operator'),
    )


def _named(built: list[Built], heading: str) -> dict[Any, Any]:
    return {
        section.name: section.made
        for section in built
        if section.schema.heading == heading
    }
