"""Orders to the engine of a rank, and the interfaces that carry them."""

import enum
from typing import Protocol

import msgspec

from carobslip.expertmap import _group_map


class OrderKind(enum.Enum):
    """Kind of an order to an engine.

    REPORT changes nothing. PREPARE copies experts, ARM sets the pass of a
    switch, DISARM cancels that, HOLD stops the group before a pass, and GO
    ends a hold.
    """

    REPORT = 'report'
    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    GO = 'go'


class OrderEnd(enum.Enum):
    """Outcome of an order."""

    DONE = 'done'
    REFUSED = 'refused'
    #: Another coordinator has used a higher fencing number.
    FENCED = 'fenced'
    #: No answer arrived; the order may have been or may yet be carried out.
    LOST = 'lost'


class RankOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An order of a coordinator to one rank.

    Attributes:
        kind: Action to take.
        epoch: Epoch of the group for which the order is valid.
        fence: Fencing number of the coordinator; engines refuse lower ones.
        coordinator_rank: Rank of the coordinator, which arms itself last.
        version: Version of the map that the order concerns.
        step: Pass that the order concerns.
        layout: The complete layout of a map to prepare.
        with_experts: Whether the answer lists the experts that the rank holds.
        is_undo: Whether the order ends another coordinator's switch.
        expected_seq: Orders that the engine must have accepted before; it
            refuses the order otherwise. None for any number.
    """

    kind: OrderKind
    epoch: int
    fence: int
    coordinator_rank: int = 0
    version: int = 0
    step: int = 0
    layout: _group_map.Layout = ()
    with_experts: bool = False
    is_undo: bool = False
    expected_seq: int | None = None


class RankAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Outcome of an order, and the rank's state after it.

    Attributes:
        end: Outcome of the order.
        report: The engine's report; None if it gave none.
        experts: Experts in use at this rank by set, if requested.
        fence: Highest fencing number known at the rank.
        coordinator_rank: Rank of the last coordinator that prepared a map for
            a switch of its own since this guard has started.
        coordinator_armed_map: The switch for which this guard armed the
            coordinator's rank, if it did.
        coordinator_in_doubt: Whether this guard tried to arm the coordinator's
            rank and does not know the outcome.
    """

    end: OrderEnd
    report: _group_map.RankReport | None = None
    experts: tuple[tuple[int, ...], ...] = ()
    fence: int = 0
    coordinator_rank: int | None = None
    coordinator_armed_map: _group_map.ArmedMap | None = None
    coordinator_in_doubt: bool = False


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """How often a rank's requests chose each expert since its start.

    Attributes:
        epoch: The group's epoch.
        counts: Selections by set and expert, set after set.
    """

    epoch: int
    counts: tuple[int, ...]


class EngineUnavailable(Exception):
    """The engine gave no usable answer."""


class EngineControl(Protocol):
    """Client of the engine beside a guard."""

    async def report(self) -> _group_map.RankReport | None:
        """Returns the rank's report; None when the engine is in no group.

        Raises:
            EngineUnavailable: The engine did not answer.
        """

    async def counts(self) -> ExpertCounts:
        """Returns the counts; raises EngineUnavailable."""

    async def experts(self) -> tuple[tuple[int, ...], ...]:
        """Returns this rank's experts by set; raises EngineUnavailable."""

    async def order(self, order: RankOrder) -> OrderEnd:
        """Sends an order, without retries."""


class GroupRanks(Protocol):
    """Reaches the guards of a group's ranks."""

    async def order(
        self,
        rank: int,
        order: RankOrder,
        *,
        through: int | None = None,
    ) -> RankAnswer:
        """Sends an order to a rank; LOST when the rank does not answer.

        Args:
            rank: Rank that receives the order.
            order: The order.
            through: Rank whose guard sends the order; by default the guard
                of ``rank``.
        """

    def address_of(self, rank: int) -> str | None:
        """Returns the address of a rank's engine, if known."""
