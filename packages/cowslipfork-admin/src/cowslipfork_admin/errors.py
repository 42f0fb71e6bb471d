"""Failures of a command, each with its exit code."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

import grpc

from cowslipfork.errors import CowslipforkError
from cowslipfork_admin.exit_code import ExitCode

_EXIT_CODES: Final = MappingProxyType(
    {
        grpc.StatusCode.UNAUTHENTICATED: ExitCode.DENIED,
        grpc.StatusCode.PERMISSION_DENIED: ExitCode.DENIED,
        grpc.StatusCode.UNAVAILABLE: ExitCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED: ExitCode.UNAVAILABLE,
        grpc.StatusCode.NOT_FOUND: ExitCode.NOT_FOUND,
    },
)


class CommandFailed(CowslipforkError):
    """A command cannot do what it was asked for."""

    def __init__(self, text: str, exit_code: ExitCode) -> None:
        """Remembers how to end.

        Args:
            text: for the operator.
            exit_code: for scripts.
        """
        super().__init__(text)
        self.exit_code = exit_code


class CallFailed(CommandFailed):
    """The node refused a call or did not answer."""

    def __init__(self, status: grpc.StatusCode, details: str) -> None:
        """Remembers the status.

        Args:
            status: of the call.
            details: in the node's words.
        """
        super().__init__(
            f'{status.name.lower()}: {details}',
            _EXIT_CODES.get(status, ExitCode.FAILED),
        )
        self.status = status
