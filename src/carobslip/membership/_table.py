"""Presumed states of all members, merged by precedence."""

import collections
import math
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from carobslip import control, directory, hashing, identifiers

#: Maximum number of updates in one message.
UPDATES_MAX: Final = 6
#: Buckets of a table that are compared by digest, and bytes of each digest.
_BUCKETS: Final = 16
_DIGEST_BYTES: Final = 4

_PRECEDENCE: Final = (
    control.MemberState.ALIVE,
    control.MemberState.SUSPECT,
    control.MemberState.LEAVING,
    control.MemberState.DEAD,
)


class MemberTable:
    """Members by name, and the updates that still have to be gossiped.

    An update with a later incarnation takes precedence, then one with a higher
    counter, then one with a worse state. Only a member itself raises its
    counter.

    Args:
        own: State of this process, ALIVE with counter 0.
        on_changed: Called with each update that changed the table.
        owns_name: No other process ever uses this process's name.
    """

    def __init__(
        self,
        *,
        own: control.MemberUpdate,
        on_changed: Callable[[control.MemberUpdate], None] | None = None,
        owns_name: bool = False,
    ) -> None:
        self.own = own
        self._owns_name = owns_name
        self._on_changed = on_changed
        self._members: dict[identifiers.InstanceId, control.MemberUpdate] = {}
        self._sends_left: collections.OrderedDict[
            identifiers.InstanceId,
            int,
        ] = collections.OrderedDict()
        self._members[own.record.instance] = own
        self._queue(own)

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[control.MemberUpdate]:
        return iter(self._members.values())

    def find(
        self,
        instance: identifiers.InstanceId,
    ) -> control.MemberUpdate | None:
        """Returns the presumed state of a member; None if unknown."""
        return self._members.get(instance)

    def is_usable(self, instance: identifiers.InstanceId) -> bool:
        """Tells whether a member may be given work; unknown ones may."""
        known = self._members.get(instance)
        usable = (control.MemberState.ALIVE, control.MemberState.SUSPECT)
        return known is None or known.state in usable

    def add_listed(self, record: directory.InstanceRecord) -> None:
        """Adds a member from the platform's list, if it is unknown."""
        if record.instance not in self._members:
            self._members[record.instance] = control.MemberUpdate(
                record=record,
                incarnation=identifiers.Incarnation(0),
                counter=0,
                state=control.MemberState.ALIVE,
            )

    def forget(self, instance: identifiers.InstanceId) -> None:
        """Removes a member that is dead and no longer listed."""
        self._members.pop(instance, None)
        self._sends_left.pop(instance, None)

    def merge(self, update: control.MemberUpdate) -> bool:
        """Applies an update; tells whether the table changed."""
        if update.record.instance == self.own.record.instance:
            return self._refute(update)
        known = self._members.get(update.record.instance)
        if known is not None and _precedence(update) <= _precedence(known):
            return False
        self._members[update.record.instance] = update
        self._queue(update)
        if self._on_changed is not None:
            self._on_changed(update)
        return True

    def renew_record(self, record: directory.InstanceRecord) -> None:
        """Queues a changed record of this process for gossip."""
        self.own = msgspec.structs.replace(self.own, record=record)
        self._renew_own(self.own.counter + 1, self.own.state)

    def announce_leaving(self) -> None:
        """Queues the update that this process is about to stop."""
        self._renew_own(self.own.counter + 1, control.MemberState.LEAVING)

    def digests(self) -> bytes:
        """Returns the digests of the table, one for each bucket."""
        digests = [0] * _BUCKETS
        for update in self._members.values():
            content = msgspec.msgpack.encode(update)
            digests[_bucket_of(update)] ^= hashing.digest_bytes(content)
        mask = (1 << 8 * _DIGEST_BYTES) - 1
        return b''.join(
            (digest & mask).to_bytes(_DIGEST_BYTES, 'big') for digest in digests
        )

    def differing(self, other_digests: bytes) -> list[control.MemberUpdate]:
        """Returns members in the buckets that differ from another table.

        Args:
            other_digests: Digests of the other table; if they are missing or of
                another length, all members are returned.
        """
        own = self.digests()
        if len(other_digests) != len(own):
            return list(self)
        differs = [
            own[begin : begin + _DIGEST_BYTES]
            != other_digests[begin : begin + _DIGEST_BYTES]
            for begin in range(0, len(own), _DIGEST_BYTES)
        ]
        return [update for update in self if differs[_bucket_of(update)]]

    def take_updates(self) -> tuple[control.MemberUpdate, ...]:
        """Returns updates for one message, the least often sent first."""
        names = sorted(
            self._sends_left,
            key=lambda name: -self._sends_left[name],
        )[:UPDATES_MAX]
        for name in names:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                self._sends_left.pop(name)
        return tuple(self._members[name] for name in names)

    def requeue(self, updates: tuple[control.MemberUpdate, ...]) -> None:
        """Queues updates again that may not have arrived."""
        for update in updates:
            name = update.record.instance
            if self._members.get(name) == update:
                self._sends_left[name] = self._sends_left.get(name, 0) + 1

    def _refute(self, update: control.MemberUpdate) -> bool:
        # A peer presumes this process unavailable: a higher counter
        # overrides that state everywhere.
        if _precedence(update) < _precedence(self.own):
            # The sender has missed this process's own update: updates are lost
            # with answers to requests that have timed out.
            self._queue(self.own)
            return False
        if update.incarnation > self.own.incarnation:
            return self._supersede(update)
        if _precedence(update) == _precedence(self.own):
            return False
        if update.state is control.MemberState.LEAVING:
            self._renew_own(update.counter, update.state)
        else:
            self._renew_own(update.counter + 1, self.own.state)
        return True

    def _supersede(self, update: control.MemberUpdate) -> bool:
        """Handles an update with a later incarnation of this process.

        Where names belong to machines, it comes from an earlier start: the
        machine's clock, from which incarnations are derived, has been set back
        since.
        """
        if not self._owns_name:
            return False
        self.own = msgspec.structs.replace(
            self.own,
            incarnation=identifiers.Incarnation(update.incarnation + 1),
        )
        self._renew_own(update.counter + 1, self.own.state)
        return True

    def _renew_own(self, counter: int, state: control.MemberState) -> None:
        self.own = msgspec.structs.replace(
            self.own,
            counter=counter,
            state=state,
        )
        self._members[self.own.record.instance] = self.own
        self._queue(self.own)

    def _queue(self, update: control.MemberUpdate) -> None:
        send_count = 2 * math.ceil(math.log2(len(self._members) + 1))
        self._sends_left[update.record.instance] = send_count


def _bucket_of(update: control.MemberUpdate) -> int:
    return hashing.digest_names(update.record.instance) % _BUCKETS


def _precedence(
    update: control.MemberUpdate,
) -> tuple[identifiers.Incarnation, int, int]:
    return (
        update.incarnation,
        update.counter,
        _PRECEDENCE.index(update.state),
    )
