"""Decodes and checks the JSON documents of submitted jobs."""

import hashlib
from typing import Annotated, Any, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter
from typing_extensions import TypedDict

from camphorlink.errors import Fault, JobError, JobSyntaxError
from camphorlink.internal.core.process.documents import check_shape, parse_json
from camphorlink.internal.core.request.job import (
    MAX_TASKS_PER_JOB,
    Job,
    TaskSpec,
)
from camphorlink.internal.core.version.manifest import canonical_bytes

MAX_DEADLINE_MS = 300_000
MS_PER_S = 1000

_STRICT = ConfigDict(extra='forbid', strict=True)
_Name = Annotated[str, Field(min_length=1, max_length=64)]
_Ms = Annotated[float, Field(gt=0, le=MAX_DEADLINE_MS)]


class TaskDocument(TypedDict):
    """JSON object of a task in a submission."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    id: _Name
    payload: Any
    task_class: NotRequired[_Name]
    declared_ms: NotRequired[_Ms]


class JobDocument(TypedDict):
    """JSON object of a submitted job."""

    __pydantic_config__ = _STRICT  # type: ignore[misc]
    service: _Name
    team: _Name
    deadline_ms: _Ms
    idempotent: NotRequired[bool]
    tasks: Annotated[
        list[TaskDocument],
        Field(min_length=1, max_length=MAX_TASKS_PER_JOB),
    ]


_ADAPTER: TypeAdapter[JobDocument] = TypeAdapter(JobDocument)


def read_job(body: bytes, now: float) -> Job:
    """Decodes and checks the body of a submission.

    Args:
        body: JSON bytes.
        now: Core time in seconds, from which the deadline is counted.

    Raises:
        JobError: The job is invalid; the error lists all faults.
        JobSyntaxError: The body is not JSON, or nested too deeply.
    """
    document = parse_json(body, JobSyntaxError)
    typed = check_shape(_ADAPTER, document, JobError)
    _check_task_ids(typed)
    return Job(
        service=typed['service'],
        team=typed['team'],
        tasks=tuple(_build_task(entry) for entry in typed['tasks']),
        deadline_s=now + typed['deadline_ms'] / MS_PER_S,
        idempotent=typed.get('idempotent', False),
        digest=_digest(document),
    )


def _digest(document: dict[str, Any]) -> str:
    # A resubmission may have another deadline and is still the same job.
    timeless = {**document, 'deadline_ms': 0}
    try:
        return hashlib.sha256(canonical_bytes(timeless)).hexdigest()
    except TypeError as exc:
        # orjson decodes deeper nesting than it encodes.
        fault = Fault('$.tasks', 'deep nesting', 'nest payloads less deeply')
        raise JobSyntaxError([fault]) from exc


def _check_task_ids(typed: JobDocument) -> None:
    seen: set[str] = set()
    faults: list[Fault] = []
    for index, entry in enumerate(typed['tasks']):
        if entry['id'] in seen:
            path = f'$.tasks[{index}].id'
            expected = 'name each task of a job differently'
            faults.append(Fault(path, repr(entry['id']), expected))
        seen.add(entry['id'])
    if faults:
        raise JobError(faults)


def _build_task(entry: TaskDocument) -> TaskSpec:
    return TaskSpec(
        task_id=entry['id'],
        payload=entry['payload'],
        task_class=entry.get('task_class', 'default'),
        declared_ms=entry.get('declared_ms'),
    )
