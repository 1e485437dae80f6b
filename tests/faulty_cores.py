"""Entry cores on a virtual clock with fault injection.

Injects every fault that the brief names.  The simulated back end counts the
actual starts and completions of each task, against which the answers are
checked.
"""

import collections
import random
from typing import NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason
from cores import (
    APPEND_DELAY_S,
    LINK_DELAY_S,
    MANIFEST,
    TASK_DURATION_S,
    WALL_S,
    Cores,
)

BEHAVIOURS = ('runs', 'slow', 'fails', 'refused', 'lost-before', 'lost-after')
SLOW_S = 3.0


class Net(NamedTuple):
    """Faults of messages between entry VMs; shares are from 0 to 1."""

    loss_share: float = 0.0
    copy_share: float = 0.0
    max_delay_s: float = LINK_DELAY_S


class Request(NamedTuple):
    """Submission identifier, or key, and job of one caller's request."""

    submission_id: str
    job: object


class FaultyCores(Cores):
    """Cores with faults of network, back ends, clocks and processes."""

    def __init__(self, *vms, seed, max_entries=4, skews=(), **options):
        self.net = Net()
        self.cut = set()
        self.paused = collections.defaultdict(list)
        self.behaviour = 'runs'
        self.request_by_caller = {}
        self.deliveries = []
        self.keyed_request_by_caller = {}
        self.started = collections.Counter()
        self.finished = collections.Counter()
        self._rng = random.Random(seed)
        self._max_entries = max_entries
        self._skew_by_vm = dict(zip(vms, skews, strict=False))
        super().__init__(*vms, rng=random.Random(seed), **options)

    def start(self, vm):
        self.paused.pop(vm, None)
        self.down.discard(vm)
        home = Home('larissa', vm, f'{next(self._numbers):016x}')
        wall_s = WALL_S + self._skew_by_vm.get(vm, 0)
        core = EntryCore(home, wall_s, self._max_entries, **self.options)
        self.core_by_vm[vm] = core
        self.post(vm, messages.VersionInForce(1, MANIFEST))
        return home

    def submit(self, vm, submission_id, job):
        caller = next(self._numbers)
        self.request_by_caller[caller] = Request(str(submission_id), job)
        self.post(vm, messages.Submit(submission_id, job, caller))
        return caller

    def pause(self, vm):
        self.paused.setdefault(vm, [])

    def resume(self, vm):
        for message in self.paused.pop(vm, []):
            self.post(vm, message)
        self.post(vm, messages.Tick())

    def post(self, vm, message):
        if vm in self.paused:
            self.paused[vm].append(message)
            return
        super().post(vm, message)

    def _next_due(self):
        hidden = self.down
        self.down = hidden | set(self.paused)
        due = super()._next_due()
        self.down = hidden
        return due

    def _step(self):
        hidden = self.down
        self.down = hidden | set(self.paused)
        super()._step()
        self.down = hidden

    def _carry_out(self, vm, core, effect):
        if isinstance(effect, messages.StartTask):
            self._run_task(vm, effect)
        elif isinstance(effect, messages.Deliver):
            self.deliveries.append(effect)
        elif isinstance(effect, messages.AppendClaims):
            self.later(vm, APPEND_DELAY_S, self.log.append(effect, self.now))
        elif isinstance(effect, messages.ReadClaims):
            self.later(vm, LINK_DELAY_S, self.log.read(effect))
        elif isinstance(effect, messages.SendPeer):
            self._send(core.home, effect)

    def submit_key(self, vm, name, job, issued_s=None):
        caller = super().submit_key(vm, name, job, issued_s)
        self.keyed_request_by_caller[caller] = Request(name, job)
        return caller

    def _run_task(self, vm, effect):
        ticket, behaviour = effect.ticket, self.behaviour
        task = (ticket.submission_id, effect.payload, effect.task_id)
        report = messages.TaskFinished(ticket, task)
        delay_s = SLOW_S if behaviour == 'slow' else TASK_DURATION_S
        if behaviour == 'refused':
            report = messages.TaskNotStarted(ticket, Reason.BACKEND_BUSY)
        else:
            self.started[task] += behaviour != 'lost-before'
            self.finished[task] += behaviour in {'runs', 'slow', 'lost-after'}
        if behaviour == 'fails':
            report = messages.TaskFailed(ticket, 'failed')
        elif behaviour.startswith('lost'):
            report = messages.TaskLost(ticket, Reason.CONNECTION_LOST)
        self.later(vm, delay_s, report)

    def _send(self, sender, effect):
        to, rng = effect.address, self._rng
        if to not in self.core_by_vm or frozenset((sender.vm, to)) in self.cut:
            return
        if rng.random() < self.net.loss_share:
            return
        copies = 2 if rng.random() < self.net.copy_share else 1
        for _copy in range(copies):
            delay_s = rng.uniform(0, self.net.max_delay_s)
            delivery = messages.PeerSaid(sender, effect.message)
            self.later(to, delay_s, delivery)


def check_guarantees(cores):
    """Checks all answers so far against the runs on the back ends."""
    assert set(cores.started.values()) <= {0, 1}, 'no_task_starts_twice'
    callers = [delivery.caller for delivery in cores.deliveries]
    assert len(callers) == len(set(callers)), 'one answer for each caller'
    for delivery in cores.deliveries:
        if delivery.caller in cores.request_by_caller:
            _check_answer(cores, delivery)


def check_key_guarantees(cores):
    """Checks the answers under callers' keys against the runs."""
    started = collections.Counter()
    for (_submission, key, task), count in cores.started.items():
        started[key, task] += count
    assert set(started.values()) <= {0, 1}, 'no_task_starts_twice'
    for delivery in cores.deliveries:
        request = cores.keyed_request_by_caller.get(delivery.caller)
        if request is None:
            continue
        tasks = {one.task_id for one in request.job.tasks}
        ran = [task for task in tasks if started[request.submission_id, task]]
        results = delivery.answer.results_by_task
        if delivery.answer.outcome is Outcome.COMPLETE:
            assert set(results) == tasks, 'answer_complete_or_failed'
            assert {one[1] for one in results.values()} == {
                request.submission_id
            }
        elif delivery.answer.outcome is Outcome.NOT_RUN:
            assert not ran, 'not_run_is_true'


def _check_answer(cores, delivery):
    request = cores.request_by_caller[delivery.caller]
    answer, job = delivery.answer, request.job
    tasks = [
        (request.submission_id, job.digest, one.task_id) for one in job.tasks
    ]
    started = [task for task in tasks if cores.started[task]]
    finished = [task for task in tasks if cores.finished[task]]
    assert delivery.submission_id == request.submission_id, (
        'answer belongs to its request'
    )
    if answer.outcome is Outcome.COMPLETE:
        wanted = {task[2]: task for task in tasks}
        got = {key: tuple(one) for key, one in answer.results_by_task.items()}
        assert got == wanted, 'answer_complete_or_failed'
        assert finished == tasks, 'answer_complete_or_failed'
        return
    assert not answer.results_by_task, 'incomplete answers have no results'
    if answer.outcome is Outcome.NOT_RUN:
        assert not started, 'not_run_is_true'
    elif answer.outcome is Outcome.FAILED:
        assert finished != tasks, 'failed is true'
