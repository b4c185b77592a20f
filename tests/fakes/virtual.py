"""Runs test scenarios on an event loop with virtual time."""

import looptime


def run(scenario):
    """Runs a scenario to its end and returns its result.

    Args:
        scenario: Called without arguments; returns a coroutine.
    """
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()
