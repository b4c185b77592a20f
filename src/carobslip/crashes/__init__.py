"""Parts of prompts that crash targets, and which requests are held back."""

from carobslip.crashes._causes import EPISODE_MS, Cause, find_causes
from carobslip.crashes._gate import Hold, PromptGate
from carobslip.crashes._ledger import CrashLedger
from carobslip.crashes._records import (
    CRASHES_MAX,
    Crash,
    CrashRecord,
    TargetStart,
    content_part,
    start_of,
)

__all__ = [
    'CRASHES_MAX',
    'EPISODE_MS',
    'Cause',
    'Crash',
    'CrashLedger',
    'CrashRecord',
    'Hold',
    'PromptGate',
    'TargetStart',
    'content_part',
    'find_causes',
    'start_of',
]
