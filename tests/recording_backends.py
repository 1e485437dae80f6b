"""Back ends in virtual time that record their runs, and each VM's access."""

import asyncio
import collections
import contextlib
import dataclasses

from camphorlink.internal.core.connection.backend_commands import (
    RenewalAnswer,
    RenewalVerdict,
    RenewLeases,
    StartAnswer,
    StartRun,
    StartVerdict,
    StopRun,
)
from camphorlink.internal.core.process.run_registry import NUMBERS_PER_TERM
from simulated_backends import (
    CALL_DURATION_S,
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    REFUSED,
    SimulatedBackend,
)

#: Delay of the check of a back end after the end of a run or of its lease: a
#: timer may fire early by less than that.
CHECK_DELAY_S = 1e-6
#: Time for which a call of a killed VM waits, in seconds: longer than any test.
DEAD_S = 1e6


@dataclasses.dataclass
class Span:
    """Time in which a run was active on a back end.

    Attributes:
        backend: Identifier of the back end.
        term: Term of the owner that started it.
        end_s: Time of its end, infinite before.
        how: How it ended.
        commander: VM that sent the start.
        stops: Time of each stop that was sent, and whether it was lost.
        kept_s: Time from which a later owner renewed its lease, else infinite.
    """

    task: object
    run: int
    backend: str
    zone: str
    term: int
    commander: str
    start_s: float
    end_s: float = float('inf')
    how: str = 'active'
    stops: list = dataclasses.field(default_factory=list)
    kept_s: float = float('inf')


class RecordingBackend(SimulatedBackend):
    """A back end in the time of the event loop that records its runs.

    The specification of a job is the duration of its runs in seconds.  After a
    crash it has another identifier at the same address.

    Attributes:
        keeps_identifier: Whether it keeps its identifier after a crash.
    """

    keeps_identifier = False

    def __init__(self, entry, spans, on_restart):
        super().__init__(entry)
        self._on_restart = on_restart
        self.changed = asyncio.Event()
        self._spans = spans
        self._span_by_run = {}
        self._loop = asyncio.get_running_loop()
        self._timer = None
        self._commander = ''

    def execute_from(self, commander, command):
        """Executes a command of a VM and returns the answer."""
        self._commander = commander
        answer = self.execute(command, self._loop.time())
        if isinstance(command, RenewLeases) and command.lease_until_clock_ms:
            self._record_renewal(command.token)
        self._set_timer()
        return answer

    def _record_renewal(self, token):
        term = token // NUMBERS_PER_TERM
        if token == self.fence:
            for task, (run, _) in self.active.items():
                span = self._span_by_run[task, run]
                if term > span.term:
                    span.kept_s = min(span.kept_s, self._loop.time())

    def crash(self, now):
        for task, (run, _) in self.active.items():
            self._close_span(task, run, 'crashed')
        former_id = self.listed.backend_id
        super().crash(now)
        if not self.keeps_identifier:
            self.listed = self.listed._replace(backend_id=f'{former_id}+')
        self._loop.call_later(self.restart_s, self._on_restart, self, former_id)
        self.changed.set()
        self.changed = asyncio.Event()

    def record_stop(self, command, is_lost):
        span = self._span_by_run.get((command.task, command.run))
        if span is not None:
            span.stops.append((self._loop.time(), is_lost))

    def _start(self, command, now, clock_ms):
        active_run = self.active.get(command.task, (0, 0))[0]
        if active_run == command.run:
            return StartAnswer(StartVerdict.STARTED, clock_ms)
        if command.lease_until_clock_ms < clock_ms:
            self._extend(command.lease_until_clock_ms, now)
            return StartAnswer(StartVerdict.TOO_LATE, clock_ms)
        self.run_s = float(command.spec)
        answer = super()._start(command, now, clock_ms)
        if answer.verdict is StartVerdict.STARTED:
            self._close_span(command.task, active_run, 'replaced')
            span = Span(
                command.task,
                command.run,
                self.listed.backend_id,
                self.listed.zone,
                command.token // NUMBERS_PER_TERM,
                self._commander,
                now,
            )
            self._span_by_run[command.task, command.run] = span
            self._spans.append(span)
        return answer

    def _end(self, task, run, result):
        super()._end(task, run, result)
        self._close_span(task, run, result.value)
        self.changed.set()
        self.changed = asyncio.Event()

    def _close_span(self, task, run, how):
        span = self._span_by_run.get((task, run))
        if span is not None:
            span.end_s = self._loop.time()
            span.how = how

    def _set_timer(self):
        if self._timer is not None:
            self._timer.cancel()
        if self.active:
            ends = [end_s for _, end_s in self.active.values()]
            due_s = min(*ends, self.lease_end_s, self._crash_s) + CHECK_DELAY_S
            self._timer = self._loop.call_at(due_s, self._advance)

    def _advance(self):
        self._timer = None
        self.advance(self._loop.time())
        self._set_timer()


@dataclasses.dataclass
class CallFaults:
    """Faults of the calls from one VM to one back end.

    Attributes:
        is_cut: Whether neither calls nor answers arrive.
        loses_answers: Whether commands are executed and not answered.
        loses_stops: Whether stops are lost.
        late_s: Delay after which unanswered commands are executed, 0 for none.
    """

    is_cut: bool = False
    loses_answers: bool = False
    loses_stops: bool = False
    late_s: float = 0


class BackendAccess:
    """Access of one VM to all back ends; implements ``BackendPort``.

    Attributes:
        faults_by_backend: Faults by identifier of the back end.
        is_dead: Whether the VM was killed, so that it sends nothing.
    """

    def __init__(self, vm, backend_by_id):
        self._vm = vm
        self._backend_by_id = backend_by_id
        self.faults_by_backend = collections.defaultdict(CallFaults)
        self.is_dead = False

    async def start(self, command: StartRun):
        answer = await self._call(command)
        if isinstance(answer, StartAnswer):
            return answer
        return StartAnswer(StartVerdict.UNANSWERED)

    async def stop(self, command: StopRun):
        return await self._call(command) is True

    async def renew_leases(self, command: RenewLeases):
        answer = await self._call(command)
        return answer or RenewalAnswer(RenewalVerdict.UNANSWERED)

    async def _call(self, command):
        backend_id = command.backend.backend_id
        backend = self._backend_by_id[backend_id]
        faults = self.faults_by_backend[backend_id]
        if self.is_dead:
            await asyncio.sleep(DEAD_S)
        is_stop = isinstance(command, StopRun)
        is_lost = faults.is_cut or (is_stop and faults.loses_stops)
        if is_stop:
            backend.record_stop(command, is_lost or faults.late_s > 0)
        if faults.is_cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return RenewalAnswer(RenewalVerdict.UNREACHABLE)
        if is_lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        if faults.late_s:
            asyncio.get_running_loop().call_later(
                faults.late_s, backend.execute_from, self._vm, command
            )
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        await asyncio.sleep(CALL_DURATION_S / 2)
        # A crash that is due comes before the command.
        backend.advance(asyncio.get_running_loop().time())
        if backend.is_down(asyncio.get_running_loop().time()):
            return REFUSED
        if backend.listed.backend_id != backend_id:
            return _other_incarnation(command)
        answer = await self._execute(backend, command)
        if faults.is_cut or faults.loses_answers:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        await asyncio.sleep(CALL_DURATION_S / 2)
        return answer

    async def _execute(self, backend, command):
        """Executes a command; a renewal may wait for the end of a run."""
        answer = backend.execute_from(self._vm, command)
        wait_ms = getattr(command, 'wait_ms', 0)
        if not wait_ms or answer.finished:
            return answer
        if answer.verdict is not RenewalVerdict.LISTED:
            return answer
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(backend.changed.wait(), wait_ms / 1000)
        if backend.is_down(asyncio.get_running_loop().time()):
            # The end of its process resets the connection.
            return RenewalAnswer(RenewalVerdict.RESET)
        listing = command._replace(lease_until_clock_ms=None)
        return backend.execute_from(self._vm, listing)


def _other_incarnation(command):
    if isinstance(command, RenewLeases):
        return RenewalAnswer(RenewalVerdict.OTHER_INCARNATION)
    if isinstance(command, StartRun):
        return StartAnswer(StartVerdict.OTHER_INCARNATION)
    return False
