"""Read-only HTTP server for operators."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web


class OperatorServer:
    """Answers operators' requests as JSON.

    Args:
        handlers: Functions by path; each returns an encodable value, or
            raises LookupError, which becomes a 404 response.
    """

    def __init__(
        self,
        *,
        handlers: dict[str, Callable[[web.Request], Any]],
    ) -> None:
        self._handlers = handlers

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        for path, handler in self._handlers.items():
            application.router.add_get(path, _as_handler(handler))
        return application


def _as_handler(handler: Callable[[web.Request], Any]) -> Any:
    async def handle(request: web.Request) -> web.Response:
        try:
            answer = handler(request)
        except LookupError as fault:
            return web.Response(status=404, text=f'{fault.args[0]}\n')
        return web.Response(
            body=msgspec.json.encode(answer),
            content_type='application/json',
        )

    return handle
