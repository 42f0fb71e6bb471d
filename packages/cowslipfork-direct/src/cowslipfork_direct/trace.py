"""What decided about one statement, for its line in the log."""

from __future__ import annotations

from dataclasses import dataclass, field

from cowslipfork.ids import EndpointId, Mark, Term
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.group import Group


@dataclass(slots=True)
class Trace:
    """Inputs of the last try of a statement, and how many tries there were.

    Attributes:
        begun: boot time of the statement's arrival.
        tries: connections that it was sent on.
        endpoint: endpoint of the last try.
        term: term of the primary, if it was asked as such.
        minimum_mark: log entry that the endpoint had to have.
        proof_left: seconds for which the primary was still proved when the
            statement was sent; negative without a proof.
        mark_age: seconds since the primary's mark was last learnt.
        waited: seconds until a connection was had.
    """

    begun: float = field(default_factory=boot_time)
    tries: int = 0
    endpoint: EndpointId | None = None
    term: Term | None = None
    minimum_mark: Mark | None = None
    proof_left: float | None = None
    mark_age: float = 0
    waited: float = 0

    def sent(
        self,
        endpoint: EndpointId,
        term: Term | None,
        group: Group,
        minimum_mark: Mark | None,
    ) -> None:
        """Takes note that the statement goes to an endpoint now.

        Args:
            endpoint: where to.
            term: term of the primary, if it is asked as such.
            group: what is known of the endpoint's group.
            minimum_mark: log entry that the endpoint must have.
        """
        now = boot_time()
        if not self.tries:
            self.waited = now - self.begun
        self.tries += 1
        self.endpoint = endpoint
        self.term = term
        self.minimum_mark = minimum_mark
        self.mark_age = now - group.mark_history.newest_begun
        self.proof_left = None
        if term is not None:
            self.proof_left = max(-1, group.leader_lease.valid_until - now)

    def fields(self) -> dict[str, object]:
        """Gives what is known as fields of a log line."""
        known: dict[str, object] = {
            'ms': _milliseconds(boot_time() - self.begun),
            'tries': self.tries,
        }
        if self.tries:
            known['endpoint'] = self.endpoint
            known['waited_ms'] = _milliseconds(self.waited)
        if self.minimum_mark is not None:
            known['floor'] = (
                f'{self.minimum_mark.term}.{self.minimum_mark.position}'
            )
            known['mark_age_ms'] = _milliseconds(self.mark_age)
        if self.term is not None:
            known['term'] = self.term
        if self.proof_left is not None:
            known['proof_left_ms'] = _milliseconds(self.proof_left)
        return known


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
