"""Reads files for the commands."""

import pathlib

import typer

from carobslip import configuration, settings

_Document = (
    settings.EntrySettings
    | settings.GuardSettings
    | configuration.Configuration
)

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


def find_fault(
    path: pathlib.Path,
    previous: pathlib.Path | None,
) -> str | None:
    """Returns the fault of a settings or configuration file, or None.

    Args:
        path: The file.
        previous: The configuration that it is to replace, if any.
    """
    try:
        document = _read_file(path)
        if previous is None:
            return None
        before = _read_file(previous)
    except (configuration.InvalidDocument, OSError) as fault:
        return str(fault)
    if not isinstance(document, configuration.Configuration):
        return f'{path}:1: $.kind: only configurations have a previous one'
    if not isinstance(before, configuration.Configuration):
        return f'{previous}:1: $.kind: this is not a configuration'
    step_fault = configuration.find_step_fault(before, document)
    return None if step_fault is None else f'{path}: {step_fault}'


def _read_file(path: pathlib.Path) -> _Document:
    document: _Document = configuration.read_tagged(
        path.read_text(encoding='utf-8'),
        source=str(path),
        kinds=(
            settings.EntrySettings,
            settings.GuardSettings,
            configuration.Configuration,
        ),
    )
    return document
