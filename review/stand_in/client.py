"""A caller's session over the wire protocol."""

import asyncio
import itertools
from dataclasses import dataclass

_numbers = itertools.count(1)


@dataclass
class Answer:
    """An answer: kind is DONE, ERR or LOST; rest is the signature or code."""

    kind: str
    rest: str
    rows: tuple = ()
    state: str = ''
    number: str = ''

    @property
    def done(self):
        return self.kind == 'DONE'


class Session:
    """One connection to a node."""

    def __init__(self, record, name, address, database, key='caller'):
        self._record = record
        self._name = name
        self._address = address
        self._start = f'START {database} {key}'
        self._reader = None
        self._writer = None

    @property
    def open(self):
        return self._writer is not None

    async def connect(self, timeout=2.0):
        """Opens the session; returns whether the node is ready for it."""
        self.close()
        try:
            async with asyncio.timeout(timeout):
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address, limit=2**21
                )
                self._writer.write(f'{self._start}\r\n'.encode())
                line = await self._line()
        except (OSError, TimeoutError):
            line = ''
        if not line.startswith('READY'):
            self._record.note(self._name, 'start refused', line)
            self.close()
            return False
        return True

    async def query(self, text, timeout=2.5):
        """Sends a statement with a new id and returns its answer."""
        number = f'{next(_numbers):016x}'
        self._record.note(self._name, 'sends', number, text)
        answer = await self._query(number, text, timeout)
        self._record.note(
            self._name, 'gets', number, answer.kind, answer.rest, *answer.rows
        )
        answer.number = number
        if answer.kind == 'LOST':
            self.close()
        return answer

    async def _query(self, number, text, timeout):
        if self._writer is None and not await self.connect():
            return Answer('LOST', 'no session')
        rows = []
        try:
            async with asyncio.timeout(timeout):
                self._writer.write(f'QUERY {number} {text}\r\n'.encode())
                while True:
                    line = await self._line()
                    word, _, rest = line.partition(' ')
                    if word == 'ROW':
                        rows.append(rest)
                    elif word in {'DONE', 'ERR'}:
                        ready = (await self._line()).split(' ')
                        if ready[0] != 'READY':
                            return Answer('LOST', 'no READY')
                        return Answer(word, rest, tuple(rows), ready[1])
                    else:
                        return Answer('LOST', 'connection ended')
        except TimeoutError:
            return Answer('LOST', 'no answer in time')
        except OSError as error:
            return Answer('LOST', str(error))

    async def _line(self):
        line = await self._reader.readline()
        return line.decode('latin-1').rstrip('\r\n') if line.endswith(b'\n') else ''

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
