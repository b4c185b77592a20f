"""Malformed input is refused with an error and has no other effect."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobslip import attempts, clocks, configuration, control, identifiers

BYTES = st.binary(max_size=300)
FIXED = settings(max_examples=200, derandomize=True, deadline=None)


@FIXED
@given(BYTES)
def test_control_port_refuses_any_bytes(frame):
    with pytest.raises(control.UndecodableMessage):
        control.decode(frame)


@FIXED
@given(st.text(max_size=200))
def test_attempt_header_refuses_any_text(header):
    with pytest.raises(attempts.BadAttempt):
        attempts.decode_attempt(header)


@FIXED
@given(st.text(max_size=200))
def test_configuration_refuses_any_text_and_keeps_the_held_one(text):
    holder = configuration.Holder(clock=clocks.SystemClock())
    holder.offer('{"kind": "configuration", "version": 7}', source='good')
    assert holder.offer(text, source='bad') is configuration.Adoption.INVALID
    assert holder.version == 7


@FIXED
@given(BYTES)
def test_reply_reader_refuses_any_bytes(content):
    async def read() -> None:
        rest = bytearray(content)

        async def read_exactly(length: int) -> bytes:
            if len(rest) < length:
                raise EOFError
            taken = bytes(rest[:length])
            del rest[:length]
            return taken

        reader = attempts.FrameReader(
            request_id=identifiers.RequestId('r'),
            incarnation=identifiers.Incarnation(1),
            read_exactly=read_exactly,
        )
        while True:
            await reader.read()

    with pytest.raises(attempts.FrameSequenceBroken):
        asyncio.run(read())


def _envelope(**changes):
    content = {
        'protocol': 1,
        'origin': control.Origin(
            instance=identifiers.InstanceId('entry-1'),
            incarnation=identifiers.Incarnation(1),
            control_address='10.0.0.1:7',
        ),
        'configuration_version': 1,
        'configuration_digest': 1,
        'message': control.Hello(),
    }
    return control.Envelope(**{**content, **changes})


UNDECODABLE = {
    'another protocol version': control.encode(_envelope(protocol=3)),
    'truncated message': control.encode(_envelope())[:-3],
    'longer than the maximum': b'\x00' * (control.MESSAGE_MAX_BYTES + 1),
    'wrong type of a field': control.encode(
        _envelope(configuration_version='one')
    ),
}


@pytest.mark.parametrize('name', UNDECODABLE)
def test_control_port_refuses_undecodable_message(name):
    with pytest.raises(control.UndecodableMessage):
        control.decode(UNDECODABLE[name])


BROKEN_REPLIES = {
    'missing chunk': [
        attempts.Chunk(number=0, content=b'a'),
        attempts.Chunk(number=2, content=b'c'),
    ],
    'repeated chunk': [
        attempts.Chunk(number=0, content=b'a'),
        attempts.Chunk(number=0, content=b'a'),
    ],
    'head for another request': [
        attempts.Head(
            request_id=identifiers.RequestId('other'),
            incarnation=identifiers.Incarnation(1),
            status=200,
            content_type='text/plain',
        )
    ],
    'head from another incarnation of the guard': [
        attempts.Head(
            request_id=identifiers.RequestId('r'),
            incarnation=identifiers.Incarnation(2),
            status=200,
            content_type='text/plain',
        )
    ],
}


@pytest.mark.parametrize('name', BROKEN_REPLIES)
def test_reply_reader_refuses_broken_reply(name):
    content = b''.join(map(attempts.encode_frame, BROKEN_REPLIES[name]))
    test_reply_reader_refuses_any_bytes.hypothesis.inner_test(content)


HTTP_CASES = {
    'missing team': ({}, {}, b'{}', 400),
    'unknown service': ({'Carobslip-Team': 't'}, {'s': 'x'}, b'{}', 404),
    'empty key': (
        {'Carobslip-Team': 't', 'Idempotency-Key': ' '},
        {},
        b'',
        400,
    ),
    'long key': (
        {'Carobslip-Team': 't', 'Idempotency-Key': 'k' * 300},
        {},
        b'',
        400,
    ),
    'bad timeout': (
        {'Carobslip-Team': 't', 'Carobslip-Timeout-Ms': '-1'},
        {},
        b'',
        400,
    ),
    'body above the limit': (
        {'Carobslip-Team': 't'},
        {},
        b'x' * 1_100_000,
        413,
    ),
}


async def test_caller_port_refuses_bad_requests_without_effect(fleet):
    import aiohttp

    async with aiohttp.ClientSession() as session:
        for name, (headers, path_parts, body, status) in HTTP_CASES.items():
            service = path_parts.get('s', 'booking')
            url = f'{fleet.entry_url()}/v1/services/{service}/bookings'
            async with session.post(url, data=body, headers=headers) as answer:
                content = await answer.json(
                    content_type='application/problem+json'
                )
                assert answer.status == status, name
                assert content['verdict'] == 'not-run', name
                assert content['detail'], name
    assert not fleet.ledger('desk-1')['ledger']
