"""Gossip membership: failure detection by probing, and member states."""

from carobslip.membership._overlay import RINGS, monitored_members
from carobslip.membership._prober import Prober, ProberSettings
from carobslip.membership._table import MemberTable

__all__ = [
    'RINGS',
    'MemberTable',
    'Prober',
    'ProberSettings',
    'monitored_members',
]
