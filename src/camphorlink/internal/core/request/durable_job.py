"""Durable jobs, which survive the failure of the VM that accepted them.

A durable job consists of steps, and each step consists of like tasks.
"""

from collections.abc import Iterator
from typing import NamedTuple

from camphorlink.errors import Fault, JobError

#: Maximum length of a job's specification, in bytes: a limit of the platform.
MAX_SPEC_BYTES = 4000
#: Maximum characters of an invalid value in an error message.
MAX_SHOWN_CHARS = 60


class Resources(NamedTuple):
    """Resources that a task needs or that a back end provides.

    Attributes:
        cpu_milli: Processor capacity, in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cpu_milli: int
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: 'Resources') -> bool:
        """Returns whether ``available`` covers these resources."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Returns the sum of both resources."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES = Resources(0)


class Step(NamedTuple):
    """One step of a job: a number of tasks with the same requirements.

    Attributes:
        width: Number of tasks.
        needs: Resources that each task needs on its back end.
        estimate_ms: The caller's rough estimate of a task's run time, in ms.
        after: Numbers of the steps that must be completed before this one.
        label: Label that the back end must have, empty for any.
        rack: Rack of the data, which is preferred, empty for none.
        max_per_backend: Maximum number of tasks of the step that run on one
            back end at the same time, 0 for no limit.
        checkpoints: Whether the tasks write checkpoints.
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

    A job meets its response time objective if it completes within
    ``slack_factor`` times its longest chain of work plus ``target_ms``.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: Name of the queue to which the job was submitted.
        service: Service whose back ends run the job.
        spec: Specification of the job, passed on to the back ends.
        steps: Steps of the job; each step follows the steps it depends on.
        priority: Priority, where 0 is the highest.
        max_attempts: Number of failed runs of one task that fail the job.
        slack_factor: Allowed multiple of the job's longest chain of work.
        target_ms: Additional allowed time, in ms.
        accepted_ms: Wall clock time of the acceptance, in ms.
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
    """Identifier of one task of a durable job.

    Attributes:
        job_id: Identifier of the job.
        step: Number of the step in the job, from 0.
        number: Number of the task in the step, from 0.
    """

    job_id: str
    step: int
    number: int


def task_keys(job: DurableJob, step: int) -> Iterator[TaskKey]:
    """Returns the keys of all tasks of a step."""
    return (
        TaskKey(job.job_id, step, number)
        for number in range(job.steps[step].width)
    )


def check_job(job: DurableJob) -> DurableJob:
    """Checks the types and ranges of a job's fields, and returns the job.

    Raises:
        JobError: Some field is invalid; the error lists every fault.
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
