"""Settings of one process, read once at its start."""

from carobslip.settings._reader import read_settings
from carobslip.settings._types import (
    EntrySettings,
    GuardSettings,
    PlatformSettings,
    StatsdSettings,
    TargetSettings,
)

__all__ = [
    'EntrySettings',
    'GuardSettings',
    'PlatformSettings',
    'StatsdSettings',
    'TargetSettings',
    'read_settings',
]
