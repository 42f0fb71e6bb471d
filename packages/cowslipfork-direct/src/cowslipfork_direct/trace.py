"""Details of how one statement was served, for its line in the log."""

from __future__ import annotations

from dataclasses import dataclass, field

from cowslipfork.ids import EndpointId, Mark, Term
from cowslipfork_direct.clock import boot_time
from cowslipfork_direct.group import Group


@dataclass(slots=True)
class Trace:
    """Details of a statement's last try, and the number of its tries.

    Attributes:
        arrived: boot time of the statement's arrival.
        tries: number of times that it was sent to an endpoint.
        endpoint: endpoint of the last try.
        term: term of the primary, if the last try needed the primary.
        minimum_mark: mark up to which the endpoint had to have applied its
            log.
        lease_left: seconds for which the leader lease was still valid when
            the statement was sent; negative, but no less than -1, if it had
            lapsed. None if the last try did not need the primary.
        mark_age: seconds since the primary's mark was last sampled.
        waited: seconds between the arrival and the first try.
    """

    arrived: float = field(default_factory=boot_time)
    tries: int = 0
    endpoint: EndpointId | None = None
    term: Term | None = None
    minimum_mark: Mark | None = None
    lease_left: float | None = None
    mark_age: float = 0
    waited: float = 0

    def record_try(
        self,
        endpoint: EndpointId,
        term: Term | None,
        group: Group,
        minimum_mark: Mark | None,
    ) -> None:
        """Records that the statement is sent to an endpoint now.

        Args:
            endpoint: the endpoint.
            term: term of the primary, if the statement needs the primary.
            group: the endpoint's group.
            minimum_mark: mark up to which the endpoint must have applied its
                log.
        """
        now = boot_time()
        if not self.tries:
            self.waited = now - self.arrived
        self.tries += 1
        self.endpoint = endpoint
        self.term = term
        self.minimum_mark = minimum_mark
        self.mark_age = now - group.mark_history.newest_begun
        self.lease_left = None
        if term is not None:
            self.lease_left = max(-1, group.leader_lease.valid_until - now)

    def log_fields(self) -> dict[str, object]:
        """Returns the recorded details as fields of a log line."""
        known: dict[str, object] = {
            'ms': _milliseconds(boot_time() - self.arrived),
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
        if self.lease_left is not None:
            known['proof_left_ms'] = _milliseconds(self.lease_left)
        return known


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
