"""Mutants of statements that nodes forward to the carriers of their group."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests'
_CARRIERS: Final = f'{_TESTS}/test_carriers.py'
_FORWARDING: Final = f'{_TESTS}/forwarding'

FORWARDING_MUTANTS: Final = (
    Mutant(
        'forwarding: carriers are nodes of large capacity',
        _DIRECT / 'carriers.py',
        '    least = LARGE_FRACTION * greatest',
        '    least = 0 * greatest',
        _CARRIERS,
    ),
    Mutant(
        'forwarding: carriers are spread over failure domains',
        _DIRECT / 'carriers.py',
        'domains.setdefault(nodes[node].failure_domain, [])',
        "domains.setdefault(FailureDomain(''), [])",
        _CARRIERS,
    ),
    Mutant(
        'forwarding: a write that may have arrived is not sent again',
        _DIRECT / 'forwarding/decisions.py',
        '    if failure is Failure.LOST:\n        return False\n',
        '',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a lost read goes to the next carrier',
        _DIRECT / 'forwarding/decisions.py',
        '    if work is Work.READ:\n        return True\n',
        '',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a lost COMMIT is unknown',
        _DIRECT / 'forwarding/decisions.py',
        'if received and (work is Work.WRITE or commits):',
        'if received and work is Work.WRITE:',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a later statement begins no transaction at a carrier',
        _DIRECT / 'forwarding/carrier_service.py',
        '            if message.begins\n',
        '            if message.transaction\n',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a carrier rolls back when the link ends',
        _DIRECT / 'forwarding/carrier_service.py',
        'lambda: self._start(self._close(session))',
        'lambda: None',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a leaving carrier takes no new work',
        _DIRECT / 'forwarding/carrier_service.py',
        'if self._leaving:',
        'if self._leaving is None:',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a node without a configuration carries nothing',
        _DIRECT / 'forwarding/carrier_service.py',
        '        if not self._configured():',
        '        if self._configured is None:',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a carrier bounds the open transactions',
        _DIRECT / 'forwarding/carrier_service.py',
        'if self.open_transactions >= self._max_transactions:',
        'if self.open_transactions < 0:',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a refusal for lack of room is passed on',
        _DIRECT / 'forwarding/decisions.py',
        ' and outcome.reason in _DECLINED',
        '',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a transaction stays at its carrier',
        _DIRECT / 'forwarding/remote_transaction.py',
        'partial(self._run_at, search, request), only=self._place',
        'partial(self._run_at, search, request), only=None',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a carrier is asked to roll back',
        _DIRECT / 'forwarding/remote_transaction.py',
        '            self._link.notify(EndTransaction(self._id))\n',
        '            self._begins = False\n',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a carrier runs one statement of a transaction at a time',
        _DIRECT / 'forwarding/open_transaction.py',
        'async with self._lock:\n            if self._ended',
        'async with asyncio.Lock():\n            if self._ended',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a read is not forwarded without time',
        _DIRECT / 'forwarding/search.py',
        'node = self._next_node() if self._has_time else None',
        'node = self._next_node()',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: suspected nodes are not tried',
        _DIRECT / 'forwarding/decisions.py',
        'if node == entry or available(node))',
        'if node)',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: the carriers follow the list of nodes',
        _DIRECT / 'forwarding/carrier_table.py',
        '        self._orders.clear()\n',
        '',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a leaving carrier declines what got no connection',
        _DIRECT / 'forwarding/carrier_service.py',
        'if self._leaving and _got_no_connection(executed):',
        'if self._leaving and executed is None:',
        _FORWARDING,
    ),
    Mutant(
        'forwarding: a later statement is not declined at its carrier',
        _DIRECT / 'forwarding/carrier_service.py',
        'self._declined_if_leaving(executed) if message.begins else executed',
        'self._declined_if_leaving(executed)',
        _FORWARDING,
    ),
)
