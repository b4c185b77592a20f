"""The check of a document before it is sent.

Exit codes: 0 nothing was found, 1 warnings, 2 errors.
"""

import pathlib
from typing import Any, Final

import msgspec
import typer

from carobslip import clocks, configuration, settings
from carobslip.cli import (
    _changes,
    _findings,
    _policy_findings,
    _route_findings,
)

#: Exit codes by the most severe finding.
_EXIT_CODES: Final = {
    _findings.Severity.WARNING: 1,
    _findings.Severity.ERROR: 2,
}
_Document = (
    settings.EntrySettings
    | settings.GuardSettings
    | configuration.Configuration
)


class Report(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The result of a check.

    Attributes:
        file: The checked file.
        findings: Faults; empty if there are none.
        changes: Differences to the version in force.
    """

    file: str
    findings: list[_findings.Finding]
    changes: list[_findings.Change] = []

    @property
    def exit_code(self) -> int:
        """Exit code of the command."""
        codes = [_EXIT_CODES[one.severity] for one in self.findings]
        return max(codes, default=0)


def check_file(
    path: pathlib.Path, against: pathlib.Path | None, clock: clocks.Clock
) -> Report:
    """Checks a settings or configuration file.

    Args:
        path: The file.
        against: The configuration that it is to replace, if any.
        clock: Decides which exceptions have ended.
    """
    report = Report(file=str(path), findings=[])
    try:
        text = path.read_text(encoding='utf-8')
        document = _read(text, path)
        before = None
        if against is not None:
            before = _read(against.read_text(encoding='utf-8'), against)
    except configuration.InvalidDocument as fault:
        report.file = fault.source
        report.findings.append(
            msgspec.structs.replace(
                _findings.error(fault.path, fault.fault), line=fault.line
            )
        )
        return report
    except (OSError, UnicodeDecodeError) as fault:
        report.findings.append(_findings.error('$', str(fault)))
        return report
    findings = _find_faults(document, before, clock)
    report.findings = [
        msgspec.structs.replace(
            one, line=configuration.find_line(text, one.path)
        )
        for one in findings
    ]
    if isinstance(document, configuration.Configuration) and isinstance(
        before, configuration.Configuration
    ):
        report.changes = _changes.find_changes(before, document)
    return report


def show(report: Report, *, as_json: bool) -> None:
    """Prints a report and exits with its code."""
    if as_json:
        content = {**msgspec.to_builtins(report), 'exit_code': report.exit_code}
        typer.echo(msgspec.json.encode(content).decode())
        raise typer.Exit(report.exit_code)
    for one in report.findings:
        line = '?' if one.line is None else one.line
        typer.echo(
            f'{report.file}:{line}: {one.path}: {one.severity.value}: '
            f'{one.reason}',
            err=True,
        )
    for change in report.changes:
        typer.echo(f'{change.subject}: {change.text}')
    if not report.findings:
        typer.echo(f'{report.file}: accepted')
    raise typer.Exit(report.exit_code)


def _find_faults(
    document: _Document, before: _Document | None, clock: clocks.Clock
) -> list[_findings.Finding]:
    if not isinstance(document, configuration.Configuration):
        if before is None:
            return []
        return [
            _findings.error('$.kind', 'only configurations have a previous one')
        ]
    findings = [
        *_policy_findings.find_policy_faults(document, clock),
        *_route_findings.find_route_faults(document.forwarding),
    ]
    if isinstance(before, configuration.Configuration):
        findings += _step_faults(before, document)
    elif before is not None:
        findings.append(
            _findings.error(
                '$', 'the file to compare with is not a configuration'
            )
        )
    return findings


def _step_faults(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[_findings.Finding]:
    fault = configuration.find_step_fault(before, after)
    if fault is None:
        return []
    path, _separator, reason = fault.partition(': ')
    return [_findings.error(path, reason)]


def _read(text: str, path: pathlib.Path) -> Any:
    return configuration.read_tagged(
        text,
        source=str(path),
        kinds=(
            settings.EntrySettings,
            settings.GuardSettings,
            configuration.Configuration,
        ),
    )
