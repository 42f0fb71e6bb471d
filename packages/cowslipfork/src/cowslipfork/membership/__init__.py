"""Which VMs are there, and who carries which group."""

from cowslipfork.membership.member import (
    ListedVm,
    Listing,
    Member,
    MemberState,
    Proof,
    Report,
    StaleReport,
)
from cowslipfork.membership.members import Members
from cowslipfork.membership.rendezvous import Place, carrier_of, rank

__all__ = (
    'ListedVm',
    'Listing',
    'Member',
    'MemberState',
    'Members',
    'Place',
    'Proof',
    'Report',
    'StaleReport',
    'carrier_of',
    'rank',
)
