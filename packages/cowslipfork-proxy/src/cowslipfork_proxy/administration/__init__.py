"""The administration API of a node."""

from cowslipfork_proxy.administration.peer_port import (
    peer_channel,
    peer_server,
)
from cowslipfork_proxy.administration.servicer import (
    AdminDependencies,
    AdminService,
)

__all__ = (
    'AdminDependencies',
    'AdminService',
    'peer_channel',
    'peer_server',
)
