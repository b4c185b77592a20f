"""Shares of teams in the work of one priority: start-time fair queueing."""

from typing import Final

from carobslip import identifiers

#: Teams with an account of their own; the others have one in common.
_TEAMS_MAX: Final = 64


class TeamAccount:
    """Work of one team.

    Attributes:
        finish: Virtual time at which the work granted so far ends.
        waiting: Requests in the queue.
        waiting_cost: Their expected cost.
    """

    def __init__(self) -> None:
        self.finish = 0.0
        self.waiting = 0
        self.waiting_cost = 0.0


class TeamShares:
    """Orders the teams of one priority by the work that they were granted.

    A team's next request starts at the virtual time at which its granted work
    ends, or at the present virtual time if that is later: absence earns no
    credit. The present virtual time is the earliest start of a waiting team.
    """

    def __init__(self) -> None:
        self.virtual = 0.0
        self._accounts: dict[identifiers.TeamId | None, TeamAccount] = {}
        self._common = TeamAccount()

    def account(self, team: identifiers.TeamId | None) -> TeamAccount:
        """Returns the account of a team, or the common one."""
        account = self._accounts.get(team)
        if account is not None:
            return account
        if len(self._accounts) >= _TEAMS_MAX:
            self._drop_idle()
        if len(self._accounts) >= _TEAMS_MAX:
            return self._common
        return self._accounts.setdefault(team, TeamAccount())

    def start_of(self, account: TeamAccount) -> float:
        """Returns the virtual start of a team's next request."""
        return max(account.finish, self.virtual)

    def note_waiting(self, account: TeamAccount, cost: float) -> None:
        """Counts a request that joins the queue."""
        if not account.waiting:
            account.finish = self.start_of(account)
        account.waiting += 1
        account.waiting_cost += cost

    def note_left(self, account: TeamAccount, cost: float) -> None:
        """Counts a request that has left the queue."""
        account.waiting -= 1
        account.waiting_cost -= cost

    def charge(self, account: TeamAccount, cost: float) -> None:
        """Adds the expected cost of a request that starts."""
        start = self.start_of(account)
        account.finish = start + cost
        starts = [
            self.start_of(one)
            for one in (self._common, *self._accounts.values())
            if one.waiting
        ]
        self.virtual = max(self.virtual, min(starts, default=start))

    def _drop_idle(self) -> None:
        self._accounts = {
            team: one
            for team, one in self._accounts.items()
            if one.waiting or one.finish > self.virtual
        }
