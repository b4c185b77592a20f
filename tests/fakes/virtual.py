"""Runs stories on a loop whose time is virtual."""

import looptime


def play(story):
    """Runs a story to its end, and returns its result.

    Args:
        story: Called without arguments; returns a coroutine.
    """
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(story())
    finally:
        loop.close()
