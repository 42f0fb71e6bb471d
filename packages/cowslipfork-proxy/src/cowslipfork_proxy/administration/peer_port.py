"""The gRPC port for nodes and operators, and channels to those of others."""

from __future__ import annotations

from pathlib import Path

import grpc

from cowslipfork.configuration import NodeSettings
from cowslipfork_proxy.administration.credentials import (
    channel_credentials,
    server_credentials,
)
from cowslipfork_proxy.administration.peer_secret import (
    PeerSecretCheck,
    read_secrets,
    secret_interceptors,
)


def peer_server(settings: NodeSettings) -> grpc.aio.Server:
    """Makes the server of the peer port, with its port bound.

    Args:
        settings: the VM's own settings.

    Returns:
        A server without services; TLS and the nodes' secret are as set.
    """
    checks = []
    if settings.peer_secret_file:
        secrets = read_secrets(Path(settings.peer_secret_file))
        checks.append(PeerSecretCheck(secrets))
    server = grpc.aio.server(interceptors=checks)
    address = f'{settings.host}:{settings.peer_port}'
    if settings.peer_certificate:
        credentials = server_credentials(
            Path(settings.peer_certificate),
            Path(settings.peer_key),
        )
        server.add_secure_port(address, credentials)
    else:
        server.add_insecure_port(address)
    return server


def peer_channel(settings: NodeSettings, address: str) -> grpc.aio.Channel:
    """Opens a channel to another node.

    Args:
        settings: the VM's own settings.
        address: ``host:port`` of the other node's peer port.

    Returns:
        The channel; it shows the nodes' secret and checks the certificate.
    """
    interceptors = []
    if settings.peer_secret_file:
        secrets = read_secrets(Path(settings.peer_secret_file))
        interceptors = secret_interceptors(secrets)
    if not settings.peer_authority:
        return grpc.aio.insecure_channel(address, interceptors=interceptors)
    return grpc.aio.secure_channel(
        address,
        channel_credentials(Path(settings.peer_authority)),
        interceptors=interceptors,
    )
