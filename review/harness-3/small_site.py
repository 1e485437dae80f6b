"""Starts a small site as processes, and keeps the record of a case.

The entry VMs are started as ``deploy/system.toml`` starts them, on free ports
of loopback; the platform is ``platform_standin.py``.  All processes are ended
by their id.
"""

import concurrent.futures
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HARNESS = Path(__file__).resolve().parent
REPOSITORY = HARNESS.parent.parent
HOST = '127.0.0.1'
DEADLINE_S = 1.5
QUEUE_HOST = 'desk.example'
PREFIX = '/desk/'
SERVICE = 'desk'
#: Bounds of `kit/more/system/sites/stratolet-sk.toml`, as its page gives them.
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'downgrade_slack_ms': 250,
    'max_stretch_ms': 5000, 'recovery_s': 12, 'hold_max_ms': 1000,
    'stop_ms': 50, 'gang_wait_ms': 3000, 'cancel_ms': 3000,
    'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14, 'status_s': 120,
    'remote_factor': 1.5, 'checkpoint_s': 0.5, 'restore_ms': 250,
    'notice_ms': 4500, 'migrate_s': 1.5, 'maintenance_s': 2,
    'fencing_enforced': True, 'lease_ms': 3000, 'thaw_slack_ms': 300,
    'pace_ms': 100, 'impact_ms': 4000, 'resend_ms': 1300,
}  # fmt: skip
KEEP_S = 20


class CaseError(Exception):
    """The case could not run."""


def is_troubled():
    """Returns whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def runner_rows(zones, each, cpu=16_000, label='a'):
    """Returns runners of one kind, ``each`` in every zone."""
    return [
        {'id': f'i-{zone}-{number}', 'zone': zone, 'cpu': cpu,
         'labels': [label, f'r-{zone}']}
        for zone in zones
        for number in range(each)
    ]  # fmt: skip


def queue_config(target_ms=60, slack_factor=1.6, max_attempts=3):
    """Returns a config with one queue."""
    return {
        'version': 1,
        'routes': [{
            'name': 'desk', 'host': QUEUE_HOST, 'path_prefix': PREFIX,
            'kind': 'non_idempotent', 'timeout_ms': 1500, 'priority': 0,
            'service': SERVICE, 'max_attempts': max_attempts,
            'slack_factor': slack_factor, 'target_latency_ms': target_ms,
        }],
        'services': [{
            'name': SERVICE, 'health_path': '/healthz', 'max_conns': 64,
            'protocol': 'h1', 'tls': False, 'admission_control': True,
            'standby': False,
        }],
        'limits': {
            'max_header_bytes': 16_384, 'max_body_bytes': 262_144,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15_000,
        },
    }  # fmt: skip


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = open(Path(folder) / 'record.txt', 'w')

    def write(self, text):
        age_s = time.monotonic() - self.started_s
        self._file.write(f'{age_s:8.3f} {text}\n')
        self._file.flush()

    def write_runs(self, rows):
        for at_ms, event, runner, task, run, how in rows:
            age_s = at_ms / 1000 - self.started_s
            self._file.write(f'{age_s:8.3f} run {event} {task} run={run} '
                             f'runner={runner} {how}\n')
        self._file.flush()


def call(method, port, path, document=None, headers=None, timeout_s=DEADLINE_S):
    """Returns status and body of the answer; status 0 if there is none."""
    body = None if document is None else json.dumps(document).encode()
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        with contextlib.closing(connection):
            connection.request(
                method, path, body,
                {'Content-Type': 'application/json', **(headers or {})},
            )
            answer = connection.getresponse()
            raw = answer.read()
            return answer.status, json.loads(raw) if raw else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}


def _reserve_ports(count, stack):
    """Returns the first of ``count`` neighbouring free ports.

    They lie below the range from which outgoing connections take theirs, as a
    VM that is started again needs the same ones.  They stay bound, without
    listening, until the site ends, so that no other site takes them.
    """
    for _ in range(200):
        base = random.randrange(10_000, 32_000 - count)
        with contextlib.ExitStack() as attempt:
            try:
                for port in range(base, base + count):
                    with socket.socket() as probe:
                        probe.bind((HOST, port))
                    holder = attempt.enter_context(socket.socket())
                    holder.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                    holder.bind((HOST, port))
            except OSError:
                continue
            stack.enter_context(attempt.pop_all())
            return base
    raise CaseError('no free ports')


class Vm:
    """One entry VM, whose process can be ended and started again."""

    def __init__(self, folder, name, zone, zones, store_port, base):
        self.name = name
        self.zone = zone
        self.port = base
        self.ready_port = base + 1
        self._folder = folder
        self.process = None
        settings = {
            'node_name': name, 'role': 'entry', 'machine_class': 'edge',
            'serves': ['edge', 'control'], 'ip': HOST, 'zone': zone,
            'region': 'sk', 'zones': dict.fromkeys(zones, 'sk'),
            'listen_addrs': {
                'frontend_addr': f'{HOST}:{base}',
                'readiness_addr': f'{HOST}:{base + 1}',
                'control_plane': f'{HOST}:{base + 2}',
            },
            'internal_ports': [base + 3, base + 5],
            'seeds': [], 'bootstrap': True, 'fault_counted': True,
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300,
                       'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeat_ms': 1500, 'bounds': BOUNDS, 'control_mode': 'request',
            'contracts': ['base', 'drain', 'config', 'recover', 'sched',
                          'platform'],
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'platform': {
                'address': f'{HOST}:{store_port}', 'form': 'log',
                'writes_per_s': 600, 'reads_per_s': 2000, 'parts': 24,
                'append_ms': 1.0, 'partition_mb_s': 20.0, 'read_mb_s': 80.0,
                'record_bytes': 262_144, 'call_bytes': 2_097_152,
                'keep_s': KEEP_S, 'partition_mb': 200, 'ttl_min_ms': 1000,
            },
        }  # fmt: skip
        self._path = Path(folder) / f'{name}.json'
        self._path.write_text(json.dumps(settings))

    def start(self):
        log = open(Path(self._folder) / f'{self.name}.log', 'a')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['CAMPHORLINK_SETTINGS'] = str(self._path)
        environment['PYTHONPATH'] = 'target/deps'
        self.process = subprocess.Popen(
            ['python3', 'src/run_node.py'],
            cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
        )  # fmt: skip

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        return call('GET', self.ready_port, '/v1/readyz')[0] == 200

    def request(self, method, path, document=None, timeout_s=DEADLINE_S):
        headers = {
            'Host': QUEUE_HOST,
            'Camphorlink-Deadline-Ms': str(int(timeout_s * 1000)),
        }
        return call(method, self.port, path, document, headers, timeout_s)


class Site:
    """A platform and its entry VMs."""

    def __init__(self, folder, zones, vms_per_zone, runners, config):
        self.record = Record(folder)
        self.zones = zones
        self._stack = contextlib.ExitStack()
        self._vms_per_zone = vms_per_zone
        self._runners = runners
        self._config = config
        self._record_index = 0
        self.runs = []
        self.vms = []
        self.name_by_job = {}

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            self.folder = stack.enter_context(tempfile.TemporaryDirectory())
            keep_logs = os.environ.get('KEEP_LOGS')
            self.folder = keep_logs or self.folder
            log = open(Path(self.folder) / 'platform.log', 'w')
            self.platform = subprocess.Popen(
                [
                    sys.executable, str(HARNESS / 'platform_standin.py'),
                    '--keep-s', str(KEEP_S), '--service', SERVICE,
                    '--runners', json.dumps(self._runners),
                    '--config', json.dumps(self._config),
                ],
                stdout=subprocess.PIPE, stderr=log, cwd=REPOSITORY,
                env={**os.environ, 'PYTHONPATH': 'target/deps'},
            )  # fmt: skip
            stack.callback(self._end, self.platform)
            line = self.platform.stdout.readline()
            if not line:
                raise CaseError('the platform did not start')
            ports = json.loads(line)
            self.control_port = ports['control']
            for zone in self.zones:
                for number in range(self._vms_per_zone):
                    vm = Vm(self.folder, f'edge-{zone}-{number + 1}', zone,
                            self.zones, ports['store'],
                            _reserve_ports(6, stack))  # fmt: skip
                    self.vms.append(vm)
                    vm.start()
                    stack.callback(lambda vm=vm: self._end(vm.process))
            try:
                self.wait(lambda: all(vm.is_ready() for vm in self.vms), 30,
                          'all VMs are ready')  # fmt: skip
            except CaseError as exc:
                raise CaseError(f'{exc}; {self._describe_vms()}') from exc
            # Owners of cells report their load some moments after that.
            time.sleep(3)
            self.record.write('site is ready')
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        with contextlib.suppress(Exception):
            self.update_runs()
        self._stack.close()

    def _describe_vms(self):
        """Returns the VMs that are not ready, with the ends of their logs."""
        return [
            (vm.name, vm.process.poll(),
             (Path(self.folder) / f'{vm.name}.log').read_text()[-300:])
            for vm in self.vms
            if not vm.is_ready()
        ]  # fmt: skip

    @staticmethod
    def _end(process):
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def wait(self, condition, timeout_s, what):
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            found = condition()
            if found:
                return found
            time.sleep(0.05)
        raise CaseError(f'not within {timeout_s} s: {what}')

    def control(self, path, document=None):
        method = 'GET' if document is None else 'POST'
        status, body = call(
            method, self.control_port, f'/control/{path}', document,
            timeout_s=10,
        )  # fmt: skip
        if status != 200:
            raise CaseError(f'control {path}: {status}')
        if document is not None:
            self.record.write(f'disruption {path} {json.dumps(document)}')
        return body

    def update_runs(self):
        """Reads what has run since the last call; returns all of it."""
        body = self.control(f'record?from={self._record_index}')
        self._record_index += len(body['record'])
        self.record.write_runs(body['record'])
        self.runs.extend(body['record'])
        self.largest_refused_append = body['largest_refused_append']
        return self.runs

    def request(self, vm, method, job_id, document=None, timeout_s=DEADLINE_S):
        status, body = vm.request(method, PREFIX + job_id, document, timeout_s)
        self.record.write(
            f'{vm.name} {method} {job_id or "(queue)"} -> {status} '
            f'{json.dumps(body)}'
        )
        return status, body

    def kill(self, vm):
        self.record.write(f'disruption SIGKILL {vm.name}')
        vm.kill()

    def ask_all(self, job_ids, vms):
        """Asks for jobs, each at the VMs in turn; returns answers by id."""
        def ask(job_id):
            return job_id, [
                self.request(vm, 'GET', job_id) for vm in vms if vm.is_running
            ]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            return dict(pool.map(ask, job_ids))


def job(ms, cpu=500, count=1, spec_extra='', **fields):
    """Returns a job of one step."""
    return {
        'spec': f'ms={ms} cpu={cpu}{spec_extra}',
        'steps': [{'count': count, 'cpu': cpu, 'mem_mb': 64,
                   'estimate_ms': ms, **fields}],
    }  # fmt: skip


def run_case(folder, play):
    """Plays a case; exits with 1 if its rule was broken, 0 if it held."""
    try:
        broken = play(Path(folder).resolve())
    except CaseError as exc:
        print(f'could not run: {exc}')
        sys.exit(2)
    for line in broken:
        print(line)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)


SIGTERM = signal.SIGTERM
