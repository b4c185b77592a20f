"""Settings and documents with unusual values, as other deployments have them."""

import copy
import json

import msgspec
import pytest
from users_platform import documents, settings

from carobslip import configuration
from tests.test_users_platform import CONFIGURATION, SERVER, SETTINGS

BOUNDS = {
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_extra': 90,
    'budget_window_s': 10,
    'cold_factor': 1.5,
    'cold_slack': 5,
    'grace_s': 8,
    'drain_ms': 2000,
    'ttl_max_s': 5,
}
UNUSUAL = (0, 0.5, 7.25, 10**9, None)
#: Numbers that identify or enumerate something and are always whole.
WHOLE = {'version', 'sets', 'experts'}


def numbers_in(content, path=()):
    """Yields the path of each number in a document."""
    if isinstance(content, dict):
        items = content.items()
    elif isinstance(content, list):
        items = enumerate(content)
    else:
        if not isinstance(content, (bool, str)):
            yield path
        return
    for key, value in items:
        yield from numbers_in(value, (*path, key))


def changed(content, path, value):
    document = copy.deepcopy(content)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return document


@pytest.mark.parametrize('value', UNUSUAL)
@pytest.mark.parametrize('bound', BOUNDS)
def test_process_starts_with_any_value_of_a_bound(
    bound, value, tmp_path, monkeypatch
):
    path = tmp_path / 'node.yaml'
    content = msgspec.yaml.decode(SETTINGS)
    content['bounds'] = {**BOUNDS, bound: value}
    path.write_bytes(msgspec.yaml.encode(content))
    monkeypatch.setenv('CAROBSLIP_NODE_FILE', str(path))
    assert settings.read_settings().node == 'front-1'


@pytest.mark.parametrize(
    'path',
    [path for path in numbers_in(CONFIGURATION) if path[-1] not in WHOLE],
    ids=str,
)
def test_fraction_in_a_configuration_does_not_make_it_invalid(path):
    content = json.dumps(changed(CONFIGURATION, path, 3.5)).encode()
    text = documents.configuration_text(content, evacuated=())
    held = configuration.read_configuration(text, source='test')
    assert len(held.forwarding.routes) == 2


@pytest.mark.parametrize(
    'path',
    [
        ('routes', 0, 'priority'),
        ('routes', 0, 'split'),
        ('routes', 0, 'gap_target_ms'),
        ('services', 0, 'engine', 'spare'),
        ('services', 0, 'cold_per_s'),
        ('services', 1, 'engine'),
        ('limits',),
        ('limits', 'header_bytes'),
        ('tenants', 0, 'priority'),
        ('tenants',),
    ],
    ids=str,
)
def test_configuration_field_without_a_value_gets_its_default(path):
    content = json.dumps(changed(CONFIGURATION, path, None)).encode()
    text = documents.configuration_text(content, evacuated=())
    assert configuration.read_configuration(text, source='test').version == 7


def test_slots_of_an_engine_are_rounded_down():
    content = json.dumps({**SERVER, 'slots': 2.5}).encode()
    assert documents.target_of('servers/i-1', content).slots == 2
