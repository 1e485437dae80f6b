"""Routes submissions of callers and of other entry VMs to their homes.

Composes the parts that handle submissions: the tables, the relays to other
homes and the messages of peers.  The enclosing core decides whether a new
job is admitted and how its tasks are placed.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.answer_handler import AnswerHandler
from camphorlink.internal.core.process.peer_handler import (
    HomeCallbacks,
    PeerHandler,
)
from camphorlink.internal.core.process.peer_sender import PeerSender
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
    """Callbacks of the enclosing core that admit or refuse new jobs.

    Attributes:
        admit: Processes a submission that is unknown to its table.
        refuse: Returns the refusal of a job that can't be admitted now, or
            ``None``.
    """

    admit: Callable[[messages.Submit, HomeTable], None]
    refuse: Callable[[Job], Answer | None]


class SubmissionLimits(NamedTuple):
    """Resource limits of one process for submissions.

    Attributes:
        table: Memory limits of each table.
        claim_appends_per_s: Maximum rate of appends to the log service for
            callers' keys, per second.
    """

    table: TableLimits
    claim_appends_per_s: float = DEFAULT_APPENDS_PER_S


class Submissions:
    """Processes submissions at their home and relays all others.

    Attributes:
        peer_sender: Sends messages to other entry VMs.
        answer_handler: Delivers answers to waiting requests.
        tables: Tables of all homes that this process owns.
        successions: Successors of processes that handed over their tables.
        relays: Submissions that were relayed to other homes.
        hand_overs: Hand-overs of tables to and from other processes.
        keys: Submissions under callers' keys.
    """

    def __init__(
        self,
        home: Home,
        timers: Timers,
        wall_offset_s: float,
        limits: SubmissionLimits,
        admission: Admission,
    ) -> None:
        """Creates the parts with an empty table of ``home``.

        Args:
            home: Identity of this process.
            timers: Timer service of the core.
            wall_offset_s: Wall-clock time less core time, in seconds.
            limits: Limits of memory and appends.
            admission: Callbacks that admit or refuse new jobs.
        """
        self.peer_sender = PeerSender(home)
        self.answer_handler = AnswerHandler(timers, self.peer_sender)
        self.tables = HomeTables(home, limits.table)
        self.successions = Successions()
        self.relays = Relays(
            self.peer_sender,
            self.answer_handler,
            timers,
            self.successions,
            wall_offset_s,
        )
        self.hand_overs = HandOvers(
            self.peer_sender,
            self.tables,
            timers,
            self.successions,
            self._submit_taken_back,
        )
        self.keys = CallerKeys(
            self.peer_sender,
            self.answer_handler,
            timers,
            wall_offset_s,
            limits.claim_appends_per_s,
            self._submit,
        )
        self._peer_handler = PeerHandler(
            self.peer_sender,
            self.tables,
            self.relays,
            self.hand_overs,
            self.keys,
            HomeCallbacks(self._submit, self._cancel_by_id_text),
            wall_offset_s,
        )
        self._admission = admission
        self._wall_offset_s = wall_offset_s
        self._now = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether every submission, relayed or not, has an answer."""
        waiting = len(self.relays) + len(self.keys)
        return self.tables.open_count + waiting == 0

    def take_effects(self) -> list[messages.Effect]:
        """Returns and clears the effects collected since the last call."""
        return [
            *self.answer_handler.take_effects(),
            *self.peer_sender.take_effects(),
            *self.keys.writer.take_effects(),
        ]

    def handle(self, message: messages.Message, now: float) -> None:
        """Processes one message at core time ``now``."""
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
        run = table.find(str(submission_id))
        if run is not None:
            self.answer_handler.join_run(run, message)
            return
        refusal = table.refusal(submission_id, self._wall_s())
        if refusal is not None:
            self.answer_handler.refuse(message, refusal)
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
        # The outcome is unknown, not "not run": another entry VM may have
        # run a job under this key.
        answer = build_unknown_answer(
            refusal.reason,
            refusal.detail,
            refusal.retry_after_s,
        )
        request = messages.Submit(
            message.submission_id,
            message.job,
            message.caller,
        )
        self.answer_handler.refuse(request, answer)

    @_apply.register
    def _handle_claim_event(self, message: messages.ClaimEvent) -> None:
        self.keys.writer.handle(message, self._now)

    @_apply.register
    def _leave(self, message: messages.Leave) -> None:
        run = self.tables.find_run(message.submission_id)
        if run is not None:
            run.waiters.pop(message.caller, None)
        self.relays.leave(message.submission_id, message.caller)
        self.keys.leave(message.caller)

    @_apply.register
    def _cancel(self, message: messages.Cancel) -> None:
        self._cancel_by_id_text(message.submission_id)

    @_apply.register
    def _members_changed(self, message: messages.MembersChanged) -> None:
        self.peer_sender.install(message.view)
        self.relays.handle_view_change(self._now)

    @_apply.register
    def _handle_peer_message(self, message: messages.PeerSaid) -> None:
        self._peer_handler.handle(message.peer, message.message, self._now)

    @_apply.register
    def _seal(self, message: messages.Seal) -> None:
        for table in self.tables.table_by_home.values():
            for run in table.open_runs():
                self.answer_handler.deliver(run, run.close(Reason.VM_STOPPED))
        self.relays.abandon_all()
        self.keys.abandon_all()
        self.hand_overs.seal(self._now, self._wall_s())

    def _submit_taken_back(self, home: Home, generation: int) -> None:
        for message in self.relays.remove_by_home(home):
            self._submit(message)

    def _cancel_by_id_text(self, text: str) -> None:
        run = self.tables.find_run(text)
        if run is None:
            self._cancel_unknown(parse_submission_id(text))
        else:
            self.answer_handler.deliver(run, run.close(Reason.CANCELLED))

    def _cancel_unknown(self, submission_id: SubmissionId) -> None:
        home = submission_id.home
        table = self.tables.find(home)
        if table is None or self.tables.is_sealed(home):
            self.relays.cancel(str(submission_id), home, self._now)
        elif table.refusal(submission_id, self._wall_s()) is None:
            # A delayed copy of the submission must not start later.
            table.refuse(submission_id, build_not_run_answer(Reason.CANCELLED))

    def _wall_s(self) -> float:
        return self._now + self._wall_offset_s
