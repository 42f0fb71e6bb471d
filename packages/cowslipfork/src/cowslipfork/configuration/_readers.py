"""Readers of single values: text in, typed value out, or ``BadValue``."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any, TypeAlias

from cowslipfork.configuration.model import (
    AgeRule,
    FreshRule,
    ReadingRule,
    SessionRule,
)
from cowslipfork.configuration.problems import BadValue, ProblemKind

#: Turns the text of a value into what the model keeps.
Read: TypeAlias = Callable[[str], Any]

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')
_AMOUNT = re.compile(r'(\d+(?:\.\d+)?)\s*([A-Za-z]+)')
_SECONDS = MappingProxyType(
    {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0},
)
_BYTES = MappingProxyType({'B': 1.0, 'KiB': 1024.0, 'MiB': 1_048_576.0})
_SWITCH = MappingProxyType(
    {'yes': True, 'true': True, 'no': False, 'false': False},
)


def name(text: str) -> str:
    """Reads a name of letters, digits, ``_``, ``.`` and ``-``."""
    if not _NAME.fullmatch(text):
        raise BadValue(
            f'{text!r} is no name; use up to 64 letters, digits, "_.-"',
        )
    return text


def names(text: str) -> tuple[str, ...]:
    """Reads distinct names separated by commas."""
    found = tuple(name(part.strip()) for part in text.split(','))
    twice = sorted({item for item in found if found.count(item) > 1})
    if twice:
        raise BadValue(
            f'listed twice: {", ".join(twice)}',
            ProblemKind.DUPLICATE,
        )
    return found


def integer(low: int, high: int) -> Read:
    """Makes a reader of whole numbers within a range."""

    def read(text: str) -> int:
        try:
            number = int(text)
        except ValueError:
            raise BadValue(f'{text!r} is no whole number') from None
        _check_range(number, low, high, text, f'{low} to {high}')
        return number

    return read


def fraction(low: float, high: float) -> Read:
    """Makes a reader of decimal numbers within a range."""

    def read(text: str) -> float:
        try:
            number = float(text)
        except ValueError:
            raise BadValue(f'{text!r} is no number') from None
        _check_range(number, low, high, text, f'{low:g} to {high:g}')
        return number

    return read


def duration(low: str, high: str) -> Read:
    """Makes a reader of durations such as ``250ms``, kept in seconds."""
    bounds = (_amount(low, _SECONDS), _amount(high, _SECONDS))

    def read(text: str) -> float:
        seconds = _amount(text, _SECONDS)
        _check_range(seconds, *bounds, text, f'{low} to {high}')
        return seconds

    return read


def size(low: str, high: str) -> Read:
    """Makes a reader of sizes such as ``64KiB``, kept in bytes."""
    bounds = (_amount(low, _BYTES), _amount(high, _BYTES))

    def read(text: str) -> int:
        amount = _amount(text, _BYTES)
        _check_range(amount, *bounds, text, f'{low} to {high}')
        return int(amount)

    return read


def switch(text: str) -> bool:
    """Reads ``yes`` or ``no``."""
    if text not in _SWITCH:
        raise BadValue(f'{text!r} is neither yes nor no')
    return _SWITCH[text]


def choice(states: type[Enum]) -> Read:
    """Makes a reader of the values of an enumeration."""
    known = {str(state.value): state for state in states}

    def read(text: str) -> Enum:
        if text not in known:
            raise BadValue(f'{text!r} is none of {", ".join(known)}')
        return known[text]

    return read


def digest(length: int) -> Read:
    """Makes a reader of hexadecimal digests of one length."""
    pattern = re.compile(f'[0-9a-f]{{{length}}}')

    def read(text: str) -> str:
        if not pattern.fullmatch(text):
            raise BadValue(f'expected {length} lower-case hexadecimal digits')
        return text

    return read


def path(text: str) -> str:
    """Reads a file path."""
    if not text:
        raise BadValue('expected a file path')
    return text


def reading_rule(text: str) -> ReadingRule:
    """Reads ``age 30s``, ``session`` or ``fresh``."""
    rule, _, limit = text.partition(' ')
    if rule == 'age' and limit:
        return AgeRule(duration('100ms', '24h')(limit.strip()))
    plain: dict[str, ReadingRule] = {
        'session': SessionRule(),
        'fresh': FreshRule(),
    }
    if text not in plain:
        raise BadValue(
            f'{text!r} is no reading rule; use "age <duration>", '
            '"session" or "fresh"',
        )
    return plain[text]


def _amount(text: str, units: Mapping[str, float]) -> float:
    found = _AMOUNT.fullmatch(text)
    if found is None or found[2] not in units:
        raise BadValue(
            f'{text!r} needs a number and a unit of {", ".join(units)}',
        )
    return float(found[1]) * units[found[2]]


def _check_range(
    number: float,
    low: float,
    high: float,
    text: str,
    allowed: str,
) -> None:
    if not low <= number <= high:
        raise BadValue(
            f'{text} is outside of {allowed}',
            ProblemKind.OUT_OF_RANGE,
        )
