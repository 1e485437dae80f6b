"""Runs an entry core on the event loop: time and messages in, effects out."""

import asyncio
import contextlib
import itertools
from functools import singledispatchmethod
from types import TracebackType

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import SubmissionId
from camphorlink.internal.core.request.job import Answer, Job
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.connection.backend_client import BackendClient
from camphorlink.internal.shell.connection.peer_links import PeerLinks
from camphorlink.internal.shell.process.audit import Audit
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.metrics import Metrics
from camphorlink.internal.shell.process.trace import TraceWriter


class CoreHost:
    """Feeds one core and carries out what it asks for."""

    def __init__(
        self,
        core: EntryCore,
        backend_client: BackendClient,
        metrics: Metrics,
        trace_file: str | None = None,
    ) -> None:
        """Binds the core to the running loop; may record what it is told."""
        self.core = core
        self.links: PeerLinks | None = None
        self._trace = TraceWriter(core, trace_file)
        self._stack = contextlib.ExitStack()
        self.audit: Audit | None = None
        self._decisions = PartLog('decisions', core.home.vm)
        self._loop = asyncio.get_running_loop()
        self._backend_client = backend_client
        self._metrics = metrics
        self._callers = itertools.count()
        self._answer_by_caller: dict[int, asyncio.Future[Answer]] = {}
        self._sends: set[asyncio.Task[None]] = set()
        self._wake: asyncio.TimerHandle | None = None
        self._add_gauges()

    def __enter__(self) -> 'CoreHost':
        """Takes ownership of the sends that will be in flight."""
        self._stack.enter_context(self._trace)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the timer and whatever is still being sent."""
        if self._wake is not None:
            self._wake.cancel()
        for send in self._sends:
            send.cancel()
        self._stack.close()

    def post(self, message: messages.Message) -> None:
        """Hands one message to the core and carries out its effects."""
        now = self._loop.time()
        effects = self.core.handle(message, now)
        self._trace.note(message, now, effects)
        for effect in effects:
            self._carry_out(effect)
        self._arm_timer()

    async def submit(self, submission_id: SubmissionId, job: Job) -> Answer:
        """Submits a job and waits for its whole answer.

        A caller that goes away cancels only this wait, never the job.
        """
        caller = next(self._callers)
        answer: asyncio.Future[Answer] = self._loop.create_future()
        self._answer_by_caller[caller] = answer
        started_s = self._loop.time()
        try:
            self.post(messages.Submit(submission_id, job, caller))
            return await answer
        finally:
            self._stop_waiting(str(submission_id), caller)
            self._metrics.note_response(self._loop.time() - started_s)

    def count_refusal(self, reason: Reason) -> None:
        """Counts a request that is refused before it reaches the core."""
        self._metrics.count_refusal(reason)

    def _stop_waiting(self, submission_id: str, caller: int) -> None:
        answer = self._answer_by_caller.pop(caller)
        if answer.cancelled():
            self.post(messages.Leave(submission_id, caller))

    def _add_gauges(self) -> None:
        add_gauge = self._metrics.add_gauge
        add_gauge(
            'tasks_in_flight',
            'Tasks sent that have not ended.',
            lambda: len(self._sends),
        )
        add_gauge(
            'tasks_queued',
            'Tasks admitted that wait for a slot.',
            lambda: self.core.queued_tasks,
        )
        add_gauge(
            'callers_waiting',
            'Requests that wait for the answer to their submission.',
            lambda: len(self._answer_by_caller),
        )
        add_gauge(
            'version_in_force',
            'Version of the configuration in force, 0 before the first.',
            lambda: self.core.version,
        )

    @singledispatchmethod
    def _carry_out(self, effect: messages.Effect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _start_task(self, effect: messages.StartTask) -> None:
        self._metrics.count_start(effect.service)
        send = self._loop.create_task(self._send(effect))
        self._sends.add(send)
        send.add_done_callback(self._sends.discard)

    @_carry_out.register
    def _deliver(self, effect: messages.Deliver) -> None:
        self._metrics.count_answer(effect.answer.outcome)
        if self.audit is not None:
            self.audit.note_answer(effect)
        waiter = self._answer_by_caller.get(effect.caller)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect.answer)

    @_carry_out.register
    def _count_reason(self, effect: messages.CountReason) -> None:
        self._metrics.count_reason(effect.counter, effect.reason)

    @_carry_out.register
    def _send_peer(self, effect: messages.SendPeer) -> None:
        if self.links is not None:
            self.links.send(effect.address, effect.message)

    @_carry_out.register
    def _explain(self, effect: messages.Explain) -> None:
        self._decisions.debug(
            effect.event,
            extra={'submission_id': effect.submission_id, **effect.facts},
        )
        if self.audit is not None:
            self.audit.note_decision(effect)

    async def _send(self, start: messages.StartTask) -> None:
        self.post(await self._backend_client.run_task(start))

    def _arm_timer(self) -> None:
        due_s = self.core.timers.next_due_s()
        if self._wake is not None:
            if not self._wake.cancelled() and self._wake.when() == due_s:
                return
            self._wake.cancel()
            self._wake = None
        if due_s is not None:
            self._wake = self._loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._wake = None
        self.post(messages.Tick())
