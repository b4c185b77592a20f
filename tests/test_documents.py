"""Documentation pages and examples must match the code."""

import pathlib

import pytest
from typer.testing import CliRunner

from carobslip import cli, observability, verdicts

ROOT = pathlib.Path(__file__).parents[1]
EXAMPLES = sorted((ROOT / 'examples').glob('*/*.json5'))


def test_events_page_lists_the_catalogue():
    page = (ROOT / 'docs/EVENTS.md').read_text()
    for event in observability.Event:
        line = f'| {event.code} | {event.event_name} | {event.meaning} |'
        assert line in page
    codes = [event.code for event in observability.Event]
    assert len(set(codes)) == len(codes)


def test_interface_page_lists_every_error_reason():
    page = (ROOT / 'docs/INTERFACE.md').read_text()
    not_listed = {'completed', 'replayed', 'cancelled', 'internal-error'}
    not_listed.add('wrong-incarnation')
    for reason in verdicts.Reason:
        assert reason.value in not_listed or f'`{reason.value}`' in page, reason


@pytest.mark.parametrize('file', EXAMPLES, ids=lambda file: file.stem)
def test_examples_are_accepted(file):
    result = CliRunner().invoke(cli.application, ['check', str(file)])
    assert result.exit_code == 0, result.output


REFUSED = {
    'host name instead of IP address': (
        '"http_address": "localhost:80"',
        'http_address',
    ),
    'unknown field': ('"http_adress": "127.0.0.1:80"', 'http_adress'),
}


@pytest.mark.parametrize('name', REFUSED)
def test_check_names_the_invalid_field(name, tmp_path):
    line, expected = REFUSED[name]
    text = (ROOT / 'examples/hartwell/entry-leeds-1.json5').read_text()
    text = text.replace('"http_address": "10.1.0.11:8080"', line)
    file = tmp_path / 'settings.json5'
    file.write_text(text)
    result = CliRunner().invoke(cli.application, ['check', str(file)])
    assert result.exit_code == 2
    assert expected in result.output
    assert str(file) in result.output


def test_member_list_may_change_by_one_target_only(tmp_path):
    text = (ROOT / 'examples/hartwell/configuration.json5').read_text()
    before = tmp_path / 'before.json5'
    before.write_text(text)
    later = text.replace('"version": 1', '"version": 2')
    cases = {'"desk-1", "desk-2"': 0, '"desk-1", "desk-4", "desk-5"': 2}
    for members, code in cases.items():
        after = tmp_path / 'after.json5'
        after.write_text(later.replace('"desk-1", "desk-2", "desk-3"', members))
        arguments = ['check', '--previous', str(before), str(after)]
        result = CliRunner().invoke(cli.application, arguments)
        assert result.exit_code == code, result.output
