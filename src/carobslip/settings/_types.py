"""Types of the settings file; every address is an IP number and a port."""

import ipaddress
from typing import Annotated

import msgspec

from carobslip import identifiers

_PORT_MAX = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Splits ``IP:PORT``.

    Raises:
        ValueError: The address is not an IP number and a port.

    >>> split_address('127.0.0.1:8080')
    ('127.0.0.1', 8080)
    """
    host, separator, port = address.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _PORT_MAX:
        raise ValueError(f'{address!r} is not IP:PORT')
    ipaddress.ip_address(host.strip('[]'))
    return host, int(port)


class PlatformSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """How the services of the platform are reached and read.

    Attributes:
        configuration_url: URL of the operators' document, watched by long
            polling.
        instances_url: URL of the list of live and leaving instances; the list
            lags behind.
        poll_ms: Interval between reads of the instance list.
        watch_ms: Longest time a watch waits at the configuration service.
    """

    configuration_url: str
    instances_url: str
    poll_ms: Annotated[int, msgspec.Meta(ge=50)] = 1000
    watch_ms: Annotated[int, msgspec.Meta(ge=50)] = 10_000


class StatsdSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Address of the statsd daemon."""

    address: str

    def __post_init__(self) -> None:
        split_address(self.address)


class TargetSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The target that a guard protects."""

    target: identifiers.TargetId
    service: identifiers.ServiceId
    base_url: str


class _ProcessSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
):
    """Settings that every process has.

    Attributes:
        instance: Name of the process, unique in the fleet.
        data_centre: Data centre in which it runs.
        http_address: Address on which it accepts requests.
        control_address: Address on which it accepts control messages.
        operator_address: Address on which it answers operators.
        platform: Services of the platform that it reads.
        seeds: Control addresses of peers, for a start without the platform.
        statsd: Destination of metrics; None to send none.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    http_address: str
    control_address: str
    operator_address: str
    platform: PlatformSettings
    seeds: tuple[str, ...] = ()
    statsd: StatsdSettings | None = None

    def __post_init__(self) -> None:
        for name in ('http_address', 'control_address', 'operator_address'):
            try:
                split_address(getattr(self, name))
            except ValueError as fault:
                raise ValueError(f'{name}: {fault}') from None


class EntrySettings(_ProcessSettings, frozen=True, tag='entry'):
    """Settings of an entry instance."""


class GuardSettings(_ProcessSettings, frozen=True, tag='guard'):
    """Settings of a guard.

    Attributes:
        target: The target behind the guard.
        probe_path: Path of an inexpensive health check of the target.
    """

    target: TargetSettings
    probe_path: str = '/health'
