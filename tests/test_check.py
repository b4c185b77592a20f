"""The check of a configuration before it is sent."""

import copy
import json

import pytest
from typer.testing import CliRunner

from carobslip import cli

ROUTE = {
    'name': 'chat',
    'host': 'a.example',
    'prefix': '/chat/',
    'kind': 'stream',
    'services': [{'service': 'drafts', 'weight': 1}],
    'timeout_ms': 9000,
    'objective_ms': 400,
    'pause_objective_ms': 120,
    'attempts_max': 2,
    'resumable': True,
}
OTHER = {**ROUTE, 'name': 'bulk', 'prefix': '/bulk/'}
ENGINE = {'slots': 5}
FIRST = {
    'scope': {'team': 'anna'},
    'reason': 'Agreed with Anna.',
    'set': {'priority': 2},
}
BASE = {
    'kind': 'configuration',
    'version': 3,
    'services': {'desk': {'kind': 'plain', 'targets': ['d1', 'd2', 'd3']}},
    'exceptions': [FIRST],
    'out': [],
    'forwarding': {
        'routes': [ROUTE, OTHER],
        'services': [{'service': 'drafts', 'cold_rps': 26, 'engine': ENGINE}],
        'teams': [{'team': 'anna', 'api_keys': ['secret-1']}],
    },
}


def changed(places):
    """Returns the base document with other values at some places."""
    document = copy.deepcopy(BASE)
    for place, content in places.items():
        *parents, last = place.split('.')
        part = document
        for name in parents:
            part = part[int(name) if name.isdigit() else name]
        if isinstance(part, list) and last == '+':
            part.append(content)
        else:
            part[int(last) if last.isdigit() else last] = content
    return document


def check(tmp_path, document, *options, before=None):
    file = tmp_path / 'new.json5'
    file.write_text(json.dumps(document, indent=1))
    arguments = ['check', str(file), *options]
    if before is not None:
        current = tmp_path / 'current.json5'
        current.write_text(json.dumps(before))
        arguments += ['--against', str(current)]
    return CliRunner().invoke(cli.application, arguments)


def with_exception(**changes):
    return {'exceptions.+': {**FIRST, **changes}}


R = 'forwarding.routes.0'
S = 'forwarding.services.0'
D = 'services.desk'
SPLIT = [{'service': 'drafts', 'weight': weight} for weight in (1, 0)]
TWO_EXCEPTIONS = {
    'exceptions': [
        {**FIRST, 'set': {'timeout_max_ms': 40_000}},
        {**FIRST, 'scope': {'service': 'desk'}, 'set': {'timeout_ms': 50_000}},
    ]
}
ERRORS = {
    'prefix twice': (
        {'forwarding.routes.1': {**ROUTE, 'name': 'b', 'host': 'A.example'}},
        'routes[0]',
        "'b' has the same host and prefix",
    ),
    'host with port': ({f'{R}.host': 'a:80'}, 'routes[0]', 'no request'),
    'no slash': ({f'{R}.prefix': '/chat'}, 'routes[0]', 'slash'),
    'unknown service': (
        {f'{R}.services.0.service': 'x'},
        'forwarding',
        "no service 'x'",
    ),
    'no weight': ({f'{R}.services.0.weight': 0}, 'routes[0]', 'no weight'),
    'late objective': ({f'{R}.objective_ms': 9500}, 'objective_ms', '9000'),
    'late pause': ({f'{R}.pause_objective_ms': 9500}, 'pause_', '9000'),
    'no slots': ({f'{S}.engine.slots': 0}, 'engine.slots', 'no request'),
    'no headers': (
        {'forwarding.limits': {'header_bytes': 0}},
        'header_bytes',
        'below 1',
    ),
    'service twice': (
        {'forwarding.services.+': {'service': 'drafts'}},
        'services[0]',
        'never used',
    ),
    'key of two teams': (
        {'forwarding.teams.+': {'team': 'ben', 'api_keys': ['secret-1']}},
        'teams[0].api_keys[0]',
        "'ben'",
    ),
    'small letters': (
        {f'{D}.repeatable': [{'method': 'get', 'path': '/*'}]},
        'method',
        'capitals',
    ),
    'model twice': (
        {
            'services.a': {'kind': 'engine', 'models': ['m']},
            'services.b': {'kind': 'engine', 'models': ['m']},
        },
        'services.b.models',
        "'a'",
    ),
    'exception of no service': (
        with_exception(scope={'service': 'x'}),
        '$',
        "no service named 'x'",
    ),
    'exception of no model': (
        with_exception(scope={'model': 'x'}),
        'exceptions[1].scope.model',
        "'x'",
    ),
    'hidden exception': (with_exception(), 'exceptions[0]', 'never has'),
    # Entries would fail at the request that both exceptions cover.
    'exceptions contradict': (
        TWO_EXCEPTIONS,
        'exceptions[1]',
        'timeout_ms is 50000, more than timeout_max_ms, which is 40000',
    ),
}
WARNINGS = {
    'attempts': ({f'{R}.attempts_max': 30}, 'attempts_max', '30 attempts'),
    'resumed once': ({f'{R}.attempts_max': 1}, 'resumable', 'second target'),
    'pauses': (
        {f'{R}.kind': 'idempotent'},
        'routes[0].pause_objective_ms',
        'only streams',
    ),
    'name twice': ({f'{R}.name': 'bulk'}, 'routes[0].name', "'bulk'"),
    'weight 0': ({f'{R}.services': SPLIT}, 'services[1].weight', 'no requests'),
    'not routed': (
        {'forwarding.services.+': {'service': 'x'}},
        'services[1]',
        'no route',
    ),
    'low cold rate': ({f'{S}.cold_rps': 0.5}, 'cold_rps', 'less than one'),
    'connections': ({f'{S}.connections_max': 3}, 'connections_max', '5 slots'),
    'no keys': ({'forwarding.teams.+': {'team': 'b'}}, 'teams[1]', 'no keys'),
    'retries': ({f'{D}.policy': {'retry_ratio': 0}}, 'desk', 'retry_ratio'),
    'drain': ({f'{D}.policy': {'drain_ms': 5}}, 'desk', 'cut requests short'),
    'horizon': ({f'{D}.policy': {'horizon_ms': 5}}, 'desk', 'forgotten'),
    'permit': ({f'{D}.policy': {'permit_ms': 40_000}}, 'desk', 'permit_ms'),
    'latency': (
        {f'{D}.objective': {'latency_ms': 60_000}},
        'latency_ms',
        '30000',
    ),
    'ended': (
        with_exception(ends_at='2020-01-01T00:00:00Z'),
        'exceptions[1].ends_at',
        'ended at 2020',
    ),
    'unknown team': (
        with_exception(scope={'team': 'x'}),
        'exceptions[1].scope.team',
        "'x'",
    ),
    'sets nothing': (with_exception(set={}), 'exceptions[1].set', 'nothing'),
    'out twice': (
        {'out': 2 * [{'target': 'd1', 'reason': 'its disk is broken'}]},
        'out[1]',
        "'d1'",
    ),
}


# No request is of both teams, so their exceptions do not contradict.
OTHER_TEAM = {
    'forwarding.teams.+': {'team': 'ben', 'api_keys': ['secret-2']},
    'exceptions': [
        {**FIRST, 'set': {'timeout_max_ms': 40_000}},
        {**FIRST, 'scope': {'team': 'ben'}, 'set': {'timeout_ms': 50_000}},
    ],
}


@pytest.mark.parametrize('places', [{}, OTHER_TEAM], ids=['base', 'teams'])
def test_document_without_faults_is_accepted(tmp_path, places):
    result = check(tmp_path, changed(places))
    assert (result.exit_code, 'accepted' in result.output) == (0, True)


@pytest.mark.parametrize('name', [*ERRORS, *WARNINGS])
def test_fault_is_reported_at_its_place(tmp_path, name):
    is_error = name in ERRORS
    places, path, reason = (ERRORS if is_error else WARNINGS)[name]
    result = check(tmp_path, changed(places), '--json')
    report = json.loads(result.stdout)
    assert result.exit_code == report['exit_code'] == 1 + is_error
    found = [
        one
        for one in report['findings']
        if path in one['path'] and reason in one['reason']
    ]
    severities = {one['severity'] for one in found}
    assert severities == {'error' if is_error else 'warning'}, report
    assert all(one['line'] >= 1 for one in found)
    assert 'secret' not in result.output


# Old, new and what an operator reads; keys are secrets.
CHANGES = {
    f'{R}.timeout_ms': (8000, 'route chat: time limit from 9000 ms to 8000 ms'),
    f'{R}.public': (True, 'route chat: usable without a key from no to yes'),
    f'{R}.priority': (1, 'service drafts: a broker assigns its slots'),
    f'{R}.name': ('talk', 'route chat: is removed\nroute talk: is new'),
    f'{S}.cold_rps': (20, 'service drafts: rate of a cold target from 26 req'),
    f'{S}.engine.slots': (4, 'service drafts, engine: slots from 5 to 4'),
    'forwarding.teams.0.api_keys': (
        ['secret-2'],
        'team anna: API keys have changed (1 new, 1 withdrawn)',
    ),
    f'{S}.engine': (None, 'service drafts, engine: is removed'),
    'forwarding.teams': (
        [],
        'team anna: is removed\nroutes: those that are not public need no key any more',
    ),
    f'{D}.policy': (
        {'drain_ms': 40_000},
        'service desk, policy: drain is set to 40000 ms',
    ),
    'exceptions.0.set': (
        {'priority': 3},
        'exception for team anna, values: priority from 2 to 3',
    ),
    'out.+': (
        {'data_centre': 'york', 'reason': 'the power fails'},
        'out of service: york: is new',
    ),
}


@pytest.mark.parametrize('place', CHANGES)
def test_change_is_told_in_words(tmp_path, place):
    content, words = CHANGES[place]
    after = changed({place: content, 'version': 4})
    result = check(tmp_path, after, before=BASE)
    assert result.exit_code == 0, result.output
    assert words in result.output
    assert 'version from 3 to 4' in result.output
    assert 'secret' not in result.output


def test_exception_that_contradicts_its_service_is_the_only_one_named(tmp_path):
    places = {
        f'{D}.policy': {'timeout_max_ms': 40_000},
        'exceptions': [
            {
                **FIRST,
                'scope': {'service': 'desk'},
                'set': {'timeout_ms': 50_000},
            },
            FIRST,
        ],
    }
    report = json.loads(check(tmp_path, changed(places), '--json').stdout)
    assert [one['path'] for one in report['findings']] == ['$.exceptions[0]']


def test_version_that_must_not_follow_is_an_error(tmp_path):
    result = check(tmp_path, BASE, before=BASE)
    assert result.exit_code == 2
    assert '$.version: error: 3 is not higher than 3' in result.output


def test_file_that_cannot_be_read_is_an_error(tmp_path):
    arguments = ['check', str(tmp_path / 'absent.json5'), '--json']
    result = CliRunner().invoke(cli.application, arguments)
    assert result.exit_code == 2
    assert 'absent.json5' in json.loads(result.stdout)['findings'][0]['reason']
