"""The status that an instance reports to operators."""

import msgspec

from carobslip import control, fleet, identifiers


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Membership state of one instance, as seen here."""

    instance: identifiers.InstanceId
    role: str
    data_centre: identifiers.DataCentreId
    state: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one instance.

    Attributes:
        instance: Name of the instance.
        data_centre: Data centre where it runs.
        role: Entry or guard.
        incarnation: Changes with each start of the instance.
        configuration_version: Version in use here.
        configuration_age_ms: Time since a source confirmed it.
        configuration_fault: Why the last offered document was refused.
        data_centres_out: Data centres that operators have taken out.
        targets_out: Targets that operators have taken out.
        requests_in_progress: Requests or attempts in progress.
        is_leaving: A planned stop has begun or was announced.
        members: Membership state of the known instances.
        targets: Latest hint of each target in use; a guard lists its own.
        keys_remembered: Idempotency keys in a guard's record.
        keys_used_bytes: Memory they take.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    role: str
    incarnation: identifiers.Incarnation
    configuration_version: int
    configuration_age_ms: int
    configuration_fault: str
    data_centres_out: list[str]
    targets_out: list[str]
    requests_in_progress: int
    is_leaving: bool
    members: list[MemberStatus]
    targets: list[control.GuardHint]
    keys_remembered: int = 0
    keys_used_bytes: int = 0


def build_status(
    member: fleet.FleetMember,
    *,
    requests_in_progress: int,
    targets: list[control.GuardHint],
) -> Status:
    """Returns the status of an instance.

    Args:
        member: The instance's fleet membership.
        requests_in_progress: Requests or attempts in progress.
        targets: Hints of the targets that it uses.
    """
    held = member.holder.configuration
    return Status(
        instance=member.record.instance,
        data_centre=member.record.data_centre,
        role=member.record.role.value,
        incarnation=member.node.origin.incarnation,
        configuration_version=held.version,
        configuration_age_ms=int(member.holder.age_ms()),
        configuration_fault=member.holder.last_fault,
        data_centres_out=[
            entry.data_centre for entry in held.out if entry.data_centre
        ],
        targets_out=[entry.target for entry in held.out if entry.target],
        requests_in_progress=requests_in_progress,
        is_leaving=member.is_leaving,
        members=[
            MemberStatus(
                instance=update.record.instance,
                role=update.record.role.value,
                data_centre=update.record.data_centre,
                state=update.state.value,
            )
            for update in member.table
        ],
        targets=targets,
    )
