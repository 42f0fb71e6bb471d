"""Marks of the primary over time: how far a replica has to be."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Final

from cowslipfork.ids import Mark

#: Seconds between two samples that are kept.
SAMPLE_INTERVAL: Final = 0.05

#: Samples kept: more than any configured age spans at ``SAMPLE_INTERVAL``.
MAX_SAMPLES: Final = 400


@dataclass(frozen=True, slots=True)
class Sample:
    """A mark of the primary.

    Attributes:
        begun: time before the primary was asked; every write that was
            acknowledged by then is at or below the mark.
        mark: mark that it answered with.
    """

    begun: float
    mark: Mark


class MarkHistory:
    """Samples of the primary's mark, oldest first."""

    def __init__(self) -> None:
        """Starts without a sample."""
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    @property
    def newest_begun(self) -> float:
        """Begin of the newest sample; minus infinity without one."""
        return self._samples[-1].begun if self._samples else -math.inf

    def add_sample(self, begun: float, mark: Mark) -> None:
        """Takes an answer of the primary in.

        It has to be proved that the primary was the only one when it was
        asked; then the sample stays true whoever leads later.

        Args:
            begun: time before it was asked.
            mark: mark that it answered with.
        """
        if begun >= self.newest_begun + SAMPLE_INTERVAL:
            self._samples.append(Sample(begun, mark))

    def minimum_mark(self, not_before: float) -> Mark | None:
        """Gives the least mark that covers all writes up to a moment.

        Args:
            not_before: writes acknowledged until then must be covered.

        Returns:
            The mark, or None if no sample is new enough.
        """
        return next(
            (
                sample.mark
                for sample in self._samples
                if sample.begun >= not_before
            ),
            None,
        )
