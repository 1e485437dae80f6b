"""Policies to compare with: each binds a task as soon as it arrives.

Back ends queue what they can't run yet, so these waste no message on
refusals; what they lose is time.
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
    """Chooses a back end by what one entry VM knows."""

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Returns the back end for the next task."""

    def record_completion(self, backend: FakeBackend) -> None:
        """Learns that a task has ended."""


class RandomChoice:
    """Any back end, each equally likely."""

    def __init__(self, seed: int) -> None:
        """Seeds the choice."""
        self._rng = random.Random(seed)

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Draws one."""
        return self._rng.choice(backends)

    def record_completion(self, backend: FakeBackend) -> None:
        """Learns nothing."""


class RoundRobin:
    """Each back end in turn."""

    def __init__(self, seed: int) -> None:
        """Starts at a place of its own."""
        self._next_index = seed

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Takes the next one."""
        self._next_index += 1
        return backends[self._next_index % len(backends)]

    def record_completion(self, backend: FakeBackend) -> None:
        """Learns nothing."""


class LeastOutstanding:
    """The back end with the fewest tasks of this VM in flight."""

    def __init__(self, seed: int) -> None:
        """Starts with nothing in flight; ties go by a seeded draw."""
        self._in_flight: Counter[str] = Counter()
        self._rng = random.Random(seed)

    def choose(self, backends: Sequence[FakeBackend]) -> FakeBackend:
        """Takes the one with the fewest."""
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
        """Counts one less."""
        self._in_flight[backend.name] -= 1


CHOOSER_BY_POLICY: Mapping[str, Callable[[int], Chooser]] = MappingProxyType(
    {
        'random': RandomChoice,
        'round-robin': RoundRobin,
        'least-outstanding': LeastOutstanding,
    },
)


class CentralQueue:
    """One queue for a zone, first come first served, fastest free slot.

    It knows every slot at once and without delay, and never leaves a slot
    free while a task waits.
    """

    def __init__(self, backends: Sequence[FakeBackend]) -> None:
        """Starts empty."""
        self._backends = sorted(backends, key=lambda known: -known.speed)
        self._waiting: deque[Callable[[FakeBackend], None]] = deque()

    def put(self, start: Callable[[FakeBackend], None]) -> None:
        """Queues a task as the function that starts it."""
        self._waiting.append(start)
        self.start_tasks()

    def start_tasks(self) -> None:
        """Starts what there are free slots for."""
        for backend in self._backends:
            while self._waiting and backend.running < backend.slots:
                self._waiting.popleft()(backend)


class JobFleet(Protocol):
    """What a baseline needs of the fleet that it runs in."""

    clock: VirtualClock
    rng: random.Random
    counts: Counter[str]
    policy: str
    backends_by_zone: dict[str, list[FakeBackend]]

    def record_completion(self, plan: JobPlan, reason: str = '') -> None:
        """Records that a job ended now."""


class BaselineRun:
    """Runs the jobs of a fleet under a policy without entry cores."""

    def __init__(self, fleet: JobFleet, seed: int, vms: int = 3) -> None:
        """Gives each of ``vms`` entry VMs of a zone a chooser of its own."""
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
        """Binds all tasks of a job, or queues them centrally."""
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
