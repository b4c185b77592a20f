"""Refuses answers whose head begins with a part of another answer.

A faulty server may send the beginning of an answer once more on a kept
connection. With the next answer it reads as one head, which has the status of
the former and headers of both. The status line of the latter then stands in the
reason phrase or in a header.
"""

import re
from typing import Final

import aiohttp

from carobslip.adapters import single_sends

_STATUS_LINE: Final = re.compile(rb'HTTP/[0-9.]{1,3} ?[0-9]{3}')


async def refuse_joined_heads(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Checks the heads of answers.

    It is a middleware of client sessions.

    Raises:
        single_sends.AnswerLost: The head has a second status line; the request
            has arrived, and its answer is not known.
    """
    response = await handler(request)
    if _has_second_status_line(response):
        response.close()
        raise single_sends.AnswerLost('the head is joined from two answers')
    return response


def _has_second_status_line(response: aiohttp.ClientResponse) -> bool:
    reason = (response.reason or '').encode(errors='replace')
    lines = (reason, *(content for _name, content in response.raw_headers))
    return any(b'HTTP/' in line and _STATUS_LINE.search(line) for line in lines)
