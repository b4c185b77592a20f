"""Attempts of a request at one guard, and the frames of the reply."""

from carobslip.attempts._attempt import (
    ATTEMPT_HEADER,
    Attempt,
    BadAttempt,
    decode_attempt,
    encode_attempt,
)
from carobslip.attempts._frame_reader import FrameReader, FrameSequenceBroken
from carobslip.attempts._frames import (
    Broken,
    Chunk,
    End,
    Frame,
    Head,
    encode_frame,
)

__all__ = [
    'ATTEMPT_HEADER',
    'Attempt',
    'BadAttempt',
    'Broken',
    'Chunk',
    'End',
    'Frame',
    'FrameReader',
    'FrameSequenceBroken',
    'Head',
    'decode_attempt',
    'encode_attempt',
    'encode_frame',
]
