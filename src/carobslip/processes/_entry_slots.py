"""Assembles what an entry needs to ask for slots and to assign them."""

from collections.abc import Callable, Sequence

from carobslip import (
    control,
    directory,
    fleet,
    forwarding,
    identifiers,
    slotbroker,
    targets,
    tasks,
)
from carobslip.processes import (
    _slot_brokers,
    _slot_exchange,
    _slot_outbox,
    _slot_server,
)


class EntrySlots:
    """Asks for slots of contended services, and assigns them as a broker.

    Args:
        member: This process in the fleet.
        candidates: Returns the targets that may be used for a service.
        cold_rps: Returns the requests a second that a cold target of a service
            may get; 0 for no bound.
        pass_figures: Returns what a service states about the passes of its
            targets.
        contended: Returns the services that have a broker.
        context: Clock, random generator, log and metrics.
    """

    def __init__(
        self,
        *,
        member: fleet.FleetMember,
        candidates: Callable[
            [identifiers.ServiceId],
            Sequence[targets.TargetRecord],
        ],
        cold_rps: Callable[[identifiers.ServiceId], float],
        pass_figures: Callable[
            [identifiers.ServiceId], slotbroker.PassFigures | None
        ],
        contended: Callable[[], frozenset[identifiers.ServiceId]],
        context: forwarding.ProcessContext,
    ) -> None:
        clock, log, metrics = context.clock, context.log, context.metrics
        self._table = member.table
        self._supervisor = tasks.Supervisor(log=log, metrics=metrics)
        self._choice = _slot_brokers.BrokerChoice(
            own=member.record.instance,
            entries=member.fleet.entries,
            is_suspect=self._is_suspect,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self.shares = slotbroker.ColdShares(
            entries=lambda: [
                record.instance for record in member.fleet.entries()
            ],
            is_broker=self._choice.is_own,
            contended=contended,
            clock=clock,
        )
        self.server = _slot_server.SlotServer(
            broker=slotbroker.SlotBroker(
                candidates=candidates,
                pacing=slotbroker.TargetPace(
                    cold_rps=cold_rps,
                    clock=clock,
                    log=log,
                    metrics=metrics,
                    share=self.shares.broker_share,
                ),
                clock=clock,
                generator=context.generator,
                log=log,
                metrics=metrics,
                pass_figures=pass_figures,
            ),
            node=member.node,
            is_current=member.pause_detector.is_current,
            supervisor=self._supervisor,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self.port = _slot_exchange.SlotExchange(
            node=member.node,
            data_centre=member.record.data_centre,
            choice=self._choice,
            server=self.server,
            outbox=_slot_outbox.SlotOutbox(
                node=member.node,
                is_member=self._is_member,
                supervisor=self._supervisor,
                log=log,
                metrics=metrics,
            ),
            clock=clock,
            generator=context.generator,
            log=log,
            metrics=metrics,
        )
        member.on_members = self._on_members
        member.on_pause = self.shares.note_pause

    async def close(self) -> None:
        """Ends all messages and decisions."""
        self.server.close()
        await self._supervisor.close()

    def _on_members(self) -> None:
        self._choice.note_members_changed()
        self.shares.note_changed()
        # Entries that leave, or may be dead, still have requests at targets.
        self.server.drop_entries(
            {record.instance for record in self._members()}
        )

    def _is_suspect(self, instance: identifiers.InstanceId) -> bool:
        known = self._table.find(instance)
        suspect = control.MemberState.SUSPECT
        return known is not None and known.state is suspect

    def _is_member(self, address: str) -> bool:
        return any(
            record.control_address == address for record in self._members()
        )

    def _members(self) -> list[directory.InstanceRecord]:
        return [
            update.record
            for update in self._table
            if update.state is not control.MemberState.DEAD
        ]
