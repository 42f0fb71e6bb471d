"""The first entry of a term, written by the carrier."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from cowslipfork.configuration import Endpoint
from cowslipfork.groups import BeginTerm, EndpointSilent, TermRefused
from cowslipfork.ids import EndpointId, Term
from cowslipfork.outcomes import Reason
from cowslipfork_proxy.endpoints import (
    ConnectionBroken,
    EndpointConnection,
    EndpointRefused,
    Login,
    open_connection,
)

#: Seconds for each statement.
_TIMEOUT: Final = 0.5

_CREATE: Final = (
    'CREATE TABLE IF NOT EXISTS cowslipfork_terms '
    '(slot INT NOT NULL PRIMARY KEY, term BIGINT NOT NULL)'
)


async def begin_term(
    endpoint: Endpoint,
    login: Login,
    database: str,
    term: Term,
) -> None:
    """Writes an entry in a term on its primary.

    Entries of earlier terms become safe with it: a log that ends in a later
    term wins a promotion.

    Args:
        endpoint: primary of the term.
        login: user and password.
        database: schema of the group.
        term: the term.

    Raises:
        EndpointSilent: no answer in time.
        TermRefused: the endpoint does not lead the term.
    """
    connection: EndpointConnection | None = None
    try:
        connection = await open_connection(endpoint, login, database, _TIMEOUT)
        await connection.bind(term, _TIMEOUT)
        await connection.command(_CREATE, _TIMEOUT)
        await connection.command(
            f'REPLACE INTO cowslipfork_terms (slot, term) VALUES (1, {term})',
            _TIMEOUT,
        )
    except ConnectionBroken as broken:
        raise EndpointSilent(endpoint.name, broken.cause) from broken
    except EndpointRefused as refused:
        if refused.errno == Reason.STALE_TERM.value:
            raise TermRefused(endpoint.name, term) from refused
        raise EndpointSilent(endpoint.name, refused.text) from refused
    finally:
        if connection is not None:
            connection.close()


def term_starter(
    endpoints: Mapping[EndpointId, Endpoint],
    login: Login,
    database: str,
) -> BeginTerm:
    """Makes a function that writes the first entry of a term.

    Args:
        endpoints: endpoints of the group.
        login: user and password.
        database: schema of the group.

    Returns:
        The function, as the supervision wants it.
    """

    async def begin(primary: EndpointId, term: Term) -> None:
        await begin_term(endpoints[primary], login, database, term)

    return begin
