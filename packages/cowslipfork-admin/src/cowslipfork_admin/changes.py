"""Sends a change until its fate is known."""

from __future__ import annotations

import time
from collections.abc import Iterable

import typer

from cowslipfork.changes import new_change_id
from cowslipfork.ids import Revision
from cowslipfork.wire import admin_pb2
from cowslipfork_admin.connection import Connection
from cowslipfork_admin.errors import CommandFailed
from cowslipfork_admin.exit_code import ExitCode
from cowslipfork_admin.folder import Texts

#: Pause between two looks at the fleet, in seconds.
WAIT_STEP = 0.2

_MILLISECONDS = 1000


def make_request(
    texts: Texts,
    expected: int,
    reason: str,
    change_id: str = '',
) -> admin_pb2.AcceptRequest:
    """Words a change.

    Args:
        texts: the whole new configuration.
        expected: revision that it started from.
        reason: for the audit trail.
        change_id: of an earlier try; empty: a new one.

    Returns:
        The message.
    """
    return admin_pb2.AcceptRequest(
        expected_revision=expected,
        base=texts.base,
        overlays=texts.overlays,
        reason=reason,
        change_id=change_id or new_change_id(Revision(expected)),
    )


def send_change(
    connection: Connection,
    request: admin_pb2.AcceptRequest,
    timeout: float,
) -> int:
    """Sends a change, again under the same id while its fate is open.

    Args:
        connection: to any node.
        request: the change.
        timeout: seconds after which to give up.

    Returns:
        The accepted revision.

    Raises:
        CommandFailed: it was refused, or its fate is still open.
    """
    deadline = time.monotonic() + timeout
    uncertain = False
    while True:
        reply = connection.call('Accept', request)
        if reply.WhichOneof('result') != 'unavailable':
            return _revision_of(reply)
        uncertain = uncertain or reply.unavailable.may_have_landed
        pause = reply.unavailable.retry_after_ms / _MILLISECONDS
        if time.monotonic() + pause > deadline:
            raise _given_up(reply, request, uncertain=uncertain)
        time.sleep(pause)


def wait_in_force(
    connection: Connection,
    revision: int,
    timeout: float,
) -> None:
    """Waits until no live VM lacks a revision.

    Args:
        connection: to any node.
        revision: the accepted revision.
        timeout: seconds after which to give up.

    Raises:
        CommandFailed: some VMs still lack it; it names them.
    """
    deadline = time.monotonic() + timeout
    while True:
        status = connection.call('Status', admin_pb2.StatusRequest())
        behind = lacking(status.nodes, revision)
        if not behind and status.revision >= revision:
            typer.echo(f'in force on {len(status.nodes)} VMs')
            return
        if time.monotonic() + WAIT_STEP > deadline:
            names = ', '.join(behind) or status.vm
            raise CommandFailed(
                f'revision {revision} is accepted; these VMs lack it: {names}',
                ExitCode.NOT_IN_FORCE,
            )
        time.sleep(WAIT_STEP)


def lacking(
    nodes: Iterable[admin_pb2.NodeStatus],
    revision: int,
) -> list[str]:
    """Names the VMs that should have a revision and lack it.

    Args:
        nodes: VMs as a node sees them.
        revision: the revision.

    Returns:
        Their names, sorted.
    """
    return sorted(
        node.vm
        for node in nodes
        if node.revision < revision and node.state != 'gone'
    )


def _revision_of(reply: admin_pb2.AcceptReply) -> int:
    result = reply.WhichOneof('result')
    if result == 'accepted_revision':
        return reply.accepted_revision
    if result == 'problems':
        raise CommandFailed(
            '\n'.join(_problem_line(one) for one in reply.problems.problems),
            ExitCode.PROBLEMS,
        )
    conflict = reply.conflict
    raise CommandFailed(
        f'conflict: revision {conflict.current_revision} of '
        f'{conflict.operator} is in force; it changed\n{conflict.difference}',
        ExitCode.CONFLICT,
    )


def _problem_line(problem: admin_pb2.Problem) -> str:
    section = f' [{problem.section}]' if problem.section else ''
    key = f' {problem.key}' if problem.key else ''
    return f'{problem.file}:{section}{key}: {problem.text}'


def _given_up(
    reply: admin_pb2.AcceptReply,
    request: admin_pb2.AcceptRequest,
    *,
    uncertain: bool,
) -> CommandFailed:
    detail = reply.unavailable.detail
    if uncertain:
        return CommandFailed(
            f'unknown whether accepted ({detail}); repeat the command with '
            f'--change-id {request.change_id}',
            ExitCode.UNCERTAIN,
        )
    return CommandFailed(f'not accepted: {detail}', ExitCode.UNAVAILABLE)
