"""Verdicts on whether a request ran, and their reasons."""

from carobslip.verdicts._outcome import Outcome, may_have_run, not_run, ran
from carobslip.verdicts._reason import Reason
from carobslip.verdicts._verdict import Verdict

__all__ = ['Outcome', 'Reason', 'Verdict', 'may_have_run', 'not_run', 'ran']
