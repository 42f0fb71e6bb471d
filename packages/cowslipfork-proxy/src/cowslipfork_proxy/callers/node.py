"""How a node's settings and signals reach its callers' side."""

from __future__ import annotations

import asyncio
import logging
import signal
from pathlib import Path

from cowslipfork.configuration import NodeSettings
from cowslipfork_proxy.callers.server import (
    CallerServer,
    CallerSettings,
    CertificateUnusable,
)

_log = logging.getLogger(__name__)


def caller_settings(settings: NodeSettings) -> CallerSettings:
    """Picks what the callers' side needs.

    Args:
        settings: of the VM.

    Returns:
        Address and certificate.
    """
    certificate, key = settings.tls_certificate, settings.tls_key
    return CallerSettings(
        settings.host,
        settings.caller_port,
        certificate=Path(certificate) if certificate else None,
        key=Path(key) if key else None,
    )


def reload_on_hangup(server: CallerServer) -> None:
    """Reads the certificate again at each SIGHUP.

    Args:
        server: of the callers.
    """

    def reload() -> None:
        try:
            server.reload_certificate()
        except CertificateUnusable as error:
            _log.warning(
                'caller certificate unusable',
                extra={'cause': str(error)},
            )

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
