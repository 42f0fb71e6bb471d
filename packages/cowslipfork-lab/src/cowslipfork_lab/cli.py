"""Command line of the lab."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop

from cowslipfork.errors import CowslipforkError
from cowslipfork_lab.demo import run_demo
from cowslipfork_lab.endpoint import EndpointSettings, run_endpoint
from cowslipfork_lab.load.command import run_load, run_soak
from cowslipfork_lab.mutants import run_mutants
from cowslipfork_lab.relay import run_relay
from cowslipfork_lab.serve import serve
from cowslipfork_lab.store import run_store

app = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)

_SAMPLE = Path('samples/hilal')
_RUN = Path('run/demo')
_SERVED = Path('run/serve')
_PRIMARY_HELP = 'host:port of the first primary to follow; self to be it.'


def main() -> None:
    """Runs the command line."""
    app()


@app.callback()
def set_up() -> None:
    """Stand-ins of the platform, load and experiment tool."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO,
        format='%(asctime)s level=%(levelname)s logger=%(name)s %(message)s',
    )
    logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)


@app.command()
def endpoint(
    name: Annotated[str, typer.Option(help='Endpoint id.')],
    port: Annotated[int, typer.Option(help='MySQL protocol; 0: any.')] = 0,
    control_port: Annotated[int, typer.Option(help='Faults; 0: any.')] = 0,
    slots: Annotated[int, typer.Option(help='Statements at once.')] = 3,
    connections: Annotated[int, typer.Option(help='Clients at once.')] = 20,
    primary: Annotated[str, typer.Option(help=_PRIMARY_HELP)] = '',
    journal: Annotated[str, typer.Option(help='File that keeps the log.')] = '',
) -> None:
    """Runs a stand-in of a database server on the loopback address."""
    settings = EndpointSettings(
        name=name,
        port=port,
        control_port=control_port,
        slots=slots,
        connections=connections,
        primary=primary,
        journal=journal,
    )
    run_until_signal(run_endpoint(settings))


@app.command()
def store(port: int = 0) -> None:
    """Runs a stand-in of the platform's store."""
    run_until_signal(run_store(port))


@app.command()
def relay() -> None:
    """Runs a TCP relay that obeys JSON lines on its stdin."""
    run_until_signal(run_relay())


app.command('load')(run_load)
app.command('soak')(run_soak)


@app.command()
def demo(
    sample: Annotated[Path, typer.Option(help='Deployment.')] = _SAMPLE,
    directory: Annotated[Path, typer.Option(help='Logs go here.')] = _RUN,
) -> None:
    """Starts everything on loopback, drives it step by step, stops it."""
    try:
        uvloop.run(run_demo(sample, directory))
    except CowslipforkError as error:
        typer.echo(f'demo: {error}', err=True)
        raise typer.Exit(1) from error


@app.command('serve')
def serve_cluster(
    sample: Annotated[Path, typer.Option(help='Deployment.')] = _SAMPLE,
    directory: Annotated[Path, typer.Option(help='Logs go here.')] = _SERVED,
    first_port: Annotated[int, typer.Option(envvar='SERVE_PORT')] = 0,
) -> None:
    """Starts everything on loopback and keeps it until ctrl-C."""
    uvloop.run(serve(sample, directory, first_port))


@app.command()
def mutants(name: str = '') -> None:
    """Switches mechanisms off one at a time; says which test notices."""
    if not asyncio.run(run_mutants(Path.cwd(), name)):
        raise typer.Exit(1)


def run_until_signal(work: Coroutine[Any, Any, None]) -> None:
    """Runs a server until SIGTERM or ctrl-C.

    Args:
        work: the server.
    """
    uvloop.run(_until_signal(work))


async def _until_signal(work: Coroutine[Any, Any, None]) -> None:
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(work)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with suppress(asyncio.CancelledError):
        await task
