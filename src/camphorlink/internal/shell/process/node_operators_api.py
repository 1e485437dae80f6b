"""HTTP interface of a job-running VM for operators and readiness probes."""

from collections import Counter as Counts
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aioprometheus import Counter, Gauge, Registry, render

from camphorlink.internal.core.connection.backend_runs import BackendRuns
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.process.cell import Cell
from camphorlink.internal.core.request.calibration import Calibration
from camphorlink.internal.core.request.task_placement import expected_speed
from camphorlink.internal.core.version.zone_drains import ZoneDrains
from camphorlink.internal.shell.process.job_node import JobNode
from camphorlink.internal.shell.process.steady_clock import now_s
from camphorlink.internal.shell.request.json_responses import json_response


class NodeOperatorsApi:
    """Handles requests for metrics, readiness and the state of cells."""

    def __init__(self, node: JobNode) -> None:
        """Creates the interface of one VM."""
        self._node = node

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.add_routes(
            [
                web.get('/metrics', self.show_metrics),
                web.get('/readyz', self.show_readiness),
                web.get('/v1/cells', self.show_cells),
            ],
        )

    async def show_readiness(self, request: web.Request) -> web.Response:
        """Responds with 200 if the VM accepts new callers, else with 503."""
        is_ready = self._node.is_ready
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Responds with all counters and gauges."""
        content, headers = render(
            self._build_registry(),
            request.headers.getall('Accept', []),
        )
        return web.Response(body=content, headers=headers)

    async def show_cells(self, request: web.Request) -> web.Response:
        """Responds with the owner of each cell and the state of owned cells."""
        now = now_s()
        owners = self._node.table.owner_by_cell
        hosts = self._node.cells.host_by_cell
        document = {
            'owners': {
                cell: {'term': owner.term, 'member': owner.member}
                for cell, owner in owners.items()
            },
            'cells': {
                cell: _describe_cell(host.cell, now)
                for cell, host in hosts.items()
            },
            'drains': _describe_drains(self._node.published.drains.get(), now),
            'store_age_s': now - self._node.job_log.answered_s,
            'confirmed_age_s': now - self._node.job_log.confirmed_s,
        }
        return json_response(document)

    def _build_registry(self) -> Registry:
        node = self._node
        registry = Registry()
        _add_counter(registry, 'skipped_entries', node.directory.counts)
        _add_counter(registry, 'log', node.job_log.counts)
        _add_counter(registry, 'appends', node.job_log.appender.counts)
        _add_counter(registry, 'messages_not_sent', node.peers.counts)
        families: dict[str, Counts[str]] = {}
        for (family, reason), count in node.counts.items():
            families.setdefault(family, Counts())[reason] = count
        for family, counts in families.items():
            _add_counter(registry, family, counts)
        _add_calibration(registry, node.coordinator.planner.calibration)
        _add_gauges(registry, node)
        return registry


def _add_gauges(registry: Registry, node: JobNode) -> None:
    hosts = node.cells.host_by_cell.values()
    value_by_name = {
        'live_jobs': len(node.table.live_by_id),
        'remembered_jobs': len(node.table.ended_by_id),
        'owned_cells': len(hosts),
        'waiting_tasks': sum(len(host.cell.waiting) for host in hosts),
        'drained_zones': len(node.published.drains.get().requested_s_by_zone),
        'store_age_seconds': now_s() - node.job_log.answered_s,
    }
    for name, value in value_by_name.items():
        gauge = Gauge(f'camphorlink_{name}', name, registry=registry)
        gauge.set({}, value)


def _add_counter(registry: Registry, name: str, counts: Counts[str]) -> None:
    counter = Counter(
        f'camphorlink_{name}_total',
        f'{name} by reason.',
        registry=registry,
    )
    for reason, count in counts.items():
        counter.set({'reason': reason}, count)


def _describe_drains(drains: ZoneDrains, now: float) -> dict[str, Any]:
    return {
        'read_age_s': now - drains.read_s if drains.is_known else None,
        'zones': {
            zone: {'age_s': now - requested_s}
            for zone, requested_s in drains.requested_s_by_zone.items()
        },
    }


def _add_calibration(registry: Registry, calibration: Calibration) -> None:
    counter = Counter(
        'camphorlink_predicted_jobs_total',
        'Admitted and refused jobs by queue and outcome.',
        registry=registry,
    )
    for (queue, outcome), count in calibration.counts.items():
        counter.set({'queue': queue, 'outcome': outcome}, count)


def _describe_cell(cell: Cell, now: float) -> dict[str, Any]:
    return {
        'term': cell.term,
        'waiting_tasks': len(cell.waiting),
        'back_ends': {
            backend_id: _describe_backend(runs, cell.speeds, now)
            for backend_id, runs in cell.registry.runs_by_backend.items()
        },
    }


def _describe_backend(
    runs: BackendRuns,
    speeds: RunSpeeds,
    now: float,
) -> dict[str, Any]:
    return {
        'runs': len(runs.run_by_task),
        'free_cpu_milli': runs.free.cpu_milli,
        'speed': round(expected_speed(runs, speeds, now), 2),
        'avoided_because': _avoidance_reason(runs, now),
    }


def _avoidance_reason(runs: BackendRuns, now: float) -> str:
    if not runs.has_listed_runs:
        return 'has not listed its runs yet'
    if runs.silent_since_s is not None:
        return 'does not answer'
    if runs.listed.is_draining:
        return 'is draining'
    if not runs.is_listed:
        return 'is not listed by the platform'
    if runs.pause_until_s > now:
        return 'failed or rejected tasks'
    return ''
