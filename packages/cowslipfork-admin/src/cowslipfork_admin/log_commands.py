"""Commands that explain a failure from the nodes' logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cowslipfork_admin.exit_code import ExitCode
from cowslipfork_admin.log_analysis import explain, last_lines, timeline
from cowslipfork_admin.log_lines import LogLine, read_logs

_Logs = Annotated[
    list[Path],
    typer.Argument(help='Log files of nodes, all that there are.'),
]


def explain_request(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    logs: _Logs,
) -> None:
    """Prints the path of a request and what its node knew."""
    lines = read_logs(logs)
    found = explain(request_id, lines)
    if not found.lines:
        typer.echo(f'no line carries the id {request_id}', err=True)
        typer.echo(
            'a node that was lost wrote no line; the last line of each:',
            err=True,
        )
        for line in last_lines(lines):
            typer.echo(f'  {line.time} {line.vm} {line.event}', err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    typer.echo('before:')
    for line in found.before:
        typer.echo(_worded(line))
    typer.echo('the request:')
    for line in found.lines:
        typer.echo(_worded(line))


def show_timeline(logs: _Logs) -> None:
    """Prints what nodes believed, each time that it changed."""
    for line, beliefs in timeline(read_logs(logs)):
        typer.echo(f'{line.time} {line.vm} {line.event}')
        for vm in sorted(beliefs):
            held = beliefs[vm].columns.items()
            words = '; '.join(f'{name}: {text}' for name, text in held)
            typer.echo(f'    {vm}  {words}')


def _worded(line: LogLine) -> str:
    return f'  {line.time} {line.vm} {line.event} {line.words}'
