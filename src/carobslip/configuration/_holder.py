"""The configuration that a process holds; its order never decreases."""

import enum
from collections.abc import Callable
from typing import Final

import msgspec

from carobslip import clocks, hashing, identifiers
from carobslip.configuration import (
    _document,
    _errors,
    _order,
    _reader,
    _resolver,
    _withdrawn,
)

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
        self._refused: tuple[_order.DocumentOrder, Adoption] | None = None
        self._confirmed_ms = clock.now_ms() - _UNCONFIRMED_AGE_MS
        self._announced = (0, 0), self._confirmed_ms
        self._withdrawn = _withdrawn.WithdrawnDataCentres(clock=clock)
        self.order = _order.DocumentOrder()
        self.text = ''
        self.last_fault = ''

    @property
    def version(self) -> int:
        """Version of the held document; 0 before the first one."""
        return self.order.version

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

    def withdrawn_data_centres(self) -> frozenset[identifiers.DataCentreId]:
        """Data centres that must get no new work."""
        return self._withdrawn.names()

    def age_ms(self) -> float:
        """Time since a source last confirmed the held document."""
        return self.clock.now_ms() - self._confirmed_ms

    def confirm(self, as_of_ms: float) -> None:
        """Records that the held document was the newest at ``as_of_ms``."""
        self._confirmed_ms = max(self._confirmed_ms, as_of_ms)

    def confirm_document(
        self, document_id: tuple[int, int], as_of_ms: float
    ) -> None:
        """Records when a peer knew a document to be the newest one.

        Args:
            document_id: Identifies the document, which need not be held yet.
            as_of_ms: When it was known to be the newest one.
        """
        if document_id == self.order.document_id:
            self.confirm(as_of_ms)
        else:
            self._announced = document_id, as_of_ms

    def note_order(self, order: _order.DocumentOrder) -> None:
        """Raises the order of the held document if it was published again."""
        is_held = order.document_id == self.order.document_id
        if is_held and order > self.order:
            self.order = order

    def offer(
        self,
        text: str,
        *,
        source: str,
        era: int = 0,
        revision: int = 0,
    ) -> Adoption:
        """Adopts a document if it is valid and higher than the held one.

        A document does not contain the time at which it was the newest one; a
        source that knows that time also calls :meth:`confirm`.

        Args:
            text: JSON with comments.
            source: Where it came from, for error messages.
            era: The platform's era in which it was published.
            revision: The platform's revision of it, within that era.
        """
        if text == self.text:
            self.note_order(
                msgspec.structs.replace(self.order, era=era, revision=revision),
            )
            return Adoption.SAME
        # Its version is known after parsing it.
        published = _order.DocumentOrder(
            era=era,
            revision=revision,
            digest=hashing.digest_names(text),
        )
        if self._refused is not None and self._refused[0] == published:
            # Parsing a large document again for each answer takes too long.
            return self._refused[1]
        adoption = self._offer_other(text, source, published)
        is_adopted = adoption is Adoption.ADOPTED
        self._refused = None if is_adopted else (published, adoption)
        return adoption

    def _offer_other(
        self,
        text: str,
        source: str,
        published: _order.DocumentOrder,
    ) -> Adoption:
        """Offers a document whose text differs from the held one."""
        try:
            offered = _reader.read_configuration(text, source=source)
        except _errors.InvalidDocument as fault:
            self.last_fault = str(fault)
            return Adoption.INVALID
        order = msgspec.structs.replace(published, version=offered.version)
        if order <= self.order:
            self.last_fault = f'{order} is not higher than {self.order}'
            return Adoption.OLDER
        self._adopt(offered, text, order)
        return Adoption.ADOPTED

    def _adopt(
        self,
        offered: _document.Configuration,
        text: str,
        order: _order.DocumentOrder,
    ) -> None:
        self._withdrawn.replace(offered, is_new_era=self.order.era < order.era)
        self.text = text
        self.order = order
        self._resolver = _resolver.Resolver(
            configuration=offered,
            clock=self.clock,
        )
        self.last_fault = ''
        if self._announced[0] == order.document_id:
            self.confirm(self._announced[1])
        if self._on_adopted is not None:
            self._on_adopted(offered)
