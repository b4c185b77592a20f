"""Frames of a guard's reply: one head, numbered chunks, one end."""

from typing import Final

import msgspec

from carobslip import control, identifiers, verdicts

#: Bytes of the big-endian length before each frame.
LENGTH_BYTES: Final = 4

_encoder: Final = msgspec.msgpack.Encoder()


class _Frame(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all frames; the class name is the tag."""


class Head(_Frame, frozen=True, kw_only=True):
    """Begins a reply of the target.

    Attributes:
        request_id: The request that the reply is for.
        incarnation: Incarnation of the guard that sends the reply.
        status: HTTP status of the target's answer.
        content_type: Its media type.
        replayed: The reply is the stored one of an earlier request.
    """

    request_id: identifiers.RequestId
    incarnation: identifiers.Incarnation
    status: int
    content_type: str
    replayed: bool = False


class Chunk(_Frame, frozen=True, kw_only=True):
    """A part of the body; numbers start at 0."""

    number: int
    content: bytes


class End(_Frame, frozen=True, kw_only=True):
    """Ends a complete reply, or reports that there is none.

    Attributes:
        request_id: The request that the reply is for.
        chunks: How many chunks were sent.
        outcome: The verdict on the attempt.
        hint: The guard's current load data.
    """

    request_id: identifiers.RequestId
    chunks: int
    outcome: verdicts.Outcome
    hint: control.GuardHint


class Broken(_Frame, frozen=True, kw_only=True):
    """Reports that a started reply cannot be completed."""

    request_id: identifiers.RequestId
    outcome: verdicts.Outcome


Frame = Head | Chunk | End | Broken


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame with its length prefix."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES) + body
