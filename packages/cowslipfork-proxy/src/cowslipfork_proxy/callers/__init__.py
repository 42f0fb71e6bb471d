"""The callers' side of a node: MySQL connections in, requests out."""

from cowslipfork_proxy.callers.server import (
    CallerServer,
    CallerSettings,
    serve_callers,
)

__all__ = ('CallerServer', 'CallerSettings', 'serve_callers')
