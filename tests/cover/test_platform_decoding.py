"""What other writers leave on the platform names nothing; the rest is read."""

import orjson
import pytest

from camphorlink.errors import JobError, SettingsError
from camphorlink.internal.shell.ports import JobConfig
from camphorlink.platform.directory import Directory
from camphorlink.platform.ingress import (
    UnsupportedJobError,
    find_queue,
    read_job,
)
from camphorlink.platform.settings import check_settings, read_settings
from camphorlink.platform.standin.site import CONFIG
from camphorlink.platform.store import split_keyed
from platform_site import node_settings

RUNNER = {
    'service': 'caster', 'address': '10.0.0.1:80', 'zone': 'larissa',
    'version': 'v1', 'slots': 8, 'state': 'ready', 'cold_remaining_ms': 0,
    'capacity': {'cpu': 32_000, 'mem_mb': 64, 'gpu': 0},
    'labels': ['a', 'r1'], 'clock_ms': 5, 'born': 17, 'sequence': 4,
}  # fmt: skip


def keyed(key, document):
    content = document
    if not isinstance(document, bytes):
        content = orjson.dumps(document)
    return bytes((len(key),)) + key.encode() + content


def test_a_runner_is_read_with_its_lifetime():
    found = Directory().backends_of([keyed('i-1', RUNNER)])['i-1']
    assert (found.started_ms, found.capacity.cpu_milli) == (17, 32_000)
    assert found.labels == ('a', 'r1')
    assert not found.is_draining


def test_a_removed_runner_is_gone_and_a_draining_one_is_told():
    directory = Directory()
    assert directory.backends_of([keyed('i-1', b'')]) == {'i-1': None}
    draining = RUNNER | {'state': 'draining', 'remaining_ms': 900}
    found = directory.backends_of([keyed('i-1', draining)])['i-1']
    assert (found.is_draining, found.remaining_ms) == (True, 900)


@pytest.mark.parametrize(
    'document',
    [
        b'\xff\xfe',
        b'[]',
        b'null',
        {'service': 'caster'},
        RUNNER | {'state': 'dancing'},
        RUNNER | {'born': '17'},
        RUNNER | {'born': True},
        RUNNER | {'labels': 'a'},
        RUNNER | {'capacity': {'cpu': 1}},
        RUNNER | {'zone': None},
    ],
)
def test_an_entry_of_another_writer_names_no_runner(document):
    directory = Directory()
    good = keyed('i-2', RUNNER)
    found = directory.backends_of([keyed('i-1', document), good])
    assert list(found) == ['i-2']
    assert directory.counts['runner'] == 1


def test_records_without_a_key_are_skipped():
    assert split_keyed(b'') is None
    assert split_keyed(b'\x09abc') is None
    assert split_keyed(b'\x01\xff') is None
    assert not Directory().backends_of([b'', b'\x09abc'])


def test_the_last_readable_configuration_counts():
    directory = Directory()
    records = [
        keyed('config', CONFIG),
        keyed('config', CONFIG | {'version': 7}),
        keyed('config', {'version': 'nine'}),
        keyed('wave/1', {}),
    ]
    assert directory.config_of(records).version == 7
    assert directory.counts['config'] == 1


def read_config():
    return Directory().config_of([keyed('config', CONFIG)])


def test_the_longest_prefix_of_a_host_selects_the_queue():
    queue = read_config().queues[0]
    longer = queue._replace(name='longer', prefix='/corrections/deep/')
    other = queue._replace(name='other', host='other.example')
    config = JobConfig(1, (queue, longer, other), 1000)
    host = 'jobs.example'
    assert find_queue(config, host, '/corrections/deep/x').name == 'longer'
    assert find_queue(config, host + ':80', '/corrections/x') is queue
    assert find_queue(config, 'nobody.example', '/corrections/x') is None
    assert find_queue(config, host, '/corr') is None


STEP = {'count': 2, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 900}


def test_a_job_is_read_with_all_that_it_asks_for():
    step = STEP | {
        'after': [0], 'constraints': 'b', 'affinity': 'r1',
        'anti_affinity': 3, 'checkpointing': True, 'gpu': 1,
    }  # fmt: skip
    document = {'spec': 'x', 'steps': [STEP, step]}
    job = read_job(document, read_config().queues[0], 'a' * 16)
    found = job.steps[1]
    assert (found.after, found.label, found.rack) == ((0,), 'b', 'r1')
    assert (found.max_per_backend, found.checkpoints) == (3, True)
    assert found.needs.accelerators == 1


@pytest.mark.parametrize(
    'extra',
    [
        {'gang': True},
        {'speculative': True},
        {'long_running': True},
        {'rack_local': True},
        {'fills': True},
        {'target_ms': 5},
        {'max_unavailable': 1},
    ],
)
def test_what_is_not_built_is_refused_whole(extra):
    document = {'spec': 'x', 'steps': [STEP | extra]}
    with pytest.raises(UnsupportedJobError):
        read_job(document, read_config().queues[0], 'a' * 16)


@pytest.mark.parametrize(
    'step',
    [
        STEP | {'count': True},
        STEP | {'cpu': -1},
        STEP | {'estimate_ms': 1.5},
        STEP | {'constraints': 7},
        STEP | {'after': ['x']},
    ],
)
def test_a_field_of_another_type_is_a_fault(step):
    document = {'spec': 'x', 'steps': [step]}
    with pytest.raises(JobError):
        read_job(document, read_config().queues[0], 'a' * 16)


def test_settings_are_read_and_unknown_keys_ignored():
    document = node_settings('edge-1', 'larissa', '10.0.0.9:80')
    settings = check_settings(document | {'new_key': 1})
    assert settings.node.zones == ('larissa', 'volos')
    assert settings.store_address == '10.0.0.9:80'


@pytest.mark.parametrize('key', ['zone', 'platform', 'bounds', 'listen_addrs'])
def test_settings_that_lack_a_key_are_refused(key):
    document = node_settings('edge-1', 'larissa', '10.0.0.9:80')
    document.pop(key)
    with pytest.raises(SettingsError):
        check_settings(document)


def test_a_settings_file_that_is_no_json_is_refused(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{')
    with pytest.raises(SettingsError):
        read_settings(path)
    with pytest.raises(SettingsError):
        read_settings(tmp_path / 'nowhere.json')
