"""Requests from caller to target through separate processes."""

import asyncio
import time

import aiohttp

from carobslip import identifiers

TEAM = {'Carobslip-Team': 'drivers'}


def new_key() -> str:
    return identifiers.new_key(int(time.time() * 1000))


async def test_requests_pass_and_all_processes_stop_cleanly(fleet):
    url = fleet.entry_url()
    async with aiohttp.ClientSession(headers=TEAM) as caller:
        async with caller.get(f'{url}/v1/entries') as answer:
            entries = (await answer.json())['entries']
        assert {entry['data_centre'] for entry in entries} == {'leeds', 'york'}

        draft = {'model': 'slip', 'max_tokens': 3, 'stream': True}
        async with caller.post(
            f'{url}/v1/chat/completions', json=draft
        ) as answer:
            assert answer.headers['Carobslip-Verdict'] == 'ran'
            assert (await answer.text()).endswith('data: [DONE]\n\n')

        # A guard has no record from before its start, so the key is made later.
        await asyncio.sleep(0.2)
        key = new_key()
        replies = []
        for number in (0, 1, 0):
            async with caller.post(
                f'{fleet.entry_url(number)}/v1/services/booking/bookings',
                json={'basket': 7},
                headers={'Idempotency-Key': key},
            ) as answer:
                assert answer.status == 201, await answer.text()
                replies.append(await answer.text())
        assert len(set(replies)) == 1

    ran = [
        entry
        for target in ('desk-1', 'desk-2', 'desk-3')
        for entry in fleet.ledger(target)['ledger']
    ]
    assert [entry['key'] for entry in ran] == [key]
    codes = fleet.stop_all()
    assert set(codes.values()) == {0}, codes
