"""The order of configuration documents."""

import msgspec


class DocumentOrder(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    order=True,
    array_like=True,
):
    """Orders documents: of two, the higher one is in force.

    The operators' version decides first. Where the platform comes back from an
    older copy, it gives out revisions again, and only the version still tells
    which document is the newer one.

    Attributes:
        version: Version that the operators gave the document; 0 for none.
        era: Counts how often the platform has come back from an older copy.
        revision: The platform's revision within that era.
        digest: Digest of the text; decides where operators gave two documents
            the same version.
    """

    version: int = 0
    era: int = 0
    revision: int = 0
    digest: int = 0

    @property
    def document_id(self) -> tuple[int, int]:
        """Identifies the text, whenever it was published."""
        return self.version, self.digest
