"""Sends and receives the control messages of one process."""

import math
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from carobslip import configuration, observability
from carobslip.control import (
    _codec,
    _fetcher,
    _messages,
    _package_cache,
    _port,
    _traffic,
)

_COMPARE_TIMEOUT_MS: Final = 1000.0

AnswerT = TypeVar('AnswerT', bound=_messages.Message)
MessageHandler = Callable[[Any, _messages.Origin], Awaitable[_messages.Message]]


class Node:
    """Sends and answers messages, and synchronizes configurations.

    Every envelope carries the sender's configuration version; a process with
    an older version fetches the document from a peer with a newer one.

    Args:
        origin: This process.
        holder: The configuration that it holds.
        transport: Carries the messages.
        metrics: Counts them by type.
        log: Receives a line for each attempt to fetch a configuration, and for
            requests that could not be answered.
        fetch_pause_ms: Minimum time between the starts of two fetches.
    """

    def __init__(
        self,
        *,
        origin: _messages.Origin,
        holder: configuration.Holder,
        transport: _port.Transport,
        metrics: observability.Metrics,
        log: observability.EventLog,
        fetch_pause_ms: float = 0,
    ) -> None:
        self.origin = origin
        self.holder = holder
        self._transport = transport
        self._log = log
        self._last_failure = ''
        self.traffic = _traffic.Traffic(metrics=metrics)
        self._handlers: dict[type[_messages.Message], MessageHandler] = {}
        self._packages = _package_cache.PackageCache(holder=holder)
        self._fetcher = _fetcher.ConfigurationFetcher(
            holder=holder,
            ask=self._ask_part,
            log=log,
            pause_ms=fetch_pause_ms,
        )
        self._crashes_digest: Callable[[], int | None] = _no_digest
        self._on_crashes_differ: Callable[[_messages.Origin], None] = _ignore
        self.undecodable_total = 0
        self.failed_total = 0
        self.register_handler(_messages.FetchConfiguration, self._answer_fetch)
        self.register_handler(
            _messages.CompareVersions, self._answer_comparison
        )

    def register_handler(
        self,
        kind: type[_messages.Message],
        handler: MessageHandler,
    ) -> None:
        """Registers the handler of one type of request."""
        self._handlers[kind] = handler

    def compare_crashes(
        self,
        digest: Callable[[], int],
        on_differ: Callable[[_messages.Origin], None],
    ) -> None:
        """Compares the crashes that are known with those of every sender.

        Args:
            digest: Returns the digest of what this process knows.
            on_differ: Called with a sender that knows something else.
        """
        self._crashes_digest = digest
        self._on_crashes_differ = on_differ

    async def start(self) -> None:
        """Starts answering requests at the origin's control address."""
        await self._transport.serve(
            self.origin.control_address,
            self._answer_frame,
        )

    async def close(self) -> None:
        """Stops all traffic."""
        self._fetcher.close()
        await self._transport.close()

    async def ask(
        self,
        address: str,
        message: _messages.Message,
        *,
        answer: type[AnswerT],
        timeout_ms: float,
    ) -> AnswerT:
        """Sends a request and returns its answer.

        Args:
            address: Control address of the peer.
            message: The request.
            answer: Expected type of the answer.
            timeout_ms: How long to wait.

        Raises:
            PeerUnreachable: No answer of that type came in time.
        """
        sent_ms = self.holder.clock.now_ms()
        frame = await self._call(address, message, timeout_ms)
        try:
            envelope = _codec.decode(frame)
        except _codec.UndecodableMessage as fault:
            self.undecodable_total += 1
            raise _port.PeerUnreachable(str(fault)) from None
        self.traffic.note_received(envelope.message, len(frame))
        self._compare_versions(envelope)
        self._note_confirmation(envelope, sent_ms)
        if not isinstance(envelope.message, answer):
            raise _port.PeerUnreachable(f'answered {envelope.message!r}')
        return envelope.message

    async def synchronize_with(
        self,
        address: str,
        *,
        timeout_ms: float = _COMPARE_TIMEOUT_MS,
        fetch_timeout_ms: float = math.inf,
    ) -> None:
        """Compares versions with a peer and fetches a newer configuration.

        Args:
            address: Control address of the peer.
            timeout_ms: How long to wait for its answer.
            fetch_timeout_ms: How long to wait for the document; a transfer
                that takes longer goes on.
        """
        try:
            await self.ask(
                address,
                _messages.CompareVersions(),
                answer=_messages.Noted,
                timeout_ms=timeout_ms,
            )
        except _port.PeerUnreachable:
            return
        await self._fetcher.finish(fetch_timeout_ms)

    async def _call(
        self,
        address: str,
        message: _messages.Message,
        timeout_ms: float,
    ) -> bytes:
        sent_ms = self.holder.clock.now_ms()
        request = self._wrap(message)
        self.traffic.note_sent(message, len(request))
        try:
            frame = await self._transport.call(address, request, timeout_ms)
        except _port.PeerUnreachable:
            self.traffic.note_unanswered(message)
            raise
        took_ms = self.holder.clock.now_ms() - sent_ms
        self.traffic.note_answered(message, took_ms)
        return frame

    def _wrap(self, message: _messages.Message) -> bytes:
        held = self.holder.order
        return _codec.encode(
            _messages.Envelope(
                protocol=_codec.PROTOCOL,
                origin=self.origin,
                configuration_version=held.version,
                configuration_digest=held.digest,
                # Rounded up; whole numbers are shorter in messages.
                configuration_age_ms=math.ceil(self.holder.age_ms()),
                message=message,
                crashes_digest=self._crashes_digest(),
                configuration_era=held.era,
                configuration_revision=held.revision,
            ),
        )

    async def _answer_frame(self, frame: bytes) -> bytes:
        try:
            envelope = _codec.decode(frame)
        except _codec.UndecodableMessage as fault:
            self.undecodable_total += 1
            return self._wrap(_messages.Refused(fault=str(fault)[:500]))
        self.traffic.note_received(envelope.message, len(frame))
        try:
            answer, encoded = await self._answer(envelope)
        except Exception as error:
            # A failed request must not stop this process from answering others.
            refused = _messages.Refused(fault=repr(error)[:500])
            self._note_failure(envelope, refused.fault)
            answer, encoded = refused, self._wrap(refused)
        self.traffic.note_sent(answer, len(encoded))
        return encoded

    async def _answer(
        self, envelope: _messages.Envelope
    ) -> tuple[_messages.Message, bytes]:
        """Returns the answer to a request, also encoded."""
        self._compare_versions(envelope)
        answer: _messages.Message
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            answer = _messages.Refused(fault='request not served here')
        else:
            answer = await handler(envelope.message, envelope.origin)
        return answer, self._wrap(answer)

    def _note_failure(self, envelope: _messages.Envelope, fault: str) -> None:
        """Counts a failure; records it unless it repeats the last one."""
        self.failed_total += 1
        request = type(envelope.message).__name__
        failure = f'{request}: {fault}'
        if failure != self._last_failure:
            self._last_failure = failure
            self._log.write(
                observability.Event.PEER_REQUEST_FAILED,
                request=request,
                origin=envelope.origin.instance,
                fault=fault,
            )

    def _compare_versions(self, envelope: _messages.Envelope) -> None:
        order = envelope.configuration_order
        self.holder.note_order(order)
        self._fetcher.note(envelope.origin.control_address, order)
        own = self._crashes_digest()
        if own is not None and envelope.crashes_digest not in {None, own}:
            self._on_crashes_differ(envelope.origin)

    def _note_confirmation(
        self,
        envelope: _messages.Envelope,
        sent_ms: float,
    ) -> None:
        # The answer was written after the request was sent, so subtracting the
        # age from the send time is safe however long the answer took to arrive.
        self.holder.confirm_document(
            envelope.configuration_order.document_id,
            sent_ms - envelope.configuration_age_ms,
        )

    async def _ask_part(
        self,
        address: str,
        request: _messages.FetchConfiguration,
        timeout_ms: float,
    ) -> _messages.ConfigurationPart:
        return await self.ask(
            address,
            request,
            answer=_messages.ConfigurationPart,
            timeout_ms=timeout_ms,
        )

    async def _answer_fetch(
        self,
        request: _messages.FetchConfiguration,
        origin: _messages.Origin,
    ) -> _messages.ConfigurationPart:
        return self._packages.find_part(request)

    async def _answer_comparison(
        self,
        request: _messages.CompareVersions,
        origin: _messages.Origin,
    ) -> _messages.Noted:
        return _messages.Noted()


def _no_digest() -> None:
    """Default of a process that keeps no crashes."""


def _ignore(origin: _messages.Origin) -> None:
    """Default of a process that keeps no crashes."""
