"""Kills, suspends and resumes real processes."""

import asyncio
import signal
import time

import aiohttp

from carobslip import identifiers

TEAM = {'Carobslip-Team': 'drivers'}
DESKS = ('desk-1', 'desk-2', 'desk-3')


def new_key() -> str:
    return identifiers.new_key(int(time.time() * 1000))


def count_runs(fleet, key: str) -> int:
    return sum(
        entry['key'] == key
        for desk in DESKS
        for entry in fleet.ledger(desk)['ledger']
    )


def find_run_desk(fleet, key: str) -> str | None:
    for desk in DESKS:
        if any(e['key'] == key for e in fleet.ledger(desk)['ledger']):
            return desk
    return None


async def book(caller, fleet, number: int, key: str) -> str:
    url = f'{fleet.entry_url(number)}/v1/services/booking/bookings'
    headers = {'Idempotency-Key': key, 'Carobslip-Timeout-Ms': '8000'}
    try:
        async with caller.post(url, data=key, headers=headers) as answer:
            content = await answer.text()
            verdict = answer.headers['Carobslip-Verdict']
            assert verdict != 'ran' or key in content
            return verdict
    except aiohttp.ClientError:
        return 'lost'


async def wait_for_run(fleet, key: str) -> str:
    while True:
        desk = find_run_desk(fleet, key)
        if desk is not None:
            return desk
        await asyncio.sleep(0.02)


async def retry_until_run(caller, fleet, key: str) -> None:
    while True:
        if await book(caller, fleet, 1, key) == 'ran':
            return
        await asyncio.sleep(0.1)


async def test_guard_killed_during_a_run_never_runs_it_again(fleet):
    for desk in DESKS:
        fleet.fault(desk, delay_ms=1000)
    await asyncio.sleep(0.2)
    key = new_key()
    async with aiohttp.ClientSession(headers=TEAM) as caller:
        first = asyncio.ensure_future(book(caller, fleet, 0, key))
        desk = await wait_for_run(fleet, key)
        fleet.kill(f'guard-{desk}')
        assert await first == 'may-have-run'
        fleet.start(f'guard-{desk}')
        fleet.wait_until_serving(f'guard-{desk}')
        assert await book(caller, fleet, 1, key) == 'may-have-run'
    assert count_runs(fleet, key) == 1


async def test_suspended_entry_never_runs_a_key_again(fleet):
    for desk in DESKS:
        fleet.fault(desk, delay_ms=300)
    await asyncio.sleep(0.2)
    key = new_key()
    async with aiohttp.ClientSession(headers=TEAM) as caller:
        first = asyncio.ensure_future(book(caller, fleet, 0, key))
        await wait_for_run(fleet, key)
        fleet.signal('entry-0', signal.SIGSTOP)
        assert await book(caller, fleet, 1, key) == 'ran'
        # Longer than any permit and than the caller's deadline.
        await asyncio.sleep(9)
        fleet.signal('entry-0', signal.SIGCONT)
        await first
        assert await book(caller, fleet, 0, key) == 'ran'
    assert count_runs(fleet, key) == 1


async def test_suspended_guard_never_runs_a_key_again(fleet):
    await asyncio.sleep(0.2)
    key = new_key()
    async with aiohttp.ClientSession(headers=TEAM) as caller:
        assert await book(caller, fleet, 0, key) == 'ran'
        desk = find_run_desk(fleet, key)
        fleet.signal(f'guard-{desk}', signal.SIGSTOP)
        assert await book(caller, fleet, 1, key) == 'may-have-run'
        other = new_key()
        while await book(caller, fleet, 1, other) != 'ran':
            other = new_key()
        fleet.signal(f'guard-{desk}', signal.SIGCONT)
        await retry_until_run(caller, fleet, key)
    assert count_runs(fleet, key) == 1
    assert count_runs(fleet, other) == 1


async def test_planned_stop_completes_a_stream_in_progress(fleet):
    draft = {'model': 'slip', 'max_tokens': 200, 'stream': True}
    url = f'{fleet.entry_url()}/v1/chat/completions'
    async with aiohttp.ClientSession(headers=TEAM) as caller:
        async with caller.post(url, json=draft) as answer:
            await answer.content.readany()
            codes = asyncio.ensure_future(asyncio.to_thread(fleet.stop_system))
            content = await answer.content.read()
        assert content.endswith(b'data: [DONE]\n\n')
    assert set((await codes).values()) == {0}
