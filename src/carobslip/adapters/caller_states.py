"""States of the input of a caller connection."""

import enum


class BodyFault(enum.Enum):
    """Why a body ended before it was complete."""

    MALFORMED = enum.auto()
    NO_MEMORY = enum.auto()


class Input(enum.Enum):
    """What a connection expects next from its caller."""

    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNKS = enum.auto()
    #: The request is complete and not answered yet.
    ANSWER = enum.auto()
    #: Nothing more is accepted.
    NOTHING = enum.auto()
