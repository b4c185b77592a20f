"""Reads files for the commands."""

import pathlib

import typer

from carobslip import configuration, settings

#: Exit code of a refused document.
REFUSED = 1


def run_role(path: pathlib.Path, *, role: str) -> None:
    """Runs the process that a settings file describes.

    Args:
        path: The settings file.
        role: The role that the command names.
    """
    try:
        process_settings = settings.read_settings(path)
    except (configuration.InvalidDocument, OSError) as fault:
        typer.echo(str(fault), err=True)
        raise typer.Exit(REFUSED) from None
    # Imported here, so that only the commands that run servers load them.
    from carobslip import processes

    if isinstance(process_settings, settings.EntrySettings) and role == 'entry':
        processes.run_process(processes.EntryProcess(own=process_settings))
    elif (
        isinstance(process_settings, settings.GuardSettings) and role == 'guard'
    ):
        processes.run_process(processes.GuardProcess(own=process_settings))
    else:
        typer.echo(
            f'{path}:1: $.kind: does not match the command {role!r}', err=True
        )
        raise typer.Exit(REFUSED)
