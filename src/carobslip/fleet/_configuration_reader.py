"""Reads the configuration from the platform into the holder."""

from typing import Final

from carobslip import clocks, configuration, observability
from carobslip.fleet import _platform_port

#: A platform that answers sooner than this has not waited for a change.
_WAITED_MS: Final = 500.0
_NEWEST: Final = (
    configuration.Adoption.ADOPTED,
    configuration.Adoption.SAME,
)


class ConfigurationReader:
    """Offers what the platform publishes to the holder.

    Args:
        platform: Reads the configuration.
        holder: Adopts it.
        clock: Monotonic time.
        log: Receives changes of whether the platform answers.
    """

    def __init__(
        self,
        *,
        platform: _platform_port.Platform,
        holder: configuration.Holder,
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self.holder = holder
        self.clock = clock
        self.platform_answered = False
        self._platform = platform
        self._log = log
        self._not_adopted: tuple[int, int] | None = None
        self._has_joined = False

    def note_joined(self) -> None:
        """From now on only changes of the platform's state are logged."""
        self._has_joined = True

    async def read(self, *, wait_ms: int) -> bool:
        """Reads the configuration; tells whether to ask again at once.

        Args:
            wait_ms: How long the platform may wait for a change.
        """
        asked_ms = self.clock.now_ms()
        try:
            published = await self._platform.read_configuration(
                self.holder.version,
                wait_ms,
            )
        except _platform_port.PlatformUnavailable as fault:
            self.note_unavailable(
                observability.Event.CONFIGURATION_UNAVAILABLE,
                str(fault),
            )
            return False
        self._note_reached()
        if published is _platform_port.NoDocument.UNUSABLE:
            return False
        if published is _platform_port.NoDocument.UNCHANGED:
            self.holder.confirm(asked_ms)
        elif self._offer(published, asked_ms):
            return True
        # A service that answers without waiting has nothing new to tell;
        # asking it again without a pause would flood it.
        return self.clock.now_ms() - asked_ms >= min(_WAITED_MS, wait_ms)

    def note_unavailable(self, event: observability.Event, fault: str) -> None:
        """Records that the platform did not answer."""
        if self.platform_answered or not self._has_joined:
            self._log.write(event, fault=fault)
        self.platform_answered = False

    def _offer(
        self, published: _platform_port.PublishedDocument, asked_ms: float
    ) -> bool:
        """Offers what the service holds; tells whether it was adopted."""
        adoption = self.holder.offer(
            published.text,
            source='configuration service',
            era=published.era,
            revision=published.revision,
        )
        if adoption in _NEWEST:
            if published.is_settled:
                as_of_ms = published.as_of_ms
                self.holder.confirm(asked_ms if as_of_ms is None else as_of_ms)
        else:
            self._note_not_adopted(published, adoption)
        return adoption is configuration.Adoption.ADOPTED

    def _note_not_adopted(
        self,
        published: _platform_port.PublishedDocument,
        adoption: configuration.Adoption,
    ) -> None:
        offered = published.era, published.revision
        if offered == self._not_adopted:
            return
        self._not_adopted = offered
        is_invalid = adoption is configuration.Adoption.INVALID
        self._log.write(
            observability.Event.CONFIGURATION_REFUSED
            if is_invalid
            else observability.Event.CONFIGURATION_NOT_ADOPTED,
            fault=self.holder.last_fault,
            era=published.era,
            revision=published.revision,
            unconfirmed_ms=round(self.holder.age_ms()),
        )

    def _note_reached(self) -> None:
        if not self.platform_answered:
            self._log.write(
                observability.Event.PLATFORM_REACHED,
                version=self.holder.version,
            )
        self.platform_answered = True
