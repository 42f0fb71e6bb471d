"""The difference between two configurations, as text without secrets."""

from __future__ import annotations

import difflib
import hashlib
import re
from collections.abc import Iterable, Iterator, Mapping

from cowslipfork.configuration._ini import read_ini
from cowslipfork.configuration.tables import CONFIGURATION

#: Lines of a difference; the rest is counted. Bounds an audit record.
MAX_LINES = 2000

_SECRETS = frozenset(
    key.name for section in CONFIGURATION for key in section.keys if key.secret
)
_DIGEST_LENGTH = 8
_REDACTED = re.compile('<secret [0-9a-f]+>')
_SECRET_LINE = re.compile(
    rf'^([\s#;]*({"|".join(sorted(_SECRETS))})\s*=\s*)(.*(?:\n[ \t]+\S.*)*)$',
    re.MULTILINE,
)


def difference(
    old: Mapping[str, str],
    new: Mapping[str, str],
) -> str:
    """Compares files setting by setting.

    A line names its section and key, so that it can be read without context.
    Order, comments and blank lines do not matter.

    Args:
        old: INI texts by file name.
        new: INI texts by file name.

    Returns:
        Unified difference, empty if every setting is the same.
    """
    files = sorted({*old, *new})
    lines = [
        line
        for file in files
        for line in _compare(file, old.get(file, ''), new.get(file, ''))
    ]
    if len(lines) > MAX_LINES:
        rest = len(lines) - MAX_LINES
        lines = [*lines[:MAX_LINES], f'... {rest} more lines']
    return '\n'.join(lines)


def files_of(base: str, overlays: Mapping[str, str]) -> dict[str, str]:
    """Names the texts of a configuration as problems and differences do.

    Args:
        base: text of the base file.
        overlays: texts by site.

    Returns:
        Texts by ``base`` and ``overlay <site>``.
    """
    named = {f'overlay {site}': text for site, text in overlays.items()}
    return {'base': base, **named}


def redact(text: str) -> str:
    """Replaces the secrets of an INI text, also those over several lines.

    Args:
        text: text of a base file or an overlay.

    Returns:
        The text with the first digits of a digest in place of each secret.
    """
    return _SECRET_LINE.sub(
        lambda found: f'{found[1]}{_shown(found[2], found[3])}',
        text,
    )


def _compare(file: str, old: str, new: str) -> Iterator[str]:
    if old == new:
        return iter(())
    return difflib.unified_diff(
        _settings(old, file),
        _settings(new, file),
        fromfile=f'{file} (old)',
        tofile=f'{file} (new)',
        lineterm='',
        n=0,
    )


def _settings(text: str, file: str) -> list[str]:
    sections = read_ini(text, file).sections
    return [
        line
        for heading in sorted(sections)
        for line in _section_lines(
            heading,
            ((key, raw.text) for key, raw in sections[heading].keys.items()),
        )
    ]


def _section_lines(
    heading: str,
    keys: Iterable[tuple[str, str]],
) -> list[str]:
    lines = [
        f'[{heading}] {key} = {_shown(key, text)}' for key, text in sorted(keys)
    ]
    return lines or [f'[{heading}]']


def _shown(key: str, text: str) -> str:
    if key not in _SECRETS:
        return ' '.join(text.split())
    if _REDACTED.fullmatch(text):
        return text
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'<secret {digest[:_DIGEST_LENGTH]}>'
