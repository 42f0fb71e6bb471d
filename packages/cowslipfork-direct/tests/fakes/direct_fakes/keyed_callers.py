"""Callers with keys, and configurations that add and withdraw keys."""

from contextlib import asynccontextmanager

from cowslipfork.outcomes import NotRun
from cowslipfork_direct.connected_caller import ConnectedCaller
from direct_fakes.world import FRESH, statement

#: Keys as the configurations of these tests have them, by workspace.
ONE_KEY = {'w': ['first-key']}
TWO_KEYS = {'w': ['first-key', 'second-key']}

#: Seconds within which a change of the configuration must have its effect.
APPLY = 5.0


def reason_of(outcome):
    return outcome.reason if isinstance(outcome, NotRun) else None


class Connection:
    """A caller's connection to a node, without a socket."""

    def __init__(self, caller, session):
        self.caller = caller
        self.session = session
        self.closed = False

    async def run(self, text):
        with self.caller.serving():
            return await self.session.run(statement(text))


@asynccontextmanager
async def connected(made, key, database=FRESH, node='n1'):
    """Opens a session whose connection the node knows."""
    callers = made.nodes[node].callers
    connection = None

    def close():
        connection.closed = True

    caller = ConnectedCaller(lambda: 0, close)
    with callers.connection_of(caller):
        session = await made.session(database, node, key)
        assert not isinstance(session, NotRun)
        connection = Connection(caller, session)
        caller.start_session(session)
        yield connection
        await caller.end_session()


def configure_keys(made, keys=ONE_KEY, **changes):
    """Writes a configuration that has these keys only."""
    made.configure(workspaces=keys, **changes)
