"""Checks reads and writes of registers, each with one writing session.

The writer of a register writes growing numbers, one after the other, so the
numbers order its states.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from cowslipfork.configuration import AgeRule, FreshRule, ReadingRule
from cowslipfork.ids import KindName, SessionId
from cowslipfork_lab.history.attempt import Action, Attempt, Ending
from cowslipfork_lab.history.violations import Rule, Violation

#: Number of a register that was never written.
INITIAL = 0

Register = tuple[str, str]


@dataclass(slots=True)
class _Writes:
    """Writes of one register in the order of their numbers."""

    tries: list[Attempt] = field(default_factory=list)
    acknowledged: list[tuple[float, int]] = field(default_factory=list)

    def add(self, attempt: Attempt) -> None:
        self.tries.append(attempt)
        if attempt.ending == Ending.DONE:
            self.acknowledged.append((attempt.ended, attempt.number or INITIAL))

    def before(self, time: float) -> int:
        """Highest number acknowledged before a time."""
        index = bisect_left(self.acknowledged, (time, INITIAL))
        return self.acknowledged[index - 1][1] if index else INITIAL

    def by(self, session: SessionId) -> bool:
        """Whether a session is the one that writes."""
        return any(one.session == session for one in self.tries[:1])

    @property
    def possible(self) -> set[int]:
        """Numbers that may be seen."""
        never = {Ending.NOT_RUN, Ending.REFUSED}
        return {INITIAL} | {
            one.number or INITIAL
            for one in self.tries
            if one.ending not in never
        }


def check_registers(
    attempts: Sequence[Attempt],
    rules: Mapping[KindName, ReadingRule],
    final: Mapping[Register, int],
) -> Iterator[Violation]:
    """Checks every read against its rule, and the registers at the end.

    Args:
        attempts: the history.
        rules: reading rule by kind; other kinds read fresh.
        final: number of each (group, key) at the end.

    Yields:
        Reads too old, backwards or of nothing; writes lost.
    """
    writes: defaultdict[Register, _Writes] = defaultdict(_Writes)
    for attempt in sorted(attempts, key=_ended):
        if attempt.action == Action.WRITE:
            writes[_register(attempt)].add(attempt)
    reads = [
        one
        for one in attempts
        if one.action == Action.READ and one.ending == Ending.DONE
    ]
    for read in reads:
        yield from _check_read(read, writes[_register(read)], rules)
    yield from _check_order(reads, rules)
    for register, number in final.items():
        yield from _check_final(register, writes[register], number)


def _check_read(
    read: Attempt,
    writes: _Writes,
    rules: Mapping[KindName, ReadingRule],
) -> Iterator[Violation]:
    found = read.number or INITIAL
    floor = _floor(read, writes, rules.get(read.kind, FreshRule()))
    if found < floor:
        yield Violation(
            Rule.STALE_READ,
            read.key,
            f'at least {floor}',
            str(found),
            read,
        )
    if found not in writes.possible:
        yield Violation(
            Rule.READ_OF_NOTHING,
            read.key,
            'a number that may have been written',
            str(found),
            read,
        )


def _floor(read: Attempt, writes: _Writes, rule: ReadingRule) -> int:
    if isinstance(rule, FreshRule):
        return writes.before(read.started)
    if isinstance(rule, AgeRule):
        return writes.before(read.started - rule.max_age)
    return writes.before(read.started) if writes.by(read.session) else INITIAL


def _check_order(
    reads: Iterable[Attempt],
    rules: Mapping[KindName, ReadingRule],
) -> Iterator[Violation]:
    """Reads of a session, one after the other, never go backwards.

    Reads with a stated age promise no order, so they are left out.
    """
    seen: dict[tuple[str, Register], tuple[float, int]] = {}
    for read in sorted(reads, key=_ended):
        if isinstance(rules.get(read.kind), AgeRule):
            continue
        place = (read.session, _register(read))
        ended, before = seen.get(place, (read.started, INITIAL))
        found = read.number or INITIAL
        if found < before and ended <= read.started:
            yield Violation(
                Rule.READ_BACKWARDS,
                read.key,
                f'at least {before}',
                str(found),
                read,
            )
        seen[place] = max((ended, before), (read.ended, found), key=_number)


def _check_final(
    register: Register,
    writes: _Writes,
    number: int,
) -> Iterator[Violation]:
    last = max((one for _, one in writes.acknowledged), default=INITIAL)
    if number < last:
        yield Violation(
            Rule.ACKNOWLEDGED_WRITE_LOST,
            register[1],
            f'at least {last}',
            str(number),
        )
    if number not in writes.possible:
        yield Violation(
            Rule.NOT_RUN_BUT_RAN,
            register[1],
            'a number that may have been written',
            str(number),
        )


def _register(attempt: Attempt) -> Register:
    return attempt.group, attempt.key


def _ended(attempt: Attempt) -> float:
    return attempt.ended


def _number(seen: tuple[float, int]) -> int:
    return seen[1]
