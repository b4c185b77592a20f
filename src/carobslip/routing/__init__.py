"""Selects the guard for the next attempt."""

from carobslip.routing._chooser import Candidate, Chooser
from carobslip.routing._hints import HintBook, KnownGuard
from carobslip.routing._retry_budget import RetryBudget
from carobslip.routing._subset import choose_subset

__all__ = [
    'Candidate',
    'Chooser',
    'HintBook',
    'KnownGuard',
    'RetryBudget',
    'choose_subset',
]
