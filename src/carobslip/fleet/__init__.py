"""Fleet state of one process: configuration, instance list, membership."""

from carobslip.fleet._member import FleetMember, FleetTimes
from carobslip.fleet._pause_detector import PauseDetector
from carobslip.fleet._platform_port import (
    NoDocument,
    Platform,
    PlatformUnavailable,
    PublishedDocument,
)
from carobslip.fleet._watchers import is_watcher

__all__ = [
    'FleetMember',
    'FleetTimes',
    'NoDocument',
    'PauseDetector',
    'Platform',
    'PlatformUnavailable',
    'PublishedDocument',
    'is_watcher',
]
