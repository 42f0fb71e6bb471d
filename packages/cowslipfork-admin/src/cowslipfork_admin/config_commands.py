"""Commands ``cowslipfork config ...``."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer
from google.protobuf.json_format import MessageToJson

from cowslipfork.configuration import check_files, difference, render_reference
from cowslipfork.wire import admin_pb2
from cowslipfork.wire.records_pb2 import AuditRecord, ConfigurationRecord
from cowslipfork_admin import changes
from cowslipfork_admin.connection import Connection
from cowslipfork_admin.errors import CallFailed, CommandFailed
from cowslipfork_admin.exit_code import ExitCode
from cowslipfork_admin.folder import (
    read_folder,
    read_revision,
    texts_of,
    write_folder,
    write_revision,
)

app = typer.Typer(no_args_is_help=True, help='Check and change configuration.')

_MILLISECONDS = 1000
_DEFAULT_TIMEOUT = 30.0

Folder = Annotated[
    Path,
    typer.Argument(help='Folder with base.ini and an INI file for each site.'),
]
Reason = Annotated[str, typer.Option(help='Why, for the audit trail.')]
Expected = Annotated[
    int | None,
    typer.Option(help='Revision started from; 0 for the first.'),
]
ChangeIdOption = Annotated[
    str,
    typer.Option('--change-id', help='Id of an earlier try of this change.'),
]
Wait = Annotated[
    bool,
    typer.Option('--wait', help='Wait until it is in force on every VM.'),
]
Timeout = Annotated[float, typer.Option(help='Seconds to try and to wait.')]


@app.command()
def check(folder: Folder) -> None:
    """Checks files as accept would, without any node."""
    texts = read_folder(folder)
    problems = check_files(texts.base, texts.overlays)
    if problems:
        raise CommandFailed('\n'.join(map(str, problems)), ExitCode.PROBLEMS)
    typer.echo(f'ok: {len(texts.overlays)} sites')


@app.command('reference')
def print_reference() -> None:
    """Prints every section and key, as docs/operators has it."""
    typer.echo(render_reference(), nl=False)


@app.command()
def show(
    context: typer.Context,
    revision: Annotated[
        int,
        typer.Option(help='An accepted revision; 0 for the current one.'),
    ] = 0,
    into: Annotated[
        Path | None,
        typer.Option(help='Folder to write it to, ready to be edited.'),
    ] = None,
) -> None:
    """Shows an accepted configuration."""
    record = _fetch(context.obj, revision)
    if into is not None:
        write_folder(into, record)
        typer.echo(f'revision {record.revision} is in {into}')
        return
    typer.echo(f'# revision {record.revision} of {record.operator}')
    for file, text in texts_of(record).files.items():
        typer.echo(f'# --- {file}\n{text}')


@app.command()
def diff(
    context: typer.Context,
    folder: Annotated[Path | None, typer.Argument(help='Files.')] = None,
    revision: Annotated[
        int,
        typer.Option(help='Compare with this revision; 0: the current one.'),
    ] = 0,
    to: Annotated[
        int,
        typer.Option(help='Without a folder: the other revision.'),
    ] = 0,
) -> None:
    """Shows how files, or another revision, differ from a revision."""
    old = texts_of(_fetch(context.obj, revision))
    new = (
        texts_of(_fetch(context.obj, to))
        if folder is None
        else read_folder(folder)
    )
    typer.echo(difference(old.files, new.files) or 'no difference')


@app.command()
def accept(
    context: typer.Context,
    folder: Folder,
    reason: Reason,
    expected: Expected = None,
    change_id: ChangeIdOption = '',
    wait: Wait = False,
    timeout: Timeout = _DEFAULT_TIMEOUT,
) -> None:
    """Makes files the configuration of every node."""
    start = read_revision(folder) if expected is None else expected
    request = changes.make_request(
        read_folder(folder),
        start,
        reason,
        change_id,
    )
    accepted = _send(context.obj, request, timeout)
    write_revision(folder, accepted)
    if wait:
        changes.wait_in_force(context.obj, accepted, timeout)


@app.command()
def rollback(
    context: typer.Context,
    revision: Annotated[
        int, typer.Argument(min=1, help='Whose texts to restore.')
    ],
    reason: Reason,
    change_id: ChangeIdOption = '',
    wait: Wait = False,
    timeout: Timeout = _DEFAULT_TIMEOUT,
) -> None:
    """Accepts the texts of an older revision as a new one."""
    record = _fetch(context.obj, revision)
    expected = (
        int(change_id.partition('-')[0])
        if change_id
        else _fetch(context.obj, 0).revision
    )
    request = changes.make_request(
        texts_of(record),
        expected,
        reason,
        change_id,
    )
    accepted = _send(context.obj, request, timeout)
    if wait:
        changes.wait_in_force(context.obj, accepted, timeout)


@app.command()
def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(min=1, max=500)] = 20,
    operator: Annotated[str, typer.Option(help='Only theirs.')] = '',
    since: Annotated[
        datetime | None,
        typer.Option(help='Only later ones; UTC.'),
    ] = None,
    containing: Annotated[
        str,
        typer.Option(help='Text in the reason or the difference.'),
    ] = '',
    before: Annotated[int, typer.Option(help='Only older revisions.')] = 0,
    json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Shows who changed what, when and why."""
    since_ms = since.replace(tzinfo=UTC).timestamp() if since else 0
    request = admin_pb2.HistoryRequest(
        limit=limit,
        operator=operator,
        since_ms=int(since_ms * _MILLISECONDS),
        containing=containing,
        before=before,
    )
    reply = context.obj.call('History', request)
    show_record = _as_json if json else _as_text
    for record in reply.records:
        typer.echo(show_record(record))
    if reply.next_before:
        typer.echo(f'older: --before {reply.next_before}', err=True)


def _send(
    connection: Connection,
    request: admin_pb2.AcceptRequest,
    timeout: float,
) -> int:
    typer.echo(f'change {request.change_id}', err=True)
    revision = changes.send_change(connection, request, timeout)
    typer.echo(f'accepted as revision {revision}')
    return revision


def _fetch(connection: Connection, revision: int) -> ConfigurationRecord:
    request = admin_pb2.CurrentRequest(revision=revision)
    try:
        return connection.call('Current', request)
    except CallFailed as failure:
        if failure.exit_code is not ExitCode.NOT_FOUND:
            raise
        raise CommandFailed(
            f'no configuration of revision {revision or "any"}',
            ExitCode.NOT_FOUND,
        ) from failure


def _as_json(record: AuditRecord) -> str:
    return MessageToJson(record, indent=None)


def _as_text(record: AuditRecord) -> str:
    accepted = datetime.fromtimestamp(
        record.accepted_at_ms / _MILLISECONDS,
        UTC,
    )
    moment = accepted.isoformat(sep=' ', timespec='seconds')
    head = f'revision {record.revision}  {moment}  {record.operator}'
    return f'{head}\n  {record.reason}\n{record.difference}'
