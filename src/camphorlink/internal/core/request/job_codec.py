"""Encodes jobs as plain lists, and decodes them."""

from typing import Any

from camphorlink.internal.core.request.durable_job import (
    DurableJob,
    Resources,
    Step,
)

#: Index of the steps among the fields of a job.
STEPS_INDEX = DurableJob._fields.index('steps')


def encode_job(job: DurableJob) -> list[Any]:
    """Encodes a job as a list of its fields."""
    encoded: list[Any] = list(job)
    encoded[STEPS_INDEX] = [
        [step.width, list(step.needs), *step[2:]] for step in job.steps
    ]
    return encoded


def decode_job(encoded: list[Any]) -> DurableJob:
    """Decodes a job that ``encode_job`` encoded."""
    fields = list(encoded)
    fields[STEPS_INDEX] = tuple(
        _decode_step(*step) for step in encoded[STEPS_INDEX]
    )
    return DurableJob(*fields)


def _decode_step(
    width: int,
    needs: list[int],
    estimate_ms: int,
    after: list[int],
    *optional_fields: Any,
) -> Step:
    return Step(
        width, Resources(*needs), estimate_ms, tuple(after), *optional_fields
    )
