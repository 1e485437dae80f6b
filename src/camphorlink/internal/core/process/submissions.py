"""What callers and other entry VMs ask about submissions, and who answers.

Composes the parts that concern submissions as such: the tables, the relays
to other homes and the messages of peers.  Whether a new job is admitted and
how its tasks are placed is the business of the core around it.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.answer_desk import AnswerDesk
from camphorlink.internal.core.process.peer_desk import HomeCalls, PeerDesk
from camphorlink.internal.core.process.peer_post import PeerPost
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.caller_keys import CallerKeys
from camphorlink.internal.core.request.claim_writer import (
    DEFAULT_APPENDS_PER_S,
)
from camphorlink.internal.core.request.hand_overs import HandOvers
from camphorlink.internal.core.request.home_table import HomeTable, TableLimits
from camphorlink.internal.core.request.home_tables import HomeTables
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import (
    Answer,
    Job,
    build_not_run_answer,
    build_unknown_answer,
)
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relays import Relays
from camphorlink.internal.core.request.successions import Successions


class Admission(NamedTuple):
    """What the core around it decides about new jobs.

    Attributes:
        admit: Takes a submission that its table has never seen.
        refuse: Says why a job can't be admitted now, or returns ``None``.
    """

    admit: Callable[[messages.Submit, HomeTable], None]
    refuse: Callable[[Job], Answer | None]


class SubmissionLimits(NamedTuple):
    """Bounds of what one process spends on submissions.

    Attributes:
        table: Bounds of each table's memory.
        claim_appends_per_s: Appends to the log service for callers' keys.
    """

    table: TableLimits
    claim_appends_per_s: float = DEFAULT_APPENDS_PER_S


class Submissions:
    """Finds the process that may start a submission, or its answer."""

    def __init__(
        self,
        home: Home,
        timers: Timers,
        wall_offset_s: float,
        limits: SubmissionLimits,
        admission: Admission,
    ) -> None:
        """Starts with an empty table of ``home``.

        Args:
            home: Identity of this process.
            timers: Timer service of the core.
            wall_offset_s: Wall-clock time less core time, in seconds.
            limits: Bounds of memory and appends.
            admission: What the core around it decides about new jobs.
        """
        self.post = PeerPost(home)
        self.desk = AnswerDesk(timers, self.post)
        self.tables = HomeTables(home, limits.table)
        self.successions = Successions()
        self.relays = Relays(
            self.post,
            self.desk,
            timers,
            self.successions,
            wall_offset_s,
        )
        self.handovers = HandOvers(
            self.post,
            self.tables,
            timers,
            self.successions,
            self._own,
        )
        self.keys = CallerKeys(
            self.post,
            self.desk,
            timers,
            wall_offset_s,
            limits.claim_appends_per_s,
            self._submit,
        )
        self._peers = PeerDesk(
            self.post,
            self.tables,
            self.relays,
            self.handovers,
            self.keys,
            HomeCalls(self._submit, self._cancel_text),
            wall_offset_s,
        )
        self._admission = admission
        self._wall_offset_s = wall_offset_s
        self._now = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether every submission, sent on or not, has its answer."""
        waiting = len(self.relays) + len(self.keys)
        return self.tables.open_count + waiting == 0

    def take_effects(self) -> list[messages.Effect]:
        """Hands over the effects collected since the last call."""
        return [
            *self.desk.take_effects(),
            *self.post.take_effects(),
            *self.keys.writer.take_effects(),
        ]

    def handle(self, message: messages.Message, now: float) -> None:
        """Takes one message at core time ``now``."""
        self._now = now
        self._apply(message)

    @singledispatchmethod
    def _apply(self, message: messages.Message) -> None:
        raise TypeError(message)

    @_apply.register
    def _submit(self, message: messages.Submit) -> None:
        submission_id = message.submission_id
        table = self.tables.find(submission_id.home)
        if table is None:
            self.relays.submit(message, self._now)
            return
        known = table.find(str(submission_id))
        if known is not None:
            self.desk.join(known, message)
            return
        refusal = table.refusal(submission_id, self._wall_s())
        if refusal is not None:
            self.desk.refuse(message, refusal)
        elif self.tables.is_sealed(submission_id.home):
            self.relays.submit(message, self._now)
        else:
            self._admission.admit(message, table)

    @_apply.register
    def _submit_key(self, message: messages.SubmitKey) -> None:
        refusal = self._admission.refuse(message.job)
        if refusal is None or refusal.reason is None:
            self.keys.submit(message, self._now)
            return
        # Another entry VM may have run the key: this is no "not run".
        answer = build_unknown_answer(
            refusal.reason,
            refusal.detail,
            refusal.retry_after_s,
        )
        asked = messages.Submit(
            message.submission_id,
            message.job,
            message.caller,
        )
        self.desk.refuse(asked, answer)

    @_apply.register
    def _hear_log(self, message: messages.ClaimEvent) -> None:
        self.keys.writer.handle(message, self._now)

    @_apply.register
    def _leave(self, message: messages.Leave) -> None:
        run = self.tables.find_run(message.submission_id)
        if run is not None:
            run.waiting_callers.pop(message.caller, None)
        self.relays.leave(message.submission_id, message.caller)
        self.keys.leave(message.caller)

    @_apply.register
    def _cancel(self, message: messages.Cancel) -> None:
        self._cancel_text(message.submission_id)

    @_apply.register
    def _members_changed(self, message: messages.MembersChanged) -> None:
        self.post.install(message.view)
        self.relays.handle_view_change(self._now)

    @_apply.register
    def _peer_said(self, message: messages.PeerSaid) -> None:
        self._peers.hear(message.peer, message.message, self._now)

    @_apply.register
    def _seal(self, message: messages.Seal) -> None:
        for table in self.tables.table_by_home.values():
            for run in table.open_runs():
                self.desk.deliver(run, run.close(Reason.VM_STOPPED))
        self.relays.abandon_all()
        self.keys.abandon_all()
        self.handovers.seal(self._now, self._wall_s())

    def _own(self, home: Home, generation: int) -> None:
        for message in self.relays.remove_by_home(home):
            self._submit(message)

    def _cancel_text(self, text: str) -> None:
        run = self.tables.find_run(text)
        if run is None:
            self._cancel_unseen(parse_submission_id(text))
        else:
            self.desk.deliver(run, run.close(Reason.CANCELLED))

    def _cancel_unseen(self, submission_id: SubmissionId) -> None:
        home = submission_id.home
        table = self.tables.find(home)
        if table is None or self.tables.is_sealed(home):
            self.relays.cancel(str(submission_id), home, self._now)
        elif table.refusal(submission_id, self._wall_s()) is None:
            # A copy that is still on its way must not start any more.
            table.refuse(submission_id, build_not_run_answer(Reason.CANCELLED))

    def _wall_s(self) -> float:
        return self._now + self._wall_offset_s
