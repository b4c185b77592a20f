"""Processor time of a sound answer and of an event of a stream.

Both are read by the library's protocol and by the one that refuses broken
answers.
"""

import asyncio
import time

from aiohttp import client_proto

from carobslip.adapters import strict_answers

FIELDS = (
    b'HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\n'
    b'Content-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\n'
    b'X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8\r\n'
    b'X-Weight-Versions: 4\r\nKeep-Alive: timeout=4\r\n'
)
ANSWER = FIELDS + b'Content-Length: 2\r\n\r\nab'
STREAM = FIELDS + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'id: 1\ndata: ' + b'x' * 49 + b'\n\n'
CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
COUNT = 100_000
ROUNDS = 5


def _strict(loop):
    return strict_answers.AnswerProtocol(
        loop=loop, on_refused=lambda *_fault: None
    )


async def _read_answers(protocol):
    for _number in range(COUNT):
        protocol.set_response_params(read_until_eof=True)
        protocol.data_received(ANSWER)
        message, payload = await protocol.read()
        assert message.code == 200
        assert payload.is_eof()


async def _read_events(protocol):
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(STREAM)
    _message, payload = await protocol.read()
    for _number in range(COUNT):
        protocol.data_received(CHUNK)
        assert payload.read_nowait() == EVENT


async def _compare():
    loop = asyncio.get_running_loop()
    kinds = {'library': client_proto.ResponseHandler, 'strict': _strict}
    for what, read in (('answer', _read_answers), ('event', _read_events)):
        for name, create in kinds.items():
            rounds_s = []
            for _number in range(ROUNDS):
                started_s = time.process_time()
                await read(create(loop))
                rounds_s.append(time.process_time() - started_s)
            best_us = min(rounds_s) / COUNT * 1e6
            print(f'{what}, {name}: {best_us:.2f} us')


def main() -> None:
    """Prints the least of some rounds for both."""
    asyncio.run(_compare())
