"""What the check of a document reports."""

import enum

import msgspec


class Severity(enum.Enum):
    """Whether a document may be sent in spite of a finding."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a document.

    Attributes:
        severity: Whether it keeps the document from being sent.
        path: JSON path of the place.
        reason: What is wrong.
        line: Line of the place, counted from 1, if it is known.
    """

    severity: Severity
    path: str
    reason: str
    line: int | None = None


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One difference to the version in force.

    Attributes:
        subject: What has changed, for example a route.
        text: The change, as a phrase.
    """

    subject: str
    text: str


def error(path: str, reason: str) -> Finding:
    """Returns a fault that keeps a document from being sent."""
    return Finding(severity=Severity.ERROR, path=path, reason=reason)


def warning(path: str, reason: str) -> Finding:
    """Returns a fault that an operator should know of."""
    return Finding(severity=Severity.WARNING, path=path, reason=reason)
