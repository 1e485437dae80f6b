"""Encodes crashes of back ends as plain lists, and decodes them."""

from collections.abc import Sequence
from typing import Any

from camphorlink.internal.core.request.crash_assessment import CrashKind
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import BackendCrashed


def encode_crash(crash: BackendCrashed) -> list[Any]:
    """Encodes a crash as a list of its fields.

    Fields at the end that have their default are left out.
    """
    tasks = [list(task) for task in crash.tasks]
    fields = [crash.backend_id, crash.started_ms, tasks, crash.kind.value]
    if crash.unconfirmed or crash.is_certain:
        fields.append([list(task) for task in crash.unconfirmed])
    if crash.is_certain:
        fields.append(crash.is_certain)
    return fields


def decode_crash(
    backend_id: str,
    started_ms: int,
    tasks: list[list[Any]],
    kind: str,
    unconfirmed: Sequence[list[Any]] = (),
    is_certain: bool = False,
) -> BackendCrashed:
    """Decodes the fields that ``encode_crash`` returned."""
    return BackendCrashed(
        backend_id,
        started_ms,
        tuple(TaskKey(*task) for task in tasks),
        CrashKind(kind),
        tuple(TaskKey(*task) for task in unconfirmed),
        is_certain,
    )
