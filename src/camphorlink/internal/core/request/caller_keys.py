"""Submissions under callers' own keys, at the entry VM that they reach.

The entry VM mints an identifier with itself as home and has it claimed for
the key.  Whichever identifier wins, the job is submitted under it; from
there on it is a submission like any other.
"""

from collections.abc import Callable

from camphorlink.internal.core.connection.submission_messages import (
    KeyClaim,
    KeyWinner,
)
from camphorlink.internal.core.process.answer_handler import AnswerHandler
from camphorlink.internal.core.process.messages import Submit, SubmitKey
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import TimerKey, Timers
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    choose_claimer,
    stream_of,
)
from camphorlink.internal.core.request.claim_stream import Ask, Verdict
from camphorlink.internal.core.request.claim_writer import ClaimWriter
from camphorlink.internal.core.request.identifiers import (
    MS_PER_S,
    Home,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import build_unknown_answer
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relay_documents import read_reason

MAX_KEY_RUNS = 5000
FIRST_ASK_S = 0.5
MAX_ASK_S = 2.0
RETRY_S = 1.0


class KeyRun:
    """One key that waits for its winner, and the requests that wait for it."""

    def __init__(self, message: SubmitKey) -> None:
        """Starts with the first request."""
        self.key = message.key
        self.submission_id = str(message.submission_id)
        self.issued_ms = message.issued_ms
        self.deadline_s = message.job.deadline_s
        self.asks = 0
        self.timer: TimerKey | None = None
        self.message_by_caller: dict[int, SubmitKey] = {}


class CallerKeys:
    """Keys of callers of this entry VM that wait for their winner."""

    def __init__(
        self,
        post: PeerSender,
        desk: AnswerHandler,
        timers: Timers,
        wall_offset_s: float,
        appends_per_s: float,
        submit: Callable[[Submit], None],
    ) -> None:
        """Starts with no key.

        Args:
            post: Sends to peers.
            desk: Answers requests.
            timers: Timer service of the core.
            wall_offset_s: Wall-clock time less core time, in seconds.
            appends_per_s: Appends that this process may make.
            submit: Takes a submission whose identifier has won its key.
        """
        self.writer = ClaimWriter(
            timers,
            wall_offset_s,
            appends_per_s,
            self._hear_verdict,
        )
        self._post = post
        self._desk = desk
        self._timers = timers
        self._submit = submit
        self._run_by_key: dict[CallerKey, KeyRun] = {}
        self._run_by_caller: dict[int, KeyRun] = {}

    def __len__(self) -> int:
        return len(self._run_by_key)

    def submit(self, message: SubmitKey, now: float) -> None:
        """Finds out which submission a key stands for, and joins it."""
        known = self._run_by_key.get(message.key)
        if known is not None:
            self._join(known, message)
            known.deadline_s = max(known.deadline_s, message.job.deadline_s)
            return
        if len(self._run_by_key) >= MAX_KEY_RUNS:
            full = build_unknown_answer(
                Reason.RELAYS_FULL, retry_after_s=RETRY_S
            )
            self._desk.refuse(_submit_of(message), full)
            return
        run = KeyRun(message)
        self._run_by_key[message.key] = run
        self._join(run, message)
        self._ask(run, now)

    def leave(self, caller: int) -> None:
        """Lets one request stop waiting; its key is claimed all the same."""
        run = self._run_by_caller.pop(caller, None)
        if run is not None:
            run.message_by_caller.pop(caller, None)

    def hear_claim(self, peer: Home, said: KeyClaim, now: float) -> None:
        """Claims a key for another entry VM."""
        ask = Ask(
            CallerKey(said.service, said.key),
            said.submission_id,
            said.issued_ms,
            now + said.remaining_ms / MS_PER_S,
            peer,
        )
        self.writer.ask(ask, now)

    def hear_winner(self, said: KeyWinner) -> None:
        """Submits the jobs that waited for a key under its winner."""
        run = self._run_by_key.get(CallerKey(said.service, said.key))
        if run is None or run.submission_id != said.submission_id:
            return
        if said.winner is None:
            reason = read_reason(said.reason) or Reason.KEY_UNRESOLVED
            self._give_up(run, reason)
            return
        winner = parse_submission_id(said.winner)
        self._remove(run)
        for message in run.message_by_caller.values():
            self._submit(Submit(winner, message.job, message.caller))

    def give_up_all(self) -> None:
        """Answers everybody who waits, because this process stops."""
        for run in tuple(self._run_by_key.values()):
            self._give_up(run, Reason.VM_STOPPED)

    def _join(self, run: KeyRun, message: SubmitKey) -> None:
        run.message_by_caller[message.caller] = message
        self._run_by_caller[message.caller] = run

    def _ask(self, run: KeyRun, now: float) -> None:
        if run.deadline_s <= now:
            self._give_up(run, Reason.KEY_UNRESOLVED)
            return
        # The next question is planned first: the winner may come at once.
        delay_s = min(MAX_ASK_S, FIRST_ASK_S * 2**run.asks)
        run.asks += 1
        run.timer = self._timers.call_at(
            min(now + delay_s, run.deadline_s),
            lambda called_s: self._ask(run, called_s),
        )
        live = [member.home for member in self._post.live()]
        me = self._post.home
        claimer = choose_claimer(stream_of(run.key), live, me)
        said = KeyClaim(
            run.key.service,
            run.key.name,
            run.submission_id,
            run.issued_ms,
            (run.deadline_s - now) * MS_PER_S,
        )
        if claimer == me:
            self.hear_claim(me, said, now)
        else:
            self._post.send(claimer, said)

    def _hear_verdict(self, verdict: Verdict) -> None:
        ask = verdict.ask
        said = KeyWinner(
            ask.key.service,
            ask.key.name,
            ask.submission_id,
            verdict.winner,
            verdict.reason.value if verdict.reason else None,
        )
        if ask.asker == self._post.home:
            self.hear_winner(said)
        else:
            self._post.send(ask.asker, said)

    def _give_up(self, run: KeyRun, reason: Reason) -> None:
        self._remove(run)
        for message in run.message_by_caller.values():
            self._desk.refuse(_submit_of(message), build_unknown_answer(reason))

    def _remove(self, run: KeyRun) -> None:
        self._run_by_key.pop(run.key, None)
        for caller in run.message_by_caller:
            self._run_by_caller.pop(caller, None)
        if run.timer is not None:
            self._timers.cancel(run.timer)


def _submit_of(message: SubmitKey) -> Submit:
    return Submit(message.submission_id, message.job, message.caller)
