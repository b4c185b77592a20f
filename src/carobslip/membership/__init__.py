"""Which processes are alive, found out by probing each other."""

from carobslip.membership._prober import Prober, ProberSettings
from carobslip.membership._table import MemberTable

__all__ = ['MemberTable', 'Prober', 'ProberSettings']
