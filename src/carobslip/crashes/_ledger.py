"""What a process knows of crashes, from its own requests and from peers."""

import collections
from collections.abc import Collection, Iterable
from typing import Any, Final

from carobslip import clocks, hashing, identifiers, observability
from carobslip.crashes import _causes, _records

#: Crashes are forgotten after this time. It exceeds the longest time for which
#: a part is held back.
_KEPT_MS: Final = 3_600_000.0
#: An answer before a crash speaks for its parts for this long.
_PROVEN_MS: Final = 60_000.0
#: Parts whose last answer is remembered.
_ANSWERED_MAX: Final = 4096


class CrashLedger:
    """Keeps crashes and the parts of prompts that may have caused them.

    Args:
        clock: Monotonic time.
        log: Receives crashes, and changes of the parts that are convicted.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self._clock = clock
        self._log = log
        self._crashes: dict[_records.TargetStart, _records.Crash] = {}
        self._answered_ms: collections.OrderedDict[
            identifiers.PromptPart, float
        ] = collections.OrderedDict()
        self.causes: list[_causes.Cause] = []
        self.unexplained: list[_records.Crash] = []
        self.digest = 0

    def note_crash(
        self,
        start: _records.TargetStart,
        prompt: _records.Prompt,
        *,
        has_events: bool = False,
    ) -> None:
        """Records that a target ended before it had answered a request.

        Args:
            start: The start of the target.
            prompt: Parts of the request.
            has_events: The target had sent events of the answer.
        """
        record = _records.CrashRecord(
            start=start,
            age_ms=0.0,
            prompts=() if has_events else (prompt,),
            begun=(prompt,) if has_events else (),
        )
        self.merge((record,), source='own request')

    def note_answered(self, prompt: _records.Prompt) -> None:
        """Records that a request was answered whole."""
        now_ms = self._clock.now_ms()
        for part in prompt:
            self._answered_ms[part] = now_ms
            self._answered_ms.move_to_end(part)
        while len(self._answered_ms) > _ANSWERED_MAX:
            self._answered_ms.popitem(last=False)
        cleared = False
        for crash in self._crashes.values():
            fresh = crash.parts.intersection(prompt) - crash.cleared
            crash.cleared |= fresh
            cleared = cleared or bool(fresh)
        if cleared:
            self._update()

    def merge(
        self,
        records: Iterable[_records.CrashRecord],
        *,
        source: str,
    ) -> None:
        """Adds what a peer, or a request of this process, knows of crashes."""
        changed = [
            record.start
            for record in records
            if record.age_ms < _KEPT_MS and self._merge(record, source)
        ]
        if changed:
            self._update()

    def records(self) -> tuple[_records.CrashRecord, ...]:
        """Returns all crashes, to be sent to a peer."""
        now_ms = self._clock.now_ms()
        return tuple(
            _records.CrashRecord(
                start=crash.start,
                age_ms=now_ms - crash.known_ms,
                prompts=tuple(sorted(crash.prompts)),
                cleared=tuple(sorted(crash.cleared)),
                proven=tuple(sorted(crash.proven)),
                begun=tuple(sorted(crash.begun)),
            )
            for crash in self._crashes.values()
        )

    def age_ms(self, start: _records.TargetStart) -> float | None:
        """Returns the age of a crash; None if none is known of that start."""
        crash = self._crashes.get(start)
        return None if crash is None else self._clock.now_ms() - crash.known_ms

    def is_suspect(
        self,
        start: _records.TargetStart,
        prompt: _records.Prompt,
        *,
        has_events: bool = False,
    ) -> bool:
        """Tells whether a request may have caused a crash.

        Args:
            start: The start of the target.
            prompt: Parts of the request.
            has_events: The target had sent events of the answer; one crash
                alone does not speak against such a request.
        """
        for cause in self.causes:
            if start in cause.crashes:
                return cause.parts.issubset(prompt)
        if has_events:
            return False
        crash = self._crashes.get(start)
        return crash is not None and bool(crash.suspects(prompt))

    def _merge(self, record: _records.CrashRecord, source: str) -> bool:
        start = _records.TargetStart(record.start)
        now_ms = self._clock.now_ms()
        crash = self._crashes.get(start)
        if crash is None:
            crash = _records.Crash(start=start, known_ms=now_ms - record.age_ms)
            self._crashes[start] = crash
            self._log.write(
                observability.Event.TARGET_CRASHED,
                start=start,
                prompts=record.prompts,
                begun=record.begun,
                source=source,
                age_ms=round(record.age_ms),
            )
        before = _content_of(crash)
        crash.known_ms = min(crash.known_ms, now_ms - record.age_ms)
        _add_prompts(crash.prompts, record.prompts)
        _add_prompts(crash.begun, record.begun)
        crash.cleared.update(_prompt_of(record.cleared))
        crash.proven.update(_prompt_of(record.proven))
        self._apply_answers(crash)
        return _content_of(crash) != before

    def _apply_answers(self, crash: _records.Crash) -> None:
        """Adds what the answers of this process say about a crash."""
        for part in crash.parts:
            answered_ms = self._answered_ms.get(part)
            if answered_ms is None:
                continue
            if answered_ms > crash.known_ms:
                crash.cleared.add(part)
            elif answered_ms > crash.known_ms - _PROVEN_MS:
                crash.proven.add(part)

    def _update(self) -> None:
        """Derives causes and digest after a change."""
        self._forget_old()
        known = {cause.parts for cause in self.causes}
        crashes = self._crashes.values()
        explanation = _causes.find_causes(crashes)
        self.causes = explanation.causes
        self.unexplained = explanation.unexplained
        self.digest = _digest_of(crashes)
        now_ms = self._clock.now_ms()
        for cause in self.causes:
            if cause.parts not in known:
                self._log.write(
                    observability.Event.PROMPT_CONVICTED,
                    parts=sorted(cause.parts),
                    crashes=cause.crashes,
                    last_age_ms=round(now_ms - cause.last_ms),
                )
        for parts in known - {cause.parts for cause in self.causes}:
            self._log.write(
                observability.Event.PROMPT_CLEARED,
                parts=sorted(parts),
            )

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _KEPT_MS
        explained = {start for cause in self.causes for start in cause.crashes}
        newest_first = sorted(
            self._crashes.values(),
            key=lambda crash: (crash.start in explained, crash.known_ms),
            reverse=True,
        )
        self._crashes = {
            crash.start: crash
            for crash in newest_first[: _records.CRASHES_MAX]
            if crash.known_ms > oldest_ms
        }


def _add_prompts(
    known: set[_records.Prompt], added: Iterable[Iterable[str]]
) -> None:
    for names in added:
        if len(known) < _records.PROMPTS_MAX:
            known.add(_prompt_of(names))


def _prompt_of(names: Iterable[str]) -> _records.Prompt:
    return tuple(identifiers.PromptPart(name) for name in names)


def _content_of(crash: _records.Crash) -> tuple[list[Any], ...]:
    """Returns what is known of a crash, apart from its time."""
    return (
        sorted(crash.prompts),
        sorted(crash.begun),
        sorted(crash.cleared),
        sorted(crash.proven),
    )


def _digest_of(crashes: Collection[_records.Crash]) -> int:
    """Returns a digest that does not depend on times; 0 if there are none."""
    if not crashes:
        return 0
    return hashing.digest_names(
        *sorted(repr((crash.start, _content_of(crash))) for crash in crashes),
    )
