"""Content from others that no decoder accepts is refused, wherever it is read.

Another writer may leave such content among the entries of the engines, and a
faulty engine or process may answer with it.
"""

import asyncio
import base64
import json

import pytest
from users_platform import documents, engine_calls, engine_control, settings

from carobslip import (
    attempts,
    configuration,
    control,
    expertmap,
    fleet,
    identifiers,
    targets,
)
from carobslip import settings as own_settings
from carobslip.adapters import guard_client, platform_client
from tests import test_kept_connections as kept
from tests import test_users_platform as platforms

DEPTH = 20_000
DEEP_OBJECT = b'{"other":' * DEPTH + b'0' + b'}' * DEPTH
DEEP_ARRAY = b'{"other":' + b'[' * DEPTH + b']' * DEPTH + b'}'
DEEP_PACKED = b'\x81\xa5other' + b'\x91' * DEPTH + b'\x00'

# name: JSON that every reader must refuse
ODD = {
    'nested objects': DEEP_OBJECT,
    'nested arrays': DEEP_ARRAY,
    'number out of range': b'{"seq":1e400,"version":1e400,"born":1e400}',
    'number of 5000 digits': b'{"seq":%b,"born":%b}' % (2 * (b'9' * 5000,)),
    'lone surrogate': b'{"service":"\\ud800"}',
    'array': b'[]',
    'number': b'7',
    'not UTF-8': b'{"service":"\xff"}',
    'nothing': b'',
}
#: Content that readers of every document must refuse.
NESTED = ('nested objects', 'nested arrays')


# name: fields of an entry that would otherwise name an engine
ODD_FIELDS = {
    'port 0': {'address': '10.0.0.1:0'},
    'port above the range': {'address': '10.0.0.1:65536'},
    'port of many digits': {'address': f'10.0.0.1:{"1" * 5000}'},
    'negative port': {'address': '10.0.0.1:-1'},
    'port in other digits': {'address': '10.0.0.1:\uff18\uff10'},
    'port with a path': {'address': '10.0.0.1:80/x'},
    'no port': {'address': '10.0.0.1'},
    'no address': {'address': ''},
    'host name': {'address': 'engine.example:80'},
    'user name': {'address': 'user@10.0.0.1:80'},
    'address out of range': {'address': '10.0.0.256:80'},
    'report number beyond 64 bits': {'seq': 1 << 64},
    'negative report number': {'seq': -1},
    'start beyond 64 bits': {'born': 10**30},
    'negative start': {'born': -(1 << 70)},
    'slots beyond all engines': {'slots': 1e300},
    'slots of 400 digits': {'slots': 10**400},
    'negative slots': {'slots': -1},
}


@pytest.mark.parametrize('name', ODD_FIELDS)
def test_entry_with_an_odd_field_names_no_engine(name):
    entry = json.dumps({**platforms.SERVER, **ODD_FIELDS[name]}).encode()
    with pytest.raises(documents.MalformedDocument):
        documents.target_of('servers/i-1', entry)


@pytest.mark.parametrize('key', ['servers/', 'servers/i\r\nX: 1', 'servers/ '])
def test_entry_whose_key_is_no_name_names_no_engine(key):
    entry = json.dumps(platforms.SERVER).encode()
    with pytest.raises(documents.MalformedDocument):
        documents.target_of(key, entry)


@pytest.mark.parametrize('name', ODD)
def test_odd_entry_and_configuration_are_refused(name):
    with pytest.raises(documents.MalformedDocument):
        documents.target_of('servers/i-1', ODD[name])
    with pytest.raises(documents.MalformedDocument):
        documents.configuration_text(ODD[name], evacuated=())


platform = platforms.platform


@pytest.mark.parametrize('name', ODD)
async def test_target_list_is_followed_past_an_odd_entry(platform, name):
    platform.put('servers/i-0', platforms.SERVER)
    updates = platforms.sources.TargetList(
        client=platform.client, log=platforms.LOG, drain_ms=2000
    ).follow()
    seen = []
    for number in (1, 2):
        platform.put('servers/i-odd', ODD[name])
        platform.put(f'servers/i-{number}', platforms.SERVER)
        async with asyncio.timeout(10):
            async for update in updates:
                records = getattr(update, 'records', None)
                records = records or (getattr(update, 'record', None),)
                seen += [record.target for record in records if record]
                if f'i-{number}' in seen:
                    break
    assert 'i-odd' not in seen
    assert {'i-0', 'i-1', 'i-2'} <= set(seen)


@pytest.mark.parametrize('name', NESTED)
async def test_odd_answer_of_the_store_means_unavailable(platform, name):
    platform.raw_answer = ODD[name]
    with pytest.raises(fleet.PlatformUnavailable):
        await platforms.configuration_source_of(platform).read_configuration(
            0, 0
        )
    updates = platforms.sources.TargetList(
        client=platform.client, log=platforms.LOG, drain_ms=2000
    ).follow()
    assert isinstance(await anext(updates), targets.TargetListLost)


@pytest.mark.parametrize('name', ODD)
async def test_odd_report_of_an_engine_means_unavailable(name):
    body = ODD[name]
    engine = kept.ScriptedEngine([(kept.json_answer(body), b'')] * 3)
    address = await engine.start()
    session = platforms.connections.new_session(idle_s=None)
    client = engine_control.EngineControlClient(
        address=address, session=session, timeout_s=5
    )
    with pytest.raises(expertmap.EngineUnavailable):
        await client.counts()
    with pytest.raises(expertmap.EngineUnavailable):
        await client.experts()
    await session.close()
    engine.stop()


@pytest.mark.parametrize('name', ODD)
async def test_engine_with_an_odd_report_has_not_ended(name):
    engine = kept.ScriptedEngine([(kept.json_answer(ODD[name]), b'')])
    address = await engine.start()
    calls = engine_calls.EngineCalls()
    record = targets.TargetRecord(
        target=identifiers.TargetId('i-1'),
        service=identifiers.ServiceId('s'),
        address=address,
        data_centre=identifiers.DataCentreId('z'),
        slots=1,
        state=targets.TargetState.READY,
        started_wall_ms=1,
        sequence=1,
    )
    assert not await calls.is_gone(record)
    await calls.close()
    engine.stop()


@pytest.mark.parametrize('name', NESTED)
async def test_odd_list_of_the_configuration_service_means_unavailable(name):
    engine = kept.ScriptedEngine([(kept.json_answer(ODD[name]), b'')])
    url = f'http://{await engine.start()}/list'
    async with guard_client.new_session() as session:
        client = platform_client.PlatformClient(
            addresses=own_settings.PlatformSettings(
                configuration_url=url, instances_url=url
            ),
            session=session,
        )
        with pytest.raises(fleet.PlatformUnavailable):
            await client.read_instances()
    engine.stop()


def test_odd_messages_of_processes_are_refused():
    with pytest.raises(control.UndecodableMessage):
        control.decode(DEEP_PACKED)
    with pytest.raises(attempts.BadAttempt):
        attempts.decode_attempt(base64.urlsafe_b64encode(DEEP_PACKED).decode())


@pytest.mark.parametrize('name', ODD)
def test_odd_configuration_document_is_refused(name):
    text = ODD[name].decode(errors='replace')
    with pytest.raises(configuration.InvalidDocument):
        configuration.read_document(
            text, source='test', kind=configuration.Configuration
        )


@pytest.mark.parametrize('name', ODD)
def test_odd_settings_file_is_refused(tmp_path, monkeypatch, name):
    path = tmp_path / 'node.yaml'
    path.write_bytes(ODD[name])
    monkeypatch.setenv('CAROBSLIP_NODE_FILE', str(path))
    with pytest.raises(settings.InvalidSettings):
        settings.read_settings()
