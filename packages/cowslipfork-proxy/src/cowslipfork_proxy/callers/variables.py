"""Session variables: which a caller may set, to what, and their values."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType
from typing import TypeAlias

from mysql_mimic.charset import CharacterSet
from mysql_mimic.variables import (
    SYSTEM_VARIABLES,
    GlobalVariables,
    SessionVariables,
)

from cowslipfork.requests import ATTRIBUTES, VARIABLE_PREFIX, Assignment
from cowslipfork_proxy.callers.failures import (
    CallerFailure,
    MysqlErrorCode,
    mysql_failure,
)

Setting: TypeAlias = str | int | bool | None

SERVER_VERSION = '8.0.29-cowslipfork'
SESSION_TOKEN = 'cowslipfork_session_token'

_PACKET_BYTES = 1_048_576
_SELECT_LIMIT = 18_446_744_073_709_551_615

_DEFAULTS: Mapping[str, Setting] = MappingProxyType(
    {
        **{name: schema[1] for name, schema in SYSTEM_VARIABLES.items()},
        'version': SERVER_VERSION,
        'version_comment': 'cowslipfork',
        'sql_mode': 'STRICT_TRANS_TABLES,NO_ENGINE_SUBSTITUTION',
        'sql_select_limit': _SELECT_LIMIT,
        'transaction_isolation': 'REPEATABLE-READ',
        'tx_isolation': 'REPEATABLE-READ',
        'tx_read_only': False,
        'max_allowed_packet': _PACKET_BYTES,
        'default_storage_engine': 'InnoDB',
        'default_tmp_storage_engine': 'InnoDB',
        'foreign_key_checks': True,
        'unique_checks': True,
        'sql_safe_updates': False,
        'net_read_timeout': 30,
        'lock_wait_timeout': 31_536_000,
        'innodb_lock_wait_timeout': 50,
        'have_ssl': 'YES',
        'warning_count': 0,
        'error_count': 0,
        'last_insert_id': 0,
        'identity': 0,
        SESSION_TOKEN: '',
        **{VARIABLE_PREFIX + name: None for name in ATTRIBUTES},
    },
)

#: The library keeps variables by a schema of (type, default, dynamic).
_SCHEMA = GlobalVariables(
    {name: (str, preset, True) for name, preset in _DEFAULTS.items()},
)

_ON = frozenset(('1', 'on', 'true'))
_OFF = frozenset(('0', 'off', 'false'))
_SWITCHES = frozenset(
    ('autocommit', 'transaction_read_only', 'tx_read_only'),
)
_CHARSETS = frozenset(('utf8mb4', 'utf8', 'utf8mb3', 'latin1', 'ascii'))
_UTF8_NAMES = frozenset(('utf8', 'utf8mb3'))
_CHARSET_VARIABLES = frozenset(
    (
        'character_set_client',
        'character_set_connection',
        'character_set_results',
    ),
)

#: Modes that change how a statement is read, so that proxy, server and
#: driver would disagree about its quotes.
_READING_MODES = frozenset(
    ('ansi', 'ansi_quotes', 'no_backslash_escapes', 'pipes_as_concat'),
)

#: Kept and shown, without effect on the database servers.
_KEPT = frozenset(
    (
        'collation_connection',
        'interactive_timeout',
        'net_read_timeout',
        'net_write_timeout',
        'wait_timeout',
    ),
)

#: Settings that servers have anyway; any other is refused, not ignored.
_ONLY: Mapping[str, frozenset[str]] = MappingProxyType(
    {
        'time_zone': frozenset(('utc', '+00:00', 'system')),
        'transaction_isolation': frozenset(
            ('read-uncommitted', 'read-committed', 'repeatable-read'),
        ),
        'tx_isolation': frozenset(
            ('read-uncommitted', 'read-committed', 'repeatable-read'),
        ),
        'sql_select_limit': frozenset((str(_SELECT_LIMIT),)),
        'max_execution_time': _OFF,
        'sql_auto_is_null': _OFF,
        'sql_safe_updates': _OFF,
        'foreign_key_checks': _ON,
        'unique_checks': _ON,
    },
)


class CallerVariables(SessionVariables):
    """Session variables of one caller."""

    def __init__(self) -> None:
        """Starts with the defaults."""
        super().__init__(_SCHEMA)
        self._values: dict[str, Setting] = {}

    def set(self, name: str, value: Setting, force: bool = False) -> None:
        """Sets a variable as the library does at login.

        Args:
            name: of the variable.
            value: the new one.
            force: unused; the check stands in ``assign``.
        """
        self._values[name] = value

    def assign(self, assignment: Assignment) -> None:
        """Sets a variable as the caller asks.

        Args:
            assignment: name and value.

        Raises:
            CallerFailure: unknown variable, or a value that can't be had.
        """
        name = assignment.name
        if assignment.setting is None and name in _DEFAULTS:
            self._values.pop(name, None)
            return
        self._values[name] = _checked(name, assignment.setting or '')

    def forget(self) -> None:
        """Returns to the defaults."""
        self._values.clear()

    @contextmanager
    def all_or_nothing(self) -> Iterator[None]:
        """Undoes all assignments if one of them is refused."""
        before = dict(self._values)
        try:
            yield
        except CallerFailure:
            self._values = before
            raise

    def value_of(self, name: str) -> Setting:
        """Looks a variable up for the caller.

        Args:
            name: in lower case.

        Returns:
            Its value.

        Raises:
            CallerFailure: no such variable.
        """
        if name not in _DEFAULTS:
            raise mysql_failure(
                MysqlErrorCode.UNKNOWN_VARIABLE,
                f"Unknown system variable '{name}'",
            )
        return self.get(name)

    @property
    def autocommit(self) -> bool:
        """Whether each statement stands alone."""
        return bool(self._values.get('autocommit', True))

    @property
    def statement_charset(self) -> CharacterSet:
        """Character set of statements."""
        return _character_set(self._values.get('character_set_client'))

    @property
    def results_charset(self) -> CharacterSet:
        """Character set of results."""
        return _character_set(self._values.get('character_set_results'))

    def attribute_values(self) -> dict[str, Setting]:
        """Query attributes that were set as variables.

        Returns:
            Values by attribute name, those set only.
        """
        return {
            name.removeprefix(VARIABLE_PREFIX): setting
            for name, setting in self._values.items()
            if name.startswith(VARIABLE_PREFIX) and setting is not None
        }

    def settings(self) -> Iterator[tuple[str, Setting]]:
        """All variables in order of name."""
        return iter((name, self.get(name)) for name in sorted(_DEFAULTS))


def _character_set(name: Setting) -> CharacterSet:
    return CharacterSet[str(name)] if name else CharacterSet.utf8mb4


def _checked(name: str, setting: str) -> Setting:
    lowered = setting.lower()
    if name in _SWITCHES:
        return _switch(name, lowered)
    if name in _CHARSET_VARIABLES:
        return _charset(name, lowered)
    if name == 'sql_mode':
        return _modes(setting)
    only = _ONLY.get(name)
    if only is not None:
        if lowered not in only:
            raise mysql_failure(
                MysqlErrorCode.NOT_SUPPORTED,
                f"{name} can't be set to '{setting}' through cowslipfork",
            )
        return setting
    if name in _KEPT or name.removeprefix(VARIABLE_PREFIX) in ATTRIBUTES:
        return setting
    if name in _DEFAULTS:
        raise mysql_failure(
            MysqlErrorCode.READ_ONLY_VARIABLE, f"Variable '{name}' is read only"
        )
    raise mysql_failure(
        MysqlErrorCode.UNKNOWN_VARIABLE, f"Unknown system variable '{name}'"
    )


def _switch(name: str, lowered: str) -> bool:
    if lowered not in _ON | _OFF:
        raise mysql_failure(
            MysqlErrorCode.WRONG_VALUE,
            f"Variable '{name}' can't be set to the value of '{lowered}'",
        )
    return lowered in _ON


def _charset(name: str, lowered: str) -> str | None:
    if lowered == 'null' and name == 'character_set_results':
        return None
    if lowered not in _CHARSETS:
        raise mysql_failure(
            MysqlErrorCode.UNKNOWN_CHARACTER_SET,
            f"character set '{lowered}' is not supported",
        )
    return 'utf8mb4' if lowered in _UTF8_NAMES else lowered


def _modes(setting: str) -> str:
    modes = {mode.strip().lower() for mode in setting.split(',')}
    refused = modes & _READING_MODES
    if refused:
        raise mysql_failure(
            MysqlErrorCode.NOT_SUPPORTED,
            f'sql_mode {min(refused).upper()} is not supported',
        )
    return setting
