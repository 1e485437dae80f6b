"""Writes what has to be explained afterwards to the audit stream."""

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
from camphorlink.internal.shell.process.logs import PartLog

AUDIT_STREAM = 'audit'
#: Longest time between appends; 144 VMs make 144 a second at the most, of
#: the several hundred that the log service takes.
FLUSH_PERIOD_S = 2.0
MIN_JITTER = 0.5
MS_PER_S = 1000
#: What happens to every submission stays in the process's own memory, and
#: follows to the stream when the outcome is other than plain success.
_ROUTINE = frozenset(('queued', 'placed', 'retried'))
#: The record of the outcome says as much.
_SAID_BY_OUTCOME = frozenset(('refused',))


class Audit:
    """Takes effects as they pass, and appends in batches."""

    def __init__(self, home: str, log_client: LogClient, vm: str) -> None:
        """Starts with nothing recorded; the context runs the writer."""
        self.batch = AuditBuffer(home)
        self._log_client = log_client
        self._log = PartLog('audit', vm)
        self._is_away = False

    async def __aenter__(self) -> 'Audit':
        """Starts the writer."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._write())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops the writer after one more try for what is left."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._flush()

    def note_answer(self, effect: messages.Deliver) -> None:
        """Records an outcome other than plain success."""
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
                task: fate.value
                for task, fate in answer.outcomes_by_task.items()
            },
        )

    def note_decision(self, effect: messages.Explain) -> None:
        """Records a decision, such as the ejection of a backend server."""
        facts = {
            'submission_id': effect.submission_id,
            'facts': dict(effect.facts),
        }
        now_ms = int(time.time() * MS_PER_S)
        if effect.event in _SAID_BY_OUTCOME:
            return
        if effect.event in _ROUTINE:
            self.batch.record_routine(effect.event, now_ms, facts)
        else:
            self.batch.record(effect.event, now_ms, facts)

    def record(self, kind: str, **facts: object) -> None:
        """Adds one record; never waits."""
        self.batch.record(kind, int(time.time() * MS_PER_S), facts)

    async def _write(self) -> None:
        # Chance only spreads the VMs' appends over the period.
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
            self._say_away(is_away=True, why=str(exc))
            return
        except asyncio.CancelledError:
            self.batch.put_back(batch)
            raise
        self._say_away(is_away=False)

    def _say_away(self, *, is_away: bool, why: str = '') -> None:
        if is_away and not self._is_away:
            self._log.warning('audit records wait', extra={'why': why})
        self._is_away = is_away
