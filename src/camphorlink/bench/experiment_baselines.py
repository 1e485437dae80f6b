"""Baseline placement policies for the comparison with the entry cores.

Policies with a chooser assign a task to a back end as soon as it arrives, and
the back end queues the task until a slot is free.  They send no messages that
are refused, but tasks wait in the queues of busy or slow back ends.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from types import MappingProxyType
from typing import Protocol

from camphorlink.bench.experiment_cases import JobPlan
from camphorlink.bench.experiment_fleet import (
    SAME_ZONE_DELAY_S,
    FakeBackend,
    TaskAttempt,
    VirtualClock,
)
from camphorlink.internal.core.process import messages


class Chooser(Protocol):
    """Chooses back ends by the local information of one entry VM."""

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Returns the back end for the next task."""

    def record_completion(self, backend: FakeBackend) -> None:
        """Records that a task on a back end has ended."""


class RandomChoice:
    """Chooses a back end uniformly at random."""

    def __init__(self, seed: int) -> None:
        """Creates a chooser with a seeded random generator."""
        self._rng = random.Random(seed)

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Returns a random back end."""
        return self._rng.choice(backends)

    def record_completion(self, backend: FakeBackend) -> None:
        """Ignores the completion; the choice does not depend on it."""


class RoundRobin:
    """Chooses the back ends in turn."""

    def __init__(self, seed: int) -> None:
        """Creates a chooser whose first back end depends on the seed."""
        self._next_index = seed

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Returns the next back end."""
        self._next_index += 1
        return backends[self._next_index % len(backends)]

    def record_completion(self, backend: FakeBackend) -> None:
        """Ignores the completion; the choice does not depend on it."""


class LeastOutstanding:
    """Chooses the back end with the fewest tasks of this VM in flight."""

    def __init__(self, seed: int) -> None:
        """Creates a chooser without tasks; ties are broken by a seeded draw."""
        self._in_flight: Counter[str] = Counter()
        self._rng = random.Random(seed)

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Returns the back end with the fewest tasks in flight."""
        chosen = min(
            backends,
            key=lambda backend: (
                self._in_flight[backend.name],
                self._rng.random(),
            ),
        )
        self._in_flight[chosen.name] += 1
        return chosen

    def record_completion(self, backend: FakeBackend) -> None:
        """Decrements the number of tasks in flight."""
        self._in_flight[backend.name] -= 1


CHOOSER_BY_POLICY: Mapping[str, Callable[[int], Chooser]] = MappingProxyType(
    {
        'random': RandomChoice,
        'round-robin': RoundRobin,
        'least-outstanding': LeastOutstanding,
    },
)


class CentralQueue:
    """First-come, first-served queue of a zone.

    The first task is started in a free slot of the fastest back end.  The
    queue has current information on all slots without any delay, and never
    leaves a slot free while a task waits.
    """

    def __init__(self, backends: Sequence[FakeBackend]) -> None:
        """Creates an empty queue for the back ends of a zone."""
        self._backends = sorted(backends, key=lambda known: -known.speed)
        self._waiting: deque[Callable[[FakeBackend], None]] = deque()

    def put(self, start: Callable[[FakeBackend], None]) -> None:
        """Enqueues a task and starts it if a slot is free.

        Args:
            start: Starts the task on a back end.
        """
        self._waiting.append(start)
        self.start_tasks()

    def start_tasks(self) -> None:
        """Starts waiting tasks until no slot is free."""
        for backend in self._backends:
            while self._waiting and backend.running < backend.slots:
                self._waiting.popleft()(backend)


class JobFleet(Protocol):
    """Interface of the fleet that a baseline policy uses.

    Attributes:
        clock: Virtual clock of the run.
        rng: Source of randomness of the run.
        counts: Counters of events, by name.
        policy: Name of the policy.
        backends_by_zone: Simulated back ends of each zone.
    """

    clock: VirtualClock
    rng: random.Random
    counts: Counter[str]
    policy: str
    backends_by_zone: dict[str, list[FakeBackend]]

    def record_completion(self, plan: JobPlan, reason: str = '') -> None:
        """Records the completion or failure of a job."""


class BaselineRun:
    """Runs the jobs of a fleet under a baseline policy, without entry cores."""

    def __init__(self, fleet: JobFleet, seed: int, vms: int = 3) -> None:
        """Creates the choosers or the central queues of all zones.

        Args:
            fleet: Fleet that runs the jobs.
            seed: Seed of the first chooser of each zone.
            vms: Number of entry VMs, each with a chooser, in each zone.
        """
        self._fleet = fleet
        build_chooser = CHOOSER_BY_POLICY.get(fleet.policy)
        self._queue_by_zone: dict[str, CentralQueue] = {}
        self._choosers_by_zone: dict[str, list[Chooser]] = {}
        for zone, backends in fleet.backends_by_zone.items():
            if build_chooser is None:
                self._queue_by_zone[zone] = CentralQueue(backends)
                continue
            for backend in backends:
                backend.has_queue = True
            choosers = [build_chooser(seed + number) for number in range(vms)]
            self._choosers_by_zone[zone] = choosers

    def submit(self, plan: JobPlan) -> None:
        """Assigns all tasks of a job to back ends, or to the central queue."""
        pending = Counter(tasks=len(plan.tasks))
        queue = self._queue_by_zone.get(plan.zone)
        for position, _task in enumerate(plan.tasks):
            if queue is not None:
                on_completion = partial(
                    self._complete_task, plan, pending, queue.start_tasks
                )
                queue.put(partial(self._send, plan, position, on_completion, 0))
        if queue is None:
            self._assign_tasks(plan, pending)

    def _assign_tasks(self, plan: JobPlan, pending: Counter[str]) -> None:
        chooser = self._fleet.rng.choice(self._choosers_by_zone[plan.zone])
        for position, _task in enumerate(plan.tasks):
            backend = chooser.choose(self._fleet.backends_by_zone[plan.zone])
            record_completion = partial(chooser.record_completion, backend)
            on_completion = partial(
                self._complete_task, plan, pending, record_completion
            )
            self._send(
                plan, position, on_completion, SAME_ZONE_DELAY_S, backend
            )

    def _send(
        self,
        plan: JobPlan,
        position: int,
        on_completion: Callable[[messages.Message], None],
        delay_s: float,
        backend: FakeBackend,
    ) -> None:
        ticket = messages.Ticket('', position, 1, backend.name)
        attempt = TaskAttempt(
            ticket, plan.tasks[position].work_s, on_completion
        )
        self._fleet.counts['starts'] += 1
        if delay_s:
            self._fleet.clock.call_in(delay_s, backend.receive, attempt)
        else:
            backend.receive(attempt)

    def _complete_task(
        self,
        plan: JobPlan,
        pending: Counter[str],
        record_completion: Callable[[], None],
        message: messages.Message,
    ) -> None:
        record_completion()
        pending['tasks'] -= 1
        pending['failed'] += not isinstance(message, messages.TaskFinished)
        if pending['tasks'] == 0:
            is_failed = pending['failed'] > 0
            self._fleet.record_completion(
                plan, 'task-failed' if is_failed else ''
            )
