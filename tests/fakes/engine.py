"""Fake engines of a lock-step group."""

from carobslip import expertmap


class SplitGroup(AssertionError):
    """Ranks ran the same step with different maps."""


class LockStepGroup:
    """Engines that step together, only while none is halted."""

    def __init__(self, ranks: int) -> None:
        self.engines = [FakeRankEngine() for _ in range(ranks)]
        self.steps = 0

    def can_step(self) -> bool:
        return all(
            engine.halted is None or engine.granted + 1 < engine.halted
            for engine in self.engines
        )

    def step(self) -> None:
        for engine in self.engines:
            engine.granted += 1
        versions = {engine.version_in_step() for engine in self.engines}
        if len(versions) > 1:
            raise SplitGroup(f'maps {versions} in one step')
        self.steps += 1


class FakeRankEngine:
    """Runs steps; checks fencing numbers if configured to."""

    def __init__(self) -> None:
        self.running = expertmap.MapVersion(1)
        self.previous = self.running
        self.running_from = 0
        self.granted = 0
        self.halted: int | None = None
        self.fencing = 0
        self.checks_fencing = False

    def running_version(self) -> expertmap.MapVersion:
        return self.running

    def granted_step(self) -> int:
        return self.granted

    def halted_before(self) -> int | None:
        return self.halted

    async def load(self, proposed: expertmap.ExpertMap) -> None:
        """Does nothing; loading takes no time in this fake."""

    def halt_before(self, step: int, fencing: int) -> int:
        if not self._accepts(fencing):
            return -1
        self.halted = max(step, self.granted + 1)
        return self.halted

    def resume(
        self, version: expertmap.MapVersion, step: int, fencing: int
    ) -> None:
        if not self._accepts(fencing):
            return
        self.halted = None
        if version != self.running:
            self.previous, self.running = self.running, version
            self.running_from = step

    def version_in_step(self) -> expertmap.MapVersion:
        late_enough = self.granted >= self.running_from
        return self.running if late_enough else self.previous

    def _accepts(self, fencing: int) -> bool:
        if self.checks_fencing and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True
