"""Tells entries how loaded a group is."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import control, directory, hashing, identifiers, observability

#: An answer that takes longer is not waited for; newer news follow.
_ANSWER_MS: Final = 100.0
#: Lists of addresses that an entry remembers, of all groups.
_LISTS_MAX: Final = 64


class EntryNews:
    """Tells each entry the newest load, whatever the other ones do.

    An entry has one message on its way at most. The addresses of the ranks
    travel only to entries that have not confirmed them.

    Args:
        node: Control traffic.
        metrics: Counts silent entries.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        metrics: observability.Metrics,
    ) -> None:
        self._node = node
        self._metrics = metrics
        self._news: control.GroupLoad | None = None
        self._confirmed: dict[identifiers.InstanceId, int] = {}
        self._tasks: dict[identifiers.InstanceId, asyncio.Task[None]] = {}

    def tell(
        self,
        entries: Sequence[directory.InstanceRecord],
        news: control.GroupLoad,
    ) -> None:
        """Begins to tell entries; returns at once.

        Args:
            entries: Who is told.
            news: The load, with all addresses.
        """
        self._news = news
        named = {entry.instance for entry in entries}
        for gone in set(self._confirmed) - named:
            self._confirmed.pop(gone)
        for entry in entries:
            task = self._tasks.get(entry.instance)
            if task is None or task.done():
                self._tasks[entry.instance] = asyncio.ensure_future(
                    self._tell(entry),
                )

    def close(self) -> None:
        """Stops telling."""
        for task in self._tasks.values():
            task.cancel()

    async def _tell(self, entry: directory.InstanceRecord) -> None:
        told: control.GroupLoad | None = None
        while self._news is not None and self._news is not told:
            told = self._news
            if not await self._is_understood(entry, told):
                self._confirmed.pop(entry.instance, None)
                await self._is_understood(entry, told)
        self._tasks.pop(entry.instance, None)

    async def _is_understood(
        self,
        entry: directory.InstanceRecord,
        news: control.GroupLoad,
    ) -> bool:
        """Tells an entry; False when it does not know the addresses."""
        if self._confirmed.get(entry.instance) == news.members_digest:
            news = msgspec.structs.replace(news, members=())
        try:
            answer = await self._node.ask(
                entry.control_address,
                news,
                answer=control.Noted,
                timeout_ms=_ANSWER_MS,
            )
        except control.PeerUnreachable:
            # Membership finds out whether the entry is gone.
            self._metrics.count('entry_silent')
            return True
        if not answer.is_lacking:
            self._confirmed[entry.instance] = news.members_digest
        return not answer.is_lacking


class GroupMembers:
    """The addresses of ranks that news of groups refer to.

    A group may have two coordinators for a while, which know different ranks.
    """

    def __init__(self) -> None:
        self._known: dict[
            tuple[identifiers.GroupId, int],
            tuple[str, ...],
        ] = {}

    def take(self, news: control.GroupLoad) -> tuple[str, ...] | None:
        """Returns the addresses in the order of the loads, if known."""
        key = news.group, news.members_digest
        known = self._known.pop(key, ())
        members = news.members or known
        if not members:
            return None
        self._known[key] = members
        while len(self._known) > _LISTS_MAX:
            self._known.pop(next(iter(self._known)))
        return members if len(members) == len(news.requests) else None


def load_message(
    group: identifiers.GroupId,
    loads: Sequence[tuple[str, int, int]],
    *,
    is_open: bool,
) -> control.GroupLoad:
    """Returns the message about a group.

    Args:
        group: The group.
        loads: Address, running and waiting requests by rank.
        is_open: Its ranks work.
    """
    members = tuple(address for address, _running, _waiting in loads)
    return control.GroupLoad(
        group=group,
        is_open=is_open,
        members_digest=hashing.digest_names(*members),
        requests=tuple(running + waiting for _one, running, waiting in loads),
        members=members,
    )
