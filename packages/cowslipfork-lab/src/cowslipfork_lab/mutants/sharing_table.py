"""Mutants of slots and connections that workspaces share."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_LIMITS: Final = PurePosixPath('packages/cowslipfork/src/cowslipfork/limits')
_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_LIMITS_TESTS: Final = 'packages/cowslipfork/tests/limits'
_DIRECT_TESTS: Final = 'packages/cowslipfork-direct/tests'
_POOL_TESTS: Final = f'{_DIRECT_TESTS}/test_connection_pool.py'

SHARING_MUTANTS: Final = (
    Mutant(
        'sharing: workspaces of a class take turns',
        _LIMITS / 'fair_order.py',
        'queue.virtual_time = self.workspace_time + 1',
        'queue.virtual_time = self.workspace_time',
        f'{_LIMITS_TESTS}/test_fair_order.py',
    ),
    Mutant(
        'sharing: an idle workspace saves up no turns',
        _LIMITS / 'fair_order.py',
        'self.workspace_time = max(queue.virtual_time, self.workspace_time)',
        'self.workspace_time = queue.virtual_time',
        f'{_LIMITS_TESTS}/test_fair_order.py',
    ),
    Mutant(
        'sharing: a flooding workspace is measured by its own interval',
        _LIMITS / 'intervals.py',
        'Backlog(ahead.in_workspace, self._of_workspace(request)),',
        '',
        f'{_LIMITS_TESTS}/test_workspaces.py',
    ),
    Mutant(
        'sharing: other workspaces count with even shares only',
        _LIMITS / 'fair_order.py',
        'min(queue.count(request.endpoints), in_workspace + 1)',
        'queue.count(request.endpoints)',
        f'{_LIMITS_TESTS}/test_fair_order.py',
    ),
    Mutant(
        'sharing: a workspace that fills the queue keeps no other out',
        _LIMITS / 'fair_order.py',
        'return len(own.requests) * (others + 1) >= bound',
        'return True',
        f'{_LIMITS_TESTS}/test_fair_order.py',
    ),
    Mutant(
        'sharing: a request that is overdue gets no slot',
        _LIMITS / 'fair_order.py',
        'if request.deadline >= now)',
        'if now >= 0)',
        f'{_LIMITS_TESTS}/test_workspaces.py',
    ),
    Mutant(
        'sharing: a limit ends when others have left',
        _LIMITS / 'queue.py',
        '        if removed and waiter.workspace is not None:',
        '        if removed and waiter.workspace is Ellipsis:',
        f'{_LIMITS_TESTS}/test_workspaces.py',
    ),
    Mutant(
        'sharing: the least urgent priority counts',
        _DIRECT / 'work.py',
        'urgency = max(route.priority, workspace_priority)',
        'urgency = route.priority',
        f'{_DIRECT_TESTS}/test_work.py',
    ),
    Mutant(
        'sharing: a connection serves one workspace',
        _DIRECT / 'pool_policy.py',
        'connection.workspace == wanted.workspace',
        'connection.workspace != Ellipsis',
        _POOL_TESTS,
    ),
    Mutant(
        'sharing: the least recently used connection is evicted',
        _DIRECT / 'pool_policy.py',
        "min(idle, key=attrgetter('used_at'))",
        "max(idle, key=attrgetter('used_at'))",
        _POOL_TESTS,
    ),
    Mutant(
        'sharing: connections being opened count',
        _DIRECT / 'connection_pool.py',
        'held = self.open_links + self._opening',
        'held = self.open_links',
        _POOL_TESTS,
    ),
    Mutant(
        'sharing: half of a share is left to workspaces that wait',
        _DIRECT / 'pool_policy.py',
        'return holding.connections < max(',
        'return holding.share > max(',
        _POOL_TESTS,
    ),
    Mutant(
        'sharing: connections in use of withdrawn workspaces end later',
        _DIRECT / 'connection_pool.py',
        'for pooled in (*self._idle, *self._in_use):',
        'for pooled in self._idle:',
        _POOL_TESTS,
    ),
    Mutant(
        'sharing: statements at once are limited apart from connections',
        _DIRECT / 'group.py',
        'slots = min(links, quota.statements_at_once or links)',
        'slots = links',
        _POOL_TESTS,
    ),
)
