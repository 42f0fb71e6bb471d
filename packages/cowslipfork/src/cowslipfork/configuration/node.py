"""Settings of one VM: its addresses, failure domain and credentials."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique

from expression import Error, Ok, Result

from cowslipfork.configuration import _address_readers as address_readers
from cowslipfork.configuration import _readers as readers
from cowslipfork.configuration._build import Builder
from cowslipfork.configuration._ini import IniFile, read_ini
from cowslipfork.configuration.problems import (
    Problem,
    ProblemKind,
    Problems,
)
from cowslipfork.configuration.schema import Key, Section
from cowslipfork.ids import FailureDomain, SiteName, VmId


@unique
class LogFormat(Enum):
    """How a log line is written."""

    KEY_VALUE = 'keyvalue'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process learns from the VM that it runs on.

    Attributes:
        host: IP number that every port is bound to.
        caller_port: MySQL port for callers; 0 lets the system choose.
        peer_port: gRPC port for nodes and operators; 0 likewise.
        metrics_port: HTTP port for metrics and readiness; 0 likewise.
        store: host and port of the platform's store.
        peers: a few other nodes, asked when the store is down at the start.
        tls_certificate: file with the certificate chain shown to callers.
        tls_key: file with its key.
        peer_certificate: file with the certificate of the gRPC port.
        peer_key: file with its key.
        peer_authority: file with the authority that signs other nodes'.
        peer_secret_file: file with the secret that nodes share.
        bootstrap_token_hash: SHA-256 of the credential that may accept the
            first configuration; empty: nobody may.
    """

    vm: VmId
    failure_domain: FailureDomain
    site: SiteName
    host: str
    caller_port: int
    peer_port: int
    metrics_port: int
    store: tuple[str, int]
    peers: tuple[tuple[str, int], ...] = ()
    log_format: LogFormat = LogFormat.KEY_VALUE
    tls_certificate: str = ''
    tls_key: str = ''
    peer_certificate: str = ''
    peer_key: str = ''
    peer_authority: str = ''
    peer_secret_file: str = ''
    bootstrap_token_hash: str = ''


#: A key and another that it makes no sense without.
_TOGETHER = (
    ('tls_certificate', 'tls_key'),
    ('tls_key', 'tls_certificate'),
    ('peer_certificate', 'peer_key'),
    ('peer_key', 'peer_certificate'),
    ('peer_certificate', 'peer_authority'),
    ('peer_authority', 'peer_certificate'),
)

_PORT = readers.integer(0, 65535)
_PORT_FORM = '0 to 65535'

NODE = Section(
    'node',
    named=False,
    required=True,
    model=NodeSettings,
    meaning="The VM's own file; one section.",
    keys=(
        Key('vm', readers.name, 'name', 'Name of the VM.'),
        Key('failure_domain', readers.name, 'name', 'Where the VM runs.'),
        Key('site', readers.name, 'name', 'Site whose overlay applies.'),
        Key(
            'host', address_readers.host, 'IP number', 'Address of every port.'
        ),
        Key('caller_port', _PORT, _PORT_FORM, 'MySQL port for callers.'),
        Key('peer_port', _PORT, _PORT_FORM, 'Port for nodes and operators.'),
        Key('metrics_port', _PORT, _PORT_FORM, 'HTTP port for metrics.'),
        Key(
            'store',
            address_readers.address,
            'host:port',
            "The platform's store.",
        ),
        Key(
            'peers',
            address_readers.addresses,
            'host:port, ...',
            'Nodes asked at the start while the store is down.',
        ),
        Key(
            'log_format',
            readers.choice(LogFormat),
            'keyvalue | json',
            'How log lines are written.',
        ),
        Key('tls_certificate', readers.path, 'file', 'Shown to callers.'),
        Key('tls_key', readers.path, 'file', 'Key of tls_certificate.'),
        Key(
            'peer_certificate', readers.path, 'file', 'Shown on the peer port.'
        ),
        Key('peer_key', readers.path, 'file', 'Key of peer_certificate.'),
        Key(
            'peer_authority', readers.path, 'file', "Signs nodes' certificates."
        ),
        Key(
            'peer_secret_file', readers.path, 'file', 'Secret that nodes share.'
        ),
        Key(
            'bootstrap_token_hash',
            readers.digest(64),
            '64 hexadecimal digits',
            'Credential that may accept the first configuration.',
            secret=True,
        ),
    ),
)


def node_settings(
    text: str,
    file: str = 'node.ini',
) -> Result[NodeSettings, Problems]:
    """Reads a VM's own file.

    Args:
        text: INI text with one section ``[node]``.
        file: name for problems.

    Returns:
        The settings, or every problem at once.
    """
    ini = read_ini(text, file)
    builder = Builder((NODE,))
    built = builder.build(ini.sections, {})
    found = (
        *ini.problems,
        *builder.problems,
        *_lone_halves(ini),
    )
    if found:
        return Error(Problems(found))
    return Ok(built[0].made)


def _lone_halves(ini: IniFile) -> Iterator[Problem]:
    """Finds certificates without keys and the like."""
    section = ini.sections.get('node')
    keys = {} if section is None else section.keys
    for key, other in _TOGETHER:
        if key in keys and other not in keys:
            yield Problem(
                ini.name,
                'node',
                key,
                f'needs {other} as well',
                ProblemKind.CONTRADICTION,
            )
