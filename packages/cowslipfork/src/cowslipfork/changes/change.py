"""A proposed change of the configuration and the ways in which it ends."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NewType, TypeAlias

from cowslipfork.configuration.problems import Problem, ProblemKind, Problems
from cowslipfork.ids import Revision

#: Idempotency key of a change: ``<expected revision>-<random part>``. The
#: revision is part of it so that a repeat cannot name another one.
ChangeId = NewType('ChangeId', str)

_RANDOM_BYTES = 12

#: Longest reason, in characters.
MAX_REASON = 1000


def new_change_id(expected: Revision) -> ChangeId:
    """Draws the id of a change on top of a revision."""
    return ChangeId(f'{expected}-{secrets.token_hex(_RANDOM_BYTES)}')


@dataclass(frozen=True, slots=True)
class Change:
    """A whole new configuration, proposed on top of a revision.

    Attributes:
        expected: revision that the operator started from; 0: none yet.
        base: text of the base file.
        overlays: texts by site.
        operator: who.
        reason: why.
        change_id: the same for every repeat of this change.
    """

    expected: Revision
    base: str
    overlays: Mapping[str, str]
    operator: str
    reason: str
    change_id: ChangeId

    @property
    def revision(self) -> Revision:
        """Revision that the change gets if it is accepted."""
        return Revision(self.expected + 1)

    @property
    def text_bytes(self) -> int:
        """Length of base file and overlays together."""
        texts = (self.base, *self.overlays.values())
        return sum(len(text.encode()) for text in texts)

    def own_problems(self) -> list[Problem]:
        """Lists what is wrong besides the texts."""
        wrong = {
            'reason': not 0 < len(self.reason) <= MAX_REASON,
            'change_id': not self.change_id.startswith(f'{self.expected}-'),
        }
        texts = {
            'reason': f'a reason of 1 to {MAX_REASON} characters is needed',
            'change_id': f'must begin with "{self.expected}-"',
        }
        return [
            Problem('request', '', key, texts[key])
            for key, is_wrong in wrong.items()
            if is_wrong
        ]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store.

    Attributes:
        revision: its number.
        repeated: whether an earlier try had brought it there.
    """

    revision: Revision
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first; nothing was written.

    Attributes:
        current: revision in force.
        operator: who accepted that.
        difference: what changed since the expected revision.
    """

    current: Revision
    operator: str
    difference: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer.

    Attributes:
        retry_after: seconds until the same change should be sent again.
        detail: what failed.
        may_have_landed: whether the write of this call may have taken
            effect; calls before it with the same id stay as open as they were.
    """

    retry_after: float
    detail: str
    may_have_landed: bool


#: Why a change is not known to be accepted.
Refusal: TypeAlias = Problems | Conflict | Unavailable


def single_problem(key: str, text: str, kind: ProblemKind) -> Problems:
    """Makes the list of one problem of the request itself."""
    return Problems((Problem('request', '', key, text, kind),))
