"""Measures the cost of a placement among many waiting tasks.

Run it with ``make measure-starts``.  It prints the microseconds of a placement,
from the end of a run to the start of the next task, at 176 back ends.
"""

import random
import time

import click

from camphorlink.internal.core.connection.backend_commands import ListedBackend
from camphorlink.internal.core.connection.backend_runs import BackendRuns, Run
from camphorlink.internal.core.connection.run_speeds import RunSpeeds
from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
    TaskKey,
)
from camphorlink.internal.core.request.task_placement import Candidates
from camphorlink.internal.core.request.waiting_tasks import (
    WaitingTask,
    WaitingTasks,
)

SEED = 5
US_PER_S = 1_000_000
BACKENDS = 176
PLACEMENTS = 4000
#: Tasks, run time in seconds and processor capacity in thousandths of a core of
#: the jobs of each priority.
QUEUES = ((8, 0.06, 8000), (2, 0.2, 8000), (4, 0.9, 8000))
#: Time between two ends of runs, in seconds.
PERIOD_S = 0.0005


class StartTrial:
    """Places waiting tasks on back ends that are full but for one place."""

    def __init__(self, waiting_tasks: int, spread_s: float) -> None:
        """Fills the queue and the back ends.

        Args:
            waiting_tasks: Number of tasks that wait throughout the trial.
            spread_s: Time over which the due times are spread, in seconds;
                with a short one, most tasks cannot be on time.
        """
        self._rng = random.Random(SEED)
        self._spread_s = spread_s
        self._jobs = 0
        self._queue_size = waiting_tasks
        self._waiting = WaitingTasks()
        self._backends = [_build_backend(number) for number in range(BACKENDS)]
        self._running: list[tuple[BackendRuns, TaskKey]] = []

    def run(self) -> float:
        """Returns the mean time of a placement, in microseconds."""
        now = 0.0
        self._refill(now)
        self._place(now)
        spent_s = 0.0
        placed = 0
        while placed < PLACEMENTS:
            now += PERIOD_S
            index = self._rng.randrange(len(self._running))
            runs, task = self._running.pop(index)
            runs.drop(task)
            self._refill(now)
            before = len(self._running)
            started_s = time.process_time()
            self._place(now)
            spent_s += time.process_time() - started_s
            placed += len(self._running) - before
        return spent_s / placed * US_PER_S

    def _refill(self, now: float) -> None:
        while len(self._waiting) < self._queue_size:
            priority = self._jobs % len(QUEUES)
            tasks, work_s, cpu = QUEUES[priority]
            cpu = cpu * self._rng.randint(80, 120) // 100
            self._jobs += 1
            job = DurableJob(
                f'{self._jobs:016x}', f'q{priority}', 's', '',
                (Step(tasks, Resources(cpu, 64), round(work_s * 1000)),),
                priority, 3, 1.6, 60, 0,
            )  # fmt: skip
            due_s = now + 1.6 * work_s + self._rng.uniform(0, self._spread_s)
            for number in range(tasks):
                task = TaskKey(job.job_id, 0, number)
                self._waiting.add(task, job, due_s, work_s)

    def _place(self, now: float) -> None:
        if not int(now / PERIOD_S) % 40:
            # The ranking is renewed every 0.02 s, as by an owner.
            self._candidates = Candidates(self._backends, RunSpeeds(), now)

        def start(entry: WaitingTask) -> bool:  # noqa: WPS430
            chosen = self._candidates.choose(entry, now)
            if chosen is None:
                return False
            chosen.runs.add(Run(entry.task, 1, entry.needs, now))
            self._running.append((chosen.runs, entry.task))
            return True

        self._waiting.place(
            start,
            now,
            self._candidates.most_free(),
            self._candidates.capacity_by_service(),
            self._candidates.most_free,
        )


def _build_backend(number: int) -> BackendRuns:
    capacity = Resources(16_000 if number % 3 else 24_000, 1_000_000)
    listed = ListedBackend(
        f'i-{number}', 1, 's', '10.0.0.1:80', 'z', capacity, ('a',),
        is_draining=False,
    )  # fmt: skip
    runs = BackendRuns(listed, 0.0, 1)
    runs.has_listed_runs = True
    return runs


@click.command()
def main() -> None:
    """Prints a Markdown table of the cost of a placement."""
    click.echo('| waiting tasks | due within | us per placement |')
    click.echo('| --- | --- | --- |')
    for waiting_tasks in (500, 5000):
        for spread_s in (1.0, 30.0):
            cost_us = StartTrial(waiting_tasks, spread_s).run()
            click.echo(f'| {waiting_tasks} | {spread_s} s | {cost_us:.0f} |')


if __name__ == '__main__':
    main()
