"""Background tasks of a process."""

from carobslip.tasks._supervisor import Supervisor

__all__ = ['Supervisor']
