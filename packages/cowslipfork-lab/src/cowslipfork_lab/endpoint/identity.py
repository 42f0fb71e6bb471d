"""Login of the endpoint stand-in, which checks no password."""

from __future__ import annotations

from collections.abc import Sequence

from mysql_mimic.auth import (
    AuthPlugin,
    NativePasswordAuthPlugin,
    SimpleIdentityProvider,
    User,
)


class _AnyPassword(NativePasswordAuthPlugin):
    def password_matches(
        self, user: User, scramble: bytes, nonce: bytes
    ) -> bool:
        return True


class Anybody(SimpleIdentityProvider):
    """Lets every user in with any password."""

    def get_plugins(self) -> Sequence[AuthPlugin]:
        """Gives the only way to log in."""
        return (_AnyPassword(),)
