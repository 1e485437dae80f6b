"""Admits submissions, starts their tasks and delivers their answers.

The core of an entry VM does no I/O: its owner passes it messages and the
time, and executes the effects that it returns.
"""

from collections.abc import Sequence
from functools import singledispatchmethod

from camphorlink.internal.core.connection.slot_messages import SlotMessage
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberView
from camphorlink.internal.core.process.submissions import (
    Admission,
    SubmissionLimits,
    Submissions,
)
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.admission import refuse_job
from camphorlink.internal.core.request.claim_writer import (
    DEFAULT_APPENDS_PER_S,
)
from camphorlink.internal.core.request.home_table import (
    DEFAULT_ANSWER_BYTES,
    FULL_RETRY_S,
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
)
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    TaskOutcome,
    build_not_run_answer,
)
from camphorlink.internal.core.request.job_run import JobRun
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.scheduler import (
    Scheduler,
    TaskAttempt,
)
from camphorlink.internal.core.version.manifest import EMPTY_MANIFEST, Manifest


class EntryCore:
    """State machine that makes all decisions of one entry VM.

    The decisions depend only on the messages and on the time passed with
    them.
    """

    def __init__(
        self,
        home: Home,
        wall_offset_s: float,
        max_entries: int,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
        claim_appends_per_s: float = DEFAULT_APPENDS_PER_S,
    ) -> None:
        """Creates a core with empty tables and an empty manifest.

        Args:
            home: Identity of this process.
            wall_offset_s: Wall-clock time less core time, in seconds.
            max_entries: Maximum number of submissions that a table stores
                with their answers.
            answer_bytes: Maximum memory for stored answers, in bytes.
            claim_appends_per_s: Maximum rate of appends to the log service
                for callers' keys, per second.
        """
        self.home = home
        self.timers = Timers()
        self._submissions = Submissions(
            home,
            self.timers,
            wall_offset_s,
            SubmissionLimits(
                TableLimits(max_entries, answer_bytes),
                claim_appends_per_s,
            ),
            Admission(self._admit, self._refuse_job),
        )
        self.tables = self._submissions.tables
        self.table = self.tables.own
        self.post = self._submissions.peer_sender
        self.version = 0
        self.manifest: Manifest = EMPTY_MANIFEST
        self.is_draining = False
        self._wall_offset_s = wall_offset_s
        self._scheduler = Scheduler(home, self.timers)
        self._answer_handler = self._submissions.answer_handler
        self._now = 0.0
        # Bound once: each access to a single-dispatch method builds a new
        # wrapper function.
        self._dispatch = self._apply
        self._dispatch = self._apply

    def handle(
        self,
        message: messages.Message,
        now: float,
    ) -> Sequence[messages.Effect]:
        """Processes one message and returns the effects to execute.

        Args:
            message: Event from outside of the core.
            now: Core time in seconds.

        Returns:
            The effects, task starts first.
        """
        self._now = now
        self._dispatch(message)
        starts = self._scheduler.start_tasks(now)
        return [*starts, *self._submissions.take_effects()]

    def wall_s(self, now: float) -> float:
        """Returns wall-clock time in seconds since the epoch.

        It is derived from core time, so that a step of the machine's clock
        does not move the issue window of submission identifiers.
        """
        return now + self._wall_offset_s

    @property
    def view(self) -> MemberView:
        """Current view of the entry VMs and their states."""
        return self.post.view

    @property
    def is_idle(self) -> bool:
        """Whether every submission has an answer."""
        return self._submissions.is_idle

    @property
    def is_handed_over(self) -> bool:
        """Whether the hand-over of all sealed tables has finished."""
        return self._submissions.hand_overs.is_done

    @property
    def queued_tasks(self) -> int:
        """Number of tasks of open submissions that are not started."""
        return sum(
            run.task_outcomes.count(TaskOutcome.NOT_STARTED)
            for run in self.table.open_runs()
        )

    @singledispatchmethod
    def _apply(self, message: messages.Message) -> None:
        self._submissions.handle(message, self._now)

    @_apply.register
    def _finished(self, message: messages.TaskFinished) -> None:
        ticket = message.ticket
        run, _ended_attempt = self._record_result(message)
        if run is not None:
            answer = run.finish_task(ticket.position, message.task_result)
            self._answer_handler.deliver(run, answer)

    @_apply.register
    def _failed(self, message: messages.TaskFailed) -> None:
        ticket = message.ticket
        run, _ended_attempt = self._record_result(message)
        if run is not None:
            answer = run.fail_task(ticket.position, message.detail)
            self._answer_handler.deliver(run, answer)

    @_apply.register
    def _not_started(self, message: messages.TaskNotStarted) -> None:
        ticket = message.ticket
        run, ended_attempt = self._record_result(message)
        if run is None or ended_attempt is None:
            return
        run.mark_not_started(ticket.position)
        if not run.is_open:
            return
        if self._scheduler.retry_task(ended_attempt, message, self._now):
            self._answer_handler.count_retry(message.reason)
        else:
            self._answer_handler.deliver(run, run.close(message.reason))

    @_apply.register
    def _lost(self, message: messages.TaskLost) -> None:
        ticket = message.ticket
        run, _ended_attempt = self._record_result(message)
        if run is not None:
            answer = run.lose_task(ticket.position, message.reason.value)
            self._answer_handler.deliver(run, answer)

    @_apply.register
    def _install_version(self, message: messages.VersionInForce) -> None:
        if message.version <= self.version:
            return
        self.version = message.version
        self.manifest = message.manifest
        self._scheduler.install(message.manifest, self._now)

    @_apply.register
    def _members_changed(self, message: messages.MembersChanged) -> None:
        self._submissions.handle(message, self._now)
        self._scheduler.change_view(message.view, self._now)

    @_apply.register
    def _handle_peer_message(self, message: messages.PeerSaid) -> None:
        if isinstance(message.message, SlotMessage):
            self._scheduler.handle_peer_message(
                message.peer, message.message, self._now
            )
        else:
            self._submissions.handle(message, self._now)

    @_apply.register
    def _drain(self, message: messages.Drain) -> None:
        self.is_draining = True

    @_apply.register
    def _tick(self, message: messages.Tick) -> None:
        self.timers.advance(self._now)

    def _admit(self, message: messages.Submit, table: HomeTable) -> None:
        refusal = self._refuse_job(message.job)
        if refusal is not None:
            table.refuse(message.submission_id, refusal)
            self._answer_handler.refuse(message, refusal)
            self._scheduler.decisions.record_refusal(
                str(message.submission_id),
                refusal,
            )
            return
        run = table.open_run(message.submission_id, message.job, self.version)
        self._answer_handler.add_run(run, message.caller)
        self._scheduler.queue_job(run, self._now)

    def _refuse_job(self, job: Job) -> Answer | None:
        if self.is_draining:
            return build_not_run_answer(Reason.DRAINING)
        if self.table.is_full:
            return build_not_run_answer(
                Reason.TABLE_FULL, retry_after_s=FULL_RETRY_S
            )
        refusal = refuse_job(job, self.manifest, self._now)
        return refusal or self._scheduler.refuse(job, self._now)

    def _record_result(
        self,
        message: messages.AttemptResult,
    ) -> tuple[JobRun | None, TaskAttempt | None]:
        ended_attempt = self._scheduler.record_end(message, self._now)
        ticket = message.ticket
        run = self.tables.find_run(ticket.submission_id)
        if run is None or not run.is_current_attempt(
            ticket.position, ticket.attempt
        ):
            return None, ended_attempt
        return run, ended_attempt
