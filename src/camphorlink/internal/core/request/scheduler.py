"""Which waiting task goes to which backend server, and when.

Tasks wait here, at the entry VM, and are bound to a backend server only when
one has a free slot: a task that waits at a backend server can't be moved
any more when another one becomes free.
"""

import itertools
import statistics
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.connection.slot_lending import (
    NO_WANT,
    SlotLending,
    join_wants,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberView
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.placement import Slots
from camphorlink.internal.core.request.queues import (
    JobQueue,
    QueuedJob,
    WaitingTask,
)
from camphorlink.internal.core.request.run_times import RunTimes
from camphorlink.internal.core.request.service_pass import (
    Assignment,
    ServicePass,
)
from camphorlink.internal.core.version.manifest import EMPTY_MANIFEST, Manifest

MS_PER_S = 1000
INITIAL_SPEED = 1.0


class PlacementPolicy(NamedTuple):
    """What the experiment varies.

    Attributes:
        stretch: A job is due after this multiple of its ideal time.
    """

    stretch: float = 2.5


DEFAULT_POLICY = PlacementPolicy()


class Try(NamedTuple):
    """One try in flight."""

    number: int
    start_s: float
    task: WaitingTask
    job: QueuedJob


class Scheduler:
    """Queues of tasks by service, and the backend servers that serve them."""

    def __init__(
        self,
        home: Home,
        timers: Timers,
        policy: PlacementPolicy = DEFAULT_POLICY,
    ) -> None:
        """Starts without a manifest, for the backend servers of a zone."""
        self._home = home
        self._timers = timers
        self._policy = policy
        self._manifest = EMPTY_MANIFEST
        self._run_times = RunTimes()
        self._queue_by_service: dict[str, JobQueue] = {}
        self._load_by_backend: dict[str, BackendLoad] = {}
        self._loads_by_service: dict[str, list[BackendLoad]] = {}
        self._try_by_ticket: dict[messages.Ticket, Try] = {}
        self._numbers = itertools.count()
        self._lending = SlotLending(home, timers, self._load_by_backend)

    def install(self, manifest: Manifest) -> None:
        """Takes over the backend servers of a new version."""
        self._manifest = manifest
        for name, backend in manifest.backends_by_name.items():
            if backend.zone != self._home.zone:
                continue
            load = self._load_by_backend.get(name)
            if load is None:
                speed = self._usual_speed()
                self._load_by_backend[name] = BackendLoad(backend, speed)
            else:
                load.backend = backend
        self._lending.allot(may_grow=True)
        self._loads_by_service = {
            service: [
                load
                for load in self._load_by_backend.values()
                if load.backend.name in manifest.backends_by_name
                and service in load.backend.services
            ]
            for service in manifest.services_by_name
        }

    def change_view(self, view: MemberView, now: float) -> None:
        """Takes over a new view of the entry VMs."""
        self._lending.change_view(view, now)

    def hear_peer(self, peer: Home, message: PeerMessage, now: float) -> None:
        """Takes what another entry VM says of slots and quotas."""
        self._lending.hear(message, peer, now)

    def queue_job(self, run: JobRun, now: float) -> None:
        """Queues all tasks of a submission."""
        service = run.job.service
        tasks = [
            WaitingTask(self._run_times.estimate(service, task), position, 1)
            for position, task in enumerate(run.job.tasks)
        ]
        job = QueuedJob(run, now, tasks)
        ideal_s = self._ideal_s(job)
        job.due_s = now + self._policy.stretch * ideal_s
        self._queue_of(service).put(job)

    def retry_task(self, ended: Try) -> None:
        """Queues a task that was provably not started once more."""
        task = ended.task._replace(attempt=ended.task.attempt + 1)
        job = ended.job
        job.put_back(task)
        queue = self._queue_of(job.run.job.service)
        queue.note_put_back(job)

    def start_tasks(self, now: float) -> list[messages.Effect]:
        """Binds waiting tasks to free slots, as far as there are any."""
        effects: list[messages.Effect] = []
        self._lending.recall(now)
        want = NO_WANT
        for service, queue in self._queue_by_service.items():
            if queue:
                done = self._run_pass(service, queue, now)
                effects.extend(
                    self._start(assignment, now)
                    for assignment in done.assignments
                )
                want = join_wants(want, done.want)
        self._lending.settle(want, now)
        effects.extend(self._lending.take_effects())
        return effects

    @singledispatchmethod
    def note_end(self, message: messages.Message, now: float) -> Try | None:
        """Frees the slot of a try that has ended, and learns from it."""
        raise TypeError(message)

    @note_end.register
    def _finished(
        self, message: messages.TaskFinished, now: float
    ) -> Try | None:
        ended = self._end(message.ticket)
        if ended is not None:
            self._learn(message.ticket, ended, now - ended.start_s)
        return ended

    @note_end.register(messages.TaskFailed)
    @note_end.register(messages.TaskNotStarted)
    @note_end.register(messages.TaskLost)
    def _not_finished(
        self,
        message: (
            messages.TaskFailed | messages.TaskNotStarted | messages.TaskLost
        ),
        now: float,
    ) -> Try | None:
        return self._end(message.ticket)

    def _end(self, ticket: messages.Ticket) -> Try | None:
        ended = self._try_by_ticket.pop(ticket, None)
        load = self._load_by_backend.get(ticket.backend)
        if ended is not None and load is not None:
            load.note_end(ended.number)
        return ended

    def _learn(
        self,
        ticket: messages.Ticket,
        ended: Try,
        run_s: float,
    ) -> None:
        load = self._load_by_backend[ticket.backend]
        job = ended.job.run.job
        task = job.tasks[ticket.position]
        if self._run_times.is_known(job.service, task):
            load.learn(run_s, self._run_times.estimate(job.service, task))
        self._run_times.learn(job.service, task, run_s * load.speed)

    def _run_pass(
        self,
        service: str,
        queue: JobQueue,
        now: float,
    ) -> ServicePass:
        loads = self._loads_by_service.get(service, [])
        done = ServicePass(queue, Slots(loads, now))
        done.run()
        return done

    def _start(
        self,
        assignment: Assignment,
        now: float,
    ) -> messages.StartTask:
        job, task, choice = assignment
        spec = job.run.job.tasks[task.position]
        load = choice.load
        ticket = messages.Ticket(
            job.run.submission_id,
            task.position,
            task.attempt,
            load.backend.name,
        )
        service = self._manifest.services_by_name[job.run.job.service]
        number = next(self._numbers)
        load.note_start(number, now, task.work_s)
        job.run.mark_started(task.position)
        self._try_by_ticket[ticket] = Try(number, now, task, job)
        return messages.StartTask(
            ticket=ticket,
            address=load.backend.address,
            service=service.name,
            task_id=spec.task_id,
            payload=spec.payload,
            timeout_s=service.max_task_ms / MS_PER_S,
        )

    def _ideal_s(self, job: QueuedJob) -> float:
        loads = self._loads_by_service.get(job.run.job.service, [])
        fastest = max((load.speed for load in loads), default=INITIAL_SPEED)
        total = sum(load.speed * load.backend.slots for load in loads)
        longest_s = job.tasks[-1].work_s
        return max(longest_s / fastest, job.work_s / max(total, fastest))

    def _usual_speed(self) -> float:
        speeds = [load.speed for load in self._load_by_backend.values()]
        return statistics.median(speeds) if speeds else INITIAL_SPEED

    def _queue_of(self, service: str) -> JobQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = JobQueue()
            self._queue_by_service[service] = queue
        return queue
