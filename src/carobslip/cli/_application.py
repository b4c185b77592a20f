"""Commands of the ``carobslip`` program.

Exit codes: 0 done, 1 a document or setting was refused, 2 wrong usage,
3 an instance could not be queried, 4 the instance does not know the request.
``check`` has its own: 0 nothing was found, 1 warnings, 2 errors.
"""

import pathlib
from typing import Annotated

import typer

import carobslip
from carobslip import clocks, observability
from carobslip.cli import _burn, _check, _documents, _queries

application = typer.Typer(
    name='carobslip',
    help='Load balancer for expert-parallel model groups.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

report = typer.Typer(help='Reports on the running fleet.')
application.add_typer(report, name='report')

SettingsOption = Annotated[
    pathlib.Path,
    typer.Option('--settings', help='Settings file, JSON with comments.'),
]
LogFormatOption = Annotated[
    observability.LogFormat,
    typer.Option('--log-format', help='How log lines are written.'),
]
AddressArgument = Annotated[
    str,
    typer.Argument(help='Operator address of an instance, IP:PORT.'),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON for other programs.'),
]


@application.command()
def entry(
    settings: SettingsOption,
    log_format: LogFormatOption = observability.LogFormat.JSON,
) -> None:
    """Run an entry instance until SIGTERM."""
    observability.configure_logging(log_format)
    _documents.run_role(settings, role='entry')


@application.command()
def guard(
    settings: SettingsOption,
    log_format: LogFormatOption = observability.LogFormat.JSON,
) -> None:
    """Run the guard of one target until SIGTERM."""
    observability.configure_logging(log_format)
    _documents.run_role(settings, role='guard')


@application.command()
def check(
    file: Annotated[
        pathlib.Path,
        typer.Argument(help='Settings or configuration file.'),
    ],
    against: Annotated[
        pathlib.Path | None,
        typer.Option(
            '--against',
            '--previous',
            help='The configuration that is in force now.',
        ),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Check a file before it is used, and show what it changes.

    Exit codes: 0 nothing was found, 1 warnings, 2 errors.
    """
    clock = clocks.SystemClock()
    _check.show(_check.check_file(file, against, clock), as_json=json)


@application.command()
def status(address: AddressArgument, json: JsonOption = False) -> None:
    """Show the state of one instance and its view of the fleet."""
    _queries.show_status(address, as_json=json)


@application.command()
def explain(
    address: AddressArgument,
    request_id: Annotated[str, typer.Argument(help='Carobslip-Request-Id.')],
    json: JsonOption = False,
) -> None:
    """Show where a recent request went, and why."""
    _queries.show_explanation(address, request_id, as_json=json)


@report.command()
def burn(
    addresses: Annotated[
        list[str],
        typer.Argument(help='Operator addresses of entries.'),
    ],
    json: JsonOption = False,
    html: Annotated[
        pathlib.Path | None,
        typer.Option(help='Write one self-contained HTML page.'),
    ] = None,
) -> None:
    """Show how fast services spend their error budgets."""
    _burn.show_burn(addresses, as_json=json, page=html)


@application.command()
def version() -> None:
    """Print the version."""
    typer.echo(carobslip.__version__)
