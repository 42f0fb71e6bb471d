"""The administration API of a node."""

from cowslipfork_proxy.administration.credentials import (
    channel_credentials,
    server_credentials,
)
from cowslipfork_proxy.administration.peer_secret import (
    PeerSecretCheck,
    read_secrets,
    stamps,
)
from cowslipfork_proxy.administration.servicer import AdminParts, AdminService

__all__ = (
    'AdminParts',
    'AdminService',
    'PeerSecretCheck',
    'channel_credentials',
    'read_secrets',
    'server_credentials',
    'stamps',
)
