"""Relay as a process of its own, driven by lines of JSON on its stdin."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any

from cowslipfork_lab.relay.relay import Relay
from cowslipfork_lab.relay.rules import Rule, TrafficPolicy

_Handler = Callable[[Relay, dict[str, Any]], Awaitable[dict[str, Any]]]


async def run_relay() -> None:
    """Obeys commands until stdin ends."""
    relay = Relay()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    try:
        async for line in reader:
            document = json.loads(line)
            handler = _COMMANDS[document.pop('command')]
            answer = await handler(relay, document)
            sys.stdout.write(f'{json.dumps(answer)}\n')
            sys.stdout.flush()
    finally:
        await relay.close()


async def _listen(relay: Relay, document: dict[str, Any]) -> dict[str, Any]:
    return {'port': await relay.listen(**document)}


async def _know(relay: Relay, document: dict[str, Any]) -> dict[str, Any]:
    relay.register_process(**document)
    return {}


async def _rule(relay: Relay, document: dict[str, Any]) -> dict[str, Any]:
    relay.rules.set(
        document['source'],
        document['destination'],
        Rule(document['delay'], TrafficPolicy(document['passage'])),
    )
    return {}


_COMMANDS: Mapping[str, _Handler] = MappingProxyType(
    {'listen': _listen, 'know': _know, 'rule': _rule},
)
