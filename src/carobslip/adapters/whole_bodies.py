"""Reads whole bodies of answers, up to a length."""

import asyncio
from typing import Final

import aiohttp

#: Reports, counts and documents are much shorter.
BODY_MAX_BYTES: Final = 1_048_576


class BodyTooLong(aiohttp.ClientError):
    """The body is longer than its reader can use."""


async def read_whole(
    response: aiohttp.ClientResponse,
    *,
    bytes_max: int = BODY_MAX_BYTES,
    stall_s: float | None = None,
) -> bytes:
    """Returns the body of an answer.

    Args:
        response: The answer; the rest of a body that is too long is not read.
        bytes_max: The greatest length.
        stall_s: Longest pause between the bytes; None for the limits of the
            request.

    Raises:
        TimeoutError: The body paused for too long.
        BodyTooLong: There is more.
        aiohttp.ClientError: The body broke off.
    """
    parts: list[bytes] = []
    size_bytes = 0
    contents = response.content.iter_any()
    while True:
        async with asyncio.timeout(stall_s):
            content = await anext(contents, b'')
        if not content:
            return b''.join(parts)
        parts.append(content)
        size_bytes += len(content)
        if size_bytes > bytes_max:
            response.close()
            raise BodyTooLong(f'the body is longer than {bytes_max} bytes')
