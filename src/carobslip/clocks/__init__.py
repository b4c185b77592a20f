"""Sources of time, replaceable in tests."""

from carobslip.clocks._clock import Clock, LoopClock, SystemClock

__all__ = ['Clock', 'LoopClock', 'SystemClock']
