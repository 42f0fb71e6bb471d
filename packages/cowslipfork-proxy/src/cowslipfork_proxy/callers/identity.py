"""Password login of teams against the configuration in force."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mysql_mimic.auth import (
    AuthPlugin,
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)

from cowslipfork.configuration import Configuration
from cowslipfork.ids import TeamName


class _TeamPasswords(NativePasswordAuthPlugin):
    """Native passwords, without a way in for an empty one."""

    def empty_password_quickpath(self, user: User, scramble: bytes) -> bool:
        """Never lets a caller in without a password."""
        return False


class Teams(IdentityProvider):
    """Looks teams up in the configuration at each login."""

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        """Keeps where to look.

        Args:
            configuration: gives the configuration in force.
        """
        self._configuration = configuration
        self._plugins = (_TeamPasswords(),)

    def get_plugins(self) -> Sequence[AuthPlugin]:
        """Gives the only way to log in."""
        return self._plugins

    async def get_user(self, username: str) -> User:
        """Finds a team; an unknown one gets a hash that no password has.

        Args:
            username: name in the connect packet.

        Returns:
            The team as the library's user.
        """
        team = self._configuration().teams.get(TeamName(username))
        return User(
            name=username,
            auth_string=team.password_hash if team else None,
            auth_plugin=NativePasswordAuthPlugin.name,
        )
