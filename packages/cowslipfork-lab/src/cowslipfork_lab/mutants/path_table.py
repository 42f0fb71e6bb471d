"""Mutants of the ways on which statements, names and entries of others pass."""

from __future__ import annotations

from pathlib import PurePosixPath
from typing import Final

from cowslipfork_lab.mutants.mutant import Mutant

_PLATFORM: Final = PurePosixPath('platform/src/cowslipfork_platform')
_PLATFORM_TESTS: Final = '-c platform/pyproject.toml platform/tests'
_DIRECT: Final = PurePosixPath(
    'packages/cowslipfork-direct/src/cowslipfork_direct'
)
_DIRECT_TESTS: Final = 'packages/cowslipfork-direct/tests'
_ENDPOINTS: Final = PurePosixPath(
    'packages/cowslipfork-proxy/src/cowslipfork_proxy/endpoints'
)
_ENDPOINTS_TESTS: Final = 'packages/cowslipfork-proxy/tests/endpoints'

PATH_MUTANTS: Final = (
    Mutant(
        'direct: a registration has an address that can exist',
        _DIRECT / 'relay.py',
        'msgspec.Meta(ge=1, le=MAX_PORT)',
        'msgspec.Meta(ge=-1)',
        f'{_DIRECT_TESTS}/test_decoding.py',
    ),
    Mutant(
        'direct: an address that cannot exist is an unreachable one',
        _DIRECT / 'relay.py',
        'except (ValueError, OverflowError) as error:',
        'except ValueError as error:',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'direct: a claim replaces an unreadable record of the duty',
        _DIRECT / 'takeover' / 'takeover_cache.py',
        'self._duty_revision = 0 if event.content is None else event.revision',
        'self._duty_revision = 0',
        f'{_DIRECT_TESTS}/takeover/test_claims.py',
    ),
    Mutant(
        'direct: a claim replaces an unreadable record of a takeover',
        _DIRECT / 'takeover' / 'takeover_cache.py',
        'self._unreadable[group] = event.revision',
        'self._unreadable[group] = 0',
        f'{_DIRECT_TESTS}/takeover/test_claims.py',
    ),
    Mutant(
        'direct: an unreadable record may be that of an order',
        _DIRECT / 'takeover' / 'claims.py',
        'ceiling = Term(ceiling + 1)',
        'ceiling = Term(ceiling)',
        f'{_DIRECT_TESTS}/takeover/test_claims.py',
    ),
    Mutant(
        'direct: a lost record is written over an unreadable one',
        _DIRECT / 'takeover' / 'claims.py',
        '(Compare(key, revision),),',
        '(Compare(key, cached.revision),),',
        f'{_DIRECT_TESTS}/takeover/test_restored_takeovers.py',
    ),
    Mutant(
        'direct: a relay delivers what was sent before an end',
        _DIRECT / 'relay.py',
        '    await _flush(writer)',
        '    writer.transport.abort()',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'direct: a side of a relay that reads nothing is left',
        _DIRECT / 'relay.py',
        'async with asyncio.timeout(FLUSH_TIMEOUT):',
        'async with asyncio.timeout(None):',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'direct: an answer of a relay that is too long is a failure',
        _DIRECT / 'relay.py',
        '    except ValueError as error:\n        raise RelayFailed',
        '    except KeyError as error:\n        raise RelayFailed',
        f'{_DIRECT_TESTS}/test_relay.py',
    ),
    Mutant(
        'platform: a name with a blank is no field',
        _DIRECT / 'decoding.py',
        r'[^\x00-\x20\x7f]+',
        r'[^\x00-\x1f\x7f]+',
        f'{_PLATFORM_TESTS}/test_hostile_input.py',
    ),
    Mutant(
        'platform: a name that is no field costs itself alone',
        _PLATFORM / 'configuration.py',
        "if _can_be_sent('tenant', one.name)",
        'if one',
        f'{_PLATFORM_TESTS}/test_workspace_decoding.py',
    ),
    Mutant(
        'platform: an entry has an id that is a field',
        _PLATFORM / 'listing.py',
        'if not (is_word(endpoint) and is_word(entry.service)):',
        'if not is_word(entry.service):',
        f'{_PLATFORM_TESTS}/test_hostile_input.py',
    ),
    Mutant(
        'proxy: a surplus answer ends an idle connection',
        _ENDPOINTS / 'pool.py',
        'if connection.usable:\n                return connection',
        'if connection:\n                return connection',
        f'{_ENDPOINTS_TESTS}/test_surplus_answers.py',
    ),
    Mutant(
        'proxy: a surplus answer ends a connection before a statement',
        _ENDPOINTS / 'connection.py',
        'if self._has_unread:',
        'if not self._usable:',
        f'{_ENDPOINTS_TESTS}/test_surplus_answers.py',
    ),
    Mutant(
        'proxy: further results are no surplus answer',
        _ENDPOINTS / 'connection.py',
        'return last is None or not last.has_next',
        'return True',
        f'{_ENDPOINTS_TESTS}/test_surplus_answers.py',
    ),
    Mutant(
        'direct: a record counts for its group alone',
        _DIRECT / 'takeover' / 'takeover_cache.py',
        "path.rpartition('/')",
        "path.partition('/')",
        f'{_DIRECT_TESTS}/takeover/test_claims.py',
    ),
)
