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
        'direct: a primary is proved again after its answer',
        _DIRECT / 'attempt.py',
        'if leader is not None and not await self._proved_after(leader):',
        'if leader is not None and not leader.endpoint:',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a promotion needs a fenced majority',
        _DIRECT / 'takeover/fencing.py',
        'if fenced >= enough and await self._let_proofs_lapse():',
        'if await self._let_proofs_lapse():',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a promotion waits until proofs have lapsed',
        _DIRECT / 'takeover/fencing.py',
        '        await asyncio.sleep(validity)\n',
        '',
        _MECHANISMS,
    ),
    Mutant(
        'direct: marks are taken under proof only',
        _DIRECT / 'group.py',
        'proved = self._leader == leader and self.leader_lease.covers(begun)',
        'proved = True',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a claim compares the duty',
        _DIRECT / 'takeover/claims.py',
        '                Compare(DUTY_KEY, self._takeover_cache.duty_revision),\n',
        '',
        _TAKEOVER,
    ),
    Mutant(
        'direct: takeovers are learnt before a lease proves',
        _DIRECT / 'registration.py',
        '        await self._learn()\n',
        '',
        _MECHANISMS,
    ),
    Mutant(
        'direct: held replicas confirm no primary',
        _DIRECT / 'observed_statuses.py',
        'and status.held_term <= leader.term',
        'and status.held_term >= 0',
        _MECHANISMS,
    ),
    Mutant(
        'direct: an order needs a young claim',
        _DIRECT / 'takeover/promoter.py',
        'MAX_CLAIM_AGE: Final = 0.5',
        'MAX_CLAIM_AGE: Final = 500',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a handover waits for open transactions',
        _DIRECT / 'takeover/takeover_handler.py',
        'WIND_DOWN: Final = 0.3',
        'WIND_DOWN: Final = 0.0',
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
        'direct: a transaction at rest holds no slot',
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
        'direct: a primary that is lost while a statement waits is awaited',
        _DIRECT / 'wait_policy.py',
        'if group.accepting_leader is not None or wait_until(work) <= loop.time():',
        'if until:',
        f'{_TESTS}/test_single.py',
    ),
)
