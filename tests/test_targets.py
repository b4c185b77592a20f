"""The target list during outages, with removed entries and old reports."""

import asyncio

import pytest

from carobslip import clocks, observability, targets
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

DRAINING = targets.TargetState.DRAINING


def new_book():
    return targets.TargetRegistry(
        clock=clocks.LoopClock(epoch_ms=0),
        log=observability.EventLog(),
    )


def change(name, revision, **changes):
    record = fakes.record(name, fakes.DESK, **changes) if changes else None
    return targets.TargetChange(target=name, record=record, revision=revision)


def usable(book, withdrawn=()):
    return {one.target for one in book.usable(fakes.DESK, withdrawn)}


def apply_list(book, *names):
    records = tuple(fakes.record(name, fakes.DESK) for name in names)
    book.apply(targets.TargetSnapshot(records=records, revision=1))


# name: (updates after a list of a and b, targets usable immediately after)
UPDATES = {
    'draining': ([change('a', 2, state=DRAINING)], {'b'}),
    'removed': ([change('a', 2)], {'b'}),
    'added': ([change('c', 2, sequence=1)], {'a', 'b', 'c'}),
    'older report after draining': (
        [
            change('a', 2, state=DRAINING, sequence=5),
            change('a', 3, sequence=4),
        ],
        {'b'},
    ),
    'started anew after draining': (
        [
            change('a', 2, state=DRAINING, sequence=5),
            change('a', 3, started_wall_ms=9),
        ],
        {'a', 'b'},
    ),
    'history lost': (
        [
            targets.TargetSnapshot(
                records=(fakes.record('b', fakes.DESK),),
                revision=9,
            ),
        ],
        {'b'},
    ),
    'list lost': ([targets.TargetListLost(fault='down')], {'a', 'b'}),
}


@pytest.mark.parametrize('name', UPDATES)
def test_usable_targets_after_list_updates(name):
    updates, expected = UPDATES[name]

    async def scenario():
        book = new_book()
        apply_list(book, 'a', 'b')
        for update in updates:
            book.apply(update)
        assert usable(book) == expected

    virtual.run(scenario)


def test_targets_expired_in_an_outage_stay_usable_for_the_grace_time():
    async def scenario():
        book = new_book()
        apply_list(book, 'a', 'b')
        book.apply(targets.TargetListLost(fault='down'))
        await asyncio.sleep(4)
        book.apply(targets.TargetListReached(revision=5))
        book.apply(change('a', 5))
        book.apply(change('b', 6))
        assert usable(book) == {'a', 'b'}
        await asyncio.sleep(1.9)
        book.apply(change('b', 7, sequence=1))
        assert usable(book) == {'a', 'b'}
        await asyncio.sleep(0.4)
        assert usable(book) == {'b'}

    virtual.run(scenario)


def test_list_of_a_peer_does_not_replace_an_own_list():
    async def scenario():
        book = new_book()
        peers = targets.TargetSnapshot(
            records=(fakes.record('p', fakes.DESK),),
            revision=3,
        )
        book.adopt(peers)
        assert usable(book) == {'p'}
        apply_list(book, 'a')
        assert usable(book) == {'a'}
        book.adopt(peers)
        assert usable(book) == {'a'}

    virtual.run(scenario)


def test_only_the_last_started_target_at_an_address_is_usable():
    async def scenario():
        book = new_book()
        apply_list(book, 'a', 'b')
        book.apply(change('c', 2, address='a:1', started_wall_ms=9))
        assert usable(book) == {'b', 'c'}
        book.apply(change('c', 3))
        assert usable(book) == {'a', 'b'}

    virtual.run(scenario)


def test_replaced_target_is_unusable_until_its_address_changes():
    async def scenario():
        book = new_book()
        apply_list(book, 'a', 'b')
        # The machine's clock was set back before the later start.
        book.apply(change('c', 2, address='a:1', started_wall_ms=-9))
        book.note_replaced('a')
        assert usable(book) == {'b', 'c'}
        book.apply(change('a', 3, sequence=7))
        assert usable(book) == {'b', 'c'}
        book.apply(change('a', 4, address='d:1', started_wall_ms=20))
        assert usable(book) == {'a', 'b', 'c'}

    virtual.run(scenario)
