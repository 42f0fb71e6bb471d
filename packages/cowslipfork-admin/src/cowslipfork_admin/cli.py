"""The operators' command line: its composition root."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from cowslipfork_admin import config_commands, credential_commands
from cowslipfork_admin.connection import Connection
from cowslipfork_admin.errors import CommandFailed
from cowslipfork_admin.log_commands import explain_request, show_timeline
from cowslipfork_admin.node_commands import drain, status

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(config_commands.app, name='config')
app.add_typer(credential_commands.token, name='token')
app.add_typer(credential_commands.password, name='password')
app.command()(status)
app.command()(drain)
app.command('explain')(explain_request)
app.command('timeline')(show_timeline)


@app.callback()
def connect(
    context: typer.Context,
    node: Annotated[
        str,
        typer.Option(
            envvar='COWSLIPFORK_NODE',
            help='host:port of the peer port of any node.',
        ),
    ] = '127.0.0.1:7400',
    token_file: Annotated[
        Path | None,
        typer.Option(
            envvar='COWSLIPFORK_TOKEN_FILE',
            help='File with the credential; else COWSLIPFORK_TOKEN has it.',
        ),
    ] = None,
    authority: Annotated[
        Path | None,
        typer.Option(
            envvar='COWSLIPFORK_AUTHORITY',
            help="PEM file that signs the node's certificate; absent: no TLS.",
        ),
    ] = None,
) -> None:
    """Operates a fleet of cowslipfork nodes through any one of them."""
    context.obj = Connection(node, token_file, authority)


def main() -> None:
    """Entry point of the binary."""
    try:
        app()
    except CommandFailed as failure:
        typer.echo(str(failure), err=True)
        sys.exit(failure.exit_code)
