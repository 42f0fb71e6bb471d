"""The connection to a node's administration API."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeVar

import grpc

from cowslipfork.wire import admin_pb2_grpc
from cowslipfork_admin.errors import CallFailed, CommandFailed
from cowslipfork_admin.exit_code import ExitCode

_Reply = TypeVar('_Reply')

TOKEN_VARIABLE: Final = 'COWSLIPFORK_TOKEN'

#: Bound of one call, in seconds.
CALL_TIMEOUT: Final = 15

#: A whole configuration is at most a megabyte, a page of history more.
_CHANNEL_OPTIONS: Final = (('grpc.max_receive_message_length', 33_554_432),)


@dataclass(frozen=True, slots=True)
class Connection:
    """Where and as whom the commands call.

    Attributes:
        node: ``host:port`` of any node.
        token_file: file with the credential; None: the variable has it.
        authority: signs the node's certificate; None: no TLS.
    """

    node: str
    token_file: Path | None = None
    authority: Path | None = None

    def call(self, method: str, request: Any) -> Any:
        """Calls the node.

        Args:
            method: name of the call.
            request: its message.

        Returns:
            The reply.

        Raises:
            CallFailed: the node refused or did not answer.
            CommandFailed: there is no credential.
        """
        metadata = (('authorization', f'Bearer {self._token()}'),)
        with self._channel() as channel:
            stub = admin_pb2_grpc.AdminStub(channel)
            return _answer(
                lambda: getattr(stub, method)(
                    request,
                    timeout=CALL_TIMEOUT,
                    metadata=metadata,
                ),
            )

    def _token(self) -> str:
        if self.token_file is not None:
            return read_text(self.token_file).strip()
        token = os.environ.get(TOKEN_VARIABLE, '')
        if not token:
            raise CommandFailed(
                f'no credential: set {TOKEN_VARIABLE} or --token-file',
                ExitCode.USAGE,
            )
        return token

    def _channel(self) -> grpc.Channel:
        if self.authority is None:
            return grpc.insecure_channel(self.node, _CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self.authority.read_bytes(),
        )
        return grpc.secure_channel(self.node, credentials, _CHANNEL_OPTIONS)


def read_text(path: Path) -> str:
    """Reads a file that the operator named.

    Args:
        path: the file.

    Returns:
        Its text.

    Raises:
        CommandFailed: it cannot be read.
    """
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailed(f'{path}: {error}', ExitCode.USAGE) from error


def _answer(call: Callable[[], _Reply]) -> _Reply:
    try:
        return call()
    except grpc.RpcError as error:
        raise CallFailed(error.code(), error.details()) from error
