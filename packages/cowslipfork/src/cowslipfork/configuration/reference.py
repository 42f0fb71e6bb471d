"""The operators' reference of every section and key, from the schema."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from enum import Enum

from cowslipfork.configuration.node import NODE
from cowslipfork.configuration.schema import Key, Section
from cowslipfork.configuration.tables import CONFIGURATION

_KIBIBYTE = 1024
_MILLISECONDS = 1000


def render_reference() -> str:
    """Words the schema in Markdown.

    Returns:
        One table for each section, the VM's own file last.
    """
    sections = (*CONFIGURATION, NODE)
    return '\n'.join(line for one in sections for line in _section(one))


def _section(section: Section) -> Iterator[str]:
    name = ' NAME' if section.named else ''
    yield f'### [{section.heading}{name}]'
    yield ''
    yield section.meaning
    yield ''
    yield '| key | value | default | meaning |'
    yield '|---|---|---|---|'
    yield from (_row(section, key) for key in section.keys)
    yield ''


def _row(section: Section, key: Key) -> str:
    form = key.form.replace('|', 'or')
    default = _default(section.default(key), key.form)
    return f'| `{key.name}` | {form} | {default} | {key.meaning} |'


def _default(value: object, form: str) -> str:
    if value is dataclasses.MISSING:
        return 'required'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, int) and form.startswith('size'):
        return f'{value // _KIBIBYTE}KiB'
    if isinstance(value, int | float) and form.startswith('duration'):
        return _duration(value)
    return 'none' if value in {'', ()} else str(value)


def _duration(seconds: float) -> str:
    if seconds < 1:
        return f'{seconds * _MILLISECONDS:g}ms'
    return f'{seconds:g}s'
