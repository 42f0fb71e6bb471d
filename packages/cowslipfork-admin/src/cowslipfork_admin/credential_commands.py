"""Commands that make credentials; they need no node."""

from __future__ import annotations

import hashlib
import secrets
from typing import Annotated

import typer

token = typer.Typer(no_args_is_help=True, help="Operators' credentials.")
password = typer.Typer(no_args_is_help=True, help="Teams' passwords.")

_TOKEN_BYTES = 32


@token.callback()
def _tokens() -> None:
    """Operators' credentials."""


@password.callback()
def _passwords() -> None:
    """Teams' passwords."""


@token.command('new')
def new_token() -> None:
    """Prints a new credential and its hash for the configuration."""
    credential = secrets.token_urlsafe(_TOKEN_BYTES)
    digest = hashlib.sha256(credential.encode()).hexdigest()
    typer.echo(f'credential {credential}')
    typer.echo(f'token_hash = {digest}')


@password.command('hash')
def hash_password(
    secret: Annotated[
        str,
        typer.Option(
            '--password',
            prompt=True,
            hide_input=True,
            envvar='COWSLIPFORK_PASSWORD',
            help='Asked for if absent; better not on the command line.',
        ),
    ],
) -> None:
    """Prints a team's password as the configuration keeps it."""
    # MySQL's native login fixes the algorithm.
    once = hashlib.sha1(secret.encode(), usedforsecurity=False).digest()
    twice = hashlib.sha1(once, usedforsecurity=False).hexdigest()
    typer.echo(f'password_hash = {twice}')
