"""The parts of a prompt that are read from a caller's header."""

import msgspec
import pytest
from users_platform import callers

from carobslip import crashes

LONG = 'f' * 33

# name: (values of the header, shared parts)
HEADERS = {
    'no header': ((), ()),
    'empty': (('',), ()),
    'own part alone': (('5c1e07a2:800',), ()),
    'own part last': (
        ('5c1e07a2:800,91bd3f06:410,e4402b7d:250',),
        ('5c1e07a2', '91bd3f06'),
    ),
    'spaces and upper case': ((' 5C1E07A2:800 , e4402b7d:250',), ('5c1e07a2',)),
    'no size': (('5c1e07a2,e4402b7d',), ('5c1e07a2',)),
    'empty entries': ((',,5c1e07a2:1,:3,e4402b7d:250',), ('5c1e07a2',)),
    'two headers': (
        ('5c1e07a2:8', '91bd3f06:4,e4402b7d:2'),
        ('5c1e07a2', '91bd3f06'),
    ),
}


@pytest.mark.parametrize('name', HEADERS)
def test_shared_parts_are_all_but_the_last(name):
    received, parts = HEADERS[name]
    assert callers._shared_parts_of(received) == parts


def test_parts_are_bounded_in_number_and_length():
    endless = ','.join([LONG, f'{LONG}f'] * 100)
    parts = callers._shared_parts_of((endless,))
    assert len(parts) == 32
    assert len(set(parts)) == 2
    assert all(len(part) <= 32 for part in parts)


def test_part_that_is_no_text_can_be_sent_to_peers():
    (part,) = callers._shared_parts_of(('\udcff\udc80:1,own:2',))
    record = crashes.CrashRecord(start='t1', age_ms=0, prompts=((part,),))
    assert (
        msgspec.msgpack.decode(
            msgspec.msgpack.encode(record), type=crashes.CrashRecord
        )
        == record
    )
