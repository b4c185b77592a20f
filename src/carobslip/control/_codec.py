"""Encodes and decodes control messages."""

from typing import Final

import msgspec

from carobslip import decoding
from carobslip.control import _messages

PROTOCOL: Final = 4
#: Fits a list of some thousand targets with its envelope.
MESSAGE_MAX_BYTES: Final = 1_200_000

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(_messages.Envelope)


class UndecodableMessage(Exception):
    """Bytes that are not a message of this protocol version."""


def encode(envelope: _messages.Envelope) -> bytes:
    """Serializes an envelope."""
    return _encoder.encode(envelope)


def decode(frame: bytes) -> _messages.Envelope:
    """Deserializes the envelope in ``frame``.

    Raises:
        UndecodableMessage: The bytes are too long, malformed or of another
            protocol version.
    """
    if len(frame) > MESSAGE_MAX_BYTES:
        raise UndecodableMessage(f'{len(frame)} bytes are too long')
    try:
        envelope = _decoder.decode(frame)
    except decoding.MALFORMED as fault:
        raise UndecodableMessage(str(fault)) from None
    if envelope.protocol != PROTOCOL:
        raise UndecodableMessage(f'protocol {envelope.protocol} is not known')
    return envelope
