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
_WORKSPACES: Final = (
    f'{_TESTS}/test_workspaces.py {_TESTS}/test_withdrawn_keys.py'
)
_RESTORE: Final = (
    f'{_TESTS}/test_store_era.py {_TESTS}/test_restored_records.py '
    f'{_TAKEOVER}/test_restored_takeovers.py'
)

DIRECT_MUTANTS: Final = (
    Mutant(
        'direct: a primary is confirmed again after its answer',
        _DIRECT / 'attempt.py',
        'if leader is not None and not await self._confirmed(leader):',
        'if leader is not None and not leader.endpoint:',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a failover needs a demoted primary or all replicas held',
        _DIRECT / 'takeover/fencing.py',
        'if demoted or (held and not not_held):',
        'if demoted or held:',
        _MECHANISMS,
    ),
    Mutant(
        'direct: a promotion waits until leader leases have expired',
        _DIRECT / 'takeover/fencing.py',
        '            self._wait_until_stopped(renewed, RENEWAL_VALIDITY),\n',
        '',
        f'{_TAKEOVER}/test_demoted_primary.py',
    ),
    Mutant(
        'direct: a failover waits until confirmations have expired',
        _DIRECT / 'takeover/fencing.py',
        '            asyncio.sleep(confirmation_validity),\n',
        '            asyncio.sleep(0),\n',
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
        '                Compare(DUTY_KEY, held_revision),\n',
        '',
        _TAKEOVER,
    ),
    Mutant(
        'direct: takeovers are loaded before a renewal proves',
        _DIRECT / 'registration.py',
        '        await self._hooks.load_takeovers()\n',
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
        _DIRECT / 'order_window.py',
        'if now - confirmed_at > MAX_CLAIM_AGE:',
        'if now < confirmed_at:',
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
        '(self._era_count() << REVISION_BITS) + duty_revision',
        'duty_revision',
        _RESTORE,
    ),
    Mutant(
        'direct: a part that fails is started again',
        _DIRECT / 'long_lived.py',
        '            on_failure(name)\n',
        '            raise\n',
        f'{_TESTS}/test_long_lived.py',
    ),
    Mutant(
        'direct: fences count all eras of the store',
        _DIRECT / 'era_settlement.py',
        'SettledEra(era, ONLY_ERA, first_seen)',
        'SettledEra(era, first_seen, first_seen)',
        f'{_TESTS}/test_era_settlement.py',
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
        'direct: nodes register their capacity',
        _DIRECT / 'registration.py',
        '                self._traits.capacity,\n',
        '',
        f'{_TESTS}/test_fleet.py',
    ),
    Mutant(
        'direct: a node relays to the store only while it reaches it',
        _DIRECT / 'node.py',
        'if self._store.reaches_store else addresses',
        'if store else addresses',
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: idle connections leave room at an endpoint',
        _DIRECT / 'group.py',
        'kept = min(links, quota.kept or links)',
        'kept = links',
        f'{_TESTS}/test_connection_pool.py',
    ),
    Mutant(
        'direct: what an even division leaves over is used',
        _DIRECT / 'link_quota.py',
        'extra = int(ordered.index(node) < remainder)',
        'extra = 0 * ordered.index(node)',
        f'{_TESTS}/test_placement.py',
    ),
    Mutant(
        'direct: even shares do not depend on the order of news',
        _DIRECT / 'placement.py',
        'self._apply_even_quota(group, rules)',
        'rules and group.endpoints',
        f'{_TESTS}/test_placement.py',
    ),
    Mutant(
        'direct: a transaction that ran a statement is not begun anew',
        _DIRECT / 'transaction.py',
        'if self._may_have_run:',
        'if served.writes is None:',
        _SESSION,
    ),
    Mutant(
        'direct: an entry that agrees with the status takes no primary away',
        _DIRECT / 'group.py',
        'if role is not EndpointRole.PRIMARY or not self.leads(name):',
        'if role is not None:',
        f'{_TESTS}/test_group.py',
    ),
    Mutant(
        'direct: a primary whose entry denies it is asked again',
        _DIRECT / 'group.py',
        'if role is not EndpointRole.PRIMARY or not self.leads(name):',
        'if not self.leads(name):',
        f'{_TESTS}/test_group.py',
    ),
    Mutant(
        'direct: a replica in a new role is asked again',
        _DIRECT / 'group.py',
        'if role is not EndpointRole.PRIMARY or not self.leads(name):',
        'if role is not EndpointRole.PRIMARY and self.leads(name):',
        f'{_TESTS}/test_group.py',
    ),
    Mutant(
        'direct: a leaving node answers each statement before its end',
        _DIRECT / 'session.py',
        'deadline = min(timeout_at, answer_by)',
        'deadline = timeout_at',
        f'{_TESTS}/test_leaving.py',
    ),
    Mutant(
        'direct: a leaving node accepts nothing that comes too late',
        _DIRECT / 'leaving.py',
        'if asyncio.get_running_loop().time() + MIN_TIME_LEFT < until:',
        'if until:',
        f'{_TESTS}/test_leaving.py',
    ),
    Mutant(
        'direct: a takeover is abandoned for a primary of the last term only',
        _DIRECT / 'takeover/commit_evidence.py',
        'and report.status.term >= takeover.ceiling',
        'and report.status.term >= 0',
        f'{_TAKEOVER}/test_unseen_promotions.py',
    ),
    Mutant(
        'direct: an abandoned takeover brings back no earlier primary',
        _DIRECT / 'allowed_primaries.py',
        'self._ceiling = Term(lowest - 1)',
        'self._ceiling = Term(0)',
        f'{_TAKEOVER}/test_unseen_promotions.py',
    ),
    Mutant(
        'direct: a replica that has left may hold acknowledged commits',
        _DIRECT / 'takeover/evidence_collector.py',
        'return listed | awaited',
        'return listed',
        f'{_TAKEOVER}/test_departed_replicas.py',
    ),
    Mutant(
        'direct: departures are written to the store',
        _DIRECT / 'takeover/departure_tracker.py',
        'if self._may_write() and self._outdated_record():',
        'if self._may_write() and not self._group:',
        f'{_TAKEOVER}/test_departed_replicas.py',
    ),
    Mutant(
        'direct: a departure is forgotten once others have its commits',
        _DIRECT / 'takeover/departure_tracker.py',
        'absence.covered |= self._received_by_others(absence)',
        'absence.covered |= False',
        f'{_TAKEOVER}/test_departed_replicas.py',
    ),
    Mutant(
        'direct: the candidate has the greatest mark of those that answered',
        _DIRECT / 'takeover/commit_evidence.py',
        'candidate.status.received >= greatest and _knows_every_commit(',
        'greatest and _knows_every_commit(',
        f'{_TAKEOVER}/test_decision.py',
    ),
    Mutant(
        'direct: a transaction ends when its key moves to another workspace',
        _DIRECT / 'session.py',
        'return in_transaction and workspace != self._transaction_workspace',
        'return in_transaction and workspace == self._database',
        f'{_TESTS}/test_moved_keys.py',
    ),
    Mutant(
        'direct: an operation is admitted for the workspace that it runs for',
        _DIRECT / 'session.py',
        'if self._identify() == workspace:',
        'if workspace:',
        f'{_TESTS}/test_moved_keys.py {_TESTS}/test_withdrawn_keys.py',
    ),
    Mutant(
        'direct: a replica that has not followed the last primary waits',
        _DIRECT / 'takeover/decision.py',
        'return report.status.term < takeover.last_led_term',
        'return report.status.term < 0',
        f'{_TAKEOVER}/test_outdated_replicas.py',
    ),
    Mutant(
        'direct: a primary that has drained gets no new work',
        _DIRECT / 'group.py',
        'if self._paused or self._drained_for >= 0:',
        'if self._paused:',
        f'{_TESTS}/test_drained_primary.py',
    ),
    Mutant(
        'direct: a claim keeps the ceiling of an abandoned takeover',
        _DIRECT / 'takeover/claims.py',
        'return observed_term, max(observed_term, last.ceiling)',
        'return observed_term, observed_term',
        f'{_TAKEOVER}/test_decision_search.py',
    ),
)
