import asyncio

from cowslipfork_proxy.signals import shutdown_handler


async def test_the_first_signal_drains_and_the_second_ends_at_once():
    stop = asyncio.Event()
    ended = []
    handle = shutdown_handler(stop, lambda: ended.append(True))

    handle()
    assert stop.is_set()
    assert not ended

    handle()
    assert ended
