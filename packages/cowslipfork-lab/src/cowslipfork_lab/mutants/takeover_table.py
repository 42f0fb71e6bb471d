"""Mutants of what a takeover relies on."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_TAKEOVER: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct/takeover'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests/takeover'
_LOST_WRITES: Final = f'{_TESTS}/test_lost_writes.py'
_OUTAGE: Final = f'{_TESTS}/test_store_outage.py'
_LOST_PROCESSES: Final = f'{_TESTS}/test_lost_processes.py'
_DEMOTED: Final = f'{_TESTS}/test_demoted_primary.py'
_HELD: Final = f'{_TESTS}/test_held_replicas.py'
_ENDPOINT_ORDERS: Final = f'{_TESTS}/test_endpoint_orders.py'
_LATE_WRITES: Final = f'{_TESTS}/test_late_own_writes.py'
_LOST_ORDERS: Final = (
    '-c platform/pyproject.toml platform/tests/test_lost_orders.py'
)
_DIRECT: Final = _TAKEOVER.parent
_DIRECT_TESTS: Final = 'packages/cowslipfork-direct/tests'
_CONNECTION: Final = _DIRECT / 'http_connection.py'
_WINDOW: Final = _DIRECT / 'order_window.py'
_WINDOW_SEARCH: Final = f'{_DIRECT_TESTS}/test_order_window_search.py'

TAKEOVER_MUTANTS: Final = (
    Mutant(
        'direct: an order of an earlier process may still take effect',
        _TAKEOVER / 'primary_supervisor.py',
        'if own and takeover.phase is TakeoverPhase.CLAIMED:',
        'if own:',
        f'{_TESTS}/test_resumed_takeovers.py',
    ),
    Mutant(
        'direct: the primary of a resumed takeover is read from its record',
        _TAKEOVER / 'primary_supervisor.py',
        'if cached is not None and cached.takeover.old is not None:',
        'if cached is not None and cached.takeover.old is cached:',
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
        'if self._uncertain is not None:',
        'if self._uncertain is self._group:',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: a takeover that has taken effect is recorded',
        _TAKEOVER / 'primary_supervisor.py',
        'return cached if own or self._may_resume(cached) else None',
        'return None',
        _LOST_WRITES,
    ),
    Mutant(
        'direct: an entry that has lapsed counts for a while',
        _DIRECT / 'listing.py',
        'if known is None or known.leaving:',
        'if known is None or known.endpoint:',
        _OUTAGE,
    ),
    Mutant(
        'direct: a list that was just read proves no absence',
        _TAKEOVER / 'suspicion_reporter.py',
        'self._group.listing_settled\n            if endpoint is None',
        'endpoint is None\n            if endpoint is None',
        _OUTAGE,
    ),
    Mutant(
        'direct: nodes whose lease has lapsed count for a majority',
        _DIRECT / 'placement.py',
        'return self.supervisors(group) | self._fleet.possibly_alive',
        'return self.supervisors(group)',
        _OUTAGE,
    ),
    Mutant(
        'direct: a fence includes replicas that are not listed any more',
        _DIRECT / 'group_endpoints.py',
        'return frozenset(self._forget_at).union(self._by_id)',
        'return frozenset(self._by_id)',
        _OUTAGE,
    ),
    Mutant(
        'direct: an entry of a node is written under a condition',
        _DIRECT / 'registration.py',
        'self._store.swap((Compare(key, expected),), puts)',
        'self._store.swap((), puts)',
        'packages/cowslipfork-direct/tests/test_registration.py',
    ),
    Mutant(
        'direct: a node without its entry registers again',
        _DIRECT / 'registration.py',
        'if renewed and self._entry_lost():',
        'if renewed and not self._node:',
        'packages/cowslipfork-direct/tests/test_registration.py',
    ),
    Mutant(
        'direct: a takeover reads the registered nodes after its claim',
        _TAKEOVER / 'fencing.py',
        'self._registered = {\n                node: registered',
        'self._registered = self._context.fleet.registered or {\n'
        '                node: registered',
        f'{_TESTS}/test_unknown_nodes.py',
    ),
    Mutant(
        'direct: a node that has seen no primary suspects that it is lost',
        _TAKEOVER / 'suspicion_reporter.py',
        'return self._missing_primary()',
        'return None',
        _LOST_PROCESSES,
    ),
    Mutant(
        'direct: a suspicion without a name agrees with one that has it',
        _TAKEOVER / 'records.py',
        'unnamed = self.endpoint is None or other.endpoint is None',
        'unnamed = self is other',
        _LOST_PROCESSES,
    ),
    Mutant(
        'direct: a fresh read needs a status of the primary itself',
        _DIRECT / 'leader_lease.py',
        'return not renewed and need.leading_at > self._leading_at',
        'return not renewed and need.leading_at > math.inf',
        _DEMOTED,
    ),
    Mutant(
        'direct: a handover ends the leases of nodes that have not stopped',
        _TAKEOVER / 'fencing.py',
        'and await self._let_leader_leases_expire(\n'
        '                    confirmation_validity=0\n'
        '                )',
        'and self._deadline',
        _DEMOTED,
    ),
    Mutant(
        'direct: an order that nobody saw work made no primary',
        _TAKEOVER / 'commit_evidence.py',
        'if ordered or has_unseen_order(takeover):',
        'if ordered:',
        f'{_TESTS}/test_decision.py',
    ),
    Mutant(
        'direct: an order of the same takeover made no primary',
        _TAKEOVER / 'commit_evidence.py',
        'if ordered or has_unseen_order(takeover):',
        'if has_unseen_order(takeover):',
        f'{_TESTS}/test_decision.py',
    ),
    Mutant(
        'direct: a primary of an earlier term has every commit',
        _TAKEOVER / 'commit_evidence.py',
        'if last is None or last.term != takeover.last_led_term:',
        'if last is None:',
        f'{_TESTS}/test_decision.py',
    ),
    Mutant(
        'direct: the log of a primary that was demoted may be an old report',
        _TAKEOVER / 'commit_evidence.py',
        'if report.recent and report.endpoint == last.endpoint',
        'if report.endpoint == last.endpoint',
        f'{_TESTS}/test_decision.py',
    ),
    Mutant(
        'direct: a candidate is compared with replicas that are busy',
        _TAKEOVER / 'commit_evidence.py',
        'return len(missing) < evidence.synchronous',
        'return bool(answered)',
        f'{_TESTS}/test_synchronous_replicas.py',
    ),
    Mutant(
        'direct: a renewal proves nothing while a node stops its work',
        _DIRECT / 'group.py',
        'if self._leader is not None and not self._paused:',
        'if self._leader is not None:',
        _DEMOTED,
    ),
    Mutant(
        'direct: a replica of an earlier term is asked again',
        _TAKEOVER / 'primary_supervisor.py',
        'if self._lacks_candidate():',
        'if self._lacks_candidate() and not self._group:',
        f'{_TESTS}/test_outdated_statuses.py',
    ),
    Mutant(
        'direct: a session reads its writes without a sample of the primary',
        _DIRECT / 'attempt.py',
        'if served.session_mark is not None:',
        'if served.writes:',
        _DEMOTED,
    ),
    Mutant(
        'direct: an old list of endpoints needs all replicas',
        _DIRECT / 'group_endpoints.py',
        'return max(1, others if outdated else len(self._by_id) // 2)',
        'return max(1, len(self._by_id) // 2)',
        'packages/cowslipfork-direct/tests/test_group_endpoints.py',
    ),
    Mutant(
        'direct: one replica at least confirms a primary',
        _DIRECT / 'group_endpoints.py',
        'return max(1, others if outdated else len(self._by_id) // 2)',
        'return others if outdated else len(self._by_id) // 2',
        'packages/cowslipfork-direct/tests/test_group_endpoints.py',
    ),
    Mutant(
        'takeover: an older change replaces no newer record',
        _TAKEOVER / 'takeover_cache.py',
        'for event in filter(self._changes.admit, events):',
        'for event in events:',
        _LATE_WRITES,
    ),
    Mutant(
        'takeover: an older removal leaves departures known',
        _TAKEOVER / 'departure_cache.py',
        'for event in filter(self._changes.admit, events):',
        'for event in events:',
        _LATE_WRITES,
    ),
    Mutant(
        'takeover: a call that is given up never arrives',
        _DIRECT / 'connection_reset.py',
        '    reset_at_end(writer)\n',
        '',
        'packages/cowslipfork-direct/tests/test_http_client.py',
    ),
    Mutant(
        'takeover: an order of a process that ends never arrives',
        _CONNECTION,
        '        reset_at_end(self._writer)\n',
        '',
        _LOST_ORDERS,
    ),
    Mutant(
        'takeover: an order of a stopped process never arrives',
        _CONNECTION,
        '        reset_unless_received(self._writer, deadline - now)\n',
        '',
        f'{_DIRECT_TESTS}/test_connection_reset.py',
    ),
    Mutant(
        'takeover: an order is not sent late',
        _CONNECTION,
        'if not may_send(deadline, now):',
        'if not deadline:',
        _LOST_ORDERS,
    ),
    Mutant(
        'takeover: an order is given up in boot time',
        _DIRECT / 'http_client.py',
        'return boot_timeout_at(request.deadline)',
        'return nullcontext()',
        _LOST_ORDERS,
    ),
    Mutant(
        'takeover: the deadline of an order ends with its time',
        _WINDOW,
        'return now < deadline',
        'return deadline > 0',
        _WINDOW_SEARCH,
    ),
    Mutant(
        'takeover: a claim expires',
        _WINDOW,
        'return now - seen_at > CLAIM_EXPIRY',
        'return now >= seen_at',
        _WINDOW_SEARCH,
    ),
    Mutant(
        'takeover: a claim outlasts its greatest age',
        _WINDOW,
        'CLAIM_EXPIRY: Final = MAX_CLAIM_AGE + ',
        'CLAIM_EXPIRY: Final = ',
        _WINDOW_SEARCH,
    ),
    Mutant(
        'takeover: a claim outlasts its orders',
        _WINDOW,
        'MAX_CLAIM_AGE + ORDER_TIMEOUT + RESET_DELAY',
        'MAX_CLAIM_AGE + RESET_DELAY',
        _WINDOW_SEARCH,
    ),
    Mutant(
        'takeover: a claim outlasts a late reset',
        _WINDOW,
        'ORDER_TIMEOUT + RESET_DELAY',
        'ORDER_TIMEOUT',
        _WINDOW_SEARCH,
    ),
    Mutant(
        'takeover: a relay passes on that a request was given up',
        _DIRECT / 'relay.py',
        '        reset_at_end(target[1])\n',
        '',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'takeover: a relay delivers what was sent before a close',
        _DIRECT / 'relay.py',
        '    deliver_at_end(writer)\n',
        '',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'takeover: replicas receive again before the end is recorded',
        _TAKEOVER / 'promoter.py',
        'with suppress(TimeoutError):',
        'await self._held_claim.advance(TakeoverPhase.ABANDONED)\n'
        '        with suppress(TimeoutError):',
        _HELD,
    ),
    Mutant(
        'takeover: replicas that are held without a takeover are released',
        _TAKEOVER / 'primary_supervisor.py',
        '                await self._release_held_replicas()\n',
        '',
        _HELD,
    ),
    Mutant(
        'takeover: a takeover under way holds its replicas',
        _TAKEOVER / 'held_replicas.py',
        'return last.under_way or last.ceiling > leader.term',
        'return last.ceiling > leader.term',
        _HELD,
    ),
    Mutant(
        'takeover: endpoints are ordered with a recent claim only',
        _TAKEOVER / 'endpoint_orders.py',
        'deadline = await self._held_claim.refresh()',
        'deadline = boot_time() + 1',
        _ENDPOINT_ORDERS,
    ),
    Mutant(
        'takeover: endpoints are not ordered late',
        _TAKEOVER / 'endpoint_orders.py',
        'if not may_send(deadline, boot_time()):',
        'if not deadline:',
        _ENDPOINT_ORDERS,
    ),
    Mutant(
        'takeover: orders to endpoints are given up in boot time',
        _TAKEOVER / 'endpoint_orders.py',
        'async with boot_timeout_at(deadline):',
        'async with boot_timeout_at(deadline + 60):',
        _ENDPOINT_ORDERS,
    ),
    Mutant(
        'takeover: a command that is given up never arrives',
        PurePosixPath('platform/src/cowslipfork_platform/endpoints.py'),
        '            reset(self._writer)\n',
        '            self._writer.close()\n',
        '-c platform/pyproject.toml platform/tests/test_endpoints.py',
    ),
    Mutant(
        'takeover: a suspicion in the store is that of its node',
        _TAKEOVER / 'suspicion_reporter.py',
        'if suspicion == self._recorded:',
        'if suspicion == self._logged:',
        f'{_TESTS}/test_suspicion_reporter.py',
    ),
    Mutant(
        'takeover: a claim is not written again for long without progress',
        _TAKEOVER / 'held_claim.py',
        'if self.deadline is None and without_progress <= MAX_REFRESH_TIME:',
        'if self.deadline is None and without_progress:',
        _ENDPOINT_ORDERS,
    ),
    Mutant(
        'takeover: a claimer that reaches no endpoint is replaced',
        _TAKEOVER / 'endpoint_orders.py',
        '        if not endpoints:\n            return []\n',
        '',
        _ENDPOINT_ORDERS,
    ),
    Mutant(
        'takeover: an older record of an era replaces no newer one',
        _DIRECT / 'era_settlement.py',
        'for event in filter(self._changes.admit, events[-1:]):',
        'for event in events[-1:]:',
        'packages/cowslipfork-direct/tests/test_era_settlement.py',
    ),
)
