"""Mixes of requests as Hilal's and Nilebean's callers send them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType

from cowslipfork.errors import CowslipforkError
from cowslipfork.ids import GroupName, KindName, TeamName
from cowslipfork_lab.history import Action


@dataclass(frozen=True, slots=True)
class MixEntry:
    """A kind of request with its part of the load.

    Attributes:
        kind: kind of request.
        action: what it does.
        weight: part of the load, relative to the others.
        groups: groups it goes to, in equal parts.
        team: login of its callers.
    """

    kind: KindName
    action: Action
    weight: float
    groups: tuple[GroupName, ...]
    team: TeamName


class UnknownMix(CowslipforkError):
    """There is no mix for a deployment."""

    def __init__(self, deployment: str) -> None:
        """Remembers which.

        Args:
            deployment: name of the deployment.
        """
        super().__init__(f'no mix of requests for {deployment}')
        self.deployment = deployment


_OBSERVANCES = (GroupName('observances'),)
_SIGHTINGS = (GroupName('sightings'),)
_ORDERS = (GroupName('orders'),)
_SCHOOLS = (GroupName('zamalek'), GroupName('maadi'), GroupName('heliopolis'))
_EDITORS = TeamName('editors')
_SECRETARIES = TeamName('secretaries')
_TRAINERS = TeamName('trainers')

_HILAL = (
    ('festival_list', Action.READ, 40, _OBSERVANCES, _EDITORS),
    ('fasting_times', Action.READ, 25, _OBSERVANCES, _EDITORS),
    ('fast_date', Action.READ, 10, _SIGHTINGS, _EDITORS),
    ('order_status', Action.READ, 8, _ORDERS, _SECRETARIES),
    ('record_observance', Action.WRITE, 7, _OBSERVANCES, _EDITORS),
    ('confirm_sighting', Action.JOB, 4, _SIGHTINGS, _EDITORS),
    ('order_batch', Action.JOB, 4, _ORDERS, _SECRETARIES),
    ('pay_batch', Action.JOB, 2, _ORDERS, _SECRETARIES),
)
_NILEBEAN = (
    ('course_catalogue', Action.READ, 40, _SCHOOLS, _TRAINERS),
    ('free_seats', Action.READ, 20, _SCHOOLS, _TRAINERS),
    ('my_bookings', Action.READ, 10, _SCHOOLS, _TRAINERS),
    ('certificate', Action.READ, 10, _SCHOOLS, _TRAINERS),
    ('record_tasting', Action.WRITE, 8, _SCHOOLS, _TRAINERS),
    ('book_seat', Action.JOB, 5, _SCHOOLS, _TRAINERS),
    ('record_grade', Action.JOB, 3, _SCHOOLS, _TRAINERS),
    ('enrol', Action.JOB, 2, _SCHOOLS, _TRAINERS),
    ('pay_enrolment', Action.JOB, 2, _SCHOOLS, _TRAINERS),
)
_MIXES = MappingProxyType({'punjab': _HILAL, 'cairo': _NILEBEAN})


def job_group(mix: Sequence[MixEntry]) -> GroupName:
    """Names the group that faults hit: the first that takes jobs.

    Args:
        mix: kinds of requests.

    Returns:
        The group.
    """
    entries = sorted(mix, key=lambda share: share.action != Action.JOB)
    return entries[0].groups[0]


def mix_of(site: str, groups: Sequence[GroupName]) -> tuple[MixEntry, ...]:
    """Gives the mix of a site, without the groups that don't run.

    Args:
        site: name of the site.
        groups: groups that run.

    Returns:
        Shares, each with at least one group.

    Raises:
        UnknownMix: there is none for the site.
    """
    if site not in _MIXES:
        raise UnknownMix(site)
    entries = (
        MixEntry(
            KindName(kind),
            action,
            weight,
            tuple(group for group in places if group in groups),
            team,
        )
        for kind, action, weight, places, team in _MIXES[site]
    )
    return tuple(entry for entry in entries if entry.groups)
