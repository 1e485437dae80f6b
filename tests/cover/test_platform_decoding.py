"""Published records, jobs and settings: decoding, with invalid entries."""

import orjson
import pytest

from camphorlink.errors import JobError, SettingsError
from camphorlink.internal.core.connection.backend_commands import ReportedClock
from camphorlink.internal.core.version.zone_drains import DrainRecord
from camphorlink.internal.shell.ports import JobConfig
from camphorlink.internal.shell.process.published_drains import (
    PublishedDrains,
)
from camphorlink.internal.shell.process.published_state import PublishedState
from camphorlink.platform.directory import Directory
from camphorlink.platform.ingress import (
    UnsupportedJobError,
    find_queue,
    read_job,
)
from camphorlink.platform.settings import check_settings, read_settings
from camphorlink.platform.standin.site import CONFIG
from camphorlink.platform.store_client import decode_keyed
from platform_site import RUNNER, node_settings


def keyed_record(key, document):
    content = document
    if not isinstance(document, bytes):
        content = orjson.dumps(document)
    return bytes((len(key),)) + key.encode() + content


def test_runner_entry_is_decoded_with_its_start_time():
    backend = Directory().decode_backends([keyed_record('i-1', RUNNER)])['i-1']
    assert (backend.started_ms, backend.capacity.cpu_milli) == (17, 32_000)
    assert backend.labels == ('a', 'r1')
    assert not backend.is_draining


def test_clock_is_read_from_each_repeated_report():
    directory = Directory()
    for read_ms in (100, 1600):
        document = RUNNER | {'clock_ms': read_ms}
        directory.decode_backends([keyed_record('i-1', document)])
        assert directory.clock_by_id == {'i-1': ReportedClock(17, read_ms)}
    for odd in ('1', -5, None, [1], 10**15):
        document = RUNNER | {'clock_ms': odd}
        directory.decode_backends([keyed_record('i-1', document)])
        assert directory.clock_by_id == {'i-1': ReportedClock(17, 1600)}
    directory.decode_backends([keyed_record('i-1', b'')])
    assert not directory.clock_by_id


def test_removed_runners_are_none_and_draining_ones_are_marked():
    directory = Directory()
    assert directory.decode_backends([keyed_record('i-1', b'')]) == {
        'i-1': None
    }
    draining = RUNNER | {'state': 'draining', 'remaining_ms': 900}
    backend = directory.decode_backends([keyed_record('i-1', draining)])['i-1']
    assert (backend.is_draining, backend.remaining_ms) == (True, 900)


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
def test_invalid_runner_entries_are_skipped_and_counted(document):
    directory = Directory()
    good = keyed_record('i-2', RUNNER)
    backends = directory.decode_backends([keyed_record('i-1', document), good])
    assert list(backends) == ['i-2']
    assert directory.counts['runner'] == 1


def test_records_without_a_key_are_skipped():
    assert decode_keyed(b'') is None
    assert decode_keyed(b'\x09abc') is None
    assert decode_keyed(b'\x01\xff') is None
    assert not Directory().decode_backends([b'', b'\x09abc'])


def test_last_valid_configuration_is_returned():
    directory = Directory()
    records = [
        keyed_record('config', CONFIG),
        keyed_record('config', CONFIG | {'version': 7}),
        keyed_record('config', {'version': 'nine'}),
        keyed_record('wave/1', {}),
    ]
    assert directory.decode_config(records).version == 7
    assert directory.counts['config'] == 1


def test_the_last_record_decides_about_a_zone_drain():
    # Content of another form must not cancel what the key requests.
    records = [
        keyed_record('evacuate/z', {}),
        keyed_record('evacuate/y', {}),
        keyed_record('evacuate/x', ['x']),
        keyed_record('config', CONFIG),
        b'\x0aevacuate/y',
        b'\x0aevacuate/w{',
    ]
    assert Directory().decode_drains(records) == {
        'z': DrainRecord.REQUESTED,
        'y': DrainRecord.CANCELLED,
        'x': DrainRecord.UNREADABLE,
        'w': DrainRecord.UNREADABLE,
    }


def test_a_share_is_decoded_and_an_invalid_one_keeps_the_last_version():
    """Guards against shares in force that cannot all be kept."""
    directory = Directory()
    route = CONFIG['routes'][0]
    share = {'version': 2, 'routes': [route | {'share': 0.7}]}
    sum_too_high = {'version': 3, 'routes': [route | {'share': 0.7}] * 2}
    negative = {'version': 4, 'routes': [route | {'share': -1}]}
    records = [
        keyed_record('config', CONFIG | document)
        for document in (share, sum_too_high, negative)
    ]
    config = directory.decode_config(records)
    assert (config.version, config.queues[0].share) == (2, 0.7)
    assert directory.counts['config'] == 2
    assert decode_standin_config().queues[0].share is None


def config_record(version, priority):
    route = CONFIG['routes'][0] | {'priority': priority}
    return keyed_record(
        'config', CONFIG | {'version': version, 'routes': [route]}
    )


@pytest.mark.parametrize(
    'priority', [-1, 1.5, '1', None, True, [], -float('1e300')]
)
def test_a_bad_priority_keeps_the_last_valid_version(caplog, priority):
    """Guards against a version that reorders a wave of queued jobs."""
    directory = Directory()
    drains = PublishedDrains(directory, (), None)
    state = PublishedState(None, directory, lambda is_changed: None, drains)
    state._apply_config([config_record(1, 2)])
    for _ in range(2):
        state._apply_config([config_record(2, priority)])
    assert (state.config.version, state.config.queues[0].priority) == (1, 2)
    assert directory.counts['config'] == 1
    (line,) = [line for line in caplog.records if line.levelname == 'WARNING']
    assert line.queue == 'corrections'
    assert 'priority' in line.fault
    state._apply_config([config_record(3, 1.0)])
    assert (state.config.version, state.config.queues[0].priority) == (3, 1)


def test_a_priority_below_the_lowest_does_not_reject_a_version():
    """Guards against other changes of the version that are held up."""
    config = Directory().decode_config([config_record(2, 12)])
    assert config.queues[0].priority == 9


def test_a_missing_priority_is_the_highest():
    route = dict(CONFIG['routes'][0])
    route.pop('priority')
    record = keyed_record('config', CONFIG | {'routes': [route]})
    assert Directory().decode_config([record]).queues[0].priority == 0


def decode_standin_config():
    return Directory().decode_config([keyed_record('config', CONFIG)])


def test_the_longest_prefix_of_a_host_selects_the_queue():
    queue = decode_standin_config().queues[0]
    longer = queue._replace(name='longer', prefix='/corrections/deep/')
    other = queue._replace(name='other', host='other.example')
    config = JobConfig(1, (queue, longer, other), 1000)
    host = 'jobs.example'
    assert find_queue(config, host, '/corrections/deep/x').name == 'longer'
    assert find_queue(config, host + ':80', '/corrections/x') is queue
    assert find_queue(config, 'nobody.example', '/corrections/x') is None
    assert find_queue(config, host, '/corr') is None


STEP = {'count': 2, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 900}


def test_all_fields_of_a_job_are_decoded():
    step = STEP | {
        'after': [0], 'constraints': 'b', 'affinity': 'r1',
        'anti_affinity': 3, 'checkpointing': True, 'gpu': 1,
    }  # fmt: skip
    document = {'spec': 'x', 'steps': [STEP, step]}
    job = read_job(document, decode_standin_config().queues[0], 'a' * 16)
    decoded = job.steps[1]
    assert (decoded.after, decoded.label, decoded.rack) == ((0,), 'b', 'r1')
    assert (decoded.max_per_backend, decoded.checkpoints) == (3, True)
    assert decoded.needs.accelerators == 1


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
def test_jobs_with_unsupported_fields_are_refused(extra):
    document = {'spec': 'x', 'steps': [STEP | extra]}
    with pytest.raises(UnsupportedJobError):
        read_job(document, decode_standin_config().queues[0], 'a' * 16)


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
def test_fields_of_a_wrong_type_are_faults(step):
    document = {'spec': 'x', 'steps': [step]}
    with pytest.raises(JobError):
        read_job(document, decode_standin_config().queues[0], 'a' * 16)


def test_settings_are_read_and_unknown_keys_ignored():
    document = node_settings('edge-1', 'larissa', '10.0.0.9:80')
    settings = check_settings(document | {'new_key': 1})
    assert settings.node.zones == ('larissa', 'volos')
    assert settings.store_address == '10.0.0.9:80'


@pytest.mark.parametrize('key', ['zone', 'platform', 'bounds', 'listen_addrs'])
def test_settings_without_a_required_key_are_refused(key):
    document = node_settings('edge-1', 'larissa', '10.0.0.9:80')
    document.pop(key)
    with pytest.raises(SettingsError):
        check_settings(document)


def test_settings_files_without_valid_json_are_refused(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{')
    with pytest.raises(SettingsError):
        read_settings(path)
    with pytest.raises(SettingsError):
        read_settings(tmp_path / 'nowhere.json')
