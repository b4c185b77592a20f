"""Runs the measurements that are named, or all but the slopes."""

import sys

from benchmarks import latency, placement, serving, slopes


def main() -> None:
    """Runs what the command line names."""
    if sys.argv[1:] == ['slopes']:
        slopes.main()
        return
    latency.main()
    placement.main()
    serving.main()


if __name__ == '__main__':
    main()
