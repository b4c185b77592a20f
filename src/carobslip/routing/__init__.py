"""Selects the guard for the next attempt."""

from carobslip.routing._chooser import Candidate, Chooser
from carobslip.routing._hints import HintStore, KnownGuard
from carobslip.routing._retry_budget import RetryBudget
from carobslip.routing._subset import choose_subset

__all__ = [
    'Candidate',
    'Chooser',
    'HintStore',
    'KnownGuard',
    'RetryBudget',
    'choose_subset',
]
