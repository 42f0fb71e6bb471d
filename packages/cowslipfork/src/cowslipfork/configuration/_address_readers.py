"""Readers of network addresses."""

from __future__ import annotations

import ipaddress

from cowslipfork.configuration._readers import integer
from cowslipfork.configuration.problems import BadValue


def host(text: str) -> str:
    """Reads an IP number."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise BadValue(f'{text!r} is no IP number') from None


def address(text: str) -> tuple[str, int]:
    """Reads ``host:port``; IPv6 numbers stand in brackets."""
    number, _, port = text.rpartition(':')
    return host(number.strip('[]')), integer(1, 65535)(port)


def addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Reads addresses separated by commas."""
    return tuple(address(part.strip()) for part in text.split(','))
