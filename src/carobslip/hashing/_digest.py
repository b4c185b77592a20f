"""Non-cryptographic digests of names and contents."""

import xxhash


def digest_names(*names: str) -> int:
    """Returns a 64-bit digest of a sequence of names.

    >>> digest_names('a', 'b') == digest_names('ab')
    False
    """
    return xxhash.xxh3_64_intdigest('\0'.join(names).encode())


def digest_bytes(content: bytes, *names: str) -> int:
    """Returns a 64-bit digest of ``content`` and ``names``."""
    return xxhash.xxh3_64_intdigest(content, digest_names(*names))
