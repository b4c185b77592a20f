"""Runs the whole matrix and writes docs/FAULT-MATRIX.md."""

import concurrent.futures
import pathlib

from tests.matrix import faults, serving

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'FAULT-MATRIX.md'
MARKS = {
    serving.Finding.HELD: 'held',
    serving.Finding.REFUSED_SAFELY: 'refused',
    serving.Finding.NOT_APPLICABLE: 'n/a',
}


def run(coordinates: tuple[str, str, bool]) -> str:
    """Runs one cell and returns its mark."""
    step, fault, with_naive = coordinates
    try:
        cell = serving.run_cell(step, fault, with_naive=with_naive)
    except AssertionError as broken:
        return 'BROKEN: ' + str(broken).split('\n')[0]
    mark = MARKS[cell.finding]
    return f'{mark} ({cell.why})' if cell.why else mark


def main() -> None:
    """Runs all cells with the real and with the naive version."""
    ours = run_all(with_naive=False)
    theirs = run_all(with_naive=True)
    write(ours, theirs)
    broken = [
        coordinates for coordinates, mark in ours.items() if 'BROKEN' in mark
    ]
    print(f'{len(ours)} cells, {len(broken)} broken: {broken}')
    naive_broken = sum('BROKEN' in mark for mark in theirs.values())
    print(f'naive version: {naive_broken} of {len(theirs)} cells broken')


def run_all(*, with_naive: bool) -> dict[tuple[str, str], str]:
    all_coordinates = [
        (step, fault, with_naive)
        for fault in faults.FAULTS
        for step in serving.STEPS
    ]
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        marks = list(pool.map(run, all_coordinates, chunksize=4))
    return {
        (step, fault): mark
        for (step, fault, _), mark in zip(all_coordinates, marks, strict=True)
    }


def write(
    ours: dict[tuple[str, str], str], theirs: dict[tuple[str, str], str]
) -> None:
    """Writes the page from the marks of both runs."""
    counts = {
        mark: sum(found.startswith(mark) for found in ours.values())
        for mark in ('held', 'refused', 'n/a', 'BROKEN')
    }
    naive_broken = sum('BROKEN' in mark for mark in theirs.values())
    lines = [
        '# Fault matrix of serving',
        '',
        'Written by `make matrix`; each cell is one run in virtual time with',
        'the seed `crc32("step/fault") % 10000`. The judge compares the',
        "targets' ledgers with what every caller was told: no key runs twice,",
        'nothing runs that was told not-run, every reply is whole and its',
        "caller's own. *held*: the booking ran in the end, once. *refused*:",
        'the caller was left with a safe verdict, for the reason given.',
        '',
        f'{len(ours)} cells: {counts["held"]} held, {counts["refused"]} '
        f'refused safely, {counts["n/a"]} not applicable, '
        f'{counts["BROKEN"]} broken. The naive version (round robin, retries '
        f'anything) breaks a promise in {naive_broken} of {len(theirs)} '
        'cells; these are marked with *.',
        '',
        '| fault | ' + ' | '.join(serving.STEPS) + ' |',
        '|---|' + '---|' * len(serving.STEPS),
    ]
    for fault in faults.FAULTS:
        cells = [
            ours[step, fault] + ('*' if 'BROKEN' in theirs[step, fault] else '')
            for step in serving.STEPS
        ]
        lines.append(f'| {fault} | ' + ' | '.join(cells) + ' |')
    PAGE.write_text('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
