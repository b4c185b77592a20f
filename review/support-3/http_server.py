"""A small HTTP/1.1 server for stand-ins."""

import asyncio
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable


class Request:
    """One received request."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.target = target
        path, _separator, query = target.partition('?')
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body
        self.writer = writer

    def header(self, name: str, default: str = '') -> str:
        """Returns the value of a header; names ignore case."""
        return self.headers.get(name.lower(), default)


class Answer:
    """A whole answer."""

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        self.status = status
        self.body = body
        self.headers = tuple(headers)


class NoAnswer:
    """The connection stays open without an answer until the peer closes it."""


class Streamed:
    """The handler has written the answer itself, in chunks."""


Reply = Answer | NoAnswer | Streamed
Handler = Callable[[Request], Awaitable[Reply]]


def head_of(status: int, headers: Iterable[tuple[str, object]]) -> bytes:
    """Returns the bytes of a head."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def chunk_of(content: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(content), content)


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    """Returns the next request; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _version = line.decode().split()
    headers = {}
    while True:
        line = await reader.readline()
        if not line.strip():
            break
        name, _separator, value = line.decode().partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body, writer)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            content = await reader.readexactly(size + 2)
            if size == 0:
                return b''.join(parts)
            parts.append(content[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Starts a server; returns it."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader, writer)
                if request is None:
                    return
                answer = await handler(request)
                if isinstance(answer, NoAnswer):
                    await reader.read()
                    return
                if isinstance(answer, Answer):
                    length = ('Content-Length', len(answer.body))
                    writer.write(
                        head_of(answer.status, (*answer.headers, length))
                    )
                    writer.write(answer.body)
                await writer.drain()
                if request.header('Connection').lower() == 'close':
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The play has ended; the streams module would report it.
            return
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=256)
