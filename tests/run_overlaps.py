"""Finds runs of one task that overlap, and what made the later one start."""

import asyncio
import collections
import contextlib
import itertools
import logging
from typing import NamedTuple

from simulated_vm import CURRENT_VM


class Move(NamedTuple):
    """Decision of a coordinator to move a job away from a lost owner."""

    time_s: float
    job_id: str
    vm: str


class _MoveRecorder(logging.Handler):
    def __init__(self, moves):
        super().__init__()
        self._moves = moves

    def emit(self, record):
        now_s = asyncio.get_running_loop().time()
        self._moves.extend(
            Move(now_s, job_id, CURRENT_VM.get())
            for job_id in getattr(record, 'jobs', ())
        )


@contextlib.contextmanager
def recorded_moves(moves):
    """Adds the decisions that coordinators log to a list."""
    log = logging.getLogger('camphorlink.coordinator')
    recorder = _MoveRecorder(moves)
    level = log.level
    log.addHandler(recorder)
    log.setLevel(logging.INFO)
    try:
        yield
    finally:
        log.removeHandler(recorder)
        log.setLevel(level)


class OverlappingRunsError(AssertionError):
    """A task had two runs at once."""


def check_no_overlaps(fleet):
    """Raises an error that explains each overlap of two runs of a task."""
    overlaps = find_overlaps(fleet.spans)
    if overlaps:
        raise OverlappingRunsError(
            '\n\n'.join(explain(fleet, *overlap) for overlap in overlaps)
        )


def find_overlaps(spans):
    """Returns pairs of runs of one task that were active at once."""
    spans_by_task = collections.defaultdict(list)
    for span in spans:
        spans_by_task[span.task].append(span)
    return [
        (first, second)
        for same_task in spans_by_task.values()
        for first, second in itertools.combinations(same_task, 2)
        if max(first.start_s, second.start_s) < min(first.end_s, second.end_s)
    ]


def name_mechanism(fleet, first, second):
    """Returns what made the second of two runs start."""
    if first.zone == second.zone:
        if first.term == second.term:
            return 'started twice in one term'
        return 'takeover of the cell'
    job_id = second.task.job_id
    causes = [
        (move.time_s, f'moved by the coordinator {move.vm} after a timeout')
        for move in fleet.moves
        if move.job_id == job_id
    ]
    causes += [
        (sent_s, f'repeated submission to {vm}')
        for sent_s, sent_id, vm in fleet.submissions
        if sent_id == job_id and sent_s > first.start_s
    ]
    before = [cause for cause in causes if cause[0] <= second.start_s]
    return max(before, default=(0, 'unknown'))[1]


def explain(fleet, first, second):
    """Returns both runs, what started the second, and the first one's stops."""
    job_id = first.task.job_id
    overlap_s = min(first.end_s, second.end_s) - second.start_s
    stops = [
        f'{sent_s:.3f} {"lost" if is_lost else "sent"}'
        for sent_s, is_lost in first.stops
    ]
    submissions = [
        f'{sent_s:.3f} {vm}'
        for sent_s, sent_id, vm in fleet.submissions
        if sent_id == job_id
    ]
    return (
        f'{first}\n{second}\noverlap of {overlap_s:.3f} s: '
        f'{name_mechanism(fleet, first, second)}\n'
        f'stops of the first run: {stops}\nsubmissions: {submissions}'
    )
