"""Which waiting task goes to which backend server, and when.

Tasks wait here, at the entry VM, and are bound to a backend server only when
one has a free slot: a task that waits at a backend server can't be moved
any more when another one becomes free.
"""

from collections import deque
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.process.messages import StartTask, Ticket
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.version.manifest import EMPTY_MANIFEST, Manifest

MS_PER_S = 1000


class WaitingTask(NamedTuple):
    """A task that waits for a slot.

    Attributes:
        run: The submission that it belongs to.
        position: Position of the task in its job.
        attempt: Number of the next try, from 1.
    """

    run: JobRun
    position: int
    attempt: int


class Scheduler:
    """Queues of tasks by service, and the backend servers that serve them."""

    def __init__(self, zone: str) -> None:
        """Starts without a manifest, for the backend servers of ``zone``."""
        self._zone = zone
        self._manifest = EMPTY_MANIFEST
        self._queue_by_service: dict[str, deque[WaitingTask]] = {}
        self._load_by_backend: dict[str, BackendLoad] = {}
        self._start_s_by_ticket: dict[Ticket, float] = {}

    def install(self, manifest: Manifest) -> None:
        """Takes over the backend servers of a new version."""
        self._manifest = manifest
        for name, backend in manifest.backends_by_name.items():
            load = self._load_by_backend.get(name)
            if backend.zone != self._zone:
                continue
            if load is None:
                self._load_by_backend[name] = BackendLoad(backend)
            else:
                load.backend = backend

    def queue_job(self, run: JobRun) -> None:
        """Queues all tasks of a submission."""
        for position, _task in enumerate(run.job.tasks):
            self.queue_task(WaitingTask(run, position, 1))

    def queue_task(self, waiting: WaitingTask) -> None:
        """Queues one task behind those of the same service."""
        service = waiting.run.job.service
        self._queue_by_service.setdefault(service, deque()).append(waiting)

    def start_tasks(self, now: float) -> list[StartTask]:
        """Binds waiting tasks to free slots, as far as there are any."""
        starts: list[StartTask] = []
        for service, queue in self._queue_by_service.items():
            while queue:
                waiting = queue[0]
                if not waiting.run.is_open:
                    queue.popleft()
                    continue
                load = self._choose(service)
                if load is None:
                    break
                queue.popleft()
                starts.append(self._start(waiting, load, now))
        return starts

    def end_task(self, ticket: Ticket, now: float) -> None:
        """Frees the slot of a try that has ended in any way."""
        started_s = self._start_s_by_ticket.pop(ticket, None)
        load = self._load_by_backend.get(ticket.backend)
        if started_s is not None and load is not None:
            load.note_end(now - started_s)

    def _choose(self, service: str) -> BackendLoad | None:
        free = [
            load
            for load in self._load_by_backend.values()
            if service in load.backend.services
            and load.backend.name in self._manifest.backends_by_name
            and load.has_free_slot
        ]
        return min(free, key=_expected_finish, default=None)

    def _start(
        self,
        waiting: WaitingTask,
        load: BackendLoad,
        now: float,
    ) -> StartTask:
        job = waiting.run.job
        task = job.tasks[waiting.position]
        ticket = Ticket(
            waiting.run.submission_id,
            waiting.position,
            waiting.attempt,
            load.backend.name,
        )
        service = self._manifest.services_by_name[job.service]
        load.note_start()
        waiting.run.mark_started(waiting.position)
        self._start_s_by_ticket[ticket] = now
        return StartTask(
            ticket=ticket,
            address=load.backend.address,
            service=job.service,
            task_id=task.task_id,
            payload=task.payload,
            timeout_s=service.max_task_ms / MS_PER_S,
        )


def _expected_finish(load: BackendLoad) -> float:
    return load.mean_run_s * (1 + load.in_flight / load.backend.slots)
