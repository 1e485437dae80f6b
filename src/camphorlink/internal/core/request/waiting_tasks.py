"""Priority queue of durable jobs' tasks that wait for a back end.

Tasks start in the order of their jobs' due times (earliest due date first).
A task that can no longer end in time is placed after those that still can;
otherwise a backlog would make every job late, one after the other.  Priorities
and guaranteed parts count only when not all tasks can be on time
(``start_order``, ``due_work``, ``share_window``).

The queue is designed for bursts of short and long jobs from several queues
that exceed the capacity of the back ends.  Waiting tasks with the same
requirements form one group: when one of them does not fit, none does, so that
a pass costs time per group and per started task, not per waiting task.
"""

import heapq
import sys
from collections.abc import Callable, Container, Iterator, Mapping
from typing import NamedTuple

from camphorlink.internal.core.request.crash_assessment import Assessment
from camphorlink.internal.core.request.due_work import DueTask, DueWork
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.share_window import (
    ShareWindow,
    Unit,
    unit_of,
)
from camphorlink.internal.core.request.start_order import (
    LEVEL_BY_DUE_TIME,
    StartHeaps,
    StartKey,
    late_key,
    on_time_key,
)

MS_PER_S = 1000


class WaitingTask(NamedTuple):
    """A task that may start as soon as a back end has free capacity.

    Attributes:
        due_s: Due time of the job, in seconds.
        number: Order of arrival, which breaks ties.
        task: Key of the task.
        job: Job of the task.
        work_s: Expected run time of the task at speed 1, in seconds.
        assessment: Whether the task may crash its back end.
    """

    due_s: float
    number: int
    task: TaskKey
    job: DurableJob
    work_s: float
    assessment: Assessment = Assessment.CLEAR

    def can_be_on_time(self, now: float) -> bool:
        """Returns whether the task would end in time if it started now."""
        return now + self.work_s <= self.due_s

    @property
    def step(self) -> Step:
        """Step of the task."""
        return self.job.steps[self.task.step]

    @property
    def needs(self) -> Resources:
        """Resources that the task needs on its back end."""
        return self.step.needs


#: Bound of free capacity that excludes no task.
UNLIMITED = Resources(sys.maxsize, sys.maxsize, sys.maxsize)


class Decision(NamedTuple):
    """A start out of the order of due times, for the counters.

    Attributes:
        family: Name of the counter.
        queue: Queue of the task.
    """

    family: str
    queue: str


#: Tries to place a task, and returns whether it was placed.
TryPlace = Callable[[WaitingTask], bool]


class Requirements(NamedTuple):
    """What a back end must offer to run a task.

    Attributes:
        service: Service of the back end.
        needs: Resources that the task uses.
        label: Label that the back end must have, empty for none.
        job_step: Job and step of a task that only a limited number of back
            ends may share; empty for all other tasks.
        assessment: Whether the task may crash its back end.
    """

    service: str
    needs: Resources
    label: str
    job_step: tuple[str, int] | tuple[()]
    assessment: Assessment = Assessment.CLEAR

    def includes(self, other: 'Requirements') -> bool:
        """Returns whether a back end for this task could run the other."""
        return (
            other.service == self.service
            and other.assessment <= self.assessment
            and other.label == self.label
            and not other.job_step
            and other.needs.fits_in(self.needs)
        )


def requirements_of(entry: WaitingTask) -> Requirements:
    """Returns the requirements of a waiting task."""
    step = entry.step
    job_step = (
        (entry.task.job_id, entry.task.step) if step.max_per_backend else ()
    )
    return Requirements(
        entry.job.service, step.needs, step.label, job_step, entry.assessment
    )


class _Kind:
    """Requirements, with the last pass in which they could not be met.

    The groups of all queues share it, so that a pass compares each requirements
    once.
    """

    __slots__ = ('blocked_pass', 'requirements')

    def __init__(self, requirements: Requirements) -> None:
        self.requirements = requirements
        self.blocked_pass = 0


class _Group:
    """Waiting tasks of one queue with the same requirements, by due time."""

    __slots__ = ('key', 'kind', 'late', 'late_begun', 'on_time',
                 'requirements', 'unit')  # fmt: skip

    def __init__(
        self, key: '_GroupKey', kind: _Kind, shares: Mapping[str, float]
    ) -> None:
        self.key = key
        self.kind = kind
        self.requirements = key.requirements
        self.apply_shares(shares)
        self.on_time: list[WaitingTask] = []
        self.late: list[WaitingTask] = []
        #: Late tasks of jobs of which a task has started; some are in ``late``,
        #: too.
        self.late_begun: list[WaitingTask] = []

    def apply_shares(self, shares: Mapping[str, float]) -> None:
        """Applies the shares in force."""
        self.unit = unit_of(
            self.requirements.service, self.key.queue, self.key.priority, shares
        )

    @property
    def is_empty(self) -> bool:
        """Whether no task waits."""
        return not (self.on_time or self.late or self.late_begun)

    def pop_late(
        self, now: float, begun: Container[str]
    ) -> Iterator[WaitingTask]:
        """Moves the first tasks that can no longer be on time; yields them."""
        while self.on_time and not self.on_time[0].can_be_on_time(now):
            entry = heapq.heappop(self.on_time)
            has_begun = entry.task.job_id in begun
            heapq.heappush(self.late_begun if has_begun else self.late, entry)
            yield entry


class _GroupKey(NamedTuple):
    """What the tasks of a group have in common."""

    requirements: Requirements
    queue: str
    priority: int


class _Head(NamedTuple):
    """First task of a heap of a group."""

    entry: WaitingTask
    group: _Group
    heap: list[WaitingTask]
    key: StartKey


class WaitingTasks:
    """A queue of tasks by due time, with late tasks after all others.

    Attributes:
        added_count: Number of tasks that were added so far.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._group_by_key: dict[_GroupKey, _Group] = {}
        self._kind_by_requirements: dict[Requirements, _Kind] = {}
        self._pass_number = 0
        self._renew_free: Callable[[], Resources] | None = None
        self._entries_by_job: dict[str, dict[int, WaitingTask]] = {}
        self._begun_jobs: set[str] = set()
        self._entry_by_task: dict[TaskKey, WaitingTask] = {}
        self.added_count = 0
        self._shares: Mapping[str, float] = {}
        self._due_work_by_service: dict[str, DueWork] = {}
        self._horizons_by_service: dict[str, dict[int, float]] = {}
        self._late_services: set[str] = set()
        self._window = ShareWindow()
        self._decisions: list[Decision] = []

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._entry_by_task)

    def __contains__(self, task: TaskKey) -> bool:
        """Returns whether a task is waiting."""
        return task in self._entry_by_task

    def __iter__(self) -> Iterator[WaitingTask]:
        """Iterates over the waiting tasks in arbitrary order."""
        return iter(self._entry_by_task.values())

    def add(
        self,
        task: TaskKey,
        job: DurableJob,
        due_s: float,
        work_s: float,
        assessment: Assessment = Assessment.CLEAR,
        has_begun: bool = False,
    ) -> None:
        """Adds a task unless it is already waiting.

        Args:
            task: Key of the task.
            job: Job of the task.
            due_s: Due time of the job, in seconds.
            work_s: Expected run time of the task at speed 1, in seconds.
            assessment: Whether the task may crash its back end.
            has_begun: Whether a task of the job has started before.
        """
        if task in self._entry_by_task:
            return
        self.added_count += 1
        entry = WaitingTask(
            due_s, self.added_count, task, job, work_s, assessment
        )
        self._entry_by_task[task] = entry
        of_job = self._entries_by_job.setdefault(job.job_id, {})
        of_job[entry.number] = entry
        if has_begun:
            self._begun_jobs.add(job.job_id)
        key = _group_key_of(entry)
        group = self._group_by_key.get(key)
        if group is None:
            kind = self._kind_by_requirements.setdefault(
                key.requirements, _Kind(key.requirements)
            )
            group = _Group(key, kind, self._shares)
            self._group_by_key[key] = group
        due_work = self._due_work_by_service.get(job.service)
        if due_work is None:
            due_work = DueWork()
            self._due_work_by_service[job.service] = due_work
        due_work.add(due_task_of(entry))
        heapq.heappush(group.on_time, entry)

    def get(self, task: TaskKey) -> WaitingTask | None:
        """Returns the entry of a task, or ``None`` if it does not wait."""
        return self._entry_by_task.get(task)

    def discard(self, task: TaskKey) -> None:
        """Removes a task if it is waiting."""
        entry = self._entry_by_task.pop(task, None)
        if entry is None:
            return
        self._due_work_by_service[entry.job.service].discard(entry.number)
        of_job = self._entries_by_job[task.job_id]
        of_job.pop(entry.number)
        if not of_job:
            self._entries_by_job.pop(task.job_id)
            self._begun_jobs.discard(task.job_id)

    def first_tasks(
        self, count: int = 1, priority: int | None = None
    ) -> list[WaitingTask]:
        """Returns about the first tasks of each kind that can be on time.

        Args:
            count: Maximum number of tasks of each kind.
            priority: Priority of the tasks, where 0 is the highest, or ``None``
                for any.
        """
        # The first entries of a heap are not fully sorted, which suffices here.
        return [
            entry
            for group in self._group_by_key.values()
            if priority is None or group.key.priority == priority
            for entry in group.on_time[:count]
            if self._entry_by_task.get(entry.task) is entry
        ]

    def place(
        self,
        try_place: TryPlace,
        now: float,
        most_free: Resources = UNLIMITED,
        capacity_by_service: Mapping[str, float] | None = None,
        renew_free: Callable[[], Resources] | None = None,
    ) -> None:
        """Tries to place the tasks in order, and removes the placed ones.

        After a task that could not be placed, tasks that need at least as
        much are skipped without a further try.

        Args:
            try_place: Tries to place a task, and returns whether it was
                placed.
            now: Time in seconds.
            most_free: Upper bound of the free capacity of each back end, for
                tasks that may share one.
            capacity_by_service: Sum over the usable back ends of each service
                of processor capacity times speed, in thousandths of a core;
                without it, no task overtakes.
            renew_free: Returns ``most_free`` anew.  It is called after the
                first task that does not fit any more, so that the others need
                not be tried.
        """
        self._pass_number += 1
        self._renew_free = renew_free
        self._block_larger(most_free)
        groups = [
            group
            for group in self._group_by_key.values()
            if group.kind.blocked_pass != self._pass_number
        ]
        if not groups:
            return
        self._move_late(groups, now)
        capacities = capacity_by_service or {}
        self._horizons_by_service = {
            service: due_work.horizons(capacities.get(service, 0), now)
            for service, due_work in self._due_work_by_service.items()
        }
        heaps: StartHeaps[_Head] = StartHeaps(
            len({group.unit for group in groups}) > 1
            and any(map(self._is_pressed, self._due_work_by_service))
        )
        for group in groups:
            self._push_first(heaps, group)
        self._place_heads(heaps, try_place, now)
        for group in groups:
            if group.is_empty:
                self._group_by_key.pop(group.key)
        if len(self._kind_by_requirements) > 2 * len(self._group_by_key):
            self._kind_by_requirements = {
                known.requirements: known.kind
                for known in self._group_by_key.values()
            }

    def apply_shares(self, shares: Mapping[str, float]) -> None:
        """Applies the shares in force; waiting tasks are not affected else.

        Args:
            shares: Shares of the queues that have one, from 0 to 1.
        """
        if shares != self._shares:
            self._shares = dict(shares)
            for group in self._group_by_key.values():
                group.apply_shares(self._shares)

    def take_decisions(self) -> list[Decision]:
        """Returns and clears the starts out of the order of due times."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def _move_late(self, groups: list[_Group], now: float) -> None:
        self._late_services = set()
        for group in groups:
            service = group.requirements.service
            self._drop_discarded(group.on_time)
            for entry in group.pop_late(now, self._begun_jobs):
                self._due_work_by_service[service].discard(entry.number)
            self._drop_discarded(group.late)
            self._drop_discarded(group.late_begun)
            if group.late or group.late_begun:
                self._late_services.add(service)

    def _place_heads(
        self, heaps: StartHeaps[_Head], try_place: TryPlace, now: float
    ) -> None:
        """Places the tasks of all groups in a common order."""
        refused: list[Requirements] = []

        def most_owed(units: list[Unit]) -> Unit | None:  # noqa: WPS430
            pressed = [unit for unit in units if self._is_pressed(unit.service)]
            if not pressed:
                return None
            return self._window.most_owed(pressed, self._shares, now)

        while True:
            head = heaps.pop(most_owed)
            if head is None:
                return
            if not self._try_head(head, try_place, refused):
                continue
            self._record_start(head, heaps.record_start(head.key), now)
            heapq.heappop(head.heap)
            self._mark_begun(head.entry.job)
            self._push_first(heaps, head.group)

    def _mark_begun(self, job: DurableJob) -> None:
        """Gives the late tasks of a job precedence, as one of it starts."""
        entries = self._entries_by_job.get(job.job_id)
        if entries is None or job.job_id in self._begun_jobs:
            return
        self._begun_jobs.add(job.job_id)
        due_work = self._due_work_by_service[job.service]
        for entry in entries.values():
            if entry.number not in due_work:
                group = self._group_by_key[_group_key_of(entry)]
                heapq.heappush(group.late_begun, entry)

    def _try_head(
        self, head: _Head, try_place: TryPlace, refused: list[Requirements]
    ) -> bool:
        """Tries to place a task unless one that needs less was refused."""
        kind = head.group.kind
        if kind.blocked_pass == self._pass_number:
            return False
        if _cannot_fit(kind.requirements, refused):
            kind.blocked_pass = self._pass_number
            return False
        if try_place(head.entry):
            return True
        refused.append(kind.requirements)
        if not kind.requirements.job_step:
            kind.blocked_pass = self._pass_number
        if self._renew_free is not None:
            self._block_larger(self._renew_free())
            self._renew_free = None
        return False

    def _block_larger(self, most_free: Resources) -> None:
        """Skips in this pass what fits on no back end."""
        for kind in self._kind_by_requirements.values():
            requirements = kind.requirements
            if not (
                requirements.assessment.must_run_alone
                or requirements.needs.fits_in(most_free)
            ):
                kind.blocked_pass = self._pass_number

    def _is_pressed(self, service: str) -> bool:
        """Returns whether not all waiting tasks of a service can be on time."""
        return service in self._late_services or bool(
            self._horizons_by_service.get(service)
        )

    def _record_start(
        self, head: _Head, is_guaranteed: bool, now: float
    ) -> None:
        entry = head.entry
        if is_guaranteed:
            family = 'guaranteed_starts'
        else:
            due_work = self._due_work_by_service[entry.job.service]
            overtakes = (
                not head.key.is_late
                and head.key.level != LEVEL_BY_DUE_TIME
                and due_work.has_lower_before(due_task_of(entry))
            )
            family = 'overtaking_tasks' if overtakes else ''
        if family:
            self._decisions.append(Decision(family, entry.job.queue))
        self._window.record_start(
            head.group.unit, processor_time_us(entry), now
        )
        self.discard(entry.task)

    def _push_first(self, heaps: StartHeaps[_Head], group: _Group) -> None:
        """Adds the first task of a group; its late ones follow all others."""
        if group.on_time:
            self._drop_discarded(group.on_time)
        if group.on_time:
            heap = group.on_time
            entry = heap[0]
            key = on_time_key(
                group.key.priority,
                entry.due_s,
                entry.number,
                self._horizons_by_service[group.requirements.service],
            )
        else:
            self._drop_discarded(group.late_begun)
            heap = group.late_begun or group.late
            self._drop_discarded(heap)
            if not heap:
                return
            entry = heap[0]
            key = late_key(
                group.key.priority,
                entry.due_s,
                entry.number,
                heap is group.late_begun,
            )
        heaps.push(group.unit, key, _Head(entry, group, heap, key))

    def _drop_discarded(self, heap: list[WaitingTask]) -> None:
        while heap and self._entry_by_task.get(heap[0].task) is not heap[0]:
            heapq.heappop(heap)


def _group_key_of(entry: WaitingTask) -> _GroupKey:
    return _GroupKey(
        requirements_of(entry), entry.job.queue, entry.job.priority
    )


def due_task_of(entry: WaitingTask) -> DueTask:
    """Returns what the forecast of late tasks needs to know of a task."""
    return DueTask(
        entry.number,
        entry.job.priority,
        entry.due_s,
        entry.work_s,
        entry.needs.cpu_milli,
    )


def processor_time_us(entry: WaitingTask) -> int:
    """Returns the expected processor time of a task, in microseconds."""
    return max(round(entry.needs.cpu_milli * entry.work_s * MS_PER_S), 1)


def _cannot_fit(
    requirements: Requirements, refused: list[Requirements]
) -> bool:
    return any(requirements.includes(other) for other in refused)
