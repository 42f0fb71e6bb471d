"""Command line of a node."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from cowslipfork.configuration import NodeSettings, node_settings
from cowslipfork.logs import set_up_logs
from cowslipfork_proxy.node import run_node

app = typer.Typer(add_completion=False, no_args_is_help=True)

_BAD_SETTINGS = 2


@app.callback()
def proxy() -> None:
    """A cowslipfork node."""


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help="The VM's own INI file.")],
) -> None:
    """Runs a node until SIGTERM, which drains it."""
    node = _read(settings)
    set_up_logs(node.vm, node.log_format)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_node(node))


def _read(path: Path) -> NodeSettings:
    try:
        text = path.read_text()
    except OSError as error:
        typer.echo(f'{path}: {error.strerror}', err=True)
        raise typer.Exit(_BAD_SETTINGS) from error
    found = node_settings(text, str(path))
    if found.is_error():
        typer.echo(str(found.error), err=True)
        raise typer.Exit(_BAD_SETTINGS)
    return found.ok


def main() -> None:
    """Entry point of the binary."""
    app()
