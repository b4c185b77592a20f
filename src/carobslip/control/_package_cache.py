"""Caches packed configurations that peers fetch from this process."""

import collections
from typing import Final

import msgspec

from carobslip import configuration
from carobslip.control import _messages

#: Lets a peer finish fetching a version after newer ones have been adopted.
_PACKAGES_MAX: Final = 4
#: Bounds how long a part delays small messages on a shared link.
PART_BYTES: Final = 16_384


class PackageCache:
    """Serves parts of the held document and of recent earlier ones.

    Args:
        holder: The held document.
    """

    def __init__(self, *, holder: configuration.Holder) -> None:
        self._holder = holder
        self._packages: collections.OrderedDict[
            tuple[int, int],
            configuration.Package,
        ] = collections.OrderedDict()

    def find_part(
        self,
        request: _messages.FetchConfiguration,
    ) -> _messages.ConfigurationPart:
        """Returns the part that a peer asks for.

        For a document that is no longer cached, the first part of the held one
        is returned instead.
        """
        if not self._holder.text:
            return _messages.ConfigurationPart(version=0, digest=0)
        document_id = request.version, request.digest
        package = self._pack_held()
        if package.order.document_id != document_id:
            package = self._packages.get(document_id, package)
        is_asked_for = package.order.document_id == document_id
        offset = request.offset if is_asked_for else 0
        return _part_of(package, offset)

    def _pack_held(self) -> configuration.Package:
        order = self._holder.order
        package = self._packages.get(order.document_id)
        if package is None:
            package = configuration.pack(self._holder.text, order)
        elif package.order != order:
            # The same text was published again.
            package = msgspec.structs.replace(package, order=order)
        self._packages[order.document_id] = package
        if len(self._packages) > _PACKAGES_MAX:
            self._packages.popitem(last=False)
        return package


def _part_of(
    package: configuration.Package,
    offset: int,
) -> _messages.ConfigurationPart:
    return _messages.ConfigurationPart(
        version=package.order.version,
        digest=package.order.digest,
        era=package.order.era,
        revision=package.order.revision,
        size_bytes=len(package.content),
        offset=offset,
        content=package.content[offset : offset + PART_BYTES],
    )
