"""Sends the load of a group to entries."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import (
    control,
    directory,
    expertmap,
    hashing,
    identifiers,
    observability,
    tasks,
)

#: Timeout of one message; a lost load is superseded by the next one.
_ANSWER_TIMEOUT_MS: Final = 100.0
#: Messages in flight at the same time. More of them would wait for each other,
#: and for orders to ranks, in front of a low-bandwidth link.
_IN_FLIGHT_MAX: Final = 8
#: Address lists that an entry keeps, over all groups.
_ADDRESS_LISTS_MAX: Final = 64


class GroupLoadPublisher:
    """Sends each entry the latest load.

    Each entry has at most one message in flight, all entries together a few.
    The addresses of the ranks are sent only to entries that have not confirmed
    them.

    Args:
        node: Sends control messages.
        metrics: Counts entries that did not answer.
        supervisor: Runs the tasks that send.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        metrics: observability.Metrics,
        supervisor: tasks.Supervisor,
    ) -> None:
        self._node = node
        self._supervisor = supervisor
        self._metrics = metrics
        self._latest: control.GroupLoad | None = None
        self._confirmed: dict[identifiers.InstanceId, int] = {}
        self._tasks: dict[identifiers.InstanceId, asyncio.Task[None]] = {}
        self._in_flight = asyncio.Semaphore(_IN_FLIGHT_MAX)

    def publish(
        self,
        entries: Sequence[directory.InstanceRecord],
        load: control.GroupLoad,
    ) -> None:
        """Starts sending a load to entries; returns at once.

        Args:
            entries: Receivers of the load.
            load: The load, with all addresses.
        """
        self._latest = load
        current_entries = {entry.instance for entry in entries}
        for removed in set(self._confirmed) - current_entries:
            self._confirmed.pop(removed)
        for entry in entries:
            task = self._tasks.get(entry.instance)
            if task is None or task.done():
                self._tasks[entry.instance] = self._supervisor.run_once(
                    self._send_latest(entry),
                )

    async def _send_latest(self, entry: directory.InstanceRecord) -> None:
        last_sent: control.GroupLoad | None = None
        while self._latest is not None and self._latest is not last_sent:
            async with self._in_flight:
                last_sent = self._latest
                if not await self._deliver(entry, last_sent):
                    self._confirmed.pop(entry.instance, None)
                    await self._deliver(entry, last_sent)
        self._tasks.pop(entry.instance, None)

    async def _deliver(
        self,
        entry: directory.InstanceRecord,
        load: control.GroupLoad,
    ) -> bool:
        """Sends a load; returns False if the entry lacks the addresses."""
        if self._confirmed.get(entry.instance) == load.members_digest:
            load = msgspec.structs.replace(load, members=())
        try:
            answer = await self._node.ask(
                entry.control_address,
                load,
                answer=control.Noted,
                timeout_ms=_ANSWER_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            # The failure detector finds out whether the entry has died.
            self._metrics.count('entry_silent')
            return True
        if not answer.is_missing_data:
            self._confirmed[entry.instance] = load.members_digest
        return not answer.is_missing_data


class RankAddressCache:
    """Rank addresses that load messages of groups refer to by digest.

    A group may have two coordinators for a while, which know different ranks,
    so that one group may have several lists.
    """

    def __init__(self) -> None:
        self._known: dict[
            tuple[identifiers.GroupId, int],
            tuple[str, ...],
        ] = {}

    def take(self, load: control.GroupLoad) -> tuple[str, ...] | None:
        """Returns the addresses in the order of the loads, if known."""
        key = load.group, load.members_digest
        known = self._known.pop(key, ())
        members = load.members or known
        if not members:
            return None
        self._known[key] = members
        while len(self._known) > _ADDRESS_LISTS_MAX:
            self._known.pop(next(iter(self._known)))
        return members if len(members) == len(load.requests) else None


def load_message(
    group: identifiers.GroupId,
    loads: Sequence[tuple[str, int, int]],
    *,
    is_open: bool,
    times: expertmap.GroupTimes,
    pass_ms: float = 0.0,
    slowest_pace: float = 1.0,
) -> control.GroupLoad:
    """Returns the message about a group.

    Args:
        group: The group.
        loads: Address, running and waiting requests by rank.
        is_open: Whether its ranks are working.
        times: Times of the group.
        pass_ms: Mean length of the recent passes; 0 if unknown.
        slowest_pace: Time that the slowest rank needs relative to the usual.
    """
    members = tuple(address for address, _running, _waiting in loads)
    return control.GroupLoad(
        group=group,
        is_open=is_open,
        valid_ms=times.load_valid_ms,
        avoid_ms=times.avoid_ms,
        members_digest=hashing.digest_names(*members),
        requests=tuple(running + waiting for _one, running, waiting in loads),
        members=members,
        pass_ms=pass_ms,
        slowest_pace=slowest_pace,
    )
