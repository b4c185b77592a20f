"""Builds the binary: one zip application that starts no child process."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]


def main() -> None:
    """Builds the binary at the path given on the command line."""
    binary = pathlib.Path(sys.argv[1])
    binary.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(
        [
            str(pathlib.Path(sys.executable).with_name('shiv')),
            '--quiet',
            '--compressed',
            '--reproducible',
            '--python',
            '/usr/bin/env python3.11',
            '--entry-point',
            'carobslip.__main__:main',
            '--output-file',
            str(binary),
            str(ROOT),
        ],
        check=True,
    )
    print(f'{binary}: {binary.stat().st_size / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
