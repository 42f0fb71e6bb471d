"""Reads INI texts into sections, collecting every mistake of their syntax."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field

from cowslipfork.configuration.problems import Problem, ProblemKind

#: Mistakes of syntax reported for one file; later ones need another check.
MAX_SYNTAX_PROBLEMS = 100

_NO_DEFAULTS = '\0defaults'
_REPEATED = '\0repeated'


@dataclass(frozen=True, slots=True)
class Sourced:
    """A value's text and the file that it came from."""

    text: str
    file: str


@dataclass(slots=True)
class RawSection:
    """Keys of a section, base and overlay together.

    Attributes:
        file: file in which the section first appears.
    """

    file: str
    keys: dict[str, Sourced] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class IniFile:
    """A file's sections by heading, and its mistakes of syntax.

    Attributes:
        name: for problems.
    """

    name: str
    sections: dict[str, RawSection]
    problems: list[Problem]


def read_ini(text: str, file: str) -> IniFile:
    """Reads a file's sections, whatever mistakes it has.

    ``configparser`` stops at the first repeated section or key; the line is
    taken out and the rest read again, so that one check finds them all.

    Args:
        text: INI text.
        file: name for problems.

    Returns:
        Sections and the mistakes found.
    """
    lines = text.splitlines()
    problems: list[Problem] = []
    while len(problems) < MAX_SYNTAX_PROBLEMS:
        parser = _new_parser()
        try:
            parser.read_string('\n'.join(lines))
        except configparser.Error as error:
            problems.extend(_repair(error, lines, file))
            continue
        return IniFile(file, _sections(parser, file), problems)
    return IniFile(file, {}, problems)


def merge(
    base: dict[str, RawSection],
    overlay: dict[str, RawSection],
) -> dict[str, RawSection]:
    """Lays an overlay's keys over those of the base.

    Args:
        base: sections of the base file.
        overlay: sections of one site.

    Returns:
        Sections of both; the overlay's value of a key wins.
    """
    headings = [*base, *(heading for heading in overlay if heading not in base)]
    return {
        heading: _merged(base.get(heading), overlay.get(heading))
        for heading in headings
    }


def _merged(
    base: RawSection | None,
    overlay: RawSection | None,
) -> RawSection:
    parts = [part for part in (base, overlay) if part is not None]
    keys = {key: text for part in parts for key, text in part.keys.items()}
    return RawSection(parts[0].file, keys)


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        default_section=_NO_DEFAULTS,
        empty_lines_in_values=False,
        interpolation=None,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def _sections(
    parser: configparser.ConfigParser,
    file: str,
) -> dict[str, RawSection]:
    return {
        ' '.join(heading.split()): RawSection(
            file,
            {
                key: Sourced(text.strip(), file)
                for key, text in parser.items(heading)
            },
        )
        for heading in parser.sections()
        if not heading.startswith(_REPEATED)
    }


def _repair(
    error: configparser.Error,
    lines: list[str],
    file: str,
) -> list[Problem]:
    if isinstance(error, configparser.DuplicateSectionError):
        line = error.lineno or 1
        lines[line - 1] = f'[{_REPEATED}{line}]'
        text = f'line {line}: section stands twice'
        return [Problem(file, error.section, '', text, ProblemKind.DUPLICATE)]
    if isinstance(error, configparser.DuplicateOptionError):
        line = error.lineno or 1
        lines[line - 1] = ''
        text = f'line {line}: key stands twice'
        return [
            Problem(
                file,
                error.section,
                error.option,
                text,
                ProblemKind.DUPLICATE,
            ),
        ]
    if isinstance(error, configparser.MissingSectionHeaderError):
        return [_blank(error.lineno, lines, file, 'stands before any section')]
    return [
        _blank(line, lines, file, 'is neither a section nor "key = value"')
        for line, _ in getattr(error, 'errors', [])
    ]


def _blank(line: int, lines: list[str], file: str, text: str) -> Problem:
    lines[line - 1] = ''
    return Problem(file, '', '', f'line {line} {text}', ProblemKind.SYNTAX)
