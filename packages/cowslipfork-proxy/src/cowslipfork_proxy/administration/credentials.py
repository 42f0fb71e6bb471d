"""TLS credentials that follow their files, without a restart."""

from __future__ import annotations

import logging
import ssl
from collections.abc import Callable
from pathlib import Path

import grpc

log = logging.getLogger(__name__)


def server_credentials(
    certificate: Path,
    key: Path,
    authority: Path | None = None,
) -> grpc.ServerCredentials:
    """Makes credentials of a gRPC port from files.

    The files are looked at with each new connection. While they cannot be
    read, or do not belong together, the last pair stays in use.

    Args:
        certificate: chain in PEM.
        key: private key in PEM.
        authority: signs the certificates that clients have to show.

    Returns:
        Credentials for ``add_secure_port``.
    """
    paths = (key, certificate, *([authority] if authority else ()))
    return grpc.dynamic_ssl_server_credentials(
        _configuration(*_read(paths)),
        _fetch_changes(paths),
        require_client_authentication=authority is not None,
    )


def channel_credentials(
    authority: Path,
    certificate: Path | None = None,
    key: Path | None = None,
) -> grpc.ChannelCredentials:
    """Makes credentials of a channel; a new channel reads the files anew.

    Args:
        authority: signs the certificate that the server shows.
        certificate: chain in PEM to show, if the server asks for one.
        key: its private key.

    Returns:
        Credentials for ``secure_channel``.
    """
    return grpc.ssl_channel_credentials(
        authority.read_bytes(),
        key.read_bytes() if key else None,
        certificate.read_bytes() if certificate else None,
    )


def _fetch_changes(
    paths: tuple[Path, ...],
) -> Callable[[], grpc.ServerCertificateConfiguration | None]:
    loaded = _read(paths)

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        nonlocal loaded
        try:
            found = _read(paths)
            if found == loaded:
                return None
            _check_pair(*paths[:2])
        except OSError as error:
            log.warning('certificate unusable', extra={'cause': str(error)})
            return None
        loaded = found
        log.info('certificate replaced', extra={'file': str(paths[1])})
        return _configuration(*found)

    return fetch


def _check_pair(key: Path, certificate: Path) -> None:
    """Raises ``SSLError``, an ``OSError``, if the two do not match."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)


def _read(paths: tuple[Path, ...]) -> tuple[bytes, ...]:
    return tuple(path.read_bytes() for path in paths)


def _configuration(
    key: bytes,
    certificate: bytes,
    authority: bytes | None = None,
) -> grpc.ServerCertificateConfiguration:
    return grpc.ssl_server_certificate_configuration(
        [(key, certificate)],
        authority,
    )
