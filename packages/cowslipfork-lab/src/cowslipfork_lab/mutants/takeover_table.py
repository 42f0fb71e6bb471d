"""Mutants of takeovers from a primary that still works."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_TAKEOVER: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct/takeover'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests/takeover'
_LOST_WRITES: Final = f'{_TESTS}/test_lost_writes.py'

TAKEOVER_MUTANTS: Final = (
    Mutant(
        'direct: an order of an earlier process may still take effect',
        _TAKEOVER / 'primary_supervisor.py',
        'if own and takeover.phase is TakeoverPhase.CLAIMED:',
        'if own:',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: the primary of a resumed takeover is read from its record',
        _TAKEOVER / 'primary_supervisor.py',
        'return cached.takeover.old if cached else None',
        'return None',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: a new claim starts from the terms of the one before it',
        _TAKEOVER / 'claims.py',
        'led = max(observed_term, Term(last.term - 1))',
        'led = observed_term',
        f'{_TESTS}/test_claims.py',
    ),
    Mutant(
        'direct: replicas are not held while the old primary is reachable',
        _TAKEOVER / 'fencing.py',
        'if handover and await self._stop_reachable_primary():',
        'if handover and await self._demote_old_primary():',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: a handover needs a status that is newer than the stop',
        _TAKEOVER / 'promoter.py',
        'if observed is None or observed.begun < stopped_at:',
        'if observed is None:',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: an order without an answer is repeated',
        _TAKEOVER / 'promoter.py',
        'candidate = uncertain or await self._choose_candidate(refused)',
        'candidate = await self._choose_candidate(refused)',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: a takeover that has taken effect is recorded',
        _TAKEOVER / 'primary_supervisor.py',
        'return cached if own or self._may_resume(cached) else None',
        'return None',
        _LOST_WRITES,
    ),
)
