"""What a cluster consists of: a sample deployment moved to loopback."""

from __future__ import annotations

import configparser
import io
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

from cowslipfork.configuration import (
    Configuration,
    Endpoint,
    parse_configuration,
)
from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import EndpointId, GroupName, SiteName

LOOPBACK = '127.0.0.1'
_OVERLAY_OF = MappingProxyType({'hilal': 'punjab', 'nilebean': 'cairo'})


class PlanFileMissing(CowslipforkError):
    """A sample deployment lacks a file or is wrong."""

    def __init__(self, path: Path, cause: str) -> None:
        """Remembers the file.

        Args:
            path: file or directory.
            cause: what is wrong.
        """
        super().__init__(f'{path}: {cause}')
        self.path = path


@dataclass(frozen=True, slots=True)
class Plan:
    """A deployment to run.

    Attributes:
        base: INI text of the base file.
        overlay: INI text of the site's overlay, as the sample has it.
        site: the site.
        nodes: number of nodes, spread over the failure domains.
        groups: groups to run; empty for all.
        first_port: port of the first node for callers, the others follow;
            0 lets the driver choose.
    """

    base: str
    overlay: str
    site: SiteName
    nodes: int = 5
    groups: tuple[GroupName, ...] = ()
    first_port: int = 0

    @classmethod
    def of_sample(
        cls,
        directory: Path,
        nodes: int = 5,
        groups: Sequence[str] = (),
    ) -> Plan:
        """Reads a sample deployment.

        Args:
            directory: such as ``samples/hilal``.
            nodes: number of nodes.
            groups: groups to run; empty for all.

        Returns:
            The plan.

        Raises:
            PlanFileMissing: the directory lacks a file.
        """
        site = SiteName(_OVERLAY_OF.get(directory.name, directory.name))
        try:
            return cls(
                (directory / 'base.ini').read_text(),
                (directory / f'{site}.ini').read_text(),
                site,
                nodes,
                tuple(GroupName(group) for group in groups),
            )
        except OSError as error:
            raise PlanFileMissing(directory, str(error)) from error

    @property
    def configuration(self) -> Configuration:
        """The sample's configuration, with its own addresses.

        Raises:
            PlanFileMissing: it is wrong.
        """
        return _parsed(self.base, self.overlay, self.site)

    @property
    def group_names(self) -> tuple[GroupName, ...]:
        """Groups to run."""
        return self.groups or tuple(self.configuration.groups)

    def endpoints(self, group: GroupName) -> tuple[Endpoint, ...]:
        """Gives the endpoints of a group, its first primary first."""
        configuration = self.configuration
        return tuple(
            configuration.endpoints[name]
            for name in configuration.groups[group].endpoints
        )

    def overlay_at(self, ports: Mapping[EndpointId, int]) -> str:
        """Moves the endpoints to loopback ports.

        Args:
            ports: port of each endpoint that runs.

        Returns:
            INI text with the groups that run.
        """
        parser = _read(self.overlay)
        for section in parser.sections():
            heading, _, name = section.partition(' ')
            if heading == 'endpoint':
                _move(parser, section, ports.get(EndpointId(name)))
            elif heading == 'group' and name not in self.group_names:
                parser.remove_section(section)
        return _text(parser)

    @property
    def base_of_groups(self) -> str:
        """INI text of the base file without teams of other groups."""
        parser = _read(self.base)
        for section in parser.sections():
            groups = parser.get(section, 'groups', fallback=None)
            if groups is not None:
                named = [name.strip() for name in groups.split(',')]
                _restrict(parser, section, named, self.group_names)
        return _text(parser)


def _restrict(
    parser: configparser.ConfigParser,
    section: str,
    named: Sequence[str],
    running: Sequence[GroupName],
) -> None:
    left = [name for name in named if name in running]
    if left:
        parser.set(section, 'groups', ', '.join(left))
    else:
        parser.remove_section(section)


def _read(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(text)
    return parser


def _text(parser: configparser.ConfigParser) -> str:
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()


def _move(
    parser: configparser.ConfigParser,
    section: str,
    port: int | None,
) -> None:
    if port is None:
        parser.remove_section(section)
        return
    parser.set(section, 'host', LOOPBACK)
    parser.set(section, 'port', str(port))


def _parsed(base: str, overlay: str, site: SiteName) -> Configuration:
    parsed = parse_configuration(base, overlay, site)
    if parsed.is_error():
        raise PlanFileMissing(Path(site), str(parsed.error))
    return parsed.ok
