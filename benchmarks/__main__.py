"""Runs the slopes if they are named, otherwise all other benchmarks."""

import sys

from benchmarks import answer_heads, latency, placement, serving, slopes


def main() -> None:
    """Runs the benchmarks that the command line selects."""
    if sys.argv[1:] == ['slopes']:
        slopes.main()
        return
    answer_heads.main()
    latency.main()
    placement.main()
    serving.main()


if __name__ == '__main__':
    main()
