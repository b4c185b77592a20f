"""Crashes of targets, and the requests that may have caused them."""

from typing import Annotated, Final, NewType

import msgspec

from carobslip import identifiers, targets

#: Crashes that a process keeps and sends to a peer.
CRASHES_MAX: Final = 64
#: Prompts that are recorded for one crash.
PROMPTS_MAX: Final = 16
_PARTS_MAX: Final = 512
#: Fits the longest key of a target with its start.
_NAME_MAX_CHARS: Final = 256

_CONTENT_PREFIX: Final = 'content='

#: One start of one target.
TargetStart = NewType('TargetStart', str)

Prompt = tuple[identifiers.PromptPart, ...]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_NAME_MAX_CHARS)]
_Parts = Annotated[
    tuple[_Name, ...],
    msgspec.Meta(max_length=_PARTS_MAX),
]


def start_of(record: targets.TargetRecord) -> TargetStart:
    """Returns the identifier of the start that a record describes."""
    return TargetStart(f'{record.target}@{record.started_wall_ms}')


def content_part(digest: int) -> identifiers.PromptPart:
    """Returns the part that stands for the whole content of a request."""
    return identifiers.PromptPart(f'{_CONTENT_PREFIX}{digest:016x}')


def is_content(part: identifiers.PromptPart) -> bool:
    """Tells whether a part stands for the whole content of a request."""
    return part.startswith(_CONTENT_PREFIX)


class CrashRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a process knows of one crash, as sent to its peers.

    All fields but the age only grow, so records are merged in any order.

    Attributes:
        start: The start of the target that ended.
        age_ms: Time since the crash became known.
        prompts: Shared parts of the requests at it that had no event yet.
        cleared: Parts among them that were answered whole after the crash.
        proven: Parts among them that were answered whole shortly before it.
        begun: Shared parts of the requests at it that had events already.
    """

    start: _Name
    age_ms: float
    prompts: Annotated[
        tuple[_Parts, ...],
        msgspec.Meta(max_length=PROMPTS_MAX),
    ]
    cleared: _Parts = ()
    proven: _Parts = ()
    begun: Annotated[
        tuple[_Parts, ...],
        msgspec.Meta(max_length=PROMPTS_MAX),
    ] = ()


class Crash:
    """One crash, on the clock of this process.

    Args:
        start: The start of the target that ended.
        known_ms: When the crash became known to the first process.
    """

    def __init__(self, *, start: TargetStart, known_ms: float) -> None:
        self.start = start
        self.known_ms = known_ms
        #: Prompts without an event at the time, and those with some.
        self.prompts: set[Prompt] = set()
        self.begun: set[Prompt] = set()
        self.cleared: set[identifiers.PromptPart] = set()
        self.proven: set[identifiers.PromptPart] = set()

    @property
    def parts(self) -> set[identifiers.PromptPart]:
        """All parts of the prompts."""
        return {part for prompt in self.prompts | self.begun for part in prompt}

    @property
    def parts_without_event(self) -> set[identifiers.PromptPart]:
        """The parts of prompts that had no event yet."""
        return {part for prompt in self.prompts for part in prompt}

    def suspects(self, prompt: Prompt) -> frozenset[identifiers.PromptPart]:
        """Returns the parts of a prompt that speak against it.

        The content of a request does so only after a second crash: nearly all
        requests at a crash are sent for the first time.
        """
        named = frozenset(part for part in prompt if not is_content(part))
        return named - self.cleared - self.proven
