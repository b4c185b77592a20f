"""The long-running commands, put together from ports and adapters."""

from carobslip.processes._entry import EntryProcess
from carobslip.processes._guard import GuardProcess
from carobslip.processes._runner import run_process

__all__ = ['EntryProcess', 'GuardProcess', 'run_process']
