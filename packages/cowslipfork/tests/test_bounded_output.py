import asyncio
import logging
import os

import pytest

from cowslipfork.bounded_output import MAX_BUFFERED_BYTES, BoundedOutput
from cowslipfork.logs import KeyValueFormatter


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def output(pipe, clock):
    made = BoundedOutput(pipe[1], 10, lambda: clock[0])
    made.setFormatter(KeyValueFormatter('vm1'))
    return made


def event(message, level=logging.INFO, **fields):
    return logging.makeLogRecord(
        {
            'msg': message,
            'levelno': level,
            'levelname': logging.getLevelName(level),
            **fields,
        },
    )


def written(pipe):
    try:
        return os.read(pipe[0], 10 * MAX_BUFFERED_BYTES).decode()
    except BlockingIOError:
        return ''


def test_an_event_is_one_line(pipe, output):
    output.emit(event('started', node='n1'))
    assert written(pipe).endswith('event=started node=n1\n')


def test_a_flood_of_requests_is_bounded_and_counted(pipe, output, clock):
    for _ in range(100):
        output.emit(event('request'))
    assert output.dropped == 80
    clock[0] = 1
    output.emit(event('request'))
    lines = written(pipe).splitlines()
    assert len(lines) == 22
    assert 'event=log_lines_dropped lines=80' in lines[-2]


def test_warnings_are_written_through_a_flood(pipe, output):
    for _ in range(100):
        output.emit(event('request'))
    output.emit(event('takeover_posted', logging.WARNING))
    assert 'event=takeover_posted' in written(pipe)


def test_a_reader_that_stops_blocks_nobody(pipe, output):
    for _ in range(20_000):
        output.emit(event('takeover_posted', logging.WARNING, text='x' * 100))
    assert output.dropped > 0
    assert written(pipe).startswith('time=')


async def test_a_reader_that_comes_back_gets_the_rest(pipe, output):
    for number in range(2_000):
        output.emit(event('w', logging.WARNING, number=number, text='x' * 100))
    text = ''
    async with asyncio.timeout(10):
        while 'number=1999' not in text:
            await asyncio.sleep(0.05)
            text += written(pipe)
    numbers = [
        int(line.partition('number=')[2].split()[0])
        for line in text.splitlines()
    ]
    assert numbers == list(range(2_000))


def test_a_closed_reader_ends_nothing(output, pipe):
    reading, writing = os.pipe()
    made = BoundedOutput(writing, 10)
    made.setFormatter(KeyValueFormatter('vm1'))
    os.close(reading)
    made.emit(event('started'))
    os.close(writing)
