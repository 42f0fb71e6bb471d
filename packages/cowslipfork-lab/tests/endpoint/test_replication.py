import asyncio

import asyncmy
from asyncmy.errors import OperationalError

from cowslipfork.ids import Term
from cowslipfork_lab.endpoint import EndpointServer, EndpointSettings

SECONDS = 20


async def test_a_lost_cancellation_does_not_keep_the_old_primary(monkeypatch):
    asked = asyncio.Queue()

    async def connect(port, **settings):
        asked.put_nowait(port)
        try:
            await asyncio.sleep(SECONDS)
        except BaseException as error:
            # As the driver does when a refusal comes with the cancellation.
            raise OperationalError(2003, 'refused') from error

    monkeypatch.setattr(asyncmy, 'connect', connect)
    server = EndpointServer(EndpointSettings('b', primary='127.0.0.1:1'))
    await server.start()
    try:
        async with asyncio.timeout(SECONDS):
            assert await asked.get() == 1
            server.state.member.fence(Term(2))
            server.state.member.follow(Term(2), '127.0.0.1:2')
            while await asked.get() != 2:
                """Waits for the new primary; an old one may come first."""
    finally:
        await server.close()
