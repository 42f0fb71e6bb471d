"""Mutants of the HTTP client and of the matching of the store's answers."""

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

HTTP_MUTANTS: Final = (
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
        'store: a write is newer than all that is known',
        _DIRECT / 'store_answers.py',
        'known + int(changes)',
        'known',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a delete is not older than what is known',
        _DIRECT / 'store_answers.py',
        'self._note(revision, revision >= known + int(changes))',
        'self._note(revision, revision >= known + int(changes) or not changes)',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a read is not older than what is known',
        _DIRECT / 'store_answers.py',
        'self._note(revision, revision >= known)',
        'self._note(revision, True)',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: what is known is forgotten when the store is older',
        _DIRECT / 'store_answers.py',
        '            self._newest = 0\n            raise',
        '            raise',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a page holds keys that were asked for',
        _DIRECT / 'store_answers.py',
        'not key.startswith(prefix) or key <= after',
        'key <= after',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a page begins after the last one',
        _DIRECT / 'store_answers.py',
        'not key.startswith(prefix) or key <= after',
        'not key.startswith(prefix)',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a watch does not go back',
        _DIRECT / 'store_answers.py',
        'revision < after or oldest <= after',
        'oldest <= after',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a change is not read twice',
        _DIRECT / 'store_answers.py',
        'revision < after or oldest <= after',
        'revision < after',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a watch brings changes that were asked for',
        _DIRECT / 'store_answers.py',
        "ensure_page(prefix, '', (event.key for event in events))",
        "ensure_page('', '', (event.key for event in events))",
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a lease is granted once',
        _DIRECT / 'store_answers.py',
        ' or lease == last:',
        ':',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: a renewal is that of the lease',
        _DIRECT / 'store_answers.py',
        'if is_of_keys or answer.lease not in {0, lease}:',
        'if is_of_keys:',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'store: an answer about keys renews no lease',
        _DIRECT / 'store_answers.py',
        'if is_of_keys or answer.lease not in',
        'if answer.lease not in',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
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
    Mutant(
        'store: a value is that of the key',
        _PLATFORM / 'store.py',
        'if item.key != key:',
        'if False:',
        f'{_PLATFORM_TESTS}/test_late_answers.py',
    ),
    Mutant(
        'orders: an order has a connection of its own',
        _PLATFORM / 'promotion.py',
        '            self._http.close()',
        '            pass',
        f'{_PLATFORM_TESTS}/test_promotion.py',
    ),
    Mutant(
        'pages: the answer to HEAD has no body',
        _PLATFORM / 'pages.py',
        'page.content if has_body else',
        'page.content if page else',
        f'{_PLATFORM_TESTS}/test_pages.py',
    ),
)
