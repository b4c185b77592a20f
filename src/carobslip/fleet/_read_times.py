"""When an instance looks for news of the configuration, and where."""

from typing import Final

import msgspec

#: Peers are asked once the knowledge is older than a watch by this factor,
#: because a watcher knows more after each watch.
_WATCH_FACTOR: Final = 1.02
#: Least age at which peers are asked, its random spread, and the time for each
#: pair of peers, as parts of the time in which a configuration must apply.
_ASK_SHARE: Final = 0.5
_SPREAD_SHARE: Final = 0.05
_PAIR_SHARE: Final = 0.1
#: Pairs of peers that are asked before an instance reads for itself.
_PAIRS: Final = 2


class ReadTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Ages of the knowledge of the configuration, and pauses between reads.

    Attributes:
        watch_ms: How long the platform may hold a watch open.
        ask_ms: Age at which peers are asked.
        spread_ms: Random addition to it, so that not all ask at once.
        pair_ms: Time in which a pair of peers must show younger knowledge.
        pairs: Pairs that are asked before an instance reads for itself.
    """

    watch_ms: int
    ask_ms: float
    spread_ms: float
    pair_ms: float
    pairs: int = _PAIRS

    @classmethod
    def derive(cls, *, watch_ms: int, apply_ms: float) -> 'ReadTimes':
        """Derives the times from the bound on applying a configuration.

        Args:
            watch_ms: How long the platform may hold a watch open; reduced to
                what the bound allows.
            apply_ms: Time within which a configuration must be in force.
        """
        held_ms = min(watch_ms, int(_ASK_SHARE * apply_ms))
        return cls(
            watch_ms=held_ms,
            ask_ms=max(_WATCH_FACTOR * held_ms, _ASK_SHARE * apply_ms),
            spread_ms=_SPREAD_SHARE * apply_ms,
            pair_ms=_PAIR_SHARE * apply_ms,
        )

    @property
    def read_ms(self) -> float:
        """Age at which an instance has begun to read for itself."""
        return self.ask_ms + self.spread_ms + self.pairs * self.pair_ms
