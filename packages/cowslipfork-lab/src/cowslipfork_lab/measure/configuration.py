"""Cost of a configuration against its number of groups.

Run as ``python -m cowslipfork_lab.measure.configuration [GROUPS ...]``.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

import typer

from cowslipfork.changes.records import (
    CURRENT_KEY,
    decode_configuration,
    encode_configuration,
)
from cowslipfork.configuration import check_files
from cowslipfork.configuration.parser import parse_uncached
from cowslipfork.ids import SiteName
from cowslipfork.wire.records_pb2 import ConfigurationRecord

_SIZES: Final = (9, 100, 900, 3700)
_ROUNDS: Final = 5
_REGIONS: Final = 7
_SERVERS: Final = 3
_KINDS: Final = 40
_MS: Final = 1000


def main() -> None:
    """Prints a row for each size; times are medians of processor time."""
    sizes = [int(word) for word in sys.argv[1:]] or _SIZES
    typer.echo('| groups | bytes | packed | check | parse | pack | unpack |')
    typer.echo('|---|---|---|---|---|---|---|')
    for groups in sizes:
        typer.echo(f'| {groups} | {" | ".join(_row(groups))} |')


def _row(groups: int) -> Iterator[str]:
    base = _base()
    overlays = {
        f'site-{region}': _overlay(region, groups) for region in range(_REGIONS)
    }
    record = ConfigurationRecord(revision=1, base=base, overlays=overlays)
    packed = encode_configuration(record)
    site = SiteName('site-0')
    yield str(record.ByteSize())
    yield str(len(packed))
    yield _time(partial(check_files, base, overlays))
    yield _time(partial(parse_uncached, base, overlays[site], site))
    yield _time(partial(encode_configuration, record))
    yield _time(partial(decode_configuration, CURRENT_KEY, packed))


def _time(step: Callable[[], object]) -> str:
    spent = [_once(step) for _ in range(_ROUNDS)]
    low, middle, high = min(spent), statistics.median(spent), max(spent)
    return f'{middle:.1f} ms ({low:.1f} to {high:.1f})'


def _once(step: Callable[[], object]) -> float:
    began = time.process_time()
    step()
    return _MS * (time.process_time() - began)


def _base() -> str:
    kinds = (
        f'[kind kind-{number}]\nclass = lookup\nreads = age 30s\n'
        for number in range(_KINDS)
    )
    return '\n'.join(
        (
            '[class lookup]\nweight = 10\nqueue = 400\ndeadline = 2s\n',
            f'[operator ada]\ntoken_hash = {"a" * 64}\nrole = operator\n',
            *kinds,
        ),
    )


def _overlay(region: int, groups: int) -> str:
    site = f'[site]\nregion = r{region}\nfailure_domains = a, b, c\n'
    own = range(region, groups, _REGIONS)
    return '\n'.join((site, *(_group(region, group) for group in own)))


def _group(region: int, group: int) -> str:
    names = [f'g{group}-{server}' for server in range(_SERVERS)]
    endpoints = '\n'.join(
        f'[endpoint {name}]\nhost = 10.{region}.{group >> 8}.{group & 255}\n'
        f'port = {3306 + server}\nfailure_domain = {"abc"[server]}\n'
        'slots = 3\nconnections = 20\n'
        for server, name in enumerate(names)
    )
    return (
        f'[group g{group}]\ndatabase = db{group}\n'
        f'endpoints = {", ".join(names)}\n\n{endpoints}'
    )


if __name__ == '__main__':
    main()
