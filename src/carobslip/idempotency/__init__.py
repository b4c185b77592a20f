"""At-most-once runs of callers' keys, without storage or consensus."""

from carobslip.idempotency._ballot import Ballot
from carobslip.idempotency._claimant import Claimant, ClaimResult, ClaimStatus
from carobslip.idempotency._key_age import (
    KeyAge,
    RecordCoverage,
    classify_key_age,
)
from carobslip.idempotency._record import (
    KeyRecord,
    KeyState,
    Record,
    RecordFull,
    StoredReply,
)
from carobslip.idempotency._rendezvous import order_targets, view_digest
from carobslip.idempotency._voter import Voter

__all__ = [
    'Ballot',
    'ClaimResult',
    'ClaimStatus',
    'Claimant',
    'KeyAge',
    'KeyRecord',
    'KeyState',
    'Record',
    'RecordFull',
    'StoredReply',
    'Voter',
    'RecordCoverage',
    'classify_key_age',
    'order_targets',
    'view_digest',
]
