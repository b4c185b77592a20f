"""Delta encoding of layouts against one that the reader already has.

A layout to prepare is sent to every rank of a group, and differs from the
previous one in few places.
"""

import zlib
from typing import Annotated, Any, Final

import msgspec

from carobslip import decoding, hashing
from carobslip.expertmap import _compact_delta, _group_map

#: Bounds the decompressed size.
_LAYOUT_MAX_BYTES: Final = 1_048_576
#: Bounds the compressed size.
_PACKED_MAX_BYTES: Final = 262_144
#: Layouts that a reader caches: the one in force and one that was undone.
_CACHED_LAYOUTS_MAX: Final = 2

#: Set, rank and its experts.
_Change = tuple[int, int, tuple[int, ...]]


class PackedLayout(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
):
    """A layout, either complete or as a delta to another one.

    Attributes:
        digest: Digest of the layout.
        base: Digest of the layout that the changes apply to; None when the
            layout is whole.
        content: Compressed bytes.
    """

    digest: int
    base: int | None
    content: Annotated[bytes, msgspec.Meta(max_length=_PACKED_MAX_BYTES)]


class LayoutWriter:
    """Encodes the layouts that one coordinator sends."""

    def __init__(self) -> None:
        self._layout: _group_map.Layout = ()
        self._whole: PackedLayout | None = None
        self._changes: PackedLayout | None = None
        self._compact: PackedLayout | None = None

    def write(
        self,
        layout: _group_map.Layout,
        *,
        is_whole: bool = False,
        is_compact: bool = False,
    ) -> PackedLayout:
        """Returns a layout, as a delta to the previous one if possible.

        Args:
            layout: The layout.
            is_whole: Send the complete layout; the reader lacks the previous
                one.
            is_compact: The reader decodes compact deltas.
        """
        if self._whole is None or layout != self._layout:
            before = self._whole
            self._whole = PackedLayout(
                digest=_digest(layout),
                base=None,
                content=_pack(layout),
            )
            self._changes = None
            self._compact = None
            if before is not None and _shape(layout) == _shape(self._layout):
                self._changes = PackedLayout(
                    digest=self._whole.digest,
                    base=before.digest,
                    content=_pack(_changes(self._layout, layout)),
                )
                self._compact = _compact(self._changes, self._layout, layout)
            self._layout = layout
        if is_whole or self._changes is None:
            return self._whole
        if is_compact and self._compact is not None:
            return self._compact
        return self._changes


class LayoutReader:
    """Decodes layouts, and caches the latest ones."""

    def __init__(self) -> None:
        self._cached: dict[int, _group_map.Layout] = {}

    def read(self, packed: PackedLayout) -> _group_map.Layout | None:
        """Returns a layout; None when the complete one has to be sent."""
        known = self._cached.get(packed.digest)
        layout = self._unpack(packed) if known is None else known
        if layout is None or _digest(layout) != packed.digest:
            return None
        self._cached.pop(packed.digest, None)
        self._cached[packed.digest] = layout
        while len(self._cached) > _CACHED_LAYOUTS_MAX:
            self._cached.pop(next(iter(self._cached)))
        return layout

    def _unpack(self, packed: PackedLayout) -> _group_map.Layout | None:
        if packed.base is None:
            whole: _group_map.Layout | None = _unpack(
                packed.content,
                _group_map.Layout,
            )
            return whole
        base = self._cached.get(packed.base)
        if base is not None and _compact_delta.is_compact(packed.content):
            return _compact_delta.read_delta(base, packed.content)
        changes: tuple[_Change, ...] | None = _unpack(
            packed.content,
            tuple[_Change, ...],
        )
        if base is None or changes is None:
            return None
        return _apply_changes(base, changes)


def _compact(
    delta: PackedLayout,
    before: _group_map.Layout,
    after: _group_map.Layout,
) -> PackedLayout | None:
    """Returns a delta in its compact form, if it has one."""
    content = _compact_delta.write_delta(before, after)
    if _compact_delta.read_delta(before, content) != after:
        return None
    return msgspec.structs.replace(delta, content=content)


def _shape(layout: _group_map.Layout) -> list[int]:
    return [len(ranks) for ranks in layout]


def _changes(
    before: _group_map.Layout,
    after: _group_map.Layout,
) -> list[_Change]:
    return [
        (number, rank, experts)
        for number, ranks in enumerate(after)
        for rank, experts in enumerate(ranks)
        if before[number][rank] != experts
    ]


def _apply_changes(
    layout: _group_map.Layout,
    changes: tuple[_Change, ...],
) -> _group_map.Layout | None:
    changed = [list(ranks) for ranks in layout]
    for number, rank, experts in changes:
        if not (
            0 <= number < len(changed) and 0 <= rank < len(changed[number])
        ):
            return None
        changed[number][rank] = experts
    return tuple(tuple(ranks) for ranks in changed)


def _digest(layout: _group_map.Layout) -> int:
    return hashing.digest_bytes(msgspec.msgpack.encode(layout))


def _pack(content: Any) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(content))


def _unpack(packed: bytes, kind: Any) -> Any:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(packed, _LAYOUT_MAX_BYTES)
        return msgspec.msgpack.decode(content, type=kind)
    except zlib.error:
        return None
    except decoding.MALFORMED:
        return None
