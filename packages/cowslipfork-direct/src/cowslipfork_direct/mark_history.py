"""Marks of the primary over time: how far a replica must have applied."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import Mark

#: Least seconds between two samples that are kept.
SAMPLE_INTERVAL: Final = 0.05

#: Samples kept: more than the longest configured age spans at
#: ``SAMPLE_INTERVAL``.
MAX_SAMPLES: Final = 400


@dataclass(frozen=True, slots=True)
class Sample:
    """A mark of the primary at one time.

    Attributes:
        begun: time just before the request; every write that was
            acknowledged by then is at or below the mark.
        mark: mark in the primary's answer.
    """

    begun: float
    mark: Mark


class MarkHistory:
    """Samples of the primary's mark, oldest first."""

    def __init__(self) -> None:
        """Starts without samples."""
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    @property
    def newest_begun(self) -> float:
        """``begun`` of the newest sample; minus infinity without one."""
        return self._samples[-1].begun if self._samples else -math.inf

    def add_sample(self, begun: float, mark: Mark) -> None:
        """Adds a sample unless it is older or too close to the newest one.

        The leader lease must have been valid when the request was sent; then
        the sample stays true whichever endpoint is the primary later.

        Args:
            begun: time just before the request.
            mark: mark in the primary's answer.
        """
        if begun >= self.newest_begun + SAMPLE_INTERVAL:
            self._samples.append(Sample(begun, mark))

    def minimum_mark(self, not_before: float) -> Mark | None:
        """Returns the lowest known mark that covers all writes up to a moment.

        Args:
            not_before: all writes acknowledged by then must be covered.

        Returns:
            The mark; None if no sample is new enough.
        """
        return next(
            (
                sample.mark
                for sample in self._samples
                if sample.begun >= not_before
            ),
            None,
        )
