"""Typed messages between processes.

Every request is idempotent, because the transport may deliver it twice.
"""

import enum
from typing import Annotated

import msgspec

from carobslip import (
    configuration,
    crashes,
    directory,
    expertmap,
    identifiers,
    slotbroker,
    targets,
)

_NAME_MAX_CHARS = 128
_MEMBERS_MAX = 64
_PACKAGE_MAX_BYTES = 4_194_304
_DIGESTS_MAX_BYTES = 64
_RANKS_MAX = 1024
#: Decisions or released slots in one message.
_SLOTS_MAX = 256

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_NAME_MAX_CHARS)]


class _Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag=True,
    array_like=True,
):
    """Base of all messages; the class name is the tag.

    Fields are encoded by position, without names: new ones go to the end, and
    a change of order needs another protocol version.
    """


class Origin(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The process that sent a message.

    Attributes:
        instance: Name from its settings.
        incarnation: Identifies the start of that process.
        control_address: Where it receives control messages.
    """

    instance: identifiers.InstanceId
    incarnation: identifiers.Incarnation
    control_address: Name


class MemberState(enum.Enum):
    """Presumed state of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class MemberUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one member, gossiped with probes.

    Attributes:
        record: The member and its addresses.
        incarnation: The start of the member that the state applies to.
        counter: Raised by the member itself to refute a suspicion.
        state: Its presumed state.
    """

    record: directory.InstanceRecord
    incarnation: identifiers.Incarnation
    counter: int
    state: MemberState


MemberUpdates = Annotated[
    tuple[MemberUpdate, ...],
    msgspec.Meta(max_length=_MEMBERS_MAX),
]


class Probe(_Message, frozen=True, kw_only=True):
    """Asks whether the receiver is alive.

    Attributes:
        updates: Member updates that the sender passes on.
        joining: The sender asks for members that it may not know.
        known: Digests of its member table, if it asks.
    """

    updates: MemberUpdates = ()
    joining: bool = False
    known: Annotated[bytes, msgspec.Meta(max_length=_DIGESTS_MAX_BYTES)] = b''


class ProbeRequest(_Message, frozen=True, kw_only=True):
    """Asks the receiver to probe a third process."""

    address: Name
    updates: MemberUpdates = ()


class ProbeAcknowledged(_Message, frozen=True, kw_only=True):
    """States that the probed process answered."""

    updates: MemberUpdates = ()


class ProbeFailed(_Message, frozen=True, kw_only=True):
    """States that the third process did not answer."""

    updates: MemberUpdates = ()


class CompareVersions(_Message, frozen=True, kw_only=True):
    """Asks for any answer; its envelope carries the receiver's version."""


class FetchConfiguration(_Message, frozen=True, kw_only=True):
    """Asks for a part of the configuration that the receiver holds.

    Attributes:
        version: Version of the document that the sender has begun to fetch.
        digest: Its digest.
        offset: Bytes of it that the sender already has.
    """

    version: int = 0
    digest: int = 0
    offset: Annotated[int, msgspec.Meta(ge=0)] = 0


class ConfigurationPart(_Message, frozen=True, kw_only=True):
    """A part of a packed configuration.

    Attributes:
        version: Version of the document; 0 when the sender holds none.
        digest: Its digest.
        size_bytes: Size of the whole package.
        offset: Position of this part in the package.
        content: The bytes from there.
        era: The platform's era in which the document was published.
        revision: The platform's revision of it.
    """

    version: int
    digest: int
    size_bytes: Annotated[int, msgspec.Meta(ge=0, le=_PACKAGE_MAX_BYTES)] = 0
    offset: int = 0
    content: bytes = b''
    era: int = 0
    revision: int = 0

    @property
    def order(self) -> configuration.DocumentOrder:
        """Order of the document."""
        return configuration.DocumentOrder(
            version=self.version,
            era=self.era,
            revision=self.revision,
            digest=self.digest,
        )


class FetchTargets(_Message, frozen=True, kw_only=True):
    """Asks for the list of targets that the receiver holds."""


class TargetList(_Message, frozen=True, kw_only=True):
    """The targets that the sender knows; empty when it knows none."""

    snapshot: targets.TargetSnapshot


class GroupLoad(_Message, frozen=True, kw_only=True):
    """Reports the load of a group's engines to an entry.

    Attributes:
        group: The group.
        is_open: Its ranks work; otherwise requests sent to it stall.
        valid_ms: How long the loads may be used; a large group renews them
            less often.
        avoid_ms: How long a stalled group is avoided after this message.
        members_digest: Digest of the addresses that the loads belong to.
        requests: Requests at each engine, running and waiting.
        members: The addresses, unless the entry has confirmed them.
        pass_ms: Mean length of the recent passes; 0 if unknown or not reported.
        slowest_pace: Time that the slowest rank needs relative to the usual.
    """

    group: identifiers.GroupId
    is_open: bool
    members_digest: int
    valid_ms: float
    avoid_ms: float
    requests: Annotated[
        tuple[int, ...],
        msgspec.Meta(max_length=_RANKS_MAX),
    ]
    members: Annotated[
        tuple[Name, ...],
        msgspec.Meta(max_length=_RANKS_MAX),
    ] = ()
    pass_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    slowest_pace: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class CrashReports(_Message, frozen=True, kw_only=True):
    """Crashes that the sender knows of; the answer has the receiver's."""

    records: Annotated[
        tuple[crashes.CrashRecord, ...],
        msgspec.Meta(max_length=crashes.CRASHES_MAX),
    ] = ()


class AskPermit(_Message, frozen=True, kw_only=True):
    """Asks for one request to a target that has named a rate.

    Attributes:
        target: The target.
        rate_rps: The rate, as the sender has met it.
        named_age_ms: Time since the target last named it to the sender.
    """

    target: identifiers.TargetId
    rate_rps: Annotated[float, msgspec.Meta(ge=0)]
    named_age_ms: Annotated[float, msgspec.Meta(ge=0)]


class PermitAnswer(_Message, frozen=True, kw_only=True):
    """Answers a request for a permit.

    Attributes:
        is_granted: One request may be sent now.
        wait_ms: Time until the next permit, otherwise.
    """

    is_granted: bool
    wait_ms: float = 0.0


class AskSlot(_Message, frozen=True, kw_only=True):
    """Asks the broker of a service for a slot; may be repeated."""

    demand: slotbroker.SlotDemand


class SlotAnswer(_Message, frozen=True, kw_only=True):
    """Answers a request for a slot; one field is set.

    Attributes:
        granted: The request may start.
        refused: It must not start.
        queued: It waits; the decision follows in a ``PushSlot``.
    """

    granted: slotbroker.SlotGranted | None = None
    refused: slotbroker.SlotRefused | None = None
    queued: slotbroker.SlotQueued | None = None


class PushSlot(_Message, frozen=True, kw_only=True):
    """Sends an entry the decisions on its queued requests."""

    granted: Annotated[
        tuple[slotbroker.SlotGranted, ...],
        msgspec.Meta(max_length=_SLOTS_MAX),
    ] = ()
    refused: Annotated[
        tuple[slotbroker.SlotRefused, ...],
        msgspec.Meta(max_length=_SLOTS_MAX),
    ] = ()


class WithdrawSlot(_Message, frozen=True, kw_only=True):
    """Tells the broker that a request no longer waits for its slot."""

    ticket: Name


class ReleaseSlots(_Message, frozen=True, kw_only=True):
    """Returns slots to the broker."""

    outcomes: Annotated[
        tuple[slotbroker.SlotOutcome, ...],
        msgspec.Meta(max_length=_SLOTS_MAX),
    ]


class RankNewsPush(_Message, frozen=True, kw_only=True):
    """Reports the state of a rank to its group's coordinator."""

    update: expertmap.RankUpdate


class OrderRank(_Message, frozen=True, kw_only=True):
    """Asks a guard to give an order to its engine, or to another rank's.

    Attributes:
        order: The order, without its layout.
        group: The group of another rank.
        rank: That rank.
        layout: The layout of the order.
    """

    order: expertmap.RankOrder
    group: identifiers.GroupId | None = None
    rank: int | None = None
    layout: expertmap.PackedLayout | None = None


class RankOrdered(_Message, frozen=True, kw_only=True):
    """Answers an order with its outcome.

    Attributes:
        answer: The outcome.
        lacks_layout: The order was not given, because its layout must be sent
            in full.
        reads_compact: Layouts may be sent as compact deltas. Guards of earlier
            versions do not answer this.
    """

    answer: expertmap.RankAnswer
    lacks_layout: bool = False
    reads_compact: bool = False


class Noted(_Message, frozen=True, kw_only=True):
    """Acknowledges a message.

    Attributes:
        is_missing_data: The message was not applied, because it refers to
            data that the receiver lacks.
    """

    is_missing_data: bool = False


class Hello(_Message, frozen=True, kw_only=True):
    """Asks a guard for its current hint."""


class GuardHint(_Message, frozen=True, kw_only=True):
    """What an entry needs in order to choose and address a guard.

    Attributes:
        target: The target behind the guard.
        incarnation: Identifies the start of the guard.
        guard_now_ms: The guard's monotonic clock.
        room: Requests that could start at once.
        waiting: Requests in the guard's queue.
        limit: Current concurrency limit.
        accepts_work: False while draining or taken out.
        cost_ms: Recent service time of one request.
    """

    target: identifiers.TargetId
    incarnation: identifiers.Incarnation
    guard_now_ms: float
    room: int
    waiting: int
    limit: int
    accepts_work: bool
    cost_ms: float = 0


class KeyRef(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A caller's idempotency key within its team."""

    team: identifiers.TeamId
    key: identifiers.IdempotencyKey


class ClaimId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One round in which a guard asks for the right to run a key.

    Attributes:
        target: The claiming guard's target.
        incarnation: Identifies the start of the claiming guard.
        round: Counts the guard's rounds for this key from 1.
    """

    target: identifiers.TargetId
    incarnation: identifiers.Incarnation
    round: int


class VoteState(enum.Enum):
    """How a guard answers a request for its vote."""

    GRANTED = 'granted'
    HELD = 'held'
    NO_MEMORY = 'no-memory'
    VIEW_DIFFERS = 'view-differs'
    RECORD_FULL = 'record-full'


class VoteRequest(_Message, frozen=True, kw_only=True):
    """Asks for the receiver's vote on a key.

    Attributes:
        key: The key.
        claim: The round that asks.
        abandoned: Rounds that their guards have abandoned permanently.
        view_digest: Digest of the member list that the claim is based on.
    """

    key: KeyRef
    claim: ClaimId
    abandoned: Annotated[
        tuple[ClaimId, ...],
        msgspec.Meta(max_length=_MEMBERS_MAX),
    ]
    view_digest: int


class VoteAnswer(_Message, frozen=True, kw_only=True):
    """Answers a vote request; ``holder`` has the vote after the answer."""

    state: VoteState
    holder: ClaimId | None = None


class RoundStanding(enum.Enum):
    """State of a round at the guard that opened it."""

    OPEN = 'open'
    WON = 'won'
    ABANDONED = 'abandoned'


class RoundState(_Message, frozen=True, kw_only=True):
    """Answers a round query; ABANDONED is final for that round."""

    standing: RoundStanding


class RoundQuery(_Message, frozen=True, kw_only=True):
    """Asks the guard that opened a round whether it has abandoned it."""

    key: KeyRef
    claim: ClaimId


class SettleState(enum.Enum):
    """What a guard knows about a key when asked to settle it."""

    UNSEEN = 'unseen'
    RUNNING = 'running'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'


class SettleKey(_Message, frozen=True, kw_only=True):
    """Asks a guard to refuse a key's earlier attempts unless they run."""

    key: KeyRef
    incarnation: identifiers.Incarnation


class SettleAnswer(_Message, frozen=True, kw_only=True):
    """Answers a settle request.

    Attributes:
        state: UNSEEN means that all earlier attempts are refused from now on.
        exclusive: The guard held the key's majority until now.
        hint: The guard's current hint.
    """

    state: SettleState
    exclusive: bool
    hint: GuardHint


class Refused(_Message, frozen=True, kw_only=True):
    """States that a request could not be handled, and why."""

    fault: Annotated[str, msgspec.Meta(max_length=500)]


_MembershipMessage = (
    Probe
    | ProbeRequest
    | ProbeAcknowledged
    | ProbeFailed
    | CompareVersions
    | FetchConfiguration
    | ConfigurationPart
)
_ForwardingMessage = (
    FetchTargets
    | TargetList
    | GroupLoad
    | CrashReports
    | AskPermit
    | PermitAnswer
    | AskSlot
    | SlotAnswer
    | PushSlot
    | WithdrawSlot
    | ReleaseSlots
    | RankNewsPush
    | OrderRank
    | RankOrdered
    | Noted
)
_GuardMessage = (
    Hello
    | GuardHint
    | VoteRequest
    | VoteAnswer
    | RoundQuery
    | RoundState
    | SettleKey
    | SettleAnswer
    | Refused
)

Message = _MembershipMessage | _ForwardingMessage | _GuardMessage


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A message with its origin and the sender's configuration version.

    Attributes:
        protocol: Version of these types; others are refused.
        origin: The sender.
        configuration_version: Highest version that the sender holds.
        configuration_digest: Digest of that document.
        configuration_age_ms: Time since that document was known to be the
            newest one.
        message: The content.
        crashes_digest: Digest of the crashes that the sender knows of; None if
            it keeps none.
        configuration_era: The platform's era in which the document was
            published.
        configuration_revision: The platform's revision of it.
    """

    protocol: int
    origin: Origin
    configuration_version: int
    configuration_digest: int
    configuration_age_ms: float = 1e9
    message: Message
    crashes_digest: int | None = None
    configuration_era: int = 0
    configuration_revision: int = 0

    @property
    def configuration_order(self) -> configuration.DocumentOrder:
        """Order of the document that the sender holds."""
        return configuration.DocumentOrder(
            version=self.configuration_version,
            era=self.configuration_era,
            revision=self.configuration_revision,
            digest=self.configuration_digest,
        )
