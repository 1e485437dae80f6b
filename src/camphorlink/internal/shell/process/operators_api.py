"""HTTP interface of an entry VM for operators and health checks."""

from http import HTTPStatus

from aiohttp import web

from camphorlink.internal.shell.process.control_plane import ControlPlane
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.metrics import Metrics
from camphorlink.internal.shell.process.planned_stop import PlannedStop
from camphorlink.internal.shell.request.error_middleware import build_middleware
from camphorlink.internal.shell.request.json_responses import json_response


class OperatorsApi:
    """Request handlers of the operators' interface."""

    def __init__(
        self,
        host: CoreHost,
        metrics: Metrics,
        control: ControlPlane,
        planned_stop: PlannedStop,
    ) -> None:
        """Creates the handlers.

        Args:
            host: Host of the core whose state is served.
            metrics: Metrics to render.
            control: Membership, configuration and audit of the VM.
            planned_stop: Planned stop that a drain request begins.
        """
        self._planned_stop = planned_stop
        self._host = host
        self._metrics = metrics
        self._control = control

    def build_app(self) -> web.Application:
        """Returns the web application with all routes of the interface."""
        app = web.Application(
            middlewares=[build_middleware(self._metrics.count_refusal)],
        )
        app.add_routes(
            [
                web.get('/healthz', self.health),
                web.get('/readyz', self.readiness),
                web.get('/metrics', self.show_metrics),
                web.get('/v1/config', self.show_config),
                web.get('/v1/members', self.show_members),
                web.get('/v1/explain/{id}', self.explain),
                web.post('/v1/drain', self.drain),
            ]
        )
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Returns 200, which shows that the event loop runs."""
        return json_response({'healthy': True})

    async def readiness(self, request: web.Request) -> web.Response:
        """Returns 200 if the load balancer may send requests, otherwise 503."""
        core = self._host.core
        is_leaving = self._planned_stop.has_begun or core.is_draining
        is_ready = core.version > 0 and not is_leaving
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        document = {
            'ready': is_ready,
            'version': core.version,
            'leaving': is_leaving,
            'draining': core.is_draining,
        }
        return json_response(document, status)

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Returns all metrics in a Prometheus format."""
        accept = request.headers.getall('Accept', [])
        body, headers = self._metrics.render(accept)
        return web.Response(body=body, headers=headers)

    async def show_config(self, request: web.Request) -> web.Response:
        """Returns the version in force and the state of the stream reader."""
        core = self._host.core
        return json_response(
            {
                'home': str(core.home),
                'version': core.version,
                'digest': core.manifest.digest,
                **self._control.tail.describe(),
            }
        )

    async def show_members(self, request: web.Request) -> web.Response:
        """Returns this VM's view of the members, with link counters."""
        return json_response(
            {
                'members': [
                    {
                        'home': str(member.home),
                        'address': member.address,
                        'state': member.state.value,
                    }
                    for member in self._host.core.view.members
                ],
                'links': dict(self._host.links.counts)
                if self._host.links
                else {},
                'membership': self._control.members.membership.counts,
            }
        )

    async def explain(self, request: web.Request) -> web.Response:
        """Returns the state and audit records of a submission on this VM."""
        key = request.match_info['id']
        run = self._host.core.table.find(key)
        answer = run.answer if run else None
        return json_response(
            {
                'home': str(self._host.core.home),
                'known': run is not None,
                'outcome': answer.outcome.value if answer else None,
                'reason': (
                    answer.reason.value if answer and answer.reason else None
                ),
                'version': run.version if run else None,
                'tasks': (
                    {
                        task: task_outcome.value
                        for task, task_outcome in run.outcomes_by_task().items()
                    }
                    if run
                    else {}
                ),
                'records': self._control.audit.batch.find(key),
            }
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Begins a planned stop.

        The VM is not ready from now on, and refuses new submissions after the
        notice period.
        """
        self._planned_stop.begin()
        return json_response({'leaving': True}, HTTPStatus.ACCEPTED)
