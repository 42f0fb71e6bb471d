"""The callers' side of a node: MySQL connections in, requests out."""

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
    'serve_callers',
)
