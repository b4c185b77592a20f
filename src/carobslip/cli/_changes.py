"""What a configuration changes, in an operator's words."""

import collections
import datetime
import enum
import hashlib
import itertools
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from carobslip import configuration
from carobslip.cli import _findings

#: Names of fields that do not explain themselves.
_FIELD_WORDS: Final = {
    'timeout_ms': 'time limit',
    'timeout_max_ms': 'longest time limit of a caller',
    'objective_ms': 'objective',
    'pause_objective_ms': 'longest pause between events',
    'attempts_max': 'targets that one request may be sent to',
    'cold_rps': 'rate of a cold target',
    'connections_max': 'connections per target',
    'public': 'usable without a key',
    'resumable': 'streams may be resumed',
    'retry_ratio': 'retries per successful request',
    'services': 'destinations',
    'targets': 'members that vote on keys',
    'override': 'values',
    'api_keys': 'API keys have changed',
}
#: Entries of a list or dictionary, by the name of the field.
_ENTRY_WORDS: Final = {
    'forwarding.routes': 'route',
    'forwarding.services': 'service',
    'forwarding.teams': 'team',
    'services': 'service',
    'exceptions': 'exception for',
    'out': 'out of service:',
}
#: End of the path of a team's keys.
_KEYS: Final = ('api_keys',)
#: Units by the end of a field's name.
_UNITS: Final = {'_ms': 'ms', '_bytes': 'bytes', '_rps': 'requests a second'}


def find_changes(
    before: configuration.Configuration,
    after: configuration.Configuration,
) -> list[_findings.Change]:
    """Returns the differences, and what follows from them.

    Args:
        before: The version in force.
        after: The version that is to replace it.
    """
    return [
        *_differences(_plain(before), _plain(after), ()),
        *_consequences(before, after),
    ]


def _consequences(
    before: configuration.Configuration,
    after: configuration.Configuration,
) -> Iterator[_findings.Change]:
    contended = before.forwarding.contended_services
    now_contended = after.forwarding.contended_services
    for name in sorted(contended ^ now_contended):
        text = 'a broker assigns its slots, because its streams differ in'
        if name in contended:
            text = 'no broker assigns its slots any more: its streams agree in'
        yield _findings.Change(
            subject=f'service {name}', text=f'{text} urgency'
        )
    needed = bool(before.forwarding.teams)
    if needed != bool(after.forwarding.teams):
        text = 'need no key any more' if needed else 'need a key from now on'
        yield _findings.Change(
            subject='routes', text=f'those that are not public {text}'
        )
    order = [_scope_words(one.scope) for one in before.exceptions]
    now_order = [_scope_words(one.scope) for one in after.exceptions]
    common = set(order) & set(now_order)
    if [one for one in order if one in common] != [
        one for one in now_order if one in common
    ]:
        yield _findings.Change(
            subject='exceptions', text='they apply in another order'
        )


def _plain(part: Any) -> Any:
    """Returns a part of a document as dictionaries and plain values.

    Lists of named entries become dictionaries by name, so that an entry is
    compared with itself wherever it stands.
    """
    if isinstance(part, msgspec.Struct):
        fields = msgspec.structs.asdict(part)
        if isinstance(part, configuration.Team):
            # Keys are secrets; their digests show whether they differ.
            fields['api_keys'] = tuple(map(_digest, part.api_keys))
        return {
            name: _plain(field)
            for name, field in fields.items()
            if field is not msgspec.UNSET
        }
    if isinstance(part, dict):
        return {name: _plain(entry) for name, entry in part.items()}
    if isinstance(part, tuple) and any(
        isinstance(one, msgspec.Struct) for one in part
    ):
        named: dict[str, Any] = {}
        uses: collections.Counter[str] = collections.Counter()
        for one in part:
            name = _name_of(one)
            uses[name] += 1
            key = name if uses[name] == 1 else f'{name} #{uses[name]}'
            named[key] = _plain(one)
        return named
    if isinstance(part, enum.Enum):
        return part.value
    return part


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _name_of(entry: Any) -> str:
    match entry:
        case configuration.Route():
            return entry.name
        case configuration.PolicyException():
            return _scope_words(entry.scope)
        case configuration.Withdrawal():
            return str(entry.data_centre or entry.target)
        case configuration.Team():
            return entry.team
        case configuration.ForwardedService() | configuration.WeightedService():
            return entry.service
    return ' '.join(str(one) for one in msgspec.structs.astuple(entry))


def _scope_words(scope: configuration.Scope) -> str:
    fields = msgspec.structs.asdict(scope)
    return ', '.join(
        f'{name} {named}' for name, named in fields.items() if named is not None
    )


def _differences(
    before: Any, after: Any, path: tuple[str, ...]
) -> Iterator[_findings.Change]:
    if before == after:
        return
    entries = _entries(before)
    now_entries = _entries(after)
    if entries is not None and now_entries is not None and path[-1:] != _KEYS:
        for name in dict.fromkeys(itertools.chain(entries, now_entries)):
            yield from _entry_differences(entries, now_entries, (*path, name))
        return
    yield _change(before, after, path)


def _entries(part: Any) -> dict[str, Any] | None:
    """Returns the named entries of a part; an empty list may have had some."""
    if isinstance(part, tuple) and not part:
        return {}
    return part if isinstance(part, dict) else None


def _change(before: Any, after: Any, path: tuple[str, ...]) -> _findings.Change:
    name = path[-1]
    if isinstance(before, dict) or isinstance(after, dict):
        text = 'is removed' if after is None else 'is new'
        return _findings.Change(subject=_subject(path), text=text)
    text = f'from {_value(name, before)} to {_value(name, after)}'
    if path[-1:] == _KEYS:
        text = _key_words(before, after)
    return _findings.Change(
        subject=_subject(path[:-1]), text=f'{_field_words(name)} {text}'
    )


def _entry_differences(
    before: dict[str, Any], after: dict[str, Any], path: tuple[str, ...]
) -> Iterator[_findings.Change]:
    name = path[-1]
    if name in before and name in after:
        yield from _differences(before[name], after[name], path)
        return
    is_new = name in after
    entry = after[name] if is_new else before[name]
    if isinstance(entry, dict):
        yield _findings.Change(
            subject=_subject(path), text='is new' if is_new else 'is removed'
        )
        return
    word = 'is set to' if is_new else 'is no longer set; it was'
    yield _findings.Change(
        subject=_subject(path[:-1]),
        text=f'{_field_words(name)} {word} {_value(name, entry)}',
    )


def _subject(path: tuple[str, ...]) -> str:
    """Returns the words for the entry that a path leads to."""
    for length in (2, 1):
        word = _ENTRY_WORDS.get('.'.join(path[:length]))
        if word is not None and len(path) > length:
            rest = [_field_words(one) for one in path[length + 1 :]]
            return ', '.join([f'{word} {path[length]}', *rest])
    return ', '.join(_field_words(one) for one in path) or 'configuration'


def _field_words(name: str) -> str:
    for ending in _UNITS:
        if name not in _FIELD_WORDS:
            name = name.removesuffix(ending)
    return _FIELD_WORDS.get(name, name.replace('_', ' '))


def _value(name: str, setting: Any) -> str:
    match setting:
        case None | () | '':
            return 'none'
        case bool():
            return 'yes' if setting else 'no'
        case int() | float():
            units = (unit for end, unit in _UNITS.items() if name.endswith(end))
            return ' '.join((f'{setting:.15g}', *units))
        case tuple():
            return ', '.join(str(one) for one in setting)
        case datetime.datetime():
            return setting.isoformat()
    return str(setting)


def _key_words(before: tuple[str, ...], after: tuple[str, ...]) -> str:
    """Counts keys, which are secrets."""
    added = len(set(after) - set(before))
    withdrawn = len(set(before) - set(after))
    return f'({added} new, {withdrawn} withdrawn)'
