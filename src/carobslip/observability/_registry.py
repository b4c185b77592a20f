"""Counters, gauges and latency histograms in the text format."""

import bisect
import itertools
import re
from typing import Final

#: Upper bounds of the latency buckets, in milliseconds.
_BOUNDS_MS: Final = (
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0,
    1000.0, 2000.0, 5000.0, 10_000.0,
)  # fmt: skip
_INVALID_CHARACTER: Final = re.compile('[^a-zA-Z0-9_]')


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(_BOUNDS_MS) + 1)
        self.sum_ms = 0.0


class MetricsBook:
    r"""Keeps metrics in memory until they are scraped.

    >>> book = MetricsBook()
    >>> book.count('ended.ran', 2)
    >>> book.text()
    'carobslip_ended_ran_total 2\n'
    """

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

    def level(self, name: str, amount: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = amount

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Adds a duration to a histogram."""
        histogram = self._histograms.setdefault(name, _Histogram())
        histogram.counts[bisect.bisect_left(_BOUNDS_MS, duration_ms)] += 1
        histogram.sum_ms += duration_ms

    def text(self) -> str:
        """Returns all metrics in the text format of Prometheus."""
        lines = [
            f'{_exported_name(name)}_total {count}'
            for name, count in sorted(self._counters.items())
        ]
        lines += [
            f'{_exported_name(name)} {gauge:g}'
            for name, gauge in sorted(self._gauges.items())
        ]
        histograms = [
            _histogram_lines(_exported_name(name), histogram)
            for name, histogram in sorted(self._histograms.items())
        ]
        lines.extend(itertools.chain.from_iterable(histograms))
        return '\n'.join(lines) + '\n'


def _histogram_lines(name: str, histogram: _Histogram) -> list[str]:
    bounds = [*(f'{bound:g}' for bound in _BOUNDS_MS), '+Inf']
    totals = list(itertools.accumulate(histogram.counts))
    lines = [
        f'{name}_ms_bucket{{le="{bound}"}} {total}'
        for bound, total in zip(bounds, totals, strict=True)
    ]
    lines.append(f'{name}_ms_sum {histogram.sum_ms:.1f}')
    lines.append(f'{name}_ms_count {totals[-1]}')
    return lines


def _exported_name(name: str) -> str:
    return 'carobslip_' + _INVALID_CHARACTER.sub('_', name)
