"""The secret that nodes show each other, replaceable without a restart."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final, TypeAlias

import grpc

_KEY: Final = 'cowslipfork-peer-secret'

#: Gives the secrets: the first is shown, every one is accepted.
Secrets: TypeAlias = Callable[[], Sequence[str]]

_PEER_SERVICES: Final = (
    '/cowslipfork.wire.Carrier/',
    '/cowslipfork.wire.Membership/',
)


def read_secrets(path: Path) -> Secrets:
    """Makes a reader of a file with one secret on each line.

    A replacement takes three steps on all VMs: add the new secret as the
    last line, then move it to the first, then drop the old one.

    Args:
        path: the file.

    Returns:
        Gives the secrets; the file is read again when it has changed.
    """
    seen: tuple[int, int] = (0, 0)
    kept: tuple[str, ...] = ()

    def secrets() -> Sequence[str]:
        nonlocal seen, kept
        try:
            stat = path.stat()
        except OSError:
            return kept
        state = (stat.st_mtime_ns, stat.st_size)
        if state != seen:
            kept = tuple(path.read_text().split()) or kept
            seen = state
        return kept

    return secrets


class PeerSecretCheck(grpc.aio.ServerInterceptor):
    """Refuses calls of the nodes' services without the secret."""

    def __init__(self, secrets: Secrets) -> None:
        """Checks against the secrets of the moment.

        Args:
            secrets: gives them; none given lets nobody in.
        """
        self._secrets = secrets

    async def intercept_service(
        self,
        continuation: Callable[[Any], Awaitable[Any]],
        details: Any,
    ) -> Any:
        """Lets a call on if it needs no secret or shows one."""
        handler = await continuation(details)
        if not details.method.startswith(_PEER_SERVICES):
            return handler
        shown = dict(details.invocation_metadata).get(_KEY, '')
        if _is_known(shown, self._secrets()):
            return handler
        return _refusing(handler)


def secret_interceptors(secrets: Secrets) -> list[grpc.aio.ClientInterceptor]:
    """Makes the interceptors that add the first secret to every call.

    gRPC takes one sort of call from each interceptor, so there are two.

    Args:
        secrets: gives the secrets of the moment.

    Returns:
        Interceptors for a channel.
    """
    return [_UnaryStamp(secrets), _StreamStamp(secrets)]


class _UnaryStamp(grpc.aio.UnaryUnaryClientInterceptor):
    """Adds the secret to calls with one request and one answer."""

    def __init__(self, secrets: Secrets) -> None:
        self._secrets = secrets

    async def intercept_unary_unary(
        self,
        continuation: Callable[[Any, Any], Awaitable[Any]],
        client_call_details: Any,
        request: Any,
    ) -> Any:
        """Stamps a call."""
        details = _stamped(client_call_details, self._secrets())
        return await continuation(details, request)


class _StreamStamp(grpc.aio.StreamStreamClientInterceptor):
    """Adds the secret to streams."""

    def __init__(self, secrets: Secrets) -> None:
        self._secrets = secrets

    async def intercept_stream_stream(
        self,
        continuation: Callable[[Any, Any], Awaitable[Any]],
        client_call_details: Any,
        request_iterator: Any,
    ) -> Any:
        """Stamps a stream."""
        details = _stamped(client_call_details, self._secrets())
        return await continuation(details, request_iterator)


def _stamped(
    details: Any, secrets: Sequence[str]
) -> grpc.aio.ClientCallDetails:
    metadata = grpc.aio.Metadata(*(details.metadata or ()))
    for secret in secrets[:1]:
        metadata.add(_KEY, secret)
    return grpc.aio.ClientCallDetails(
        details.method,
        details.timeout,
        metadata,
        details.credentials,
        details.wait_for_ready,
    )


def _is_known(shown: str, secrets: Sequence[str]) -> bool:
    sent = shown.encode()
    matches = [hmac.compare_digest(sent, known.encode()) for known in secrets]
    return any(matches)


def _refusing(handler: Any) -> Any:
    async def refuse(request: Any, context: Any) -> None:
        await context.abort(
            grpc.StatusCode.UNAUTHENTICATED,
            'peer secret is missing or unknown',
        )

    if handler is not None and handler.response_streaming:
        return grpc.stream_stream_rpc_method_handler(refuse)
    return grpc.unary_unary_rpc_method_handler(refuse)
