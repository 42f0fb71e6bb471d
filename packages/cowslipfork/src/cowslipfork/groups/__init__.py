"""Database groups: terms, marks, checks and promotion."""

from cowslipfork.groups.port import (
    EndpointControl,
    EndpointRole,
    EndpointSilent,
    EndpointStatus,
    TermRefused,
)

__all__ = (
    'EndpointControl',
    'EndpointRole',
    'EndpointSilent',
    'EndpointStatus',
    'TermRefused',
)
