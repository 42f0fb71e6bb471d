"""Who calls the administration API, and what they may do."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cowslipfork.configuration import Configuration, Role
from cowslipfork.errors import CowslipforkError

#: Name in the audit trail of whoever accepts the first configuration.
BOOTSTRAP: Final = 'bootstrap'

_HEADER: Final = 'authorization'
_SCHEME: Final = 'bearer '


@dataclass(frozen=True, slots=True)
class Identity:
    """An authenticated caller of the API.

    Attributes:
        name: for the audit trail.
        first_only: whether it may do nothing but accept the first
            configuration and see it come into force.
    """

    name: str
    role: Role
    first_only: bool = False


#: Stays known after the first was accepted: its answer may have been lost,
#: and on top of revision 0 nothing else can be accepted any more.
_FIRST: Final = Identity(BOOTSTRAP, Role.OPERATOR, first_only=True)


class NoCredential(CowslipforkError):
    """The call carries no credential that is known."""


class Forbidden(CowslipforkError):
    """The caller is known and may not do this."""

    def __init__(self, name: str, needed: str) -> None:
        """Remembers who lacked what.

        Args:
            name: the caller.
            needed: role or state that the call needs.
        """
        super().__init__(f'{name} may not do this: {needed} is needed')
        self.name = name
        self.needed = needed


def token_hash(token: str) -> str:
    """Hashes a credential as ``token_hash`` keeps it."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify(
    metadata: Iterable[tuple[str, str | bytes]],
    configuration: Configuration,
    bootstrap_hash: str,
) -> Identity:
    """Finds out who calls.

    Every known hash is compared, in constant time each, so that the time
    taken tells nothing about them.

    Args:
        metadata: of the call.
        configuration: in force at this node; without operators before the
            first was accepted.
        bootstrap_hash: of the credential for the first; empty: none.

    Returns:
        The caller.

    Raises:
        NoCredential: none was sent, or it is unknown.
    """
    sent = token_hash(_bearer(metadata))
    known = {
        operator.token_hash: Identity(operator.name, operator.role)
        for operator in configuration.operators.values()
    }
    if bootstrap_hash:
        known[bootstrap_hash] = _FIRST
    matching = [
        identity
        for kept, identity in known.items()
        if hmac.compare_digest(kept, sent)
    ]
    if not matching:
        raise NoCredential('credential is unknown')
    return matching[0]


def require(identity: Identity, role: Role) -> None:
    """Checks that a caller has a role; operators may do all that viewers may.

    Args:
        identity: the caller.
        role: role that the call needs.

    Raises:
        Forbidden: the caller lacks it.
    """
    if identity.role not in {role, Role.OPERATOR}:
        raise Forbidden(identity.name, f'role {role.value}')


def credential(
    metadata: Iterable[tuple[str, str | bytes]] | None,
) -> tuple[tuple[str, str | bytes], ...]:
    """Takes the credential out of a call's metadata, to pass it on.

    Args:
        metadata: of the call.

    Returns:
        Metadata of the call to another node.
    """
    return tuple(pair for pair in metadata or () if pair[0] == _HEADER)


def _bearer(metadata: Iterable[tuple[str, str | bytes]]) -> str:
    sent = [
        content
        for key, content in metadata
        if key == _HEADER and isinstance(content, str)
    ]
    if len(sent) != 1 or not sent[0].lower().startswith(_SCHEME):
        raise NoCredential('metadata "authorization: Bearer ..." is missing')
    return sent[0][len(_SCHEME) :]
