"""Which VMs are there, and who carries which group."""

from cowslipfork.membership.rendezvous import Place, carrier_of, rank

__all__ = (
    'Place',
    'carrier_of',
    'rank',
)
