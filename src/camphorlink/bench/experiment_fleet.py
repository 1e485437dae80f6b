"""Virtual clock, back ends and entry VMs of the placement experiment."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial, singledispatchmethod
from typing import Any, NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.members import Member
from camphorlink.internal.core.request.job import Answer
from camphorlink.internal.core.request.reasons import Reason

SAME_ZONE_DELAY_S = 0.0003
CROSS_ZONE_DELAY_S = 0.001
FAILURE_DELAY_S = 0.001


class VirtualClock:
    """Calls functions at their scheduled virtual times.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        """Creates a clock at time zero."""
        self.now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Any]] = []

    def call_at(
        self,
        due_s: float,
        function: Callable[..., object],
        *arguments: Any,
    ) -> None:
        """Schedules a function at a virtual time, or now if that has passed.

        Args:
            due_s: Virtual time in seconds.
            function: Function to call.
            arguments: Arguments of the call.
        """
        call = partial(function, *arguments)
        due_s = max(due_s, self.now)
        heapq.heappush(self._heap, (due_s, next(self._order), call))

    def call_in(
        self,
        delay_s: float,
        function: Callable[..., object],
        *arguments: Any,
    ) -> None:
        """Schedules a function after a delay.

        Args:
            delay_s: Delay in seconds.
            function: Function to call.
            arguments: Arguments of the call.
        """
        self.call_at(self.now + delay_s, function, *arguments)

    def run(self, until_s: float) -> None:
        """Calls all functions that are due until ``until_s``, in seconds."""
        while self._heap and self._heap[0][0] <= until_s:
            due_s, _order, call = heapq.heappop(self._heap)
            self.now = due_s
            call()


class TaskAttempt(NamedTuple):
    """Attempt to run a task on a back end.

    Attributes:
        ticket: Identifies the attempt in its report.
        work_s: Run time at speed 1, in seconds.
        report: Called with the message on the outcome of the attempt.
    """

    ticket: messages.Ticket
    work_s: float
    report: Callable[[messages.Message], None]


class FakeBackend:
    """Simulated back end with a speed, slots and injected faults.

    Attributes:
        name: Name of the back end.
        speed: Speed, where 1 is the reference.
        slots: Number of tasks that can run at the same time.
        mode: ``ok``, ``fail``, ``dead`` or ``leaving``.
        has_queue: Whether tasks wait for a free slot instead of being refused.
        started: Number of attempts started.
        start_times: Virtual times of the starts, in seconds.
        running: Number of running tasks.
        max_running: Largest number of running tasks so far.
    """

    def __init__(self, clock: VirtualClock, name: str, speed: float) -> None:
        """Creates an idle, healthy back end."""
        self.name = name
        self.speed = speed
        self.slots = 8
        self.mode = 'ok'
        self.has_queue = False
        self.started = 0
        self.start_times: list[float] = []
        self.running = 0
        self.max_running = 0
        self._clock = clock
        self._queue: list[TaskAttempt] = []

    def receive(self, attempt: TaskAttempt) -> None:
        """Starts, queues or refuses an attempt, depending on mode and load."""
        if self.mode in {'dead', 'leaving'} or self._is_full():
            attempt.report(
                messages.TaskNotStarted(attempt.ticket, self._refusal_reason())
            )
            return
        if self.running >= self.slots:
            self._queue.append(attempt)
            return
        self.started += 1
        self.start_times.append(self._clock.now)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        run_s = (
            FAILURE_DELAY_S
            if self.mode == 'fail'
            else attempt.work_s / self.speed
        )
        self._clock.call_in(run_s, self._complete, attempt, self.mode)

    def _is_full(self) -> bool:
        return self.running >= self.slots and not self.has_queue

    def _refusal_reason(self) -> Reason:
        if self.mode == 'dead':
            return Reason.CONNECT_FAILED
        if self.mode == 'leaving':
            return Reason.BACKEND_LEAVING
        return Reason.BACKEND_BUSY

    def _complete(self, attempt: TaskAttempt, mode: str) -> None:
        self.running -= 1
        if self.mode == 'dead':
            attempt.report(
                messages.TaskLost(attempt.ticket, Reason.CONNECTION_LOST)
            )
        elif mode == 'fail':
            attempt.report(messages.TaskFailed(attempt.ticket, 'fails all'))
        else:
            attempt.report(messages.TaskFinished(attempt.ticket, None))
        if self._queue:
            self.receive(self._queue.pop(0))


class Network(NamedTuple):
    """Connections of the entry VMs to back ends and peers.

    Attributes:
        clock: Virtual clock that delivers the messages.
        backend_by_address: Simulated back ends.
        vm_by_address: Simulated entry VMs.
        counts: Counters of events, by name.
        partitioned_zones: Zones that can't exchange messages with other
            zones.
    """

    clock: VirtualClock
    backend_by_address: dict[str, FakeBackend]
    vm_by_address: dict[str, 'EntryVm']
    counts: Counter[str]
    partitioned_zones: set[str]


class EntryVm:
    """Runs a real entry core and executes its effects in virtual time.

    Attributes:
        core: Entry core under test.
        member: The VM as a member of the fleet.
        is_up: Whether the VM processes messages.
    """

    def __init__(
        self,
        core: EntryCore,
        network: Network,
        member: Member,
        on_answer: Callable[[int, Answer], None],
    ) -> None:
        """Creates an entry VM and adds it to the network.

        Args:
            core: Entry core of the VM.
            network: Network with the back ends and peers.
            member: Member of the fleet, with the address of the VM.
            on_answer: Called with the caller and the answer of a job.
        """
        self.core = core
        self.member = member
        self.is_up = True
        self._network = network
        self._on_answer = on_answer
        self._timer_due_s: float | None = None
        network.vm_by_address[member.address] = self

    def post(self, message: messages.Message) -> None:
        """Processes a message with the core; a stopped VM ignores it."""
        if not self.is_up:
            return
        self._count_wasted(message)
        for effect in self.core.handle(message, self._network.clock.now):
            self._execute(effect)
        self._arm_timer()

    def _count_wasted(self, message: messages.Message) -> None:
        if isinstance(message, messages.TaskNotStarted):
            self._network.counts[f'wasted:{message.reason.value}'] += 1
        elif isinstance(message, messages.TaskFinished):
            run = self.core.tables.find_run(message.ticket.submission_id)
            if run is None or not run.is_open:
                self._network.counts['wasted:late-result'] += 1

    def _arm_timer(self) -> None:
        due_s = self.core.timers.next_due_s()
        if due_s is None or (self._timer_due_s and self._timer_due_s <= due_s):
            return
        self._timer_due_s = due_s
        self._network.clock.call_at(due_s, self._handle_timer, due_s)

    def _handle_timer(self, due_s: float) -> None:
        if self._timer_due_s == due_s:
            self._timer_due_s = None
        self.post(messages.Tick())

    @singledispatchmethod
    def _execute(self, effect: messages.Effect) -> None:
        """Ignores effects that the experiment does not simulate."""

    @_execute.register
    def _start(self, effect: messages.StartTask) -> None:
        network = self._network
        network.counts['starts'] += 1
        backend = network.backend_by_address[effect.address]
        attempt = TaskAttempt(effect.ticket, effect.payload, self._report)
        network.clock.call_in(SAME_ZONE_DELAY_S, backend.receive, attempt)

    @_execute.register
    def _deliver(self, effect: messages.Deliver) -> None:
        self._on_answer(effect.caller, effect.answer)

    @_execute.register
    def _count(self, effect: messages.CountReason) -> None:
        self._network.counts[f'{effect.counter}:{effect.reason}'] += 1

    @_execute.register
    def _send(self, effect: messages.SendPeer) -> None:
        network = self._network
        peer = network.vm_by_address[effect.address]
        kind = type(effect.message).__name__
        network.counts[f'peer:{kind}'] += 1
        own_zone, peer_zone = self.member.home.zone, peer.member.home.zone
        if (
            own_zone != peer_zone
            and {own_zone, peer_zone} & network.partitioned_zones
        ):
            return
        network.clock.call_in(
            SAME_ZONE_DELAY_S if own_zone == peer_zone else CROSS_ZONE_DELAY_S,
            peer.post,
            messages.PeerSaid(self.member.home, effect.message),
        )

    def _report(self, message: messages.Message) -> None:
        self._network.clock.call_in(SAME_ZONE_DELAY_S, self.post, message)
