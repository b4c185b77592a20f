"""A process's part in the fleet: configuration, list and membership."""

from carobslip.fleet._member import FleetMember, FleetTimes
from carobslip.fleet._pause_detector import PauseDetector
from carobslip.fleet._platform_port import Platform, PlatformUnavailable
from carobslip.fleet._watch_duty import is_on_duty

__all__ = [
    'FleetMember',
    'FleetTimes',
    'PauseDetector',
    'Platform',
    'PlatformUnavailable',
    'is_on_duty',
]
