"""Measures control traffic and the propagation time of configuration changes.

Entry VMs run as separate processes on the loopback interface and have no jobs,
so that all of their processor time and messages are control traffic.
``make measure-control`` prints one JSON line per number of peers.
"""

import contextlib
import os
import statistics
import tempfile
import time
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple
from urllib import request as http

import click
import orjson

from camphorlink.bench.programs import (
    FREE_PORT,
    Program,
    entry_program,
    standin_program,
)
from camphorlink.internal.core.version.acceptance import (
    approval_record,
    proposal_record,
)
from camphorlink.internal.shell.connection.peer_links import PING_INTERVAL_S

PEER_COUNTS = (2, 4, 8, 16)
CONFIG_CHANGES = 10
OBSERVATION_S = 15.0
SETTLE_S = 5.0
READY_TIMEOUT_S = 60.0
POLL_S = 0.1
US_PER_S = 1_000_000
NS_PER_S = 1_000_000_000
#: TCP and IP headers of a message and of its acknowledgement, and the header of
#: the WebSocket frame.  The counters of sent bytes do not include them.
OVERHEAD_BYTES = 92
#: Bytes per second of the pings and pongs of one link.  The VM that opened the
#: link sends a ping every 2 s, and its peer replies with a pong.
PING_BYTES_PER_S = 2 * OVERHEAD_BYTES / PING_INTERVAL_S


class Usage(NamedTuple):
    """Resources that an entry VM has used since its start.

    Attributes:
        read_at_s: Time of the reading, on the monotonic clock, in seconds.
        cpu_s: Processor time in seconds.
        sent_messages: Number of messages sent to peers.
        sent_bytes: Bytes of these messages, without headers.
        received_messages: Number of messages received from peers.
    """

    read_at_s: float
    cpu_s: float
    sent_messages: int
    sent_bytes: int
    received_messages: int


class ControlSite:
    """A log service and the entry VMs of one zone, without backend servers.

    All of them run as separate processes while the context is entered.
    """

    def __init__(self, directory: str, vms: int) -> None:
        """Creates the site without starting its processes.

        Args:
            directory: Directory for the settings and logs of the processes.
            vms: Number of entry VMs.
        """
        self.entries: list[Program] = []
        self._directory = directory
        self._vms = vms
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'ControlSite':
        """Starts the processes and waits until each VM lists all as live."""
        settings = {'listen': FREE_PORT}
        self.log = self._stack.enter_context(
            standin_program(self._directory, 'log', 'log-service', settings),
        )
        for number in range(self._vms):
            self._start_entry(f'entry-{number:02d}')
        self._await_all_live()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends all processes."""
        self._stack.close()

    def publish_change(self, version: int) -> list[float]:
        """Publishes a configuration change and waits until it is in force.

        Args:
            version: Version in force before the change.

        Returns:
            Time from publication until the change was in force, in seconds,
            for each VM.
        """
        document = {
            'schema': 1,
            'services': {},
            'backends': {},
            'teams': {f'team-{version}': {}},
        }
        proposal = proposal_record(version, document)
        approval = approval_record(version, proposal['digest'])
        path = '/v1/streams/config/records'
        started_s = time.time()
        _send_document(
            self.log, path, {'records': [proposal, approval]}, 'POST'
        )
        _wait_until(lambda: self._lowest_version() > version)
        return [
            self._read_config(entry)['in_force_since'] - started_s
            for entry in self.entries
        ]

    def read_usages(self) -> list[Usage]:
        """Returns the resource usage of each VM."""
        return [_read_usage(entry) for entry in self.entries]

    def _start_entry(self, vm: str) -> None:
        settings = {
            'zone': 'larissa',
            'vm': vm,
            'callers': FREE_PORT,
            'operators': FREE_PORT,
            'peers': FREE_PORT,
            'log_service': f'http://{self.log.address}',
            'notice_s': 0,
        }
        entry = self._stack.enter_context(
            entry_program(self._directory, vm, settings),
        )
        vm_document = {
            'zone': 'larissa',
            'vm': vm,
            'peers': entry.addresses['peers'],
            'operators': entry.addresses['operators'],
            'state': 'live',
        }
        _send_document(self.log, '/standin/vms', vm_document, 'PUT')
        self.entries.append(entry)

    def _await_all_live(self) -> None:
        _wait_until(lambda: all(map(self._lists_all_live, self.entries)))

    def _lists_all_live(self, entry: Program) -> bool:
        members = _get_document(entry, '/v1/members')['members']
        live = [member for member in members if member['state'] == 'live']
        return len(live) == self._vms

    def _lowest_version(self) -> int:
        return min(
            int(self._read_config(entry)['version']) for entry in self.entries
        )

    def _read_config(self, entry: Program) -> Any:
        return _get_document(entry, '/v1/config')


@click.command()
@click.option('--peers', type=int, multiple=True, default=PEER_COUNTS)
def main(peers: tuple[int, ...]) -> None:
    """Print the cost of control traffic for each number of peers."""
    for count in peers:
        click.echo(orjson.dumps(measure(count)))


def measure(peers: int) -> dict[str, Any]:
    """Measures an idle site in which each VM has ``peers`` peers."""
    with (
        tempfile.TemporaryDirectory() as directory,
        ControlSite(directory, peers + 1) as site,
    ):
        time.sleep(SETTLE_S)
        before = site.read_usages()
        time.sleep(OBSERVATION_S)
        after = site.read_usages()
        slowest_s = [
            max(site.publish_change(version))
            for version in range(CONFIG_CHANGES)
        ]
    vm_rates = [
        _compute_rates(*pair) for pair in zip(before, after, strict=True)
    ]
    return {
        'peers': peers,
        'cores_shared': os.cpu_count(),
        'cpu_share': _median_rate(vm_rates, 'cpu_share'),
        'cpu_us_a_message': _median_rate(vm_rates, 'cpu_us_a_message'),
        'messages_a_second': _median_rate(vm_rates, 'messages_a_second'),
        'bytes_a_second': _median_rate(vm_rates, 'bytes_a_second'),
        'ping_bytes_a_second': peers * PING_BYTES_PER_S,
        'bytes_a_second_worst': max(row['bytes_a_second'] for row in vm_rates),
        'in_force_s_median': round(statistics.median(slowest_s), 4),
        'in_force_s_worst': round(max(slowest_s), 4),
    }


def _compute_rates(before: Usage, after: Usage) -> dict[str, float]:
    elapsed_s = after.read_at_s - before.read_at_s
    cpu_s = after.cpu_s - before.cpu_s
    sent = after.sent_messages - before.sent_messages
    handled = sent + after.received_messages - before.received_messages
    sent_bytes = after.sent_bytes - before.sent_bytes
    return {
        'cpu_share': cpu_s / elapsed_s,
        'cpu_us_a_message': cpu_s / max(1, handled) * US_PER_S,
        'messages_a_second': sent / elapsed_s,
        'bytes_a_second': (sent_bytes + sent * OVERHEAD_BYTES) / elapsed_s,
    }


def _median_rate(rows: list[dict[str, float]], name: str) -> float:
    return round(statistics.median(row[name] for row in rows), 5)


def _read_usage(entry: Program) -> Usage:
    links = _get_document(entry, '/v1/members')['links']
    threads = Path(f'/proc/{entry.process.pid}/task').glob('*/schedstat')
    run_ns = sum(int(path.read_text().split()[0]) for path in threads)
    return Usage(
        time.monotonic(),
        run_ns / NS_PER_S,
        links.get('sent', 0),
        links.get('sent-bytes', 0),
        links.get('received', 0),
    )


def _get_document(entry: Program, path: str) -> Any:
    url = f'http://{entry.addresses["operators"]}{path}'
    with http.urlopen(url, timeout=READY_TIMEOUT_S) as response:
        return orjson.loads(response.read())


def _send_document(
    program: Program, path: str, document: Any, method: str
) -> None:
    http_request = http.Request(
        f'http://{program.address}{path}',
        orjson.dumps(document),
        method=method,
    )
    http.urlopen(http_request, timeout=READY_TIMEOUT_S).close()


def _wait_until(condition: Any) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                'entry VMs did not reach the expected state in time'
            )
        time.sleep(POLL_S)


if __name__ == '__main__':
    main()
