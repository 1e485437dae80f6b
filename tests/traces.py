"""Generates the traces of the brief's incidents; run it to regenerate them.

The events run through the real cores on a virtual clock.  Each incident
checks its outcomes before its trace is written.  The docstring of an incident
is the title of its trace.
"""

import random
import sys
from pathlib import Path

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.process.trace_codec import build_event
from camphorlink.internal.shell.process.trace_lines import (
    FORMAT,
    CoreHeader,
    Header,
    write_line,
)
from cores import MANIFEST, WALL_S, Cores, build_job

MAX_ENTRIES = 1000


class RecordedCores(Cores):
    """Cores that record each message and its outcomes as trace events."""

    def __init__(self, *vms):
        self.headers = {}
        self.events = []
        super().__init__(*vms, rng=random.Random(11))
        self.show_members()

    def start(self, vm):
        home = super().start(vm)
        core_header = CoreHeader(home, WALL_S, MAX_ENTRIES)
        self.headers[str(home)] = core_header
        first = messages.VersionInForce(1, MANIFEST)
        self.events.insert(0, build_event(str(home), 0.0, first, ()))
        return home

    def post(self, vm, message):
        if vm in self.down:
            return
        core = self.core_by_vm[vm]
        effects = core.handle(message, self.now)
        if str(core.home) in self.headers:
            event = build_event(str(core.home), self.now, message, effects)
            self.events.append(event)
        for effect in effects:
            self._carry_out(vm, core, effect)

    def outcomes_of(self, *callers):
        answers = [self.answer_of(caller) for caller in callers]
        return [answer.outcome if answer else None for answer in answers]

    def tickets(self):
        return [
            messages.Ticket(**outcome['start'])
            for event in self.events
            for outcome in event.outcomes
            if 'start' in outcome
        ]


def batch_received_twice():
    """A network-solution batch is submitted again at two entry VMs."""
    cores = RecordedCores('a', 'b')
    submission_id = cores.mint('a')
    callers = [cores.submit('a', submission_id, build_job(3))]
    callers.append(cores.submit('b', submission_id, build_job(3)))
    cores.run(1)
    callers.append(cores.submit('b', submission_id, build_job(3)))
    cores.run(1)
    assert cores.outcomes_of(*callers) == [Outcome.COMPLETE] * 3
    assert set(cores.starts.values()) == {1}
    return cores


def lost_window_check():
    """The connection that carries a launch-window check is lost."""
    cores = RecordedCores('a')
    cores.silent_tasks = True
    submission_id = cores.mint('a')
    first = cores.submit('a', submission_id, build_job())
    lost = messages.TaskLost(cores.tickets()[0], Reason.CONNECTION_LOST)
    cores.post('a', lost)
    again = cores.submit('a', submission_id, build_job())
    cores.run(1)
    assert cores.outcomes_of(first, again) == [Outcome.UNKNOWN] * 2
    assert set(cores.starts.values()) == {1}
    return cores


def crossed_and_late_answers():
    """Answers of two jobs come crossed, and one comes after its deadline."""
    cores = RecordedCores('a')
    cores.silent_tasks = True
    one = cores.submit('a', cores.mint('a'), build_job())
    other = cores.submit('a', cores.mint('a'), build_job(deadline_s=0.5))
    late = cores.submit('a', cores.mint('a'), build_job(2, deadline_s=0.2))
    tickets = cores.tickets()
    cores.post('a', messages.TaskFinished(tickets[1], 'other'))
    cores.post('a', messages.TaskFinished(tickets[0], 'one'))
    cores.run(0.3)
    for ticket in tickets[2:]:
        cores.post('a', messages.TaskFinished(ticket, 'late'))
    cores.run(1)
    results = [cores.answer_of(one), cores.answer_of(other)]
    assert [dict(answer.results_by_task) for answer in results] == [
        {'t0': 'one'},
        {'t0': 'other'},
    ]
    assert cores.outcomes_of(late) == [Outcome.UNKNOWN]
    return cores


def partition_and_other_vm():
    """A job is submitted again at a VM that is cut off from its home."""
    cores = RecordedCores('a', 'b')
    submission_id = cores.mint('a')
    cores.lose = lambda _from, _to, _message: True
    first = cores.submit('a', submission_id, build_job())
    cut_off = cores.submit('b', submission_id, build_job(deadline_s=2.0))
    cores.run(8)
    cores.lose = lambda _from, _to, _message: False
    healed = cores.submit('b', submission_id, build_job(deadline_s=12.0))
    cores.run(2)
    assert cores.outcomes_of(first, cut_off, healed) == [
        Outcome.COMPLETE,
        Outcome.UNKNOWN,
        Outcome.COMPLETE,
    ]
    assert set(cores.starts.values()) == {1}
    return cores


def home_crashes_while_it_runs():
    """The home crashes between the start and the answer, and comes back."""
    cores = RecordedCores('a', 'b')
    submission_id = cores.mint('a')
    cores.submit('a', submission_id, build_job())
    cores.run(0.05)
    cores.start('a')
    cores.show_members()
    at_home = cores.submit('a', submission_id, build_job())
    elsewhere = cores.submit('b', submission_id, build_job())
    cores.run(6)
    assert cores.outcomes_of(at_home, elsewhere) == [Outcome.UNKNOWN] * 2
    assert set(cores.starts.values()) == {1}
    return cores


def write_whose_answer_was_lost():
    """A claim lands in the log, its answer is lost, and two callers race."""
    cores = RecordedCores('a', 'b')
    append_results = ['unanswered']
    cores.log.on_append = lambda _effect: (
        append_results.pop() if append_results else 'ok'
    )
    callers = [
        cores.submit_key(vm, 'booking-1', build_job(), issued_s=0.0)
        for vm in ('a', 'b')
    ]
    cores.run(4)
    callers.append(
        cores.submit_key('b', 'booking-1', build_job(), issued_s=0.0)
    )
    cores.run(2)
    assert not append_results
    assert cores.outcomes_of(*callers) == [Outcome.COMPLETE] * 3
    assert list(cores.starts.values()) == [1]
    return cores


INCIDENTS = (
    write_whose_answer_was_lost,
    batch_received_twice,
    lost_window_check,
    crossed_and_late_answers,
    partition_and_other_vm,
    home_crashes_while_it_runs,
)


def write_trace(incident):
    """Runs an incident and returns its encoded trace."""
    cores = incident()
    title = incident.__doc__.strip()
    lines = [Header(FORMAT, title, cores.headers), *cores.events]
    return b''.join(write_line(line) for line in lines)


def main(folder):
    for incident in INCIDENTS:
        name = incident.__name__.replace('_', '-')
        (folder / f'{name}.jsonl').write_bytes(write_trace(incident))


if __name__ == '__main__':
    main(Path(sys.argv[1]))
