"""Runs a long-running command on uvloop until it is asked to stop."""

import aiomisc
import uvloop

#: Longer than any drain that operators may configure.
_STOP_MAX_S = 3600
_THREADS = 2


def run_process(service: aiomisc.Service) -> None:
    """Runs until SIGTERM or SIGINT, then lets the service drain.

    Args:
        service: The process to run.
    """
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=_THREADS,
        log_config=False,
        shutdown_timeout=_STOP_MAX_S,
    ) as loop:
        loop.run_forever()
