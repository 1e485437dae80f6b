"""Runs an entry core on the event loop and carries out its effects."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from functools import singledispatchmethod
from types import TracebackType
from typing import Any

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.claim_records import CallerKey
from camphorlink.internal.core.request.identifiers import SubmissionId
from camphorlink.internal.core.request.job import Answer, Job
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.shell.connection.backend_client import BackendClient
from camphorlink.internal.shell.connection.claim_log import ClaimLog
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.connection.peer_links import PeerLinks
from camphorlink.internal.shell.process.audit import Audit
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.metrics import Metrics
from camphorlink.internal.shell.process.trace_writer import TraceWriter


class CoreHost:
    """Passes messages and the time to one core and carries out its effects.

    Attributes:
        core: The core.
        links: Links to peers; messages to peers are dropped while it is
            ``None``.
        audit: Audit writer; nothing is recorded while it is ``None``.
    """

    def __init__(
        self,
        core: EntryCore,
        backend_client: BackendClient,
        log_client: LogClient,
        metrics: Metrics,
        trace_file: str | None = None,
    ) -> None:
        """Binds the core to the running event loop.

        Args:
            core: The core to run.
            backend_client: Client that sends tasks to backend servers.
            log_client: Client of the log service.
            metrics: Counters, gauges and histograms of the VM.
            trace_file: Path of the file to record messages and outcomes in,
                or ``None`` to record nothing.
        """
        self.core = core
        self.links: PeerLinks | None = None
        self._trace = TraceWriter(core, trace_file)
        self._stack = contextlib.ExitStack()
        self.audit: Audit | None = None
        self._decisions = PartLog('decisions', core.home.vm)
        self._loop = asyncio.get_running_loop()
        self._backend_client = backend_client
        self._claim_log = ClaimLog(log_client)
        self._metrics = metrics
        self._caller_numbers = itertools.count()
        self._delivery_by_caller: dict[
            int, asyncio.Future[messages.Deliver]
        ] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s: float | None = None
        # Each attribute lookup of a single-dispatch method builds a new function.
        self._dispatch = self._carry_out
        _add_gauges(self, metrics)

    def __enter__(self) -> 'CoreHost':
        """Opens the trace file, if one is set."""
        self._stack.enter_context(self._trace)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cancels the timer and the background tasks, and closes the trace."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._background_tasks:
            task.cancel()
        self._stack.close()

    def post(self, message: messages.Message) -> None:
        """Passes one message to the core and carries out its effects."""
        now = self._loop.time()
        effects = self.core.handle(message, now)
        self._trace.record(message, now, effects)
        for effect in effects:
            self._dispatch(effect)
        self._arm_timer()

    async def submit(self, submission_id: SubmissionId, job: Job) -> Answer:
        """Submits a job and waits for its answer.

        Cancelling this call cancels only the wait, never the job.
        """
        delivery = await self._await_delivery(
            submission_id,
            lambda caller: messages.Submit(submission_id, job, caller),
        )
        return delivery.answer

    async def submit_key(
        self,
        key: CallerKey,
        issued_ms: int,
        submission_id: SubmissionId,
        job: Job,
    ) -> messages.Deliver:
        """Submits a job under an idempotency key that the caller chose.

        Args:
            key: The caller's key.
            issued_ms: Time when the caller first used the key, epoch ms.
            submission_id: New identifier issued by this home.
            job: The job to run.

        Returns:
            The answer, and the submission that the key belongs to.
        """
        return await self._await_delivery(
            submission_id,
            lambda caller: messages.SubmitKey(
                key, issued_ms, submission_id, job, caller
            ),
        )

    async def _await_delivery(
        self,
        submission_id: SubmissionId,
        build: Callable[[int], messages.Message],
    ) -> messages.Deliver:
        caller = next(self._caller_numbers)
        delivery: asyncio.Future[messages.Deliver] = self._loop.create_future()
        self._delivery_by_caller[caller] = delivery
        started_s = self._loop.time()
        try:
            self.post(build(caller))
            return await delivery
        finally:
            self._stop_waiting(str(submission_id), caller)
            self._metrics.record_response_time(self._loop.time() - started_s)

    def count_refusal(self, reason: Reason) -> None:
        """Counts a request that was refused before it reached the core."""
        self._metrics.count_refusal(reason)

    def _stop_waiting(self, submission_id: str, caller: int) -> None:
        delivery = self._delivery_by_caller.pop(caller)
        if delivery.cancelled():
            self.post(messages.Leave(submission_id, caller))

    @singledispatchmethod
    def _carry_out(self, effect: messages.Effect) -> None:
        raise TypeError(effect)

    @_carry_out.register
    def _start_task(self, effect: messages.StartTask) -> None:
        self._metrics.count_start(effect.service)
        self._start_background(
            self._post_result(self._backend_client.run_task(effect))
        )

    @_carry_out.register
    def _deliver(self, effect: messages.Deliver) -> None:
        self._metrics.count_answer(effect.answer.outcome)
        if self.audit is not None:
            self.audit.record_answer(effect)
        waiter = self._delivery_by_caller.get(effect.caller)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect)

    @_carry_out.register
    def _count_reason(self, effect: messages.CountReason) -> None:
        self._metrics.count_reason(effect.counter, effect.reason)

    @_carry_out.register
    def _send_peer(self, effect: messages.SendPeer) -> None:
        if self.links is not None:
            self.links.send(effect.address, effect.message)

    @_carry_out.register
    def _access_claim_log(
        self,
        effect: messages.AppendClaims | messages.ReadClaims,
    ) -> None:
        self._start_background(
            self._post_result(self._claim_log.execute(effect))
        )

    @_carry_out.register
    def _explain(self, effect: messages.Explain) -> None:
        self._decisions.debug(
            effect.event,
            extra={'submission_id': effect.submission_id, **effect.facts},
        )
        if self.audit is not None:
            self.audit.record_decision(effect)

    def _start_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _post_result(
        self,
        pending_message: Awaitable[messages.Message],
    ) -> None:
        self.post(await pending_message)

    def _arm_timer(self) -> None:
        due_s = self.core.timers.next_due_s()
        if self._timer is not None:
            if self._timer_due_s == due_s:
                return
            self._timer.cancel()
            self._timer = None
        # A uvloop handle whose time has passed does not report that time, so the
        # due time is stored here.
        self._timer_due_s = due_s
        if due_s is not None:
            self._timer = self._loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.post(messages.Tick())


def _add_gauges(host: CoreHost, metrics: Metrics) -> None:
    add_gauge = metrics.add_gauge
    add_gauge(
        'tasks_in_flight',
        'Tasks sent that have not ended.',
        lambda: len(host._background_tasks),
    )
    add_gauge(
        'tasks_queued',
        'Tasks admitted that wait for a slot.',
        lambda: host.core.queued_tasks,
    )
    add_gauge(
        'callers_waiting',
        'Requests that wait for the answer to their submission.',
        lambda: len(host._delivery_by_caller),
    )
    add_gauge(
        'version_in_force',
        'Version of the configuration in force, 0 before the first.',
        lambda: host.core.version,
    )
