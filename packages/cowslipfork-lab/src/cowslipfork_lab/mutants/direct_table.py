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
_WORKSPACES: Final = f'{_TESTS}/test_workspaces.py'
_RESTORE: Final = f'{_TESTS}/test_store_restore.py'

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
    Mutant(
        'direct: a lease ends with the era of the store',
        _DIRECT / 'registration.py',
        'given to others."""\n        self._lease = None',
        'given to others."""\n        self._lease = self._lease',
        _RESTORE,
    ),
    Mutant(
        'direct: an answer across eras proves nothing',
        _DIRECT / 'store_era.py',
        '        if stale or (begun is not None and begun != last):',
        '        if begun == -1:',
        _RESTORE,
    ),
    Mutant(
        'direct: fences rise across eras of the store',
        _DIRECT / 'takeover/claims.py',
        '(self._eras_since_first() << REVISION_BITS) + duty_revision',
        'duty_revision',
        _RESTORE,
    ),
    Mutant(
        'direct: no takeover is claimed in an unsettled era',
        _DIRECT / 'takeover/primary_supervisor.py',
        '        if not self._context.settlement.settled:',
        '        if self._context.settlement is None:',
        _RESTORE,
    ),
    Mutant(
        'direct: a takeover outlasts its record',
        _DIRECT / 'takeover/takeover_cache.py',
        '            if not takeover.is_ahead_of(cached.takeover):',
        '            if takeover is None:',
        _RESTORE,
    ),
    Mutant(
        'direct: lost records are written again',
        _DIRECT / 'takeover/takeover_cache.py',
        '            cached.lost = True\n',
        '            cached.lost = False\n',
        _RESTORE,
    ),
    Mutant(
        'direct: a list that has lost records is not complete',
        _DIRECT / 'takeover/fencing.py',
        '        complete = self._context.settlement.records_complete',
        '        complete = self._context.settlement is not None',
        _RESTORE,
    ),
    Mutant(
        'direct: renewals prove nothing in an unsettled era',
        _DIRECT / 'node.py',
        '        if not self._settlement.settled:\n            return\n',
        '',
        _RESTORE,
    ),
    Mutant(
        'direct: a promotion without a record is found at the servers',
        _DIRECT / 'node.py',
        '                group.forget(endpoint)',
        '                group.follows(endpoint)',
        _RESTORE,
    ),
    Mutant(
        'direct: a node waits until the era in which it starts is settled',
        _DIRECT / 'node.py',
        'return self._settlement.settled or self._eras.restored',
        'return True',
        _RESTORE,
    ),
    Mutant(
        'direct: a missing key is not deleted at once',
        _DIRECT / 'store_watcher.py',
        'boot_time() + ABSENCE_GRACE',
        'boot_time()',
        _RESTORE,
    ),
    Mutant(
        'direct: an endpoint that has left stays out',
        _DIRECT / 'listing.py',
        '        if self._removed.get(name, -1) >= entry.born:',
        '        if not name:',
        _RESTORE,
    ),
    Mutant(
        'direct: a leaving endpoint goes on leaving',
        _DIRECT / 'listing.py',
        '        if known is None or known.born < entry.born:',
        '        if entry:',
        _RESTORE,
    ),
    Mutant(
        'direct: an endpoint that answers nothing counts as unreachable',
        _DIRECT / 'reachability.py',
        '                reachable = await self._completes_handshake(via)',
        '                await self._completes_handshake(via)',
        f'{_TESTS}/test_slow_servers.py',
    ),
    Mutant(
        'direct: the timeout of a status follows the answers',
        _DIRECT / 'status_timeout.py',
        '        doubled = min(2 * seconds, MAX_TIMEOUT)',
        '        doubled = seconds',
        f'{_TESTS}/test_slow_servers.py',
    ),
    Mutant(
        'direct: an unknown key is refused',
        _DIRECT / 'workspaces.py',
        '        if route.auth_exempt:\n',
        '        if route:\n',
        _WORKSPACES,
    ),
    Mutant(
        'direct: a key belongs to one workspace',
        _DIRECT / 'workspaces.py',
        '            if owner != name:',
        '            if not owner:',
        _WORKSPACES,
    ),
    Mutant(
        'direct: a node that fails closed refuses after the limit',
        _DIRECT / 'workspaces.py',
        '        if self._outdated:',
        '        if self._outdated is None:',
        _WORKSPACES,
    ),
    Mutant(
        'direct: the key of each statement is checked',
        _DIRECT / 'session.py',
        '        workspace = self._identify()\n'
        '        if isinstance(workspace, NotRun):\n',
        '        workspace = None\n        if isinstance(workspace, NotRun):\n',
        _WORKSPACES,
    ),
    Mutant(
        'direct: a key is checked again after admission',
        _DIRECT / 'session.py',
        '        # The key may have been withdrawn during the wait.\n'
        '        return self._identify()',
        '        return workspace',
        _WORKSPACES,
    ),
    Mutant(
        'direct: a transaction of a withdrawn key is rolled back',
        _DIRECT / 'connected_callers.py',
        '            await self.abort_transaction(KEY_WITHDRAWN)\n',
        '',
        _WORKSPACES,
    ),
    Mutant(
        'direct: an idle connection of a withdrawn key is closed',
        _DIRECT / 'connected_callers.py',
        '        self._close()\n        return Withdrawal.CLOSED',
        '        return Withdrawal.CLOSED',
        _WORKSPACES,
    ),
    Mutant(
        'direct: a busy connection of a withdrawn key is ended later',
        _DIRECT / 'connected_callers.py',
        'tuple(self._connected.intersection(busy))',
        '()',
        _WORKSPACES,
    ),
    Mutant(
        'direct: an older configuration is ignored',
        _DIRECT / 'view.py',
        '        if table.revision <= self._table.revision:',
        '        if table.revision == self._table.revision:',
        _WORKSPACES,
    ),
    Mutant(
        'direct: an answer read after a suspension counts from its call',
        _DIRECT / 'store_watcher.py',
        'known_until = now if in_time else begun_at',
        'known_until = now',
        f'{_TESTS}/test_store_watcher.py',
    ),
)
