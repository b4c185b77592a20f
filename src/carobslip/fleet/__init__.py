"""Fleet state of one process: configuration, instance list, membership."""

from carobslip.fleet._member import FleetMember, FleetTimes
from carobslip.fleet._pause_detector import PauseDetector
from carobslip.fleet._platform_port import (
    NoDocument,
    Platform,
    PlatformUnavailable,
    PublishedDocument,
)
from carobslip.fleet._read_times import ReadTimes
from carobslip.fleet._watchers import is_watcher, rank_readers

__all__ = [
    'FleetMember',
    'FleetTimes',
    'NoDocument',
    'PauseDetector',
    'Platform',
    'PlatformUnavailable',
    'PublishedDocument',
    'ReadTimes',
    'is_watcher',
    'rank_readers',
]
