"""Appends audit records of decisions and outcomes to the audit stream."""

import asyncio
import contextlib
import random
import time
from types import TracebackType

from camphorlink.errors import LogServiceError
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.audit_buffer import AuditBuffer
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.background import keep_running
from camphorlink.internal.shell.process.logs import PartLog

AUDIT_STREAM = 'audit'
#: Longest time between two appends, in seconds.  With the jitter, 144 VMs make
#: at most 144 appends a second; the log service accepts several hundred.
FLUSH_PERIOD_S = 2.0
MIN_JITTER = 0.5
MS_PER_S = 1000
#: Events of every submission.  They are kept in memory and are appended to the
#: stream only if the outcome is not COMPLETE.
_ROUTINE = frozenset(('queued', 'placed', 'retried'))
#: Events that are not recorded, because the outcome record has the same facts.
_COVERED_BY_OUTCOME = frozenset(('refused',))


class Audit:
    """Collects audit records and appends them in batches in the background."""

    def __init__(self, home: str, log_client: LogClient, vm: str) -> None:
        """Creates an empty batch; entering the context starts the writer.

        Args:
            home: Identity of this process, written in each record.
            log_client: Client of the log service.
            vm: Name of the VM, for log lines.
        """
        self.batch = AuditBuffer(home)
        self._log_client = log_client
        self._log = PartLog('audit', vm)
        self._is_unavailable = False

    async def __aenter__(self) -> 'Audit':
        """Starts the background writer."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(
            keep_running(self._write, FLUSH_PERIOD_S, self._log)
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the writer and tries once to append the remaining records."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._flush()

    def record_answer(self, effect: messages.Deliver) -> None:
        """Records the outcome of a submission unless it is COMPLETE."""
        answer = effect.answer
        if answer.outcome is Outcome.COMPLETE:
            return
        self.batch.queue_routine(effect.submission_id)
        self.record(
            'outcome',
            submission_id=effect.submission_id,
            outcome=answer.outcome.value,
            reason=answer.reason.value if answer.reason else None,
            detail=answer.detail,
            fates={
                task: task_outcome.value
                for task, task_outcome in answer.outcomes_by_task.items()
            },
        )

    def record_decision(self, effect: messages.Explain) -> None:
        """Records a decision, such as the ejection of a backend server."""
        facts = {
            'submission_id': effect.submission_id,
            'facts': dict(effect.facts),
        }
        now_ms = int(time.time() * MS_PER_S)
        if effect.event in _COVERED_BY_OUTCOME:
            return
        if effect.event in _ROUTINE:
            self.batch.record_routine(effect.event, now_ms, facts)
        else:
            self.batch.record(effect.event, now_ms, facts)

    def record(self, kind: str, **facts: object) -> None:
        """Adds one record to the next batch without blocking."""
        self.batch.record(kind, int(time.time() * MS_PER_S), facts)

    async def _write(self) -> None:
        # Random jitter spreads the VMs' appends over the period.
        rng = random.Random()
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S * rng.uniform(MIN_JITTER, 1))
            await self._flush()

    async def _flush(self) -> None:
        batch = self.batch.take_batch(int(time.time() * MS_PER_S))
        if not batch:
            return
        try:
            await self._log_client.append(AUDIT_STREAM, batch)
        except LogServiceError as exc:
            self.batch.put_back(batch)
            self._log_availability(is_unavailable=True, why=str(exc))
            return
        except asyncio.CancelledError:
            self.batch.put_back(batch)
            raise
        self._log_availability(is_unavailable=False)

    def _log_availability(self, *, is_unavailable: bool, why: str = '') -> None:
        if is_unavailable and not self._is_unavailable:
            self._log.warning(
                'log service unavailable; audit records are kept for a retry',
                extra={'why': why},
            )
        self._is_unavailable = is_unavailable
