"""Handles submissions under caller-chosen keys at the entry VM they reach.

The entry VM mints an identifier with itself as home and requests a claim of
the key for it.  The job is submitted under the identifier that wins the key
and is handled like any other submission from then on.
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
    stream_name,
)
from camphorlink.internal.core.request.claim_stream import (
    ClaimRequest,
    ClaimResult,
)
from camphorlink.internal.core.request.claim_writer import ClaimWriter
from camphorlink.internal.core.request.identifiers import (
    MS_PER_S,
    Home,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import build_unknown_answer
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relay_codec import decode_reason

MAX_PENDING_KEYS = 5000
FIRST_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 2.0
FULL_RETRY_AFTER_S = 1.0


class PendingKey:
    """A key whose winning identifier is not known yet.

    Holds the requests that wait for the winner.
    """

    def __init__(self, message: SubmitKey) -> None:
        """Creates the entry from the first request for the key."""
        self.key = message.key
        self.submission_id = str(message.submission_id)
        self.issued_ms = message.issued_ms
        self.deadline_s = message.job.deadline_s
        self.attempts = 0
        self.timer: TimerKey | None = None
        self.message_by_caller: dict[int, SubmitKey] = {}


class CallerKeys:
    """Resolves keys of this entry VM's callers to submission identifiers."""

    def __init__(
        self,
        peer_sender: PeerSender,
        answer_handler: AnswerHandler,
        timers: Timers,
        wall_offset_s: float,
        appends_per_s: float,
        submit: Callable[[Submit], None],
    ) -> None:
        """Creates the resolver without pending keys.

        Args:
            peer_sender: Sends messages to peers.
            answer_handler: Answers requests.
            timers: Timer service of the core.
            wall_offset_s: Wall-clock time minus core time, in seconds.
            appends_per_s: Claim appends per second that this process may make.
            submit: Called with a submission whose identifier won its key.
        """
        self.writer = ClaimWriter(
            timers,
            wall_offset_s,
            appends_per_s,
            self._handle_result,
        )
        self._peer_sender = peer_sender
        self._answer_handler = answer_handler
        self._timers = timers
        self._submit = submit
        self._pending_by_key: dict[CallerKey, PendingKey] = {}
        self._pending_by_caller: dict[int, PendingKey] = {}

    def __len__(self) -> int:
        return len(self._pending_by_key)

    def submit(self, message: SubmitKey, now: float) -> None:
        """Resolves a key to a submission and submits the job under it."""
        existing = self._pending_by_key.get(message.key)
        if existing is not None:
            self._join(existing, message)
            existing.deadline_s = max(
                existing.deadline_s, message.job.deadline_s
            )
            return
        if len(self._pending_by_key) >= MAX_PENDING_KEYS:
            refusal = build_unknown_answer(
                Reason.RELAYS_FULL, retry_after_s=FULL_RETRY_AFTER_S
            )
            self._answer_handler.refuse(_build_submit(message), refusal)
            return
        pending = PendingKey(message)
        self._pending_by_key[message.key] = pending
        self._join(pending, message)
        self._request_winner(pending, now)

    def leave(self, caller: int) -> None:
        """Removes a request that no longer waits; its key is still claimed."""
        pending = self._pending_by_caller.pop(caller, None)
        if pending is not None:
            pending.message_by_caller.pop(caller, None)

    def handle_claim(
        self, peer: Home, peer_message: KeyClaim, now: float
    ) -> None:
        """Claims a key on behalf of the entry VM ``peer``."""
        request = ClaimRequest(
            CallerKey(peer_message.service, peer_message.key),
            peer_message.submission_id,
            peer_message.issued_ms,
            now + peer_message.remaining_ms / MS_PER_S,
            peer,
        )
        self.writer.request(request, now)

    def handle_winner(self, peer_message: KeyWinner) -> None:
        """Submits the jobs that wait for a key under its winning identifier."""
        pending = self._pending_by_key.get(
            CallerKey(peer_message.service, peer_message.key)
        )
        if (
            pending is None
            or pending.submission_id != peer_message.submission_id
        ):
            return
        if peer_message.winner is None:
            reason = decode_reason(peer_message.reason) or Reason.KEY_UNRESOLVED
            self._abandon(pending, reason)
            return
        winner = parse_submission_id(peer_message.winner)
        self._remove(pending)
        for message in pending.message_by_caller.values():
            self._submit(Submit(winner, message.job, message.caller))

    def abandon_all(self) -> None:
        """Answers all waiting requests, because this process stops."""
        for pending in tuple(self._pending_by_key.values()):
            self._abandon(pending, Reason.VM_STOPPED)

    def _join(self, pending: PendingKey, message: SubmitKey) -> None:
        pending.message_by_caller[message.caller] = message
        self._pending_by_caller[message.caller] = pending

    def _request_winner(self, pending: PendingKey, now: float) -> None:
        if pending.deadline_s <= now:
            self._abandon(pending, Reason.KEY_UNRESOLVED)
            return
        # The retry is scheduled first: the claim below may resolve at once.
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2**pending.attempts
        )
        pending.attempts += 1
        pending.timer = self._timers.call_at(
            min(now + delay_s, pending.deadline_s),
            lambda called_s: self._request_winner(pending, called_s),
        )
        live = [member.home for member in self._peer_sender.live()]
        own_home = self._peer_sender.home
        claimer = choose_claimer(stream_name(pending.key), live, own_home)
        peer_message = KeyClaim(
            pending.key.service,
            pending.key.name,
            pending.submission_id,
            pending.issued_ms,
            (pending.deadline_s - now) * MS_PER_S,
        )
        if claimer == own_home:
            self.handle_claim(own_home, peer_message, now)
        else:
            self._peer_sender.send(claimer, peer_message)

    def _handle_result(self, result: ClaimResult) -> None:
        request = result.request
        peer_message = KeyWinner(
            request.key.service,
            request.key.name,
            request.submission_id,
            result.winner,
            result.reason.value if result.reason else None,
        )
        if request.requester == self._peer_sender.home:
            self.handle_winner(peer_message)
        else:
            self._peer_sender.send(request.requester, peer_message)

    def _abandon(self, pending: PendingKey, reason: Reason) -> None:
        self._remove(pending)
        for message in pending.message_by_caller.values():
            self._answer_handler.refuse(
                _build_submit(message), build_unknown_answer(reason)
            )

    def _remove(self, pending: PendingKey) -> None:
        self._pending_by_key.pop(pending.key, None)
        for caller in pending.message_by_caller:
            self._pending_by_caller.pop(caller, None)
        if pending.timer is not None:
            self._timers.cancel(pending.timer)


def _build_submit(message: SubmitKey) -> Submit:
    return Submit(message.submission_id, message.job, message.caller)
