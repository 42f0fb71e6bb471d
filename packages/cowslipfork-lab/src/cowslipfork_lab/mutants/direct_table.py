"""Mutants of the node that speaks to the endpoints itself."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests'
_MECHANISMS: Final = f'{_TESTS}/test_mechanisms.py'
_TAKEOVER: Final = f'{_TESTS}/takeover'
_SESSION: Final = f'{_TESTS}/test_session.py'

DIRECT_MUTANTS: Final = (
    Mutant(
        'direct: a primary is confirmed again after its answer',
        _DIRECT / 'attempt.py',
        'if leader is not None and not await self._confirmed(leader):',
        'if leader is not None and not leader.endpoint:',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a promotion needs a fenced majority',
        _DIRECT / 'takeover/fencing.py',
        'if fenced >= needed and await self._let_leader_leases_expire():',
        'if await self._let_leader_leases_expire():',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a promotion waits until leader leases have expired',
        _DIRECT / 'takeover/fencing.py',
        '        await asyncio.sleep(validity)\n',
        '',
        _MECHANISMS,
    ),
    Mutant(
        'direct: marks are stored under a leader lease only',
        _DIRECT / 'group.py',
        'covered = self._leader == leader and self.leader_lease.covers(begun)',
        'covered = True',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a claim compares the revision of the duty record',
        _DIRECT / 'takeover/claims.py',
        'Compare(DUTY_KEY, self._takeover_cache.duty_revision),\n',
        '',
        _TAKEOVER,
    ),
    Mutant(
        'direct: takeovers are loaded before a renewal proves',
        _DIRECT / 'registration.py',
        '        await self._load_takeovers()\n',
        '',
        _MECHANISMS,
    ),
    Mutant(
        'direct: fenced replicas confirm no primary',
        _DIRECT / 'observed_statuses.py',
        'and status.held_term <= leader.term',
        'and status.held_term >= 0',
        _MECHANISMS,
    ),
    Mutant(
        'direct: an order needs a recently confirmed claim',
        _DIRECT / 'takeover/promoter.py',
        'MAX_CLAIM_AGE: Final = 0.5',
        'MAX_CLAIM_AGE: Final = 500',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a handover waits for open transactions',
        _DIRECT / 'takeover/takeover_handler.py',
        'DRAIN_TIMEOUT: Final = 0.3',
        'DRAIN_TIMEOUT: Final = 0.0',
        _TAKEOVER,
    ),
    Mutant(
        'direct: nothing is sent where an answer is outstanding',
        _DIRECT / 'checkout.py',
        '        if not self._usable:\n            raise',
        '        if not self._endpoint:\n            raise',
        _SESSION,
    ),
    Mutant(
        'direct: an idle transaction holds no slot',
        _DIRECT / 'checkout.py',
        '        if self._transaction_open:\n            self._suspend()\n',
        '',
        _SESSION,
    ),
    Mutant(
        'direct: session values follow the caller',
        _DIRECT / 'pooled_link.py',
        '        if not self._values.keys() <= values.keys():',
        '        if self._values is values:',
        _SESSION,
    ),
    Mutant(
        'direct: a statement waits for a primary lost during its wait',
        _DIRECT / 'wait_policy.py',
        'or wait_deadline(served) <= loop.time()',
        'or until',
        f'{_TESTS}/test_single.py',
    ),
)
