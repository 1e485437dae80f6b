"""Finds runs of one task that overlap, and what made the later one start."""

import asyncio
import collections
import contextlib
import itertools
import logging
from typing import NamedTuple
from unittest import mock

from camphorlink.internal.core.request.transient_jobs import AssignTasks
from camphorlink.internal.shell.process.cell_host import CellHost
from camphorlink.internal.shell.process.cell_sender import CellSender
from simulated_vm import CURRENT_VM

#: Time of delivery above which an assignment is late, in seconds.
LATE_ASSIGNMENT_S = 0.05
SAME_TIME_S = 0.002


class Assignment(NamedTuple):
    """Tasks of a job that a coordinator assigned to a cell.

    Attributes:
        vm: VM that sent or received them.
    """

    time_s: float
    job_id: str
    cell: str
    coordinator: str
    vm: str


class Decisions:
    """What coordinators decided and what owners received.

    Attributes:
        moves: Time, job and VM of each decision to move the tasks of a lost
            owner.
        sent: Assignments as sent by coordinators.
        received: Assignments as received by owners.
    """

    def __init__(self):
        self.moves = []
        self.sent = []
        self.received = []

    @contextlib.contextmanager
    def record(self):
        """Records the decisions of all VMs."""
        log = logging.getLogger('camphorlink.coordinator')
        recorder = _MoveRecorder(self.moves)
        level = log.level
        log.addHandler(recorder)
        log.setLevel(logging.INFO)
        try:
            with (
                mock.patch.object(
                    CellSender, 'send_to_cell', self._recording_send()
                ),
                mock.patch.object(
                    CellHost, 'run_transient', self._recording_run()
                ),
            ):
                yield
        finally:
            log.removeHandler(recorder)
            log.setLevel(level)

    def _recording_send(self):
        send_to_cell = CellSender.send_to_cell

        def send(sender, cell, command):
            if isinstance(command, AssignTasks):
                vm = CURRENT_VM.get()
                self._add(self.sent, command, vm)
            send_to_cell(sender, cell, command)

        return send

    def _recording_run(self):
        run_transient = CellHost.run_transient

        def run(host, assignment, coordinator):
            vm = coordinator.partition('#')[0]
            self._add(self.received, assignment, vm)
            run_transient(host, assignment, coordinator)

        return run

    def _add(self, assignments, command, coordinator):
        assignments.append(
            Assignment(
                asyncio.get_running_loop().time(),
                command.job.job_id,
                command.cell,
                coordinator,
                CURRENT_VM.get(),
            )
        )

    def delay_s(self, received):
        """Returns the time between sending and receiving an assignment."""
        sent = [
            entry.time_s
            for entry in self.sent
            if entry[1:4] == received[1:4] and entry.time_s <= received.time_s
        ]
        return received.time_s - max(sent, default=received.time_s)


class _MoveRecorder(logging.Handler):
    def __init__(self, moves):
        super().__init__()
        self._moves = moves

    def emit(self, record):
        now_s = asyncio.get_running_loop().time()
        self._moves.extend(
            (now_s, job_id, CURRENT_VM.get())
            for job_id in getattr(record, 'jobs', ())
        )


class OverlappingRunsError(AssertionError):
    """A task had two runs at once."""


def check_no_overlaps(fleet, title=''):
    """Raises an error that explains each overlap of two runs of a task."""
    overlaps = find_overlaps(fleet.spans)
    if overlaps:
        reports = [explain(fleet, *overlap) for overlap in overlaps]
        raise OverlappingRunsError('\n\n'.join((title, *reports)))


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
    """Returns what started the second of two runs, and what kept the first."""
    causes = [_name_start(fleet, first, second)]
    if first.kept_s < second.start_s:
        causes.append('the first was kept by a later owner')
    if any(
        is_lost for sent_s, is_lost in first.stops if sent_s < second.start_s
    ):
        causes.append('stops of the first were lost')
    return '; '.join(causes)


def _name_start(fleet, first, second):
    decisions = fleet.decisions
    job_id = second.task.job_id
    assignment = [
        entry
        for entry in decisions.received
        if entry.job_id == job_id
        and entry.cell == second.zone
        and entry.time_s <= second.start_s
    ][-1]
    delay_s = decisions.delay_s(assignment)
    sent_s = assignment.time_s - delay_s
    move_times = [
        move_s
        for move_s, moved_id, vm in decisions.moves
        if moved_id == job_id and vm == assignment.coordinator
    ]
    if delay_s > LATE_ASSIGNMENT_S:
        return f'assignment delivered {delay_s:.3f} s late'
    if any(abs(sent_s - move_s) < SAME_TIME_S for move_s in move_times):
        return f'moved by {assignment.coordinator} after a timeout'
    if any(sent_s < move_s <= second.start_s for move_s in move_times):
        return f'started after {assignment.coordinator} had moved it'
    if any(
        sent_id == job_id and first.start_s < time_s <= sent_s + SAME_TIME_S
        for time_s, sent_id, _ in fleet.submissions
    ):
        return f'repeated submission to {assignment.coordinator}'
    if first.zone == second.zone and first.term < second.term:
        return f'takeover of the cell by {second.commander}'
    return f'started again by {second.commander}'


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
    assignments = [
        f'{entry.time_s:.3f} {entry.coordinator} to {entry.vm}'
        for entry in fleet.decisions.received
        if entry.job_id == job_id
    ]
    return (
        f'{first}\n{second}\noverlap of {overlap_s:.3f} s: '
        f'{name_mechanism(fleet, first, second)}\n'
        f'stops of the first run: {stops}\n'
        f'submissions: {submissions}\n'
        f'assignments received: {assignments}'
    )
