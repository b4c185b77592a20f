"""Keeps an HTTP client session from sending a request a second time.

After a lost connection the client library repeats requests whose methods are
idempotent in HTTP. Whether a request may be repeated is known from its route,
and repeats are counted, so that this is left to the callers of the session.
"""

import aiohttp


class AnswerLost(aiohttp.ClientError):
    """The connection ended before an answer; the request may have arrived."""


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Replaces the errors after which the library repeats a request.

    It is a middleware of client sessions.

    Raises:
        AnswerLost: The connection ended after the request had been sent, or
            while it was.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # Nothing was sent, and the library does not repeat these.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as fault:
        raise AnswerLost(repr(fault)) from fault
