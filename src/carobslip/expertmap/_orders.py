"""Orders to the engine of a rank, and the port they go through."""

import enum
from typing import Protocol

import msgspec

from carobslip.expertmap import _group_map


class OrderKind(enum.Enum):
    """What an engine is told to do.

    REPORT changes nothing. PREPARE copies experts, ARM fixes the pass of a
    switch, DISARM takes that back, HOLD stops the group before a pass, and GO
    ends a hold.
    """

    REPORT = 'report'
    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    GO = 'go'


class OrderEnd(enum.Enum):
    """What became of an order."""

    DONE = 'done'
    REFUSED = 'refused'
    #: Another coordinator has used a higher number.
    FENCED = 'fenced'
    #: No answer came: it may have been carried out, or may be later.
    LOST = 'lost'


class RankOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One order.

    Attributes:
        kind: What to do.
        epoch: The order is for this epoch of the group only.
        fence: Number of the coordinator; engines refuse lower ones.
        lead_rank: Rank of the coordinator, which arms itself last.
        version: The map that is meant.
        step: The pass that is meant.
        layout: The whole layout of a map to prepare.
        with_experts: A report shall name the experts that the rank holds.
    """

    kind: OrderKind
    epoch: int
    fence: int
    lead_rank: int = 0
    version: int = 0
    step: int = 0
    layout: _group_map.Layout = ()
    with_experts: bool = False


class RankAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How an order ended, and the rank's state after it.

    Attributes:
        end: What became of the order.
        report: The engine's report; None if it gave none.
        experts: Experts of this rank by set, in use, if they were asked for.
        fence: Highest number of a coordinator known at the rank.
        lead_rank: Rank of the last coordinator that changed something.
        armed_lead: The switch for which this guard armed the coordinator's
            rank, if it did.
        lead_in_doubt: It tried, and does not know whether it did.
    """

    end: OrderEnd
    report: _group_map.RankReport | None = None
    experts: tuple[tuple[int, ...], ...] = ()
    fence: int = 0
    lead_rank: int | None = None
    armed_lead: _group_map.ArmedMap | None = None
    lead_in_doubt: bool = False


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How often a rank's requests chose each expert since its start.

    Attributes:
        epoch: The group's epoch.
        counts: Choices by set and expert, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


class EngineUnavailable(Exception):
    """The engine gave no usable answer."""


class EngineControl(Protocol):
    """Talks to the engine beside a guard."""

    async def report(self) -> _group_map.RankReport | None:
        """Returns the rank's report; None when the engine is in no group.

        Raises:
            EngineUnavailable: It gave no answer.
        """

    async def counts(self) -> ExpertCounts:
        """Returns the counts; raises EngineUnavailable."""

    async def experts(self) -> tuple[tuple[int, ...], ...]:
        """Returns this rank's experts by set; raises EngineUnavailable."""

    async def order(self, order: RankOrder) -> OrderEnd:
        """Gives an order, once."""


class GroupRanks(Protocol):
    """Reaches the guards of a group's ranks."""

    async def order(
        self,
        rank: int,
        order: RankOrder,
        *,
        through: int | None = None,
    ) -> RankAnswer:
        """Gives an order to a rank; LOST when nothing answers there.

        Args:
            rank: Which rank.
            order: What its engine is told.
            through: Rank whose guard gives the order; the rank's own one by
                default.
        """

    def address_of(self, rank: int) -> str | None:
        """Returns where the engine of a rank takes calls, if known."""
