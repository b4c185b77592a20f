"""Runs a process on uvloop until SIGTERM or SIGINT."""

import aiomisc
import uvloop

#: Longer than any drain time that operators may configure.
_SHUTDOWN_TIMEOUT_S = 3600
_POOL_SIZE = 2


def run_process(service: aiomisc.Service) -> None:
    """Runs until SIGTERM or SIGINT, then lets the service drain.

    Args:
        service: The process to run.
    """
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=_POOL_SIZE,
        log_config=False,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    ) as loop:
        loop.run_forever()
