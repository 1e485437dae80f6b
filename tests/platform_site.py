"""Runs a stand-in of the users' platform and entry VMs as processes."""

import contextlib
import json

from camphorlink.bench.programs import Program, write_settings
from camphorlink.platform.standin.site import HOST, PREFIX
from processes import call, wait_until

ZONES = ('larissa', 'volos')
BOUNDS = {'grace_s': 6}
#: Entry of a runner in the list of back ends.
RUNNER = {
    'service': 'caster', 'address': '10.0.0.1:80', 'zone': 'larissa',
    'version': 'v1', 'slots': 8, 'state': 'ready', 'cold_remaining_ms': 0,
    'capacity': {'cpu': 32_000, 'mem_mb': 64, 'gpu': 0},
    'labels': ['a', 'r1'], 'clock_ms': 5, 'born': 17, 'sequence': 4,
}  # fmt: skip


def node_settings(name, zone, store, zones=ZONES):
    """Returns the settings file that the platform writes for an entry VM."""
    any_port = '127.0.0.1:0'
    return {
        'node_name': name,
        'zone': zone,
        'zones': dict.fromkeys(zones, 'thessaly'),
        'ip': '127.0.0.1',
        'listen_addrs': {'frontend_addr': any_port, 'readiness_addr': any_port},
        'internal_ports': [0, 0],
        'platform': {'address': store},
        'bounds': BOUNDS,
    }


class PlatformSite:
    """Runs a store, runners and entry VMs; each VM is a process.

    Attributes:
        node_by_name: Programs of the entry VMs.
    """

    def __init__(self, directory, nodes, runners=2, zones=ZONES):
        self.directory = directory
        self.node_by_name = {}
        self._nodes = nodes
        self._zones = zones
        self._runners = runners
        self._stack = contextlib.ExitStack()

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            self.standin = stack.enter_context(
                Program(
                    self.directory,
                    'platform',
                    'camphorlink.platform.standin.program',
                    [
                        '--zones',
                        ','.join(self._zones),
                        '--runners',
                        str(self._runners),
                    ],
                ),
            )
            for name, zone in self._nodes.items():
                self.node_by_name[name] = stack.enter_context(
                    self.build_node(name, zone),
                )
            for name in self._nodes:
                wait_until(lambda name=name: self.is_ready(name))
            wait_until(self.can_run_jobs, what='the first job')
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        return self._stack.__exit__(*exc_info)

    def build_node(self, name, zone):
        """Returns the program of an entry VM; it is not started."""
        settings = node_settings(name, zone, self.standin.address, self._zones)
        path = write_settings(self.directory, name, settings)
        return Program(
            self.directory,
            name,
            'camphorlink.platform.program',
            [],
            {'CAMPHORLINK_SETTINGS': str(path)},
        )

    def is_ready(self, name):
        address = self.node_by_name[name].addresses['readiness']
        return call('GET', address, '/v1/readyz').status == 200

    def can_run_jobs(self):
        """Runs a job on each entry VM; returns whether all succeeded."""
        return all(
            self.submit(name, f'{number:016x}').status == 200
            for number, name in enumerate(self.node_by_name)
        )

    def request(self, name, method, path, document=None, headers=None):
        address = self.node_by_name[name].addresses['callers']
        all_headers = {'Host': HOST, **(headers or {})}
        return call(method, address, path, document, all_headers)

    def submit(self, name, job_id, width=1, **fields):
        """Submits a job; it is best-effort unless ``fields`` override that."""
        document = {
            'spec': fields.pop('spec', 'x'),
            'steps': [
                {
                    'count': width,
                    'cpu': 14_000,
                    'mem_mb': 64,
                    'estimate_ms': 40,
                },
            ],
            'best_effort': True,
        } | fields
        return self.request(name, 'POST', PREFIX + job_id, document)

    def read(self, name, job_id):
        return self.request(name, 'GET', PREFIX + job_id)

    def list_starts(self, job_id):
        """Returns the started runs of a job as pairs of task and run number."""
        answer = call('GET', self.standin.address, '/standin/starts')
        return [
            (task, run)
            for task, run in answer.body['starts']
            if task.startswith(job_id)
        ]

    def set_faults(self, **faults):
        call('POST', self.standin.address, '/standin/faults', faults)

    def publish(self, topic, key, document):
        record = {'topic': topic, 'key': key, 'document': document}
        call('POST', self.standin.address, '/standin/publish', record)

    def log_text(self):
        return json.dumps(
            {name: node.log() for name, node in self.node_by_name.items()},
        )
