"""Finds the parts of prompts that explain crashes."""

import collections
import math
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

import msgspec

from carobslip import identifiers
from carobslip.crashes import _records

#: Crashes within this time count once: engines that fail together have a cause
#: of their own, and a part that many requests hold was at several of them.
EPISODE_MS: Final = 250.0
#: What a crash says against a part: less if the request with it had events
#: already. Engines are at most crashes amid many answers, few of which have just
#: begun. Whole contents are rare, so for them the events do not matter.
_WEIGHT: Final = 3
_WEIGHT_IF_BEGUN: Final = 2
#: Weight that convicts a part. One that was answered shortly before needs more,
#: since requests with it are at most crashes by chance.
_WEIGHT_NEEDED: Final = 6
_WEIGHT_NEEDED_IF_PROVEN: Final = 12


class Cause(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of a prompt that crash targets.

    Attributes:
        parts: Requests that hold all of them crash their target. More than one
            if all crashes so far had the same parts in common.
        crashes: The starts that ended.
        spare_episodes: Crashes beyond those that were needed to convict.
        last_ms: When the last of them became known.
    """

    parts: frozenset[identifiers.PromptPart]
    crashes: tuple[_records.TargetStart, ...]
    spare_episodes: int
    last_ms: float


class Explanation(NamedTuple):
    """Causes of crashes, and the crashes that none of them explains."""

    causes: list[Cause]
    unexplained: list[_records.Crash]


def find_causes(crashes: Iterable[_records.Crash]) -> Explanation:
    """Returns the causes that explain crashes.

    A crash that a cause explains does not speak against the other requests that
    were at the same target.
    """
    causes: list[Cause] = []
    unexplained = sorted(crashes, key=lambda crash: crash.known_ms)
    while True:
        cause = _find_strongest(unexplained)
        if cause is None:
            return Explanation(causes, unexplained)
        causes.append(cause)
        unexplained = [
            crash for crash in unexplained if crash.start not in cause.crashes
        ]


def _find_strongest(crashes: Sequence[_records.Crash]) -> Cause | None:
    by_part: dict[identifiers.PromptPart, list[_records.Crash]] = (
        collections.defaultdict(list)
    )
    for crash in crashes:
        for part in crash.parts - crash.cleared:
            by_part[part].append(crash)
    excess = {
        part: _weigh_episodes(part, present) - _weight_needed(part, present)
        for part, present in by_part.items()
    }
    convicted = [part for part in excess if excess[part] >= 0]
    if not convicted:
        return None
    strongest = max(convicted, key=lambda part: (excess[part], part))
    present = by_part[strongest]
    return Cause(
        parts=_common_parts(strongest, present),
        crashes=tuple(crash.start for crash in present),
        spare_episodes=excess[strongest] // _WEIGHT,
        last_ms=present[-1].known_ms,
    )


def _weight_needed(
    part: identifiers.PromptPart,
    crashes: Sequence[_records.Crash],
) -> int:
    is_proven = any(part in crash.proven for crash in crashes)
    return _WEIGHT_NEEDED_IF_PROVEN if is_proven else _WEIGHT_NEEDED


def _weigh_episodes(
    part: identifiers.PromptPart,
    crashes: Sequence[_records.Crash],
) -> int:
    """Adds up the greatest weight of each episode."""
    weights: list[int] = []
    begun_ms = -math.inf
    for crash in crashes:
        weight = _weight_of(part, crash)
        if crash.known_ms - begun_ms >= EPISODE_MS:
            weights.append(weight)
            begun_ms = crash.known_ms
        else:
            weights[-1] = max(weights[-1], weight)
    return sum(weights)


def _weight_of(part: identifiers.PromptPart, crash: _records.Crash) -> int:
    is_full = _records.is_content(part) or part in crash.parts_without_event
    return _WEIGHT if is_full else _WEIGHT_IF_BEGUN


def _common_parts(
    part: identifiers.PromptPart,
    crashes: Sequence[_records.Crash],
) -> frozenset[identifiers.PromptPart]:
    """Returns the parts that occur beside a part at each of the crashes."""
    return frozenset.intersection(
        *(
            frozenset(
                other
                for prompt in crash.prompts | crash.begun
                if part in prompt
                for other in prompt
            )
            - crash.cleared
            - (crash.proven - {part})
            for crash in crashes
        ),
    )
