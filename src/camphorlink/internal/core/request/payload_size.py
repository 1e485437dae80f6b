"""Estimates how much memory a decoded JSON value takes."""

import sys
from typing import Any

from camphorlink.internal.core.request.job import Answer

#: Memory of a run and its answer without the results, in bytes.
RUN_OVERHEAD_BYTES = 1500
#: Memory of one task's outcome and name in a run, in bytes.
TASK_OVERHEAD_BYTES = 120


def payload_bytes(payload: Any) -> int:
    """Returns the size of a value with all nested values, in bytes."""
    total = 0
    pending = [payload]
    while pending:
        value = pending.pop()
        total += sys.getsizeof(value)
        if isinstance(value, dict):
            pending.extend(value.keys())
            pending.extend(value.values())
        elif isinstance(value, list | tuple):
            pending.extend(value)
    return total


def answer_bytes(answer: Answer) -> int:
    """Returns the memory that a run with this answer retains, in bytes."""
    tasks = len(answer.results_by_task) + len(answer.outcomes_by_task)
    size = payload_bytes(answer.results_by_task) + len(answer.detail)
    return RUN_OVERHEAD_BYTES + TASK_OVERHEAD_BYTES * tasks + size
