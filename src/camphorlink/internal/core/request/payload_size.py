"""Estimates how much memory a decoded JSON value takes."""

import sys
from typing import Any

from camphorlink.internal.core.request.job import Answer

#: Memory of a run with its answer besides the results, in bytes.
RUN_BYTES = 1500
#: Memory of one task's fate and name in a run, in bytes.
TASK_BYTES = 120


def payload_bytes(payload: Any) -> int:
    """Returns the bytes of a value with all that it holds."""
    total = 0
    waiting = [payload]
    while waiting:
        value = waiting.pop()
        total += sys.getsizeof(value)
        if isinstance(value, dict):
            waiting.extend(value.keys())
            waiting.extend(value.values())
        elif isinstance(value, list | tuple):
            waiting.extend(value)
    return total


def answer_bytes(answer: Answer) -> int:
    """Returns the bytes that a run with this answer holds on to."""
    tasks = len(answer.results_by_task) + len(answer.fates_by_task)
    size = payload_bytes(answer.results_by_task) + len(answer.detail)
    return RUN_BYTES + TASK_BYTES * tasks + size
