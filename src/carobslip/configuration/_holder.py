"""The configuration that a process holds; it never becomes older."""

import enum
from collections.abc import Callable
from typing import Final

from carobslip import clocks, hashing
from carobslip.configuration import _document, _errors, _reader, _resolver

#: Age of a document that no source has confirmed yet.
_NEVER_MS: Final = 1e9


class Adoption(enum.Enum):
    """What became of an offered document."""

    ADOPTED = 'adopted'
    OLDER = 'older'
    SAME = 'same'
    INVALID = 'invalid'


class Holder:
    """Keeps the highest valid configuration that the process has met.

    Two documents with one version are an operators' mistake; the one with the
    higher digest wins everywhere, so that the fleet still agrees.

    Args:
        clock: Measures the age of the held document.
        on_adopted: Called after each change with the new document.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        on_adopted: Callable[[_document.Configuration], None] | None = None,
    ) -> None:
        self.clock = clock
        self._on_adopted = on_adopted
        self._resolver: _resolver.Resolver | None = None
        self._digest = 0
        self._confirmed_ms = clock.now_ms() - _NEVER_MS
        self.text = ''
        self.last_fault = ''

    @property
    def version(self) -> int:
        """Version held; 0 before the first document."""
        if self._resolver is None:
            return 0
        return self._resolver.configuration.version

    @property
    def rank(self) -> tuple[int, int]:
        """Version and digest; documents are ordered by it."""
        return self.version, self._digest

    @property
    def resolver(self) -> _resolver.Resolver:
        """Resolver of the held document.

        Raises:
            LookupError: No document has been met yet.
        """
        if self._resolver is None:
            raise LookupError('no configuration has been received yet')
        return self._resolver

    @property
    def configuration(self) -> _document.Configuration:
        """The held document; raises LookupError before the first one."""
        return self.resolver.configuration

    def age_ms(self) -> float:
        """Time since a source last confirmed the held document."""
        return self.clock.now_ms() - self._confirmed_ms

    def confirm(self, as_of_ms: float) -> None:
        """Notes that the held document was the newest one at a moment."""
        self._confirmed_ms = max(self._confirmed_ms, as_of_ms)

    def offer(self, text: str, *, source: str) -> Adoption:
        """Adopts a document if it is valid and higher than the held one.

        A document alone says nothing about when it was the newest one; the
        source that knows calls :meth:`confirm` as well.

        Args:
            text: JSON with comments.
            source: Where it came from, for messages.
        """
        if text == self.text:
            return Adoption.SAME
        try:
            offered = _reader.read_configuration(text, source=source)
        except _errors.InvalidDocument as fault:
            self.last_fault = str(fault)
            return Adoption.INVALID
        digest = hashing.digest_names(text)
        if (offered.version, digest) <= self.rank:
            return Adoption.OLDER
        self._hold(offered, text, digest)
        return Adoption.ADOPTED

    def _hold(
        self,
        offered: _document.Configuration,
        text: str,
        digest: int,
    ) -> None:
        self.text = text
        self._digest = digest
        self._resolver = _resolver.Resolver(
            configuration=offered,
            clock=self.clock,
        )
        self.last_fault = ''
        if self._on_adopted is not None:
            self._on_adopted(offered)
