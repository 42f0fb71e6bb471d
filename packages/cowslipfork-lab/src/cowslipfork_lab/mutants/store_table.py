"""Mutants of a node's client of the store, its watches and its paths."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_TESTS: Final = 'packages/cowslipfork-direct/tests'
_PLATFORM_TESTS: Final = '-c platform/pyproject.toml platform/tests'
_TAKEOVER: Final = f'{_TESTS}/takeover'
_RESTORE: Final = (
    f'{_TESTS}/test_store_era.py {_TESTS}/test_restored_records.py '
    f'{_TAKEOVER}/test_restored_takeovers.py'
)

STORE_MUTANTS: Final = (
    Mutant(
        'direct: a missing key is not deleted at once',
        _DIRECT / 'store_watcher.py',
        'boot_time() + ABSENCE_GRACE',
        'boot_time()',
        _RESTORE,
    ),
    Mutant(
        'direct: changes that are longer than the store are not read',
        _DIRECT / 'store_watcher.py',
        "self._store.watch('', self._revision, max_size)",
        "self._store.watch('', self._revision)",
        f'{_TESTS}/test_store_watcher.py',
    ),
    Mutant(
        'direct: an answer that keeps arriving is not given up',
        _DIRECT / 'http_client.py',
        'lambda: stall.reschedule(clock() + limits.progress),',
        'lambda: None,',
        f'{_PLATFORM_TESTS}/test_store.py',
    ),
    Mutant(
        'direct: a watch is not ended before another one has an answer',
        _DIRECT / 'watch_race.py',
        '            self._running.pop().cancel()\n        task =',
        '            self._running.pop(0).cancel()\n        task =',
        f'{_TESTS}/test_watch_race.py {_TESTS}/test_store_watcher.py',
    ),
    Mutant(
        'direct: a change of path starts another watch',
        _DIRECT / 'store_path.py',
        '            self._on_switch()\n',
        '            pass\n',
        f'{_TESTS}/test_store_watcher.py',
    ),
    Mutant(
        'direct: the direct path is probed as soon as a relay is used',
        _DIRECT / 'rerouting.py',
        'self._path.record_failure(path, begun_at):\n'
        '            self._start_probe()\n',
        'self._path.record_failure(path, begun_at):\n            pass\n',
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: a watch that was closed stays on its path',
        _DIRECT / 'store_path.py',
        'return second and self.record_failure(path, begun_at)',
        'return path is None and self.record_failure(path, begun_at)',
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: no idle connection is used after a silent one',
        _DIRECT / 'http_client.py',
        '            self.close()\n            closed',
        '            closed',
        f'{_PLATFORM_TESTS}/test_store.py',
    ),
    Mutant(
        'direct: the next relay is tried at once',
        _DIRECT / 'store_path.py',
        'min(MAX_RELAYS_IN_A_ROW, len(relays))',
        'min(1, len(relays))',
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: a node knows that it does not reach the store',
        _DIRECT / 'store_path.py',
        'self._direct_answered = False\n        if failed != self',
        'pass\n        if failed != self',
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: the store is listed after a watch was closed',
        _DIRECT / 'store_watcher.py',
        'if isinstance(error, WatchClosed):',
        'if isinstance(error, EraEnded):',
        f'{_TESTS}/test_store_watcher.py',
    ),
    Mutant(
        'direct: a path that has answered since is not left',
        _DIRECT / 'store_path.py',
        "if self._last_answers.get(path, float('-inf')) > begun_at:",
        "if begun_at < float('-inf'):",
        f'{_TESTS}/test_rerouting.py',
    ),
    Mutant(
        'direct: changes are delivered again after an error in their reader',
        _DIRECT / 'store_watcher.py',
        'self._keys.forget(change)',
        'self._keys.add(change)',
        f'{_TESTS}/test_failing_reader.py',
    ),
    Mutant(
        'direct: an error in one reader loses no change of another',
        _DIRECT / 'store_watcher.py',
        '            return error\n',
        '            raise error from None\n',
        f'{_TESTS}/test_failing_reader.py',
    ),
    Mutant(
        'direct: a watch that is ended leaves no unread error',
        _DIRECT / 'watch_race.py',
        '            task.exception()\n',
        '            pass\n',
        f'{_TESTS}/test_watch_race.py',
    ),
)
