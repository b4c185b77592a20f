"""Digests that are the same in every process."""

from carobslip.hashing._digest import digest_bytes, digest_names

__all__ = ['digest_bytes', 'digest_names']
