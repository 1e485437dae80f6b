"""Durable jobs: steps of tasks that outlive the VM that accepted them."""

from collections.abc import Iterator
from typing import NamedTuple

from camphorlink.errors import Fault, JobError

#: Longest specification of a job, in bytes: the platform's bound.
MAX_SPEC_BYTES = 4000
#: Characters of a faulty value that are shown.
MAX_SHOWN_CHARS = 60


class Resources(NamedTuple):
    """What a task takes of a back end, or what a back end has.

    Attributes:
        cpu_milli: Thousandths of a processor core.
        memory_mb: Memory in MB.
        accelerators: Whole accelerators.
    """

    cpu_milli: int
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: 'Resources') -> bool:
        """Tells whether this much is left in ``room``."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Adds two amounts."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Subtracts an amount; the result may be below zero."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES = Resources(0)


class Step(NamedTuple):
    """Like tasks of a job.

    Attributes:
        width: Number of tasks.
        needs: What each task takes of its back end.
        estimate_ms: The caller's rough estimate of a task's run time, in ms.
        after: Numbers of the steps that must be done before.
        label: Label that the back end must have, empty for any.
        rack: Rack near the data, empty for none.
        max_per_backend: Tasks of the step on one back end at once, 0 for any.
        checkpoints: Whether its tasks write checkpoints.
    """

    width: int
    needs: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ''
    rack: str = ''
    max_per_backend: int = 0
    checkpoints: bool = False


class DurableJob(NamedTuple):
    """A job as it is stored when it is accepted.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: Name of the queue that it was submitted to.
        service: Service whose back ends run it.
        spec: What the back ends get to know about it.
        steps: Its steps; a step comes after those that it waits for.
        priority: 0 comes first.
        max_attempts: Failed runs of one task that fail the job.
        slack_factor: Times its longest chain of work that it may take.
        target_ms: Time beyond that within which it is on time, in ms.
        accepted_ms: Wall clock of its acceptance, in ms.
    """

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    priority: int
    max_attempts: int
    slack_factor: float
    target_ms: int
    accepted_ms: int


class TaskKey(NamedTuple):
    """Name of one task.

    Attributes:
        job_id: Its job.
        step: Number of its step, from 0.
        number: Its number in the step, from 0.
    """

    job_id: str
    step: int
    number: int


def task_keys(job: DurableJob, step: int) -> Iterator[TaskKey]:
    """Names all tasks of a step."""
    return (
        TaskKey(job.job_id, step, number)
        for number in range(job.steps[step].width)
    )


def check_job(job: DurableJob) -> DurableJob:
    """Returns a job whose fields are of the right types and ranges.

    Raises:
        JobError: With every fault found.
    """
    faults: list[Fault] = []
    if not isinstance(job.spec, str) or len(job.spec.encode()) > MAX_SPEC_BYTES:
        expected = f'a text of at most {MAX_SPEC_BYTES} bytes'
        faults.append(
            Fault('$.spec', repr(job.spec)[:MAX_SHOWN_CHARS], expected)
        )
    if not job.steps:
        faults.append(Fault('$.steps', 'no step', 'one step at least'))
    for number, step in enumerate(job.steps):
        faults.extend(_step_faults(step, number))
    if faults:
        raise JobError(faults)
    return job


def _step_faults(step: Step, number: int) -> Iterator[Fault]:
    path = f'$.steps[{number}]'
    integer_by_field = {
        'tasks': step.width,
        'estimate_ms': step.estimate_ms,
        'max_per_backend': step.max_per_backend,
        **step.needs._asdict(),
    }
    for name, field_value in integer_by_field.items():
        minimum = 1 if name == 'tasks' else 0
        if type(field_value) is not int or field_value < minimum:  # noqa: WPS516
            expected = f'a whole number, {minimum} or more'
            yield Fault(
                f'{path}.{name}', repr(field_value)[:MAX_SHOWN_CHARS], expected
            )
    for name, text in (('label', step.label), ('rack', step.rack)):
        if not isinstance(text, str):
            yield Fault(
                f'{path}.{name}', repr(text)[:MAX_SHOWN_CHARS], 'a text'
            )
    for prior in step.after:
        if type(prior) is not int or not 0 <= prior < number:  # noqa: WPS516
            expected = 'numbers of earlier steps'
            yield Fault(
                f'{path}.after', repr(prior)[:MAX_SHOWN_CHARS], expected
            )
