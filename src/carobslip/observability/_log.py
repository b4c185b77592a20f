"""Structured logs on standard error or standard output."""

import enum
import sys
from typing import Any

import structlog

from carobslip.observability import _events, _output


class LogFormat(enum.Enum):
    """Format of log lines."""

    JSON = 'json'
    CONSOLE = 'console'


class EventLog:
    """Writes numbered events with their fields.

    Args:
        fields: Fields added to every event of this process.
    """

    def __init__(self, **fields: Any) -> None:
        self._logger = structlog.get_logger().bind(**fields)

    def write(self, event: _events.Event, **fields: Any) -> None:
        """Writes one event.

        Args:
            event: The event.
            fields: Its details, with units in their names.
        """
        self._logger.info(event.event_name, code=event.code, **fields)


def configure_logging(log_format: LogFormat) -> None:
    """Sets the format of all log lines of the process."""
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    _configure(renderer, structlog.PrintLoggerFactory(sys.stderr))


def log_to_standard_output() -> None:
    """Writes JSON lines to standard output, whose reader may be slow."""
    output: Any = _output.BoundedOutput(descriptor=sys.stdout.fileno())
    _configure(
        structlog.processors.JSONRenderer(),
        structlog.PrintLoggerFactory(output),
    )


def _configure(renderer: Any, factory: Any) -> None:
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
