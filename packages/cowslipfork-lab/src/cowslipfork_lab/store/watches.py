"""etcd's Watch service on the keys in memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from itertools import count
from typing import Any

from aetcd import rpc
from aetcd.rpc.rpc_pb2_grpc import WatchServicer

from cowslipfork_lab.store.faults import StoreFaults
from cowslipfork_lab.store.keys import KeySpace


class WatchService(WatchServicer):
    """Streams of changes, one task for each watch."""

    def __init__(self, keys: KeySpace, faults: StoreFaults) -> None:
        """Serves the keys.

        Args:
            keys: the keys.
            faults: faults of the store.
        """
        self._keys = keys
        self._faults = faults

    async def Watch(
        self,
        requests: AsyncIterator[Any],
        context: Any,
    ) -> AsyncIterator[Any]:
        """Answers the requests of one stream."""
        answers: asyncio.Queue[Any] = asyncio.Queue()
        reader = asyncio.create_task(self._read(requests, answers, context))
        try:
            while True:
                answer = await self._next(answers)
                await self._faults.check_outage(context)
                if answer is not None:
                    yield answer
        finally:
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)

    async def _next(self, answers: asyncio.Queue[Any]) -> Any | None:
        """Waits for an answer, or for a change of the outage (None)."""
        answer = asyncio.create_task(answers.get())
        outage = asyncio.create_task(self._faults.changed.wait())
        waiting = (answer, outage)
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            return answer.result() if answer.done() else None
        finally:
            for task in waiting:
                task.cancel()

    async def _read(
        self,
        requests: AsyncIterator[Any],
        answers: asyncio.Queue[Any],
        context: Any,
    ) -> None:
        watches: dict[int, asyncio.Task[None]] = {}
        ids = count(0)

        async def create(request: Any) -> None:
            await self._faults.enter('watch', context, write=False)
            number = next(ids)
            watch = self._watch(number, request.create_request, answers)
            watches[number] = asyncio.create_task(watch)

        async def cancel(request: Any) -> None:
            number = request.cancel_request.watch_id
            if number in watches:
                watches.pop(number).cancel()
            answers.put_nowait(self._answer(number, canceled=True))

        handlers = {'create_request': create, 'cancel_request': cancel}
        try:
            async for request in requests:
                handler = handlers.get(request.WhichOneof('request_union'))
                if handler:
                    await handler(request)
        finally:
            for task in watches.values():
                task.cancel()

    async def _watch(
        self,
        number: int,
        create: Any,
        answers: asyncio.Queue[Any],
    ) -> None:
        following = create.start_revision or self._keys.revision + 1
        answers.put_nowait(self._answer(number, created=True))
        self._faults.open_watch()
        try:
            while True:
                changed = self._keys.changed
                events = self._keys.since(
                    following,
                    create.key,
                    create.range_end,
                )
                following = max(following, self._keys.revision + 1)
                if events:
                    answers.put_nowait(self._answer(number, events=events))
                await changed.wait()
        finally:
            self._faults.watches -= 1

    def _answer(self, number: int, **fields: Any) -> Any:
        header = rpc.ResponseHeader(revision=self._keys.revision)
        return rpc.WatchResponse(header=header, watch_id=number, **fields)
