"""The callers' side of a node: MySQL connections in, requests out."""

from cowslipfork_proxy.callers.node import caller_settings, reload_on_hangup
from cowslipfork_proxy.callers.server import (
    CallerServer,
    CallerSettings,
    CertificateUnusable,
    serve_callers,
)

__all__ = (
    'CallerServer',
    'CallerSettings',
    'CertificateUnusable',
    'caller_settings',
    'reload_on_hangup',
    'serve_callers',
)
