"""Which VMs are there, and who carries which group."""

from cowslipfork.membership.member import (
    GoneProof,
    ListedVm,
    Listing,
    Member,
    MemberState,
    Report,
    StaleReport,
)
from cowslipfork.membership.members import Members
from cowslipfork.membership.rendezvous import VmLocation, carrier_of, rank

__all__ = (
    'ListedVm',
    'Listing',
    'Member',
    'MemberState',
    'Members',
    'VmLocation',
    'GoneProof',
    'Report',
    'StaleReport',
    'carrier_of',
    'rank',
)
