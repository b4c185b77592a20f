"""The configuration that a process holds; its rank never decreases."""

import enum
from collections.abc import Callable
from typing import Final

from carobslip import clocks, hashing
from carobslip.configuration import _document, _errors, _reader, _resolver

#: Age of a document that no source has confirmed yet.
_UNCONFIRMED_AGE_MS: Final = 1e9


class Adoption(enum.Enum):
    """Result of offering a document."""

    ADOPTED = 'adopted'
    OLDER = 'older'
    SAME = 'same'
    INVALID = 'invalid'


class Holder:
    """Holds the highest valid configuration that was offered so far.

    Two documents with the same version are an operators' mistake; the one
    with the higher digest wins everywhere, so that the fleet converges.

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
        self._confirmed_ms = clock.now_ms() - _UNCONFIRMED_AGE_MS
        self.text = ''
        self.last_fault = ''

    @property
    def version(self) -> int:
        """Version of the held document; 0 before the first one."""
        if self._resolver is None:
            return 0
        return self._resolver.configuration.version

    @property
    def rank(self) -> tuple[int, int]:
        """Version and digest, by which documents are ordered."""
        return self.version, self._digest

    @property
    def resolver(self) -> _resolver.Resolver:
        """Resolver of the held document.

        Raises:
            LookupError: No document has been adopted yet.
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
        """Records that the held document was the newest at ``as_of_ms``."""
        self._confirmed_ms = max(self._confirmed_ms, as_of_ms)

    def offer(self, text: str, *, source: str) -> Adoption:
        """Adopts a document if it is valid and higher than the held one.

        A document does not contain the time at which it was the newest one; a
        source that knows that time also calls :meth:`confirm`.

        Args:
            text: JSON with comments.
            source: Where it came from, for error messages.
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
        self._adopt(offered, text, digest)
        return Adoption.ADOPTED

    def _adopt(
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
