"""Reads settings files."""

import pathlib

from carobslip import configuration
from carobslip.settings import _types


def read_settings(
    path: pathlib.Path,
) -> _types.EntrySettings | _types.GuardSettings:
    """Reads and validates the settings of a process.

    Args:
        path: A file of JSON with comments.

    Raises:
        InvalidDocument: The file is not well-formed or not valid.
        OSError: The file cannot be read.
    """
    process_settings: _types.EntrySettings | _types.GuardSettings = (
        configuration.read_tagged(
            path.read_text(encoding='utf-8'),
            source=str(path),
            kinds=(_types.EntrySettings, _types.GuardSettings),
        )
    )
    return process_settings
