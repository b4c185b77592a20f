"""Expected work of a request, in tokens of its answer."""

import collections
import math
from typing import Final

from carobslip import identifiers
from carobslip.slotbroker import _types

#: Prompt tokens that an engine reads in the time in which it writes one token.
PROMPT_TOKENS_PER_ANSWER_TOKEN: Final = 75.0
#: Answer assumed before any was observed and without a hint.
_ANSWER_TOKENS: Final = 32.0
#: Largest answer assumed without a stated maximum.
_ANSWER_TOKENS_MAX: Final = 1e6
#: Weight of one answer in the moving averages.
_AVERAGE_SHARE: Final = 0.05
#: Answers after which a team's own average counts as much as the service's.
_TEAM_ANSWERS: Final = 8.0
#: Variance of the logarithm of the answers and of the errors of hints before
#: any was observed.
_VARIANCE: Final = 0.6
#: Bounds the effect of one answer on an average.
_LOG_ERROR_MAX: Final = 3.0
#: Teams with averages of their own.
_TEAMS_MAX: Final = 64


class _Average:
    """Exponential moving average that starts as a plain one."""

    def __init__(self, start: float) -> None:
        self.mean = start
        self.answers = 0

    def add(self, observed: float) -> None:
        self.answers += 1
        share = max(_AVERAGE_SHARE, 1.0 / (self.answers + 1))
        self.mean += share * (observed - self.mean)


class _Observed:
    """Answers of a team or of a whole service, by the logarithm of tokens."""

    def __init__(self) -> None:
        self.size = _Average(math.log(_ANSWER_TOKENS))
        self.spread = _Average(_VARIANCE)
        self.hint_error = _Average(_VARIANCE)

    def add(self, answer: float, hint: float) -> None:
        """Adds one answer and its hint; 0 for no hint."""
        if not self.size.answers:
            self.size.mean = answer
        deviation = _bounded(answer - self.size.mean)
        self.size.add(answer)
        self.spread.add(deviation**2)
        if hint:
            self.hint_error.add(_bounded(answer - math.log(hint)) ** 2)


class CostModel:
    """Expects the cost of requests from what the service showed.

    A hint is weighed against the usual answer of the team, by the observed
    errors of both. Hints of a team that are far off therefore lose their
    effect.

    Args:
        prompt_tokens_per_answer_token: Prompt tokens that cost as much as one
            token of the answer.
    """

    def __init__(
        self,
        *,
        prompt_tokens_per_answer_token: float = PROMPT_TOKENS_PER_ANSWER_TOKEN,
    ) -> None:
        self._prompt_share = 1.0 / prompt_tokens_per_answer_token
        self._service = _Observed()
        self._teams: collections.OrderedDict[
            identifiers.TeamId | None, _Observed
        ] = collections.OrderedDict()

    def expect(self, demand: _types.SlotDemand) -> float:
        """Returns the expected cost of a request."""
        answer = math.exp(self._expected_log(demand))
        limit = demand.answer_tokens_max or _ANSWER_TOKENS_MAX
        return max(1.0, min(answer, limit)) + self._reading(demand)

    def observe(
        self, demand: _types.SlotDemand, outcome: _types.SlotOutcome
    ) -> float:
        """Learns from the end of a request; returns its cost."""
        if outcome.result is _types.SlotResult.SERVED and outcome.events:
            answer = math.log(outcome.events)
            for observed in (self._service, self._team(demand.team)):
                observed.add(answer, demand.answer_tokens_hint)
        if not outcome.events:
            return 0.0
        return outcome.events + self._reading(demand)

    def _reading(self, demand: _types.SlotDemand) -> float:
        return self._prompt_share * demand.prompt_tokens

    def _expected_log(self, demand: _types.SlotDemand) -> float:
        team = self._teams.get(demand.team, self._service)
        share = team.size.answers / (team.size.answers + _TEAM_ANSWERS)
        usual = _mix(self._service.size.mean, team.size.mean, share)
        hint = demand.answer_tokens_hint
        if not hint:
            return usual
        if not self._service.size.answers:
            return math.log(hint)
        spread = _mix(self._service.spread.mean, team.spread.mean, share)
        error = _mix(self._service.hint_error.mean, team.hint_error.mean, share)
        return _mix(usual, math.log(hint), spread / max(1e-6, spread + error))

    def _team(self, team: identifiers.TeamId | None) -> _Observed:
        observed = self._teams.pop(team, None)
        if observed is None:
            observed = _Observed()
            if len(self._teams) >= _TEAMS_MAX:
                self._teams.popitem(last=False)
        self._teams[team] = observed
        return observed


def _mix(first: float, second: float, share: float) -> float:
    return first + share * (second - first)


def _bounded(error: float) -> float:
    return max(-_LOG_ERROR_MAX, min(_LOG_ERROR_MAX, error))
