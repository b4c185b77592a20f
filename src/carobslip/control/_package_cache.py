"""Caches packed configurations that peers fetch from this process."""

import collections
from typing import Final

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
        rank = request.version, request.digest
        package = self._packages.get(rank) or self._pack_held()
        offset = request.offset if package.rank == rank else 0
        return _part_of(package, offset)

    def _pack_held(self) -> configuration.Package:
        rank = self._holder.rank
        package = self._packages.get(rank)
        if package is None:
            package = configuration.pack(self._holder.text, rank)
            self._packages[rank] = package
            if len(self._packages) > _PACKAGES_MAX:
                self._packages.popitem(last=False)
        return package


def _part_of(
    package: configuration.Package,
    offset: int,
) -> _messages.ConfigurationPart:
    version, digest = package.rank
    return _messages.ConfigurationPart(
        version=version,
        digest=digest,
        size_bytes=len(package.content),
        offset=offset,
        content=package.content[offset : offset + PART_BYTES],
    )
