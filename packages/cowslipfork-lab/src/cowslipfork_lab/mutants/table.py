"""The mutants: which text switches a mechanism off, and who must notice."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.answer_table import ANSWER_MUTANTS
from cowslipfork_lab.mutants.direct_table import DIRECT_MUTANTS
from cowslipfork_lab.mutants.forwarding_table import FORWARDING_MUTANTS
from cowslipfork_lab.mutants.http_table import HTTP_MUTANTS
from cowslipfork_lab.mutants.mutant import Mutant
from cowslipfork_lab.mutants.path_table import PATH_MUTANTS
from cowslipfork_lab.mutants.sharing_table import SHARING_MUTANTS
from cowslipfork_lab.mutants.shutdown_table import SHUTDOWN_MUTANTS
from cowslipfork_lab.mutants.store_table import STORE_MUTANTS
from cowslipfork_lab.mutants.takeover_table import TAKEOVER_MUTANTS

_DOMAIN: Final = PurePosixPath('packages/cowslipfork/src/cowslipfork')
_PROXY: Final = PurePosixPath(
    'packages/cowslipfork-proxy/src/cowslipfork_proxy'
)
_RATE_LIMITS: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct/rate_limits'
)
_DOMAIN_TESTS: Final = 'packages/cowslipfork/tests'
_PROXY_TESTS: Final = 'packages/cowslipfork-proxy/tests'
_RATE_LIMITS_TESTS: Final = 'packages/cowslipfork-direct/tests/rate_limits'

MUTANTS: Final = (
    Mutant(
        'a job and its request_id commit together',
        _PROXY / 'carrier/_jobs.py',
        "    await connection.command('BEGIN', remaining(request))",
        "    await connection.command('COMMIT', remaining(request))",
        f'{_PROXY_TESTS}/carrier/test_jobs.py',
    ),
    Mutant(
        'a request_id names one statement only',
        _PROXY / 'carrier/_jobs.py',
        'if recorded != digest:',
        'if not recorded:',
        f'{_PROXY_TESTS}/carrier/test_jobs.py',
    ),
    Mutant(
        'a lock time-out of a job is unknown',
        _PROXY / 'carrier/_jobs.py',
        'if refused.errno in {_LOCK_WAIT, _DEADLOCK}:',
        'if refused.errno < 0:',
        f'{_PROXY_TESTS}/carrier/test_jobs.py',
    ),
    Mutant(
        'a write waits for its majority',
        _PROXY / 'carrier/_writes.py',
        '    if mark is None:',
        '    if mark is Ellipsis:',
        f'{_PROXY_TESTS}/carrier/test_jobs.py',
    ),
    Mutant(
        'a check needs a majority in its term',
        _DOMAIN / 'groups/_evidence.py',
        '    if len(samples) < needed:',
        '    if len(samples) < 0:',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'the mark of a majority counts, not the highest',
        _DOMAIN / 'groups/_evidence.py',
        'marks[needed - 1])',
        'marks[0])',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'an entry is safe once its term has one of its own',
        _DOMAIN / 'groups/_evidence.py',
        '    return max(mark, Mark(term, Position(0)))',
        '    return mark',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'a promotion needs a fenced majority',
        _DOMAIN / 'groups/promotion.py',
        '    if len(fenced) < majority:',
        '    if len(fenced) < 1:',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'the highest log is promoted',
        _DOMAIN / 'groups/promotion.py',
        '    return max(\n        eligible if',
        '    return min(\n        eligible if',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'terms only grow',
        _DOMAIN / 'groups/record.py',
        'return self.term > other.term',
        'return True',
        f'{_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'a session with unknown marks reads fresh',
        _DOMAIN / 'reads/requirement.py',
        'if isinstance(rule, SessionRule) and session_mark is not None:',
        'if isinstance(rule, SessionRule):',
        f'{_DOMAIN_TESTS}/reads {_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'an endpoint behind the floor serves nothing',
        _DOMAIN / 'reads/eligible.py',
        'if status.leaving or status.mark < requirement.minimum_mark:',
        'if status.leaving:',
        f'{_DOMAIN_TESTS}/reads {_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'the age of data is proved',
        _DOMAIN / 'reads/eligible.py',
        'return age is not None and age <= requirement.max_age',
        'return True',
        f'{_DOMAIN_TESTS}/reads {_DOMAIN_TESTS}/groups',
    ),
    Mutant(
        'only a job is sent again after unknown',
        _PROXY / 'routing.py',
        'isinstance(outcome, Unknown) and request.request_id is not None',
        'isinstance(outcome, Unknown)',
        f'{_PROXY_TESTS}/test_routing.py',
    ),
    Mutant(
        'a statement that was sent is unknown when its carrier dies',
        _PROXY / 'forwarding/link.py',
        'if not pending.sent or request.operation in _HARMLESS:',
        'if request.operation:',
        f'{_PROXY_TESTS}/forwarding',
    ),
    Mutant(
        'rows lost half-way are no short answer',
        _PROXY / 'forwarding/servicer.py',
        'number=number, lost=True, last=True',
        'number=number, last=True',
        f'{_PROXY_TESTS}/forwarding',
    ),
    Mutant(
        'transactions of a dead entry are rolled back',
        _PROXY / 'forwarding/servicer.py',
        'for begun in self._transactions.values():',
        'for begun in ():',
        f'{_PROXY_TESTS}/forwarding',
    ),
    Mutant(
        'a hand-over waits for rows still being read',
        _PROXY / 'carrier/carriers.py',
        'self.running > 0 or self.carrier.checked_out > transactions',
        'self.running > transactions',
        f'{_PROXY_TESTS}/carrier/test_carriers.py',
    ),
    Mutant(
        'slots of an endpoint are never exceeded',
        _DOMAIN / 'limits/slot_counts.py',
        '        self._free[endpoint] -= 1\n        if',
        '        self._free[endpoint] -= 0\n        if',
        f'{_DOMAIN_TESTS}/limits',
    ),
    Mutant(
        'what cannot be served in time is rejected at once',
        _DOMAIN / 'limits/admission.py',
        'MAX_EXPECTED_FRACTION: Final = 0.5',
        'MAX_EXPECTED_FRACTION: Final = 1e9',
        f'{_DOMAIN_TESTS}/limits/test_admission.py',
    ),
    Mutant(
        'the service interval of a class is learnt',
        _DOMAIN / 'limits/admission.py',
        'SMOOTHING: Final = 0.1',
        'SMOOTHING: Final = 0.0',
        f'{_DOMAIN_TESTS}/limits/test_admission.py',
    ),
    Mutant(
        'classes share slots by weight',
        _DOMAIN / 'limits/fair_order.py',
        'start + 1 / request_class.weight',
        'start + 1',
        f'{_DOMAIN_TESTS}/limits',
    ),
    Mutant(
        'retries are a share of first tries',
        _DOMAIN / 'limits/budget.py',
        '            self._remaining -= 1',
        '            self._remaining -= 0',
        f'{_DOMAIN_TESTS}/limits',
    ),
    Mutant(
        'a team keeps to its limit',
        _PROXY / 'admission.py',
        '            if within:',
        '            if team:',
        f'{_PROXY_TESTS}/test_admission.py',
    ),
    Mutant(
        'accepting compares with the expected revision',
        _DOMAIN / 'changes/accept.py',
        '(Compare(CURRENT_KEY, store_revision),)',
        '()',
        f'{_DOMAIN_TESTS}/configuration',
    ),
    Mutant(
        'a configuration in force never reverts',
        _DOMAIN / 'record_sync/local_records.py',
        'if held and record.version <= held.version:',
        'if held and record.version == held.version:',
        f'{_DOMAIN_TESTS}/record_sync {_DOMAIN_TESTS}/membership',
    ),
    Mutant(
        'an old report of a VM is refused',
        _DOMAIN / 'membership/member.py',
        '    if report.beat <= known.beat:',
        '    if report.beat < 0:',
        f'{_DOMAIN_TESTS}/membership',
    ),
    Mutant(
        'a new majority is not relied on at once',
        _DOMAIN / 'membership/members.py',
        '            or now - self._majority_since > NEW_MAJORITY_WAIT',
        '            or now >= self._majority_since',
        f'{_DOMAIN_TESTS}/membership/test_members_machine.py',
    ),
    Mutant(
        'rate limits: a bucket starts empty',
        _DOMAIN / 'limits/rate_limit.py',
        'self._tokens = initial',
        'self._tokens = self._capacity',
        f'{_DOMAIN_TESTS}/limits/test_rate_limit.py',
    ),
    Mutant(
        'rate limits: a change grants no more than the greater window',
        _DOMAIN / 'limits/rate_limit.py',
        'owed = min(less_burst, more_rate * WINDOW)',
        'owed = 0',
        f'{_DOMAIN_TESTS}/limits/test_rate_limit.py',
    ),
    Mutant(
        'rate limits: tokens from before a full bucket are not returned',
        _DOMAIN / 'limits/rate_limit.py',
        'if taken_at >= self._full_at:',
        'if operations:',
        f'{_DOMAIN_TESTS}/limits/test_rate_limit.py',
    ),
    Mutant(
        'rate limits: rejected callers come back one token apart',
        _DOMAIN / 'limits/rate_limit.py',
        'begin + callers * interval',
        'begin',
        f'{_DOMAIN_TESTS}/limits/test_rate_limit.py',
    ),
    Mutant(
        'rate limits: a limiter needs a majority of votes',
        _RATE_LIMITS / 'votes.py',
        'needed = len(self._live()) // 2 + 1',
        'needed = 1',
        f'{_RATE_LIMITS_TESTS}/test_votes.py',
    ),
    Mutant(
        'rate limits: a vote counts from its echo',
        _RATE_LIMITS / 'votes.py',
        'until = min(report.echo, now) + VOTE_VALIDITY',
        'until = now + VOTE_VALIDITY',
        f'{_RATE_LIMITS_TESTS}/test_votes.py',
    ),
    Mutant(
        'rate limits: a node names its former candidates',
        _RATE_LIMITS / 'votes.py',
        'return (self._current, *self._former)',
        'return (self._current,)',
        f'{_RATE_LIMITS_TESTS}/test_votes.py',
    ),
    Mutant(
        'rate limits: a started process does not vote at once',
        _RATE_LIMITS / 'votes.py',
        'self._silent_until = now + VOTING_SILENCE',
        'self._silent_until = now',
        f'{_RATE_LIMITS_TESTS}/test_votes.py',
    ),
    Mutant(
        'rate limits: a new tenure starts with a new bucket',
        _RATE_LIMITS / 'limiter.py',
        'if known is not None and known.since == tenure.since:',
        'if known is not None:',
        f'{_RATE_LIMITS_TESTS}/test_limiter.py',
    ),
    Mutant(
        'rate limits: the shares of nodes that are not heard are subtracted',
        _RATE_LIMITS / 'limiter.py',
        'FALLBACK_FRACTION * self._fallback_nodes / nodes',
        '0 * nodes',
        f'{_RATE_LIMITS_TESTS}/test_limiter.py',
    ),
    Mutant(
        'rate limits: the newest limit counts',
        _RATE_LIMITS / 'limits.py',
        'return told if told.revision > known.revision else known',
        'return told',
        f'{_RATE_LIMITS_TESTS}/test_limiter.py',
    ),
    Mutant(
        'rate limits: operations of one iteration share a message',
        _RATE_LIMITS / 'client.py',
        'waiter.get_loop().call_soon(self._flush, workspace, demand)',
        'self._flush(workspace, demand)',
        f'{_RATE_LIMITS_TESTS}/test_client.py',
    ),
    Mutant(
        'rate limits: what is known to be refused is not asked',
        _RATE_LIMITS / 'client.py',
        'if unchanged and now < demand.no_token_until:',
        'if now < 0:',
        f'{_RATE_LIMITS_TESTS}/test_client.py',
    ),
    Mutant(
        'rate limits: falling back starts without saved tokens',
        _RATE_LIMITS / 'client.py',
        '            demand.fallback.stop()\n',
        '            pass\n',
        f'{_RATE_LIMITS_TESTS}/test_client.py',
    ),
    Mutant(
        'rate limits: a node without a limiter grants half of its share',
        _RATE_LIMITS / 'fallback.py',
        'fraction = FALLBACK_FRACTION / max(1, nodes)',
        'fraction = 1 / max(1, nodes)',
        f'{_RATE_LIMITS_TESTS}/test_client.py',
    ),
    Mutant(
        'rate limits: a failed candidate is used again after a reply only',
        _RATE_LIMITS / 'reporter.py',
        'if candidate not in self._failed',
        'if capacity >= 0',
        f'{_RATE_LIMITS_TESTS}/test_fleet.py',
    ),
    *ANSWER_MUTANTS,
    *DIRECT_MUTANTS,
    *FORWARDING_MUTANTS,
    *HTTP_MUTANTS,
    *PATH_MUTANTS,
    *STORE_MUTANTS,
    *TAKEOVER_MUTANTS,
    *SHARING_MUTANTS,
    *SHUTDOWN_MUTANTS,
)
