"""Processor time of one sound answer, with the library's checks and with ours."""

import asyncio
import time

from aiohttp import client_proto

from carobslip.adapters import strict_answers

ANSWER = (
    b'HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n'
    b'Content-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\n'
    b'X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8\r\n'
    b'X-Weight-Versions: 4\r\nKeep-Alive: timeout=4\r\n'
    b'Content-Length: 2\r\n\r\nab'
)
COUNT = 100_000
ROUNDS = 5


def _strict(loop):
    return strict_answers.AnswerProtocol(
        loop=loop, on_refused=lambda *_fault: None
    )


async def _read_many(protocol):
    """Returns the processor time of one answer in microseconds."""
    started_s = time.process_time()
    for _number in range(COUNT):
        protocol.set_response_params(read_until_eof=True)
        protocol.data_received(ANSWER)
        message, payload = await protocol.read()
        assert message.code == 200
        assert payload.is_eof()
    return (time.process_time() - started_s) / COUNT * 1e6


async def _compare():
    loop = asyncio.get_running_loop()
    kinds = {'library': client_proto.ResponseHandler, 'strict': _strict}
    for name, create in kinds.items():
        best_us = min([await _read_many(create(loop)) for _ in range(ROUNDS)])
        print(f'answer head, {name}: {best_us:.2f} us')


def main() -> None:
    """Prints the least of some rounds for both."""
    asyncio.run(_compare())
