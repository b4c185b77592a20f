"""Simulated connections that lose, delay and duplicate messages."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from carobslip import attempts, control, entry, guard
from tests.fakes import host as hosts

Observer = Callable[[str, str, str], None]


class Network:
    """All simulated connections.

    Args:
        generator: Draws latencies and duplicates.
    """

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.handlers: dict[str, tuple[hosts.Host, control.Handler]] = {}
        self.guards: dict[str, tuple[hosts.Host, guard.GuardService]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.extra_delay_s: dict[tuple[str, str], float] = {}
        self.repeat_ratio = 0.0
        self.observe: Observer = lambda _kind, _source, _target: None
        self.pipes: set[_Pipe] = set()
        self.control_bytes = 0
        self.control_messages = 0
        self.links: dict[str, Link] = {}

    def cut(self, source: str, target: str, *, both: bool = True) -> None:
        """Drops all messages from one process to another."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def lose_connections(self, source: str, target: str) -> None:
        """Ends every reply in flight between two processes."""
        for pipe in list(self.pipes):
            if pipe.ends == (source, target):
                pipe.end()

    def heal(self) -> None:
        self.cuts.clear()
        self.extra_delay_s.clear()
        self.repeat_ratio = 0.0

    def is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts

    async def travel(
        self, source: str, target: str, size_bytes: int = 0
    ) -> bool:
        """Waits for links and latency; tells whether the message arrives."""
        delay_s = self.random.uniform(0.0005, 0.0015)
        delay_s += max(
            self.links[name].occupy(size_bytes) if name in self.links else 0.0
            for name in (source, target)
        )
        delay_s += self.extra_delay_s.get((source, target), 0.0)
        await asyncio.sleep(delay_s)
        return not self.is_cut(source, target)


class Link:
    """The link of one process, which carries one message at a time.

    Args:
        bytes_per_s: Its bandwidth.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self.carried_bytes = 0

    def occupy(self, size_bytes: int) -> float:
        """Queues a message; returns the time until it has passed."""
        now_s = asyncio.get_running_loop().time()
        self.carried_bytes += size_bytes
        self._free_s = max(now_s, self._free_s)
        self._free_s += size_bytes / self._bytes_per_s
        return self._free_s - now_s


class FakeTransport:
    """Control transport of one process."""

    def __init__(self, network: Network, own: hosts.Host) -> None:
        self._network = network
        self._own = own
        self._address = ''

    async def call(
        self, address: str, frame: bytes, timeout_ms: float
    ) -> bytes:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._exchange(address, frame)
        except TimeoutError:
            raise control.PeerUnreachable(address) from None

    async def _exchange(self, address: str, frame: bytes) -> bytes:
        network = self._network
        known = network.handlers.get(address)
        peer = known[0].name if known else ''
        message = type(control.decode(frame).message).__name__
        network.control_messages += 1
        network.control_bytes += len(frame)
        network.observe(message, self._own.name, peer)
        arrived = await network.travel(self._own.name, peer, len(frame))
        # The process may have been replaced in the meantime.
        known = network.handlers.get(address)
        if not arrived or known is None or known[0].dead:
            await asyncio.sleep(3600)
            raise control.PeerUnreachable(address)
        target, handler = known
        if network.random.random() < network.repeat_ratio:
            target.spawn(_ignore(handler(frame)))
        if network.links:
            # An answer occupies the links even after its caller has timed
            # out.
            return await asyncio.shield(
                target.spawn(self._answer(target, handler, frame))
            )
        answer = await asyncio.shield(target.spawn(handler(frame)))
        network.control_bytes += len(answer)
        if not await network.travel(target.name, self._own.name):
            await asyncio.sleep(3600)
        return answer

    async def _answer(
        self, target: hosts.Host, handler: control.Handler, frame: bytes
    ) -> bytes:
        network = self._network
        answer = await handler(frame)
        network.control_bytes += len(answer)
        arrived = await network.travel(target.name, self._own.name, len(answer))
        if not arrived:
            await asyncio.sleep(3600)
        return answer

    async def serve(self, address: str, handler: control.Handler) -> None:
        self._address = address
        self._network.handlers[address] = (self._own, handler)

    async def close(self) -> None:
        self._network.handlers.pop(self._address, None)


async def _ignore(work: Awaitable[object]) -> None:
    await work


class _Pipe:
    """Bytes of one reply in flight to the entry."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self._network = network
        self.ends = (source, target)
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._buffer = b''
        network.pipes.add(self)

    async def write(self, frame: attempts.Frame) -> None:
        self._network.observe(type(frame).__name__, *self.ends)
        if await self._network.travel(*self.ends):
            self._queue.put_nowait(attempts.encode_frame(frame))

    def end(self) -> None:
        self._network.pipes.discard(self)
        self._queue.put_nowait(None)

    async def read_exactly(self, length: int) -> bytes:
        while len(self._buffer) < length:
            part = await self._queue.get()
            if part is None:
                raise EOFError
            self._buffer += part
        taken, self._buffer = self._buffer[:length], self._buffer[length:]
        return taken


class _Reader:
    def __init__(self, attempt: attempts.Attempt, pipe: _Pipe) -> None:
        self._reader = attempts.FrameReader(
            request_id=attempt.request_id,
            incarnation=attempt.incarnation,
            read_exactly=pipe.read_exactly,
        )

    async def read(self) -> attempts.Frame:
        try:
            return await self._reader.read()
        except attempts.FrameSequenceBroken as fault:
            raise entry.GuardLost(str(fault)) from None


class FakeGuardPort:
    """Sends attempts from one entry to guards."""

    def __init__(self, network: Network, own: hosts.Host) -> None:
        self._network = network
        self._own = own

    @asynccontextmanager
    async def open(
        self, address: str, attempt: attempts.Attempt, body: bytes
    ) -> AsyncIterator[_Reader]:
        network = self._network
        known = network.guards.get(address)
        name = known[0].name if known else ''
        network.observe('Attempt', self._own.name, name)
        if network.is_cut(self._own.name, name) or network.is_cut(
            name, self._own.name
        ):
            await asyncio.sleep(0.5)
            raise entry.GuardNotReached('no connection')
        await network.travel(self._own.name, name)
        known = network.guards.get(address)
        if known is None or known[0].dead:
            raise entry.GuardNotReached('refused')
        target, service = known
        encoded = attempts.decode_attempt(attempts.encode_attempt(attempt))
        pipe = _Pipe(network, target.name, self._own.name)
        target.on_death.append(pipe.end)
        network.observe('Arrived', self._own.name, target.name)
        served = target.spawn(_serve(service, encoded, body, pipe))
        if network.random.random() < network.repeat_ratio:
            spare = _Pipe(network, target.name, self._own.name)
            target.spawn(_serve(service, encoded, body, spare))
        try:
            yield _Reader(attempt, pipe)
        finally:
            # Closing the connection cancels the handler at the guard.
            served.cancel()


async def _serve(
    service: guard.GuardService,
    attempt: attempts.Attempt,
    body: bytes,
    pipe: _Pipe,
) -> None:
    try:
        await service.serve(attempt, body, pipe)
    finally:
        pipe.end()
