"""Queries running instances and shows their answers."""

import json
import urllib.error
import urllib.request
from typing import Any, Final

import typer

#: Exit codes.
UNREACHABLE: Final = 3
NOT_FOUND: Final = 4
_TIMEOUT_S: Final = 3


class QueryFailed(Exception):
    """An instance could not be reached, or its answer was not JSON."""


class NotFound(Exception):
    """The instance does not know what was requested."""


def fetch(address: str, path: str) -> Any:
    """Returns the answer of an instance's operator interface.

    Args:
        address: Operator address, IP:PORT.
        path: Path of the query.

    Raises:
        QueryFailed: The instance could not be reached, or its answer was not
            JSON.
        NotFound: The instance does not know what was requested.
    """
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    url = f'http://{address}{path}'
    try:
        with opener.open(url, timeout=_TIMEOUT_S) as answer:
            return json.load(answer)
    except urllib.error.HTTPError as fault:
        raise NotFound(fault.read().decode().strip()) from None
    except (OSError, ValueError) as fault:
        raise QueryFailed(f'cannot be asked: {fault}') from None


def fetch_or_exit(address: str, path: str) -> Any:
    """Returns an answer, or exits with the matching exit code."""
    try:
        return fetch(address, path)
    except NotFound as fault:
        typer.echo(str(fault), err=True)
        raise typer.Exit(NOT_FOUND) from None
    except QueryFailed as fault:
        typer.echo(f'{address} {fault}', err=True)
        raise typer.Exit(UNREACHABLE) from None


def show_status(address: str, *, as_json: bool) -> None:
    """Prints the state of an instance and its view of the fleet."""
    status = fetch_or_exit(address, '/status')
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
    trace = fetch_or_exit(address, f'/explain/{request_id}')
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
