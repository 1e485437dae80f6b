"""The core of an entry VM: admits submissions, starts tasks, gives answers."""

from collections.abc import Sequence
from functools import singledispatchmethod

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.answer_desk import AnswerDesk
from camphorlink.internal.core.process.members import MemberView
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.admission import refuse_job
from camphorlink.internal.core.request.home_table import HomeTable
from camphorlink.internal.core.request.identifiers import Home, SubmissionId
from camphorlink.internal.core.request.job import (
    Answer,
    Fate,
    Job,
    not_run,
    unknown,
)
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.scheduler import Scheduler, WaitingTask
from camphorlink.internal.core.version.manifest import EMPTY_MANIFEST, Manifest

MAX_ATTEMPTS = 5


class EntryCore:
    """Everything an entry VM decides, as a function of messages and time."""

    def __init__(
        self,
        home: Home,
        wall_offset_s: float,
        max_entries: int,
    ) -> None:
        """Starts without a manifest.

        Args:
            home: Identity of this process.
            wall_offset_s: Wall-clock time less core time, in seconds.
            max_entries: Submissions that the table may remember.
        """
        self.home = home
        self.timers = Timers()
        self.table = HomeTable(max_entries)
        self.version = 0
        self.manifest: Manifest = EMPTY_MANIFEST
        self.view = MemberView()
        self.is_draining = False
        self._wall_offset_s = wall_offset_s
        self._scheduler = Scheduler(home.zone)
        self._desk = AnswerDesk(self.timers)
        self._now = 0.0

    def handle(
        self,
        message: messages.Message,
        now: float,
    ) -> Sequence[messages.Effect]:
        """Takes one message at core time ``now`` and returns what to do."""
        self._now = now
        self._apply(message)
        starts = self._scheduler.start_tasks(now)
        return [*self._desk.take_effects(), *starts]

    @property
    def is_idle(self) -> bool:
        """Whether every submission has its answer."""
        return not self.table.open_runs()

    @property
    def queued_tasks(self) -> int:
        """Tasks of open submissions that are not started."""
        return sum(
            run.fates.count(Fate.NOT_STARTED) for run in self.table.open_runs()
        )

    @singledispatchmethod
    def _apply(self, message: messages.Message) -> None:
        raise TypeError(message)

    @_apply.register
    def _submit(self, message: messages.Submit) -> None:
        known = self.table.find(str(message.submission_id))
        if known is not None:
            self._desk.join(known, message)
            return
        refusal = self._refuse_identifier(message.submission_id)
        if refusal is not None:
            self._desk.refuse(message, refusal)
            return
        run = self.table.open_run(
            message.submission_id,
            message.job,
            self.version,
        )
        refusal = self._refuse_job(message.job)
        if refusal is not None:
            run.answer = refusal
            self._desk.refuse(message, refusal)
            return
        self._desk.wait(run, message.caller)
        self._scheduler.queue_job(run)

    @_apply.register
    def _leave(self, message: messages.Leave) -> None:
        run = self.table.find(message.submission_id)
        if run is not None and message.caller in run.waiting_callers:
            run.waiting_callers.remove(message.caller)

    @_apply.register
    def _cancel(self, message: messages.Cancel) -> None:
        run = self.table.find(message.submission_id)
        if run is not None:
            self._desk.deliver(run, run.close(Reason.CANCELLED))

    @_apply.register
    def _finished(self, message: messages.TaskFinished) -> None:
        ticket = message.ticket
        run = self._end(ticket)
        if run is not None:
            answer = run.finish_task(ticket.position, message.task_result)
            self._desk.deliver(run, answer)

    @_apply.register
    def _failed(self, message: messages.TaskFailed) -> None:
        ticket = message.ticket
        run = self._end(ticket)
        if run is not None:
            answer = run.fail_task(ticket.position, message.detail)
            self._desk.deliver(run, answer)

    @_apply.register
    def _not_started(self, message: messages.TaskNotStarted) -> None:
        ticket = message.ticket
        run = self._end(ticket)
        if run is None:
            return
        run.mark_not_started(ticket.position)
        if ticket.attempt >= MAX_ATTEMPTS:
            self._desk.deliver(run, run.close(message.reason))
            return
        self._desk.count_retry(message.reason)
        self._scheduler.queue_task(
            WaitingTask(run, ticket.position, ticket.attempt + 1),
        )

    @_apply.register
    def _lost(self, message: messages.TaskLost) -> None:
        ticket = message.ticket
        run = self._end(ticket)
        if run is not None:
            answer = run.lose_task(ticket.position, message.reason.value)
            self._desk.deliver(run, answer)

    @_apply.register
    def _in_force(self, message: messages.VersionInForce) -> None:
        if message.version <= self.version:
            return
        self.version = message.version
        self.manifest = message.manifest
        self._scheduler.install(message.manifest)

    @_apply.register
    def _members_changed(self, message: messages.MembersChanged) -> None:
        self.view = message.view

    @_apply.register
    def _peer_said(self, message: messages.PeerSaid) -> None:
        """Nothing that peers say concerns the core yet."""

    @_apply.register
    def _drain(self, message: messages.Drain) -> None:
        self.is_draining = True

    @_apply.register
    def _tick(self, message: messages.Tick) -> None:
        self.timers.advance(self._now)

    def _refuse_identifier(self, submission_id: SubmissionId) -> Answer | None:
        if submission_id.home != self.home:
            return unknown(Reason.HOME_UNREACHABLE)
        wall_s = self._now + self._wall_offset_s
        return self.table.refusal(submission_id, wall_s)

    def _refuse_job(self, job: Job) -> Answer | None:
        if self.is_draining:
            return not_run(Reason.DRAINING)
        return refuse_job(job, self.manifest, self._now)

    def _end(self, ticket: messages.Ticket) -> JobRun | None:
        self._scheduler.end_task(ticket, self._now)
        return self.table.find(ticket.submission_id)
