"""A rank's part in switching the expert map of its group."""

import enum
from typing import Protocol

import msgspec

from carobslip import identifiers
from carobslip.expertmap import _map


class Phase(enum.Enum):
    """State of a proposed map at one rank."""

    SETTLED = 'settled'
    PROMISED = 'promised'
    RECOVERING = 'recovering'


class Decision(enum.Enum):
    """Decision on a proposed map."""

    COMMIT = 'commit'
    ABORT = 'abort'


class RankEngine(Protocol):
    """The engine of one rank; it executes steps in lock-step with the others.

    Orders carry a fencing number. Some engines refuse an older number, others
    ignore it. The latter accept orders only from this guard, which refuses
    older numbers on their behalf.
    """

    def running_version(self) -> _map.MapVersion:
        """Returns the version that the engine was last told to run."""

    def granted_step(self) -> int:
        """Returns the last step that the engine may have begun."""

    def halted_before(self) -> int | None:
        """Returns the step before which the engine is halted, if it is."""

    async def load(self, proposed: _map.ExpertMap) -> None:
        """Loads the weights that the map needs in addition to those in use."""

    def halt_before(self, step: int, fencing: int) -> int:
        """Stops before ``step``, or before the next one if that has begun.

        Returns:
            The step before which the engine halts.
        """

    def resume(
        self,
        version: _map.MapVersion,
        step: int,
        fencing: int,
    ) -> None:
        """Resumes execution, with the given map from ``step`` on.

        Steps before ``step`` that have not begun yet keep the old map.
        """


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Credentials of a coordinator's request for a promise or a decision.

    Attributes:
        ballot: The coordinator's number.
        incarnation: Incarnation of the guard that answered its inquiry.
    """

    ballot: int
    incarnation: identifiers.Incarnation


class Promise(msgspec.Struct, frozen=True, kw_only=True):
    """A rank's answer to a proposal.

    Attributes:
        granted: The rank halts before the step until it knows the outcome.
        running: The map that the rank runs now.
        next_step: First step that the rank has not begun.
        ballot: Highest coordinator number that the rank has answered.
    """

    granted: bool
    running: _map.MapVersion
    next_step: int
    ballot: int


class RankState(msgspec.Struct, frozen=True, kw_only=True):
    """State that a rank returns to a coordinator that takes over.

    Attributes:
        phase: State of the latest proposal at this rank.
        version: Its version; the running one when nothing is proposed.
        running: The map that the engine runs.
        step: The step from which the proposal takes effect.
        begun_step: Last step that the rank may have begun.
        ballot: Highest coordinator number that the rank has answered.
        incarnation: Incarnation of the answering guard.
    """

    phase: Phase
    version: _map.MapVersion
    running: _map.MapVersion
    step: int
    begun_step: int
    ballot: int
    incarnation: identifiers.Incarnation


class RankSwitch:
    """Prevents a rank from running a step with a map that others do not use.

    A coordinator uses a ballot number and inquires first. Once the rank has
    answered a higher number it refuses all requests with lower ones, so a
    coordinator that was paused between deciding and sending cannot split the
    group when it resumes. Orders name the incarnation of the guard that
    answered the inquiry, because a restarted guard has lost its binding.

    Args:
        engine: The engine of this rank; its report of the running map is
            authoritative after a restart of the guard.
        incarnation: Incarnation of this guard.
    """

    def __init__(
        self,
        *,
        engine: RankEngine,
        incarnation: identifiers.Incarnation,
    ) -> None:
        self._engine = engine
        self._incarnation = incarnation
        self._ballot = 0
        self._proposed: _map.MapVersion | None = None
        halted_before = engine.halted_before()
        self._step = halted_before or 0
        self._phase = Phase.RECOVERING if halted_before else Phase.SETTLED

    def state(self) -> RankState:
        """Returns the rank's current state, without binding it."""
        running = self._engine.running_version()
        return RankState(
            phase=self._phase,
            version=running if self._proposed is None else self._proposed,
            running=running,
            step=self._step,
            begun_step=self._engine.granted_step(),
            ballot=self._ballot,
            incarnation=self._incarnation,
        )

    def inquire(self, ballot: int) -> RankState | None:
        """Answers a coordinator that takes over, and binds the rank to it.

        Returns:
            The state; None when a higher number has been answered already.
        """
        if ballot < self._ballot:
            return None
        self._ballot = ballot
        return self.state()

    def promise(
        self,
        version: _map.MapVersion,
        step: int,
        order: Order,
    ) -> Promise:
        """Answers a proposal of ``version`` from ``step`` on.

        The promise is refused when the step may have begun here, when another
        proposal is open, or when a higher coordinator number is known.
        """
        granted = self._may_promise(version, order)
        if granted:
            halted_at = self._engine.halt_before(step, order.ballot)
            if halted_at == step:
                self._phase = Phase.PROMISED
                self._proposed = version
                self._step = step
            else:
                granted = False
                running = self._engine.running_version()
                self._engine.resume(running, halted_at, order.ballot)
        return Promise(
            granted=granted,
            running=self._engine.running_version(),
            next_step=self._engine.granted_step() + 1,
            ballot=self._ballot,
        )

    def confirm(self, order: Order) -> bool:
        """Tells whether this incarnation is bound to the order's ballot."""
        return self._is_valid(order)

    def decide(
        self,
        version: _map.MapVersion,
        decision: Decision,
        order: Order,
    ) -> bool:
        """Applies a decision; tells whether it is now in force here."""
        running = self._engine.running_version()
        if self._phase is Phase.SETTLED:
            committed = running == version
            if decision is Decision.COMMIT:
                return committed
            return not committed and self._is_valid(order)
        if not self._may_decide(version, order):
            return False
        resumed_version = version if decision is Decision.COMMIT else running
        self._engine.resume(resumed_version, self._step, order.ballot)
        self._phase = Phase.SETTLED
        self._proposed = None
        return True

    def _may_decide(self, version: _map.MapVersion, order: Order) -> bool:
        # A recovering guard does not know for which version it was halted.
        recovering = self._phase is Phase.RECOVERING
        same = recovering or self._proposed == version
        return same and self._is_valid(order)

    def _may_promise(self, version: _map.MapVersion, order: Order) -> bool:
        if not self._is_valid(order):
            return False
        if version <= self._engine.running_version():
            return False
        return self._phase is Phase.SETTLED or self._proposed == version

    def _is_valid(self, order: Order) -> bool:
        same_incarnation = order.incarnation == self._incarnation
        return same_incarnation and order.ballot == self._ballot
