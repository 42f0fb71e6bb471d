"""Mutants of the planned end of a node."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_DECISION: Final = _DIRECT / 'shutdown/decision.py'
_SEQUENCE: Final = _DIRECT / 'shutdown/sequence.py'
_CALLER: Final = _DIRECT / 'connected_caller.py'
_CALLERS: Final = _DIRECT / 'connected_callers.py'
_PLATFORM_CALLERS: Final = PurePosixPath(
    'platform/src/cowslipfork_platform/callers.py'
)
_PROXY_SERVER: Final = PurePosixPath(
    'packages/cowslipfork-proxy/src/cowslipfork_proxy/callers/server.py'
)
_PROXY_TESTS: Final = 'packages/cowslipfork-proxy/tests/callers/test_drain.py'
_TESTS: Final = 'packages/cowslipfork-direct/tests'
_SEARCH: Final = f'{_TESTS}/shutdown/test_decision_search.py'
_SEQUENCE_TESTS: Final = f'{_TESTS}/shutdown/test_sequence.py'
_CALLER_TESTS: Final = (
    '-c platform/pyproject.toml platform/tests/test_callers.py'
)

SHUTDOWN_MUTANTS: Final = (
    Mutant(
        'shutdown: callers count when the work of other nodes has ended',
        _DECISION,
        'return not (self.callers or self.forwarded)',
        'return not self.forwarded',
        f'{_SEARCH} {_SEQUENCE_TESTS}',
    ),
    Mutant(
        'shutdown: the work of other nodes counts when callers are gone',
        _DECISION,
        'return not (self.callers or self.forwarded)',
        'return not self.callers',
        _SEARCH,
    ),
    Mutant(
        'shutdown: a process ends only once nobody can connect',
        _DECISION,
        'or (workload.finished and not workload.accepting),',
        'or workload.finished,',
        _SEARCH,
    ),
    Mutant(
        'shutdown: no callers are accepted too late to be answered',
        _DECISION,
        'and (unneeded or now >= schedule.answer_by),',
        'and unneeded,',
        _SEARCH,
    ),
    Mutant(
        'shutdown: callers are accepted while they are routed here',
        _DECISION,
        'unneeded = workload.finished and not _is_routed(',
        'unneeded = workload.finished or _is_routed(',
        f'{_SEARCH} {_SEQUENCE_TESTS}',
    ),
    Mutant(
        'shutdown: a connection that is accepted and not served counts',
        _CALLERS,
        '        counts[CallerActivity.STARTING] += self._accepted\n',
        '',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: the first request of a new caller is waited for',
        _CALLER,
        'return idle and _loop_time() >= self._request_expected_until',
        'return idle',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: idle transactions are rolled back after a while',
        _SEQUENCE,
        '            if caller.activity is CallerActivity.TRANSACTION:\n',
        '            if False:\n',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: statements that still run are answered before the end',
        _SEQUENCE,
        '        self._callers.limit_answers(self._schedule.abandon_at)\n',
        '',
        '-c platform/pyproject.toml platform/tests/test_planned_stop.py'
        ' -kolder_than_the_stop',
    ),
    Mutant(
        'shutdown: a request that is served can be limited',
        _CALLER,
        '            self._answer_limit.reschedule(answer_by)\n',
        '            pass\n',
        _CALLER_TESTS,
    ),
    Mutant(
        'shutdown: answers are sent before their connection counts as ended',
        _PLATFORM_CALLERS,
        '            await self._writer.wait_closed()\n',
        '            pass\n',
        _CALLER_TESTS,
    ),
    Mutant(
        'shutdown: callers who wait in the backlog are accepted',
        _DIRECT / 'caller_listener.py',
        '        for accepted in _accept_waiting(self._socket):\n',
        '        for accepted in ():\n',
        f'{_TESTS}/test_caller_listener.py',
    ),
    Mutant(
        'shutdown: a transaction begins only if it has time',
        _DIRECT / 'session.py',
        'refusal = refusal_of_leaving(self._context.transactions_until())',
        'refusal = None',
        f'{_TESTS}/test_leaving.py',
    ),
    Mutant(
        'shutdown: replies to other nodes are sent before the end',
        _DIRECT / 'peers/server.py',
        'if not any(link.unsent_bytes for link in self._links):',
        'if self._links:',
        f'{_TESTS}/peers/test_flush.py',
    ),
    Mutant(
        'shutdown: neither the store nor an endpoint holds the end up',
        _DIRECT / 'node.py',
        'async with asyncio.timeout_at(by):',
        'async with asyncio.timeout_at(by + 99):',
        f'{_TESTS}/test_leaving.py',
    ),
    Mutant(
        'shutdown: a rollback that fails is logged',
        _SEQUENCE,
        "            log.error('rollback_failed', extra={'cause': cause})\n",
        '',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: a statement that crosses the rollback is answered',
        _CALLER,
        '            self._expect_request(NEXT_REQUEST_WAIT)\n'
        '            await self._session.abort(cause)\n',
        '            await self._session.abort(cause)\n',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: the limit holds for later connections',
        _CALLERS,
        '            caller.limit_answers(self._answer_by)\n',
        '            pass\n',
        _SEQUENCE_TESTS,
    ),
    Mutant(
        'shutdown: a caller whose session begins is served',
        _PLATFORM_CALLERS,
        '        with self.serving():\n            return await',
        '        if True:\n            return await',
        _CALLER_TESTS,
    ),
    Mutant(
        'shutdown: a cancelled statement fails its transaction',
        _DIRECT / 'session.py',
        'self._transaction_failed = self._transaction is not None',
        'pass',
        f'{_TESTS}/test_leaving.py',
    ),
    Mutant(
        'MySQL: draining waits for connections that are not served yet',
        _PROXY_SERVER,
        'while self._accepted or self._connections:',
        'while self._connections:',
        _PROXY_TESTS,
    ),
    Mutant(
        'MySQL: a caller who is accepted late leaves when it is idle',
        _PROXY_SERVER,
        '            if self._draining:\n',
        '            if False:\n',
        _PROXY_TESTS,
    ),
)
