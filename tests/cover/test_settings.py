"""Each fault in the settings is reported with its path, value and remedy."""

import copy
import json
import subprocess
import sys

import pytest

from camphorlink.errors import SettingsError
from camphorlink.internal.shell.process.settings import check_settings
from processes import SOURCE

GOOD = {
    'zone': 'larissa',
    'vm': 'entry-0',
    'callers': {'ip': '10.0.0.1', 'port': 8080},
    'operators': {'ip': '10.0.0.1', 'port': 8081},
    'peers': {'ip': '10.0.0.1', 'port': 8082},
    'log_service': 'http://10.0.0.9:9300',
}
REMOVE = object()


def change_settings(path, new):
    document = copy.deepcopy(GOOD)
    parent = document
    *parents, last = path
    for step in parents:
        parent = parent[step]
    if new is REMOVE:
        parent.pop(last)
    else:
        parent[last] = new
    return document


def test_good_settings_pass_with_their_defaults():
    settings = check_settings(GOOD)
    assert settings.callers.port == 8080
    assert settings.notice_s == 2.0


@pytest.mark.parametrize(
    ('path', 'new', 'found', 'expected'),
    [
        (['zone'], 'Larissa Nord', "'Larissa Nord'", 'lower-case'),
        (['vm'], 7, '7', 'string'),
        (['callers', 'port'], 70_000, '70000', '65535'),
        (['callers', 'port'], '80', "'80'", 'integer'),
        (['callers', 'port'], True, 'True', 'integer'),
        (['peers', 'ip'], '10.0.0.999', "'10.0.0.999'", 'IP number'),
        (['peers', 'ip'], 'localhost', "'localhost'", 'IP number'),
        (['operators', 'port'], 8080, '8080', 'port that $.callers'),
        (['log_service'], 'https://log', "'https://log'", 'http://10.20.0.9'),
        (['drain_s'], -1, '-1', 'greater than or equal to 0'),
        (['max_remembered'], 1, '1', 'greater than or equal to 100'),
        (['colour'], 'red', "'red'", 'remove this key'),
        (['callers', 'host'], 'x', "'x'", 'remove this key'),
        (['log_service'], REMOVE, 'nothing', 'add this key'),
    ],
)
def test_each_fault_is_reported(path, new, found, expected):
    with pytest.raises(SettingsError) as caught:
        check_settings(change_settings(path, new))
    (fault,) = caught.value.faults
    assert fault.path == '.'.join(('$', *path))
    assert fault.found == found
    assert expected in fault.expected


@pytest.mark.parametrize('document', [None, [], 'x', 3])
def test_settings_that_are_not_an_object_are_refused(document):
    with pytest.raises(SettingsError):
        check_settings(document)


@pytest.mark.parametrize(
    ('content', 'expected_message'),
    [
        (b'{"zone":', '$: found 8 bytes that are no JSON'),
        (b'\xff\xfe', '$: found 2 bytes that are no JSON'),
        (json.dumps(change_settings(['vm'], '')).encode(), "$.vm: found ''"),
        (None, 'name a readable file'),
    ],
)
def test_the_daemon_exits_with_code_2_and_reports_the_fault(
    tmp_path, content, expected_message
):
    path = tmp_path / 'entry.json'
    if content is not None:
        path.write_bytes(content)
    module = 'camphorlink.cli.entry'
    completed = subprocess.run(
        [sys.executable, '-m', module, '--settings', str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        env={'PYTHONPATH': str(SOURCE)},
    )
    assert completed.returncode == 2
    assert expected_message in completed.stderr
    assert completed.stdout == ''
