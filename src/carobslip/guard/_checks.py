"""The type of the final check before a target is called."""

from collections.abc import Callable

from carobslip import attempts, verdicts

LastCheck = Callable[[attempts.Attempt], verdicts.Outcome | None]
