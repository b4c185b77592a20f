"""The entry and guard processes, assembled from ports and adapters."""

from carobslip.processes._entry import EntryProcess
from carobslip.processes._forwarding_entry import (
    FORWARDING_ENTRY_PROBER_SETTINGS,
    ForwardingAdapters,
    ForwardingEntry,
    ForwardingEntrySettings,
)
from carobslip.processes._group_guard import (
    GROUP_GUARD_PROBER_SETTINGS,
    GroupGuard,
    GroupGuardSettings,
)
from carobslip.processes._group_load import GroupLoadPublisher, RankAddressCache
from carobslip.processes._guard import GuardProcess
from carobslip.processes._runner import run_process

__all__ = [
    'FORWARDING_ENTRY_PROBER_SETTINGS',
    'GROUP_GUARD_PROBER_SETTINGS',
    'GroupLoadPublisher',
    'EntryProcess',
    'ForwardingAdapters',
    'ForwardingEntry',
    'ForwardingEntrySettings',
    'GroupGuard',
    'GroupGuardSettings',
    'GuardProcess',
    'RankAddressCache',
    'run_process',
]
