"""Parts of prompts that crash targets, and which requests are held back."""

from carobslip.crashes._causes import Cause, find_causes
from carobslip.crashes._gate import Hold, PromptGate
from carobslip.crashes._ledger import CrashLedger
from carobslip.crashes._records import (
    CRASHES_MAX,
    Crash,
    CrashRecord,
    TargetStart,
    start_of,
)

__all__ = [
    'CRASHES_MAX',
    'Cause',
    'Crash',
    'CrashLedger',
    'CrashRecord',
    'Hold',
    'PromptGate',
    'TargetStart',
    'find_causes',
    'start_of',
]
