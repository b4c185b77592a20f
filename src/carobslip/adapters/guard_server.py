"""HTTP server with which guards accept attempts from entries."""

from typing import Final

from aiohttp import web

from carobslip import attempts, guard

#: Longest body that any policy may allow.
BODY_MAX_BYTES: Final = 67_108_864


class HttpReplySink:
    """Writes frames to the entry, with back-pressure."""

    def __init__(self, *, response: web.StreamResponse) -> None:
        self._response = response

    async def write(self, frame: attempts.Frame) -> None:
        """Sends one frame."""
        await self._response.write(attempts.encode_frame(frame))


class GuardServer:
    """Accepts attempts from entries.

    Args:
        service: Runs the attempts.
    """

    def __init__(self, *, service: guard.GuardService) -> None:
        self._service = service

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(client_max_size=BODY_MAX_BYTES)
        application.router.add_post('/run', self._run)
        return application

    async def _run(self, request: web.Request) -> web.StreamResponse:
        header = request.headers.get(attempts.ATTEMPT_HEADER, '')
        try:
            attempt = attempts.decode_attempt(header)
        except attempts.BadAttempt as fault:
            return web.Response(status=400, text=f'not an attempt: {fault}\n')
        body = await request.read()
        response = web.StreamResponse()
        await response.prepare(request)
        sink = HttpReplySink(response=response)
        await self._service.serve(attempt, body, sink)
        await response.write_eof()
        return response
