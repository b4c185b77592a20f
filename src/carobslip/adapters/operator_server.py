"""HTTP towards operators: status and explanations, read only."""

from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web


class OperatorServer:
    """Answers operators' questions as JSON.

    Args:
        questions: Functions by path; each returns what can be encoded, or
            raises LookupError when there is nothing to tell.
    """

    def __init__(
        self,
        *,
        questions: dict[str, Callable[[web.Request], Any]],
    ) -> None:
        self._questions = questions

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        for path, question in self._questions.items():
            application.router.add_get(path, _as_handler(question))
        return application


def _as_handler(question: Callable[[web.Request], Any]) -> Any:
    async def handle(request: web.Request) -> web.Response:
        try:
            answer = question(request)
        except LookupError as fault:
            return web.Response(status=404, text=f'{fault.args[0]}\n')
        return web.Response(
            body=msgspec.json.encode(answer),
            content_type='application/json',
        )

    return handle
