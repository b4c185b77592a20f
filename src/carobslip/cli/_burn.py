"""The report on service-level burn."""

import pathlib
from collections.abc import Sequence

import msgspec
import typer

from carobslip import reports
from carobslip.cli import _queries


def show_burn(
    addresses: Sequence[str],
    *,
    as_json: bool,
    page: pathlib.Path | None,
) -> None:
    """Fetches the counts of entries and prints the report.

    Args:
        addresses: Operator addresses of entries.
        as_json: Print JSON instead of a table.
        page: Path of the HTML page; None to write none.
    """
    answers = []
    unreachable = {}
    for address in addresses:
        try:
            answer = _queries.fetch(address, '/burn')
        except _queries.QueryFailed as fault:
            unreachable[address] = str(fault)
            continue
        answers.append(msgspec.convert(answer, reports.EntryCounts))
    report = reports.build_report(answers, unreachable)
    if page is not None:
        page.write_text(reports.render_page(report), encoding='utf-8')
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
    else:
        _print_table(report)
    if unreachable:
        raise typer.Exit(_queries.UNREACHABLE)


def _print_table(report: reports.BurnReport) -> None:
    windows = ''.join(f'{minutes:>7}m' for minutes in reports.WINDOWS_MIN)
    typer.echo(
        f'{"service":<14}{"team":<16}{"data centre":<12}{"objective":>10}'
        f'{"good":>8}{"bad":>6}{"spent":>8}{windows}  act',
    )
    for row in report.rows:
        rates = ''.join(
            f'{row.burn_by_window.get(minutes, 0.0):>8.1f}'
            for minutes in reports.WINDOWS_MIN
        )
        typer.echo(
            f'{row.service:<14}{row.team:<16}{row.data_centre:<12}'
            f'{row.good_ratio:>10.4g}{row.good:>8}{row.bad:>6}'
            f'{row.budget_spent:>8.0%}{rates}  {row.urgency.value}',
        )
    for address, fault in report.unreachable.items():
        typer.echo(f'not asked: {address}: {fault}', err=True)
