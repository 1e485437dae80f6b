"""Encodes and decodes messages that return tasks to their coordinator."""

from collections.abc import Sequence
from typing import Any

from camphorlink.internal.core.connection.node_messages import TasksReturned
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.returned_tasks import (
    ReturnedTask,
    ReturnReason,
)


def encode_returned(message: TasksReturned) -> list[Any]:
    """Encodes a message as a plain list that starts with its kind."""
    rows = [[*task, *fields] for task, *fields in message.tasks]
    return ['returned', message.cell, rows, message.reason.value]


def decode_returned(
    cell: str, rows: Sequence[Sequence[Any]], reason: str
) -> TasksReturned:
    """Decodes the fields of an encoded message.

    Raises:
        ValueError: If a row has a wrong length or the reason is unknown.
    """
    tasks = tuple(
        ReturnedTask(
            TaskKey(job_id, step, number), assignment, has_begun, target
        )
        for job_id, step, number, assignment, has_begun, target in rows
    )
    return TasksReturned(cell, tasks, ReturnReason(reason))
