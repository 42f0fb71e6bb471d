"""Times of a shutdown, within the grace period of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

#: Seconds for which callers may be routed to a node although there are enough
#: ready ones: two readiness checks must fail, one second apart.
READINESS_CHECKS: Final = 2.0

#: Seconds after which no such caller can be on its way any more.
READINESS_PROPAGATION: Final = 2.2

#: Fraction of the grace period after which open transactions are rolled back.
TRANSACTION_GRACE: Final = 0.5

#: Seconds before the end of the grace period at which serving ends in any case.
EXIT_MARGIN: Final = 0.5

#: Seconds before the end of serving by which every new statement is answered.
ANSWER_MARGIN: Final = 0.1

#: Seconds before the end of serving at which statements that still run are
#: answered as unknown.
ABANDON_MARGIN: Final = 0.05

#: Seconds after the end of serving for rollbacks and the store.
CLEAN_UP_TIME: Final = 0.2


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Loop times of the phases of a shutdown, in their order.

    Attributes:
        unrouted_from: callers who connect later do so because the node's
            failure domain has too few ready nodes.
        close_idle_from: idle connections are closed from now on.
        transactions_until: open transactions are rolled back, and no new ones
            begin.
        answer_by: every statement that is accepted is answered, and no more
            callers are accepted.
        abandon_at: statements that still run are answered as unknown.
        end: serving ends in any case.
        exit_by: the process ends in any case.
    """

    unrouted_from: float
    close_idle_from: float
    transactions_until: float
    answer_by: float
    abandon_at: float
    end: float
    exit_by: float

    @classmethod
    def of(cls, begun: float, grace: float) -> ShutdownSchedule:
        """Returns the schedule of a shutdown.

        Args:
            begun: loop time of its begin.
            grace: seconds after which the process is killed.
        """
        end = begun + max(0, grace - EXIT_MARGIN)
        return cls(
            unrouted_from=min(begun + READINESS_CHECKS, end),
            close_idle_from=min(begun + READINESS_PROPAGATION, end),
            transactions_until=min(begun + grace * TRANSACTION_GRACE, end),
            answer_by=end - ANSWER_MARGIN,
            abandon_at=end - ABANDON_MARGIN,
            end=end,
            exit_by=end + CLEAN_UP_TIME,
        )
