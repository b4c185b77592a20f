"""Fixtures shared by all tests."""

import json
import pathlib
from collections.abc import Iterator

import pytest

from tests.standins import launcher

CONFIGURATION = {
    'kind': 'configuration',
    'version': 1,
    'services': {
        'drafting': {
            'kind': 'engine',
            'models': ['slip'],
            'repeatable': [{'method': 'POST', 'path': '/v1/*'}],
        },
        'booking': {
            'kind': 'plain',
            'targets': ['desk-1', 'desk-2', 'desk-3'],
            'repeatable': [{'method': 'GET', 'path': '/*'}],
            'policy': {'clock_error_ms': 100},
        },
    },
}


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[launcher.Fleet]:
    """Five guards and two entries as separate processes."""
    started = launcher.Fleet(
        tmp_path,
        {
            'drafting': {'engine-1': 'leeds', 'engine-2': 'york'},
            'booking': {
                'desk-1': 'leeds',
                'desk-2': 'york',
                'desk-3': 'bradford',
            },
        },
        ['leeds', 'york'],
    )
    try:
        started.start_platform(json.dumps(CONFIGURATION))
        started.start_all()
        yield started
    finally:
        started.kill_all()
