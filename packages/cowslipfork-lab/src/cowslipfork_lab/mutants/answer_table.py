"""Mutants of the statement protocol and of the matching of its answers."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_PLATFORM: Final = PurePosixPath('platform/src/cowslipfork_platform')
_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_HTTP_TESTS: Final = 'packages/cowslipfork-direct/tests/test_http_client.py'
_PLATFORM_TESTS: Final = '-c platform/pyproject.toml platform/tests'

ANSWER_MUTANTS: Final = (
    Mutant(
        'platform: a line ends with CR LF only',
        _PLATFORM / '_line_protocol.py',
        'line = await reader.readuntil(_TERMINATOR)',
        'line = await reader.readline()',
        f'{_PLATFORM_TESTS}/test_line_protocol.py',
    ),
    Mutant(
        'platform: a line loses its terminator only',
        _PLATFORM / '_line_protocol.py',
        'line.removesuffix(_TERMINATOR)',
        'line.rstrip(_TERMINATOR)',
        f'{_PLATFORM_TESTS}/test_line_protocol.py',
    ),
    Mutant(
        'http: bytes after a response end its connection',
        _DIRECT / 'http_connection.py',
        'h11.DONE and not surplus',
        'h11.DONE',
        _HTTP_TESTS,
    ),
    Mutant(
        'http: bytes on an idle connection end it',
        _DIRECT / 'http_client.py',
        'connection.usable and await connection.is_silent()',
        'connection.usable',
        _HTTP_TESTS,
    ),
    Mutant(
        'http: an idle connection is read before it carries a request',
        _DIRECT / 'http_connection.py',
        'has_input or await self._has_input()',
        'has_input',
        _HTTP_TESTS,
    ),
    Mutant(
        'http: an interim response is followed by the response',
        _DIRECT / 'http_connection.py',
        'while isinstance(event, h11.InformationalResponse):',
        'while False:',
        _HTTP_TESTS,
    ),
    Mutant(
        'http: the connection of a refusal carries no other request',
        _DIRECT / 'http_client.py',
        'reusable = reply.status == _OK',
        'reusable = True',
        _HTTP_TESTS,
    ),
    Mutant(
        'http: the connection of a response that does not fit is closed',
        _DIRECT / 'http_client.py',
        '            answer = read(reply)\n',
        '            reusable = True\n            answer = read(reply)\n',
        _HTTP_TESTS,
    ),
    Mutant(
        'store: a status that tells no result leaves a swap uncertain',
        _DIRECT / 'store_answers.py',
        'refused = status in _REFUSED or status == _UNAVAILABLE',
        'refused = True',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: an unreadable answer leaves a swap uncertain',
        _PLATFORM / 'store.py',
        "raise lost_answer_error(\n            operation, f'unreadable",
        "raise lost_answer_error(\n            'get', f'unreadable",
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
)
