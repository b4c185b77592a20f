"""Reads whole bodies of answers, up to a length."""

from typing import Final

import aiohttp

#: Reports, counts and documents are much shorter.
BODY_MAX_BYTES: Final = 1_048_576


class BodyTooLong(aiohttp.ClientError):
    """The body is longer than its reader can use."""


async def read_whole(
    response: aiohttp.ClientResponse, *, bytes_max: int = BODY_MAX_BYTES
) -> bytes:
    """Returns the body of an answer.

    Args:
        response: The answer; the rest of a body that is too long is not read.
        bytes_max: The greatest length.

    Raises:
        BodyTooLong: There is more.
        aiohttp.ClientError: The body broke off.
    """
    parts = []
    size_bytes = 0
    async for content in response.content.iter_any():
        parts.append(content)
        size_bytes += len(content)
        if size_bytes > bytes_max:
            response.close()
            raise BodyTooLong(f'the body is longer than {bytes_max} bytes')
    return b''.join(parts)
