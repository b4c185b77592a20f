"""A minimal HTTP/1.1 server and client over asyncio streams."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

OK = 200
_LINGER_RESET = struct.pack('ii', 1, 0)


class Request(NamedTuple):
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer; ``status`` is 0 if the connection ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes
    fault: str = ''


Handler = Callable[
    [Request, asyncio.StreamWriter],
    Awaitable[bool],
]


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {content}' for name, content in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode()


async def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b'',
) -> None:
    """Writes a complete answer with a length."""
    framed = headers | {'Content-Length': str(len(body))}
    writer.write(head_of(status, framed) + body)
    await writer.drain()


async def _read_headers(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, separator, content = line.partition(':')
        if separator:
            headers[name.lower()] = content.strip()
    return first, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


class Server:
    """Serves one address; a handler returns whether to keep the connection.

    Args:
        handler: Answers requests.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )

    async def stop(self, *, resets: bool = False) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if resets:
                reset(writer)
            else:
                writer.close()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        faults = (
            OSError,
            EOFError,
            ValueError,
            asyncio.LimitOverrunError,
        )
        with contextlib.suppress(*faults):
            while True:
                first, headers = await _read_headers(reader)
                method, target, _version = first.split(' ')
                body = await _read_body(reader, headers)
                request = Request(method, target, headers, body)
                if not await self._handler(request, writer):
                    break
        self._writers.discard(writer)
        writer.close()


class Connection:
    """A client connection that may carry several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> Answer:
        """Sends a request and reads its answer."""
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {content}' for name, content in headers.items()]
        if body or method not in {'GET', 'HEAD'}:
            lines.append(f'Content-Length: {len(body)}')
        lines += ['', '']
        try:
            self._writer.write('\r\n'.join(lines).encode() + body)
            await self._writer.drain()
            first, received = await _read_headers(self._reader)
            content = await _read_body(self._reader, received)
        except (OSError, EOFError, ValueError) as fault:
            return Answer(0, {}, b'', repr(fault))
        return Answer(int(first.split(' ')[1]), received, content)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def connect(address: str, timeout_s: float = 1.0) -> Connection:
    """Opens a connection; raises OSError or TimeoutError."""
    host, _separator, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
    return Connection(reader, writer)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    *,
    timeout_s: float = 2.0,
) -> Answer:
    """Sends one request on a connection of its own."""
    try:
        connection = await connect(address)
    except (OSError, TimeoutError) as fault:
        return Answer(0, {}, b'', f'not connected: {fault!r}')
    try:
        async with asyncio.timeout(timeout_s):
            return await connection.send(method, target, headers, body)
    except TimeoutError:
        return Answer(0, {}, b'', 'no answer in time')
    finally:
        connection.close()
