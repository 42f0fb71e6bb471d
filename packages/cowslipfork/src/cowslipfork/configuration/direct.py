"""Settings of a VM whose node speaks to the endpoints itself."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from expression import Error, Ok, Result

from cowslipfork.configuration import _address_readers as address_readers
from cowslipfork.configuration import _readers as readers
from cowslipfork.configuration._build import Builder
from cowslipfork.configuration._ini import read_ini
from cowslipfork.configuration.node import LogFormat
from cowslipfork.configuration.problems import Problems
from cowslipfork.configuration.schema import Key, Section
from cowslipfork.ids import FailureDomain, VmId

HostPort = tuple[str, int]

#: Bandwidth in Mbit/s for which a link needs the capacity of one core.
MBPS_PER_CORE: Final = 20


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """What a process learns from the VM that it runs on.

    Attributes:
        callers: host and port for callers.
        readiness: host and port for questions whether callers are taken.
        metrics: host and port for counters and histograms.
        relay: host and port for other nodes' connections.
        store: host and port of the platform's store.
        promotions: host and port that take orders of promotion.
        grace: seconds between the signal to end and the kill.
        drain: seconds for which an endpoint that announced that it leaves
            accepts new work.
        log_lines: lines a second for events of requests; others are always
            written while the output takes them.
        cores: processor cores of the VM.
        core_share: fraction of the cores that the process may use.
        link_mbps: bandwidth of the VM's network in Mbit/s; 0 if unlimited.
        carriers: nodes that hold the connections to a group.
        direct_connections: least connections to an endpoint for each node
            with which all nodes use the endpoints themselves.
        revoke_limit: seconds after which a withdrawn key must not be
            accepted.
        revoke_fail_closed: whether all callers are refused once the store has
            not answered for longer than ``revoke_limit``.
    """

    vm: VmId
    failure_domain: FailureDomain
    callers: HostPort
    readiness: HostPort
    metrics: HostPort
    relay: HostPort
    store: HostPort
    promotions: HostPort
    grace: float = 10
    drain: float = math.inf
    log_format: LogFormat = LogFormat.KEY_VALUE
    log_lines: int = 500
    cores: float = 1
    core_share: float = 1
    link_mbps: float = 0
    carriers: int = 3
    direct_connections: float = 1
    revoke_limit: float = 5
    revoke_fail_closed: bool = False

    @property
    def capacity(self) -> float:
        """Processing capacity in cores, as far as the network can use it."""
        usable = self.cores * self.core_share
        if not self.link_mbps:
            return usable
        return min(usable, self.link_mbps / MBPS_PER_CORE)


def _address_key(name: str, meaning: str) -> Key:
    return Key(name, address_readers.address, 'host:port', meaning)


DIRECT = Section(
    'node',
    named=False,
    required=True,
    model=DirectSettings,
    meaning="The VM's own file; one section.",
    keys=(
        Key('vm', readers.name, 'name', 'Name of the VM.'),
        Key('failure_domain', readers.name, 'name', 'Where the VM runs.'),
        _address_key('callers', 'Where callers connect to.'),
        _address_key('readiness', 'Where the balancer asks for readiness.'),
        _address_key('metrics', 'Where metrics are read.'),
        _address_key('relay', "Where other nodes' connections are relayed."),
        _address_key('store', "The platform's store."),
        _address_key('promotions', 'Where promotions are ordered.'),
        Key(
            'grace',
            readers.duration('1s', '10m'),
            'duration, 1s to 10m',
            'From the signal to end to the kill; callers get most of it.',
        ),
        Key(
            'drain',
            readers.duration('100ms', '1h'),
            'duration, 100ms to 1h',
            'An endpoint that leaves accepts new work for so long.',
        ),
        Key(
            'log_format',
            readers.choice(LogFormat),
            'keyvalue | json',
            'How log lines are written.',
        ),
        Key(
            'log_lines',
            readers.integer(1, 100_000),
            '1 to 100000',
            'Lines a second for events of requests; more are counted only.',
        ),
        Key(
            'cores',
            readers.fraction(0, 4096),
            'number, 0 to 4096',
            'Processor cores of the VM.',
        ),
        Key(
            'core_share',
            readers.fraction(0, 1),
            'number, 0 to 1',
            'Fraction of the cores that the process may use.',
        ),
        Key(
            'link_mbps',
            readers.fraction(0, 1_000_000),
            'number, 0 to 1000000',
            "Bandwidth of the VM's network in Mbit/s; 0 if unlimited.",
        ),
        Key(
            'carriers',
            readers.integer(1, 9),
            '1 to 9',
            'Nodes that hold the connections to a group.',
        ),
        Key(
            'direct_connections',
            readers.fraction(0, 100),
            'number, 0 to 100',
            'Connections to an endpoint for each node that need no carriers.',
        ),
        Key(
            'revoke_limit',
            readers.duration('100ms', '10m'),
            'duration, 100ms to 10m',
            'After this a withdrawn key must not be accepted any more.',
        ),
        Key(
            'revoke_fail_closed',
            readers.switch,
            'yes | no',
            'Whether callers are refused when the store is silent for longer.',
        ),
    ),
)


def direct_settings(
    text: str,
    file: str = 'node.ini',
) -> Result[DirectSettings, Problems]:
    """Reads a VM's own file.

    Args:
        text: INI text with one section ``[node]``.
        file: name for problems.

    Returns:
        The settings, or every problem at once.
    """
    ini = read_ini(text, file)
    builder = Builder((DIRECT,))
    built = builder.build(ini.sections, {})
    found = (*ini.problems, *builder.problems)
    if found:
        return Error(Problems(found))
    return Ok(built[0].made)
