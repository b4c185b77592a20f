"""At most one run of a caller's key, without stored or agreed state."""

from carobslip.idempotency._ballot import Ballot
from carobslip.idempotency._claimant import Claimant, ClaimResult, Standing
from carobslip.idempotency._record import (
    KeyRecord,
    KeyState,
    Record,
    RecordFull,
    StoredReply,
)
from carobslip.idempotency._rendezvous import order_targets, view_digest
from carobslip.idempotency._voter import Voter
from carobslip.idempotency._witness import KeyAge, Witness, judge_key_age

__all__ = [
    'Ballot',
    'ClaimResult',
    'Claimant',
    'KeyAge',
    'KeyRecord',
    'KeyState',
    'Record',
    'RecordFull',
    'Standing',
    'StoredReply',
    'Voter',
    'Witness',
    'judge_key_age',
    'order_targets',
    'view_digest',
]
