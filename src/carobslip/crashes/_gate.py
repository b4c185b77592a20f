"""Decides which requests are held back because of crashes.

Answers the load in which a small share of the requests holds a part of a prompt
that crashes each target which begins to answer it. A group of targets that loses
a rank serves nothing for some seconds, so the fewest crashes that tell the part
apart from others are wanted.
"""

import contextlib
import itertools
from collections.abc import Callable, Collection, Iterator
from typing import Final

import msgspec

from carobslip import clocks, identifiers
from carobslip.crashes import _ledger

#: Requests with an unproven part of a prompt that was at a crash are held back
#: until the target's group has formed again, so that a second crash does not
#: meet the groups that still serve.
_SUSPECT_MS: Final = 5000.0
#: Requests with convicted parts are held back for this long after the last
#: crash; doubled for each further one.
_CONVICTED_MS: Final = 60_000.0
_CONVICTED_MAX_MS: Final = 1_800_000.0
#: After that, entries try one request each; one entry after the other begins
#: to, so that callers who return together cause a single crash.
_SUSPECT_STEP_MS: Final = 250.0
_CONVICTED_STEP_MS: Final = 1000.0
#: Retry delay while another request with the same parts is being tried.
_TRIAL_RETRY_MS: Final = 1000.0


class Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is held back, and for how long.

    Attributes:
        why: One sentence for people.
        retry_after_ms: Time after which it may be tried.
    """

    why: str
    retry_after_ms: float


class PromptGate:
    """Holds back requests whose prompt crashes targets, or may do so.

    Args:
        ledger: The crashes that are known.
        clock: Monotonic time.
        position: Returns how many entries try a request with certain parts
            before this one does.
    """

    def __init__(
        self,
        *,
        ledger: _ledger.CrashLedger,
        clock: clocks.Clock,
        position: Callable[[Collection[identifiers.PromptPart]], int],
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._position = position
        self._under_way: list[frozenset[identifiers.PromptPart]] = []

    def find_hold(
        self,
        prompt: tuple[identifiers.PromptPart, ...],
        *,
        has_events: bool = False,
    ) -> Hold | None:
        """Returns why a request must not be sent to a target now.

        Args:
            prompt: Parts of the request.
            has_events: A target has sent events of its answer; then a single
                crash of another target does not speak against it.
        """
        if not prompt:
            return None
        holds = itertools.chain(
            self._holds_of_causes(prompt),
            () if has_events else self._holds_of_crashes(prompt),
        )
        return next((hold for hold in holds if hold is not None), None)

    @contextlib.contextmanager
    def sending(
        self, prompt: tuple[identifiers.PromptPart, ...]
    ) -> Iterator[None]:
        """Marks a request as being at a target."""
        parts = frozenset(prompt)
        self._under_way.append(parts)
        try:
            yield
        finally:
            self._under_way.remove(parts)

    def _holds_of_causes(
        self, prompt: tuple[identifiers.PromptPart, ...]
    ) -> Iterator[Hold | None]:
        for cause in self._ledger.causes:
            if not cause.parts.issubset(prompt):
                continue
            held_ms = min(
                _CONVICTED_MAX_MS, _CONVICTED_MS * 2**cause.spare_episodes
            )
            turn_ms = _CONVICTED_STEP_MS * self._position(cause.parts)
            yield self._hold_until(
                cause.last_ms + held_ms + turn_ms,
                cause.parts,
                f'{sorted(cause.parts)} crashed {len(cause.crashes)} targets',
            )

    def _holds_of_crashes(
        self, prompt: tuple[identifiers.PromptPart, ...]
    ) -> Iterator[Hold | None]:
        for crash in self._ledger.unexplained:
            for other in crash.prompts:
                suspects = crash.suspects(other)
                if suspects and suspects.issubset(prompt):
                    turn_ms = _SUSPECT_STEP_MS * self._position(suspects)
                    yield self._hold_until(
                        crash.known_ms + _SUSPECT_MS + turn_ms,
                        suspects,
                        f'{sorted(suspects)} may have crashed {crash.start}',
                    )

    def _hold_until(
        self,
        until_ms: float,
        parts: frozenset[identifiers.PromptPart],
        why: str,
    ) -> Hold | None:
        left_ms = until_ms - self._clock.now_ms()
        if left_ms > 0:
            return Hold(why=why, retry_after_ms=left_ms)
        if any(parts <= other for other in self._under_way):
            return Hold(
                why=f'{why}; another request with them is being tried',
                retry_after_ms=_TRIAL_RETRY_MS,
            )
        return None
