"""Mutants of the statement protocol and of the matching of its answers."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_PLATFORM: Final = PurePosixPath('platform/src/cowslipfork_platform')
_PLATFORM_TESTS: Final = '-c platform/pyproject.toml platform/tests'
_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests'
_EXCHANGE: Final = f'{_TESTS}/test_exchange.py'

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
        'replies: an answer seen before is dropped',
        _DIRECT / 'reply_matching.py',
        'return Match.REPEATED if repeated else Match.ANSWER',
        'return Match.ANSWER',
        _EXCHANGE,
    ),
    Mutant(
        'replies: an answer has the form that its command asks for',
        _DIRECT / 'reply_matching.py',
        'if reply.code is ReplyCode.DONE and not self._fits(command, reply):',
        'if reply.code is None:',
        _EXCHANGE,
    ),
    Mutant(
        'replies: a refusal seen before is probed',
        _DIRECT / 'exchange.py',
        'if match is Match.REPEATED and isinstance(command, Run | Execute):',
        'if match is Match.REPEATED and isinstance(command, Begin):',
        _EXCHANGE,
    ),
    Mutant(
        'replies: a refused rollback closes its connection',
        _DIRECT / 'transaction.py',
        'refused = reply.code is not ReplyCode.DONE',
        'refused = reply.code is None',
        f'{_TESTS}/test_session.py',
    ),
    Mutant(
        'replies: BEGIN and statuses are followed by a probe',
        _DIRECT / 'exchange.py',
        'probe = PROBE if isinstance(last, Begin | ControlCommand) else ()',
        'probe = PROBE if last is None else ()',
        _EXCHANGE,
    ),
    Mutant(
        'replies: the answer after a probe has the newest mark',
        _DIRECT / 'reply_matching.py',
        'return max(alike, key=_position_of)',
        'return alike[0]',
        _EXCHANGE,
    ),
    Mutant(
        'replies: no probe where copies of probes may arrive',
        _DIRECT / 'exchange.py',
        '        if self.distrusted:\n',
        '        if self._endpoint is None:\n',
        _EXCHANGE,
    ),
    Mutant(
        'replies: a connection with copies is not idle again',
        _DIRECT / 'connection_pool.py',
        'reusable = usable and pooled.link.reusable',
        'reusable = usable',
        f'{_TESTS}/test_connection_pool.py',
    ),
    Mutant(
        'replies: an idle connection with a late answer is not used',
        _DIRECT / 'connection_pool.py',
        '        self._close_ended()\n',
        '',
        f'{_TESTS}/test_connection_pool.py',
    ),
    Mutant(
        'replies: a connection with unread bytes is not used again',
        _PLATFORM / 'endpoints.py',
        'return not arrived and not self._exchange.distrusted',
        'return not self._exchange.distrusted',
        f'{_PLATFORM_TESTS}/test_repeated_answers.py',
    ),
    Mutant(
        'replies: one copy makes its endpoint distrusted',
        _DIRECT / 'exchange.py',
        '                self._copies.record_copy(self._endpoint)\n',
        '',
        _EXCHANGE,
    ),
)
