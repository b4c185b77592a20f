"""Asks running instances and shows their answers."""

import json
import urllib.error
import urllib.request
from typing import Any, Final

import typer

#: Exit codes.
UNREACHABLE: Final = 3
UNKNOWN: Final = 4
_TIMEOUT_S: Final = 3


class Unanswered(Exception):
    """An instance could not be asked."""


class Unknown(Exception):
    """The instance knows nothing of what was asked for."""


def fetch(address: str, path: str) -> Any:
    """Returns an instance's answer to an operator's question.

    Args:
        address: Operator address, IP:PORT.
        path: The question's path.

    Raises:
        Unanswered: The instance could not be asked.
        Unknown: It knows nothing of what was asked for.
    """
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    url = f'http://{address}{path}'
    try:
        with opener.open(url, timeout=_TIMEOUT_S) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as fault:
        raise Unknown(fault.read().decode().strip()) from None
    except (OSError, ValueError) as fault:
        raise Unanswered(f'cannot be asked: {fault}') from None


def ask(address: str, path: str) -> Any:
    """Returns an answer, or ends the command with the fitting exit code."""
    try:
        return fetch(address, path)
    except Unknown as fault:
        typer.echo(str(fault), err=True)
        raise typer.Exit(UNKNOWN) from None
    except Unanswered as fault:
        typer.echo(f'{address} {fault}', err=True)
        raise typer.Exit(UNREACHABLE) from None


def show_status(address: str, *, as_json: bool) -> None:
    """Prints what an instance sees."""
    status = ask(address, '/status')
    if as_json:
        typer.echo(json.dumps(status, indent=2))
        return
    leaving = ', leaving' if status['is_leaving'] else ''
    typer.echo(
        f'{status["instance"]} ({status["role"]}, '
        f'{status["data_centre"]}{leaving})',
    )
    typer.echo(
        f'configuration  version {status["configuration_version"]}, '
        f'confirmed {status["configuration_age_ms"]} ms ago',
    )
    if status['configuration_fault']:
        typer.echo(f'refused        {status["configuration_fault"]}')
    out = [*status['data_centres_out'], *status['targets_out']]
    typer.echo(f'out            {", ".join(out) or "none"}')
    typer.echo(f'in progress    {status["requests_in_progress"]}')
    _show_targets(status['targets'])
    _show_members(status['members'])


def show_explanation(
    address: str,
    request_id: str,
    *,
    as_json: bool,
) -> None:
    """Prints where a request went and why."""
    trace = ask(address, f'/explain/{request_id}')
    if as_json:
        typer.echo(json.dumps(trace, indent=2))
        return
    repeatable = 'repeatable' if trace['repeatable'] else 'at most once'
    typer.echo(f'{trace["service"]} for {trace["team"]}, {repeatable}')
    for step in trace['steps']:
        typer.echo(
            f'{step["after_ms"]:>10.1f} ms  {step["target"]:<16} '
            f'{step["what"]}',
        )
    outcome = trace['outcome']
    if outcome is None:
        typer.echo('in progress')
    else:
        typer.echo(f'{outcome["verdict"]}: {outcome["reason"]}')


def _show_targets(targets: list[dict[str, Any]]) -> None:
    typer.echo(
        f'{"target":<20}{"accepts":<9}{"room":>5}{"limit":>7}{"queue":>7}'
    )
    for hint in targets:
        accepts = 'yes' if hint['accepts_work'] else 'no'
        typer.echo(
            f'{hint["target"]:<20}{accepts:<9}{hint["room"]:>5}'
            f'{hint["limit"]:>7}{hint["waiting"]:>7}',
        )


def _show_members(members: list[dict[str, Any]]) -> None:
    typer.echo(f'{"member":<20}{"role":<8}{"data centre":<14}state')
    for member in members:
        typer.echo(
            f'{member["instance"]:<20}{member["role"]:<8}'
            f'{member["data_centre"]:<14}{member["state"]}',
        )
