"""The entry and guard processes, assembled from ports and adapters."""

from carobslip.processes._entry import EntryProcess
from carobslip.processes._entry_news import GroupLoadPublisher, GroupMembers
from carobslip.processes._forwarding_entry import (
    PROBING,
    ForwardingAdapters,
    ForwardingEntry,
    ForwardingEntrySettings,
)
from carobslip.processes._group_guard import PROBING as GROUP_PROBING
from carobslip.processes._group_guard import GroupGuard, GroupGuardSettings
from carobslip.processes._guard import GuardProcess
from carobslip.processes._runner import run_process

__all__ = [
    'GROUP_PROBING',
    'PROBING',
    'GroupLoadPublisher',
    'EntryProcess',
    'ForwardingAdapters',
    'ForwardingEntry',
    'ForwardingEntrySettings',
    'GroupGuard',
    'GroupGuardSettings',
    'GroupMembers',
    'GuardProcess',
    'run_process',
]
