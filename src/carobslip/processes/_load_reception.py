"""Receives the loads that groups report to an entry."""

from collections.abc import Callable

from carobslip import (
    control,
    forwarding,
    identifiers,
    observability,
    slotbroker,
    targets,
)
from carobslip.processes import _group_load, _slot_server


class GroupLoadReceiver:
    """Passes the loads of groups to those who decide where requests start.

    Args:
        node: Control traffic of this process.
        registry: The published targets.
        loads: Load of the targets, for this entry's own decisions.
        forwarder: Waits for slots that become free, and for stalls.
        server: Decides for other entries.
        entries: Returns how many entries get the same reports.
        log: Receives changes of groups.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        registry: targets.TargetRegistry,
        loads: forwarding.LoadTracker,
        forwarder: forwarding.Forwarder,
        server: _slot_server.SlotServer,
        entries: Callable[[], int],
        log: observability.EventLog,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._forwarder = forwarder
        self._server = server
        self._entries = entries
        self._log = log
        self._addresses = _group_load.RankAddressCache()
        self._groups: dict[identifiers.GroupId, bool] = {}
        node.register_handler(control.GroupLoad, self._on_load)

    async def _on_load(
        self,
        load: control.GroupLoad,
        origin: control.Origin,
    ) -> control.Noted:
        addresses = self._addresses.take(load)
        if addresses is None:
            return control.Noted(is_missing_data=True)
        by_address = {
            record.address: record for record in self._registry.records
        }
        contended = self._forwarder.contended_services
        totals: list[tuple[identifiers.TargetId, int]] = []
        brokered: list[tuple[targets.TargetRecord, int]] = []
        for address, requests in zip(addresses, load.requests, strict=True):
            record = by_address.get(address)
            if record is None:
                continue
            totals.append((record.target, requests))
            if record.service in contended:
                brokered.append((record, requests))
        self._store(load, totals)
        self._inform_broker(load, brokered)
        self._update_stall(load, [target for target, _total in totals])
        self._forwarder.admission.recheck_queues()
        return control.Noted()

    def _store(
        self,
        load: control.GroupLoad,
        totals: list[tuple[identifiers.TargetId, int]],
    ) -> None:
        sharers = self._entries()
        for target, total in totals:
            self._loads.store_report(
                target, total, valid_ms=load.valid_ms, sharers=sharers
            )
            if not load.is_open:
                self._loads.avoid(target, load.avoid_ms)

    def _inform_broker(
        self,
        load: control.GroupLoad,
        loads: list[tuple[targets.TargetRecord, int]],
    ) -> None:
        totals = [(record.target, total) for record, total in loads]
        members = [target for target, _total in totals]
        if not load.is_open:
            self._server.avoid(members, load.avoid_ms)
        elif self._groups.get(load.group) is False:
            self._server.clear_avoidance(members)
        self._server.note_loads(totals, valid_ms=load.valid_ms)
        self._inform_of_pass(load, [pair[0] for pair in loads])

    def _inform_of_pass(
        self, load: control.GroupLoad, members: list[targets.TargetRecord]
    ) -> None:
        if not members or not load.pass_ms:
            return
        self._server.note_pass(
            slotbroker.GroupPass(
                group=load.group,
                members=tuple(record.target for record in members),
                pass_ms=load.pass_ms,
                slowest_pace=load.slowest_pace,
                valid_ms=load.valid_ms,
            ),
            members,
        )

    def _update_stall(
        self,
        load: control.GroupLoad,
        members: list[identifiers.TargetId],
    ) -> None:
        self._forwarder.stalls.store_report(
            members, is_stalled=not load.is_open
        )
        if self._groups.get(load.group) is load.is_open:
            return
        self._groups[load.group] = load.is_open
        if load.is_open:
            # Targets that failed because the group stalled work again.
            for target in members:
                self._loads.clear_failures(target)
        self._log.write(
            observability.Event.GROUP_CHANGED,
            group=load.group,
            is_open=load.is_open,
            targets=len(members),
        )
