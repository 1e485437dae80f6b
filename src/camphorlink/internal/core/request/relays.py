"""Relays submissions to their homes and returns the homes' answers.

A relay never starts a task, so a job may be resent any number of times: its
home deduplicates it by identifier.  A relay never reports "not run" by itself,
because an earlier copy may have reached the home through another entry VM; it
only passes on a "not run" that the home reports.
"""

import zlib
from collections.abc import Callable

from camphorlink.internal.core.connection.submission_messages import (
    RelayAnswer,
    RelayCancel,
    RelayProbe,
    RelayStatus,
)
from camphorlink.internal.core.process.answer_handler import AnswerHandler
from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.process.messages import Submit
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import TimerKey, Timers
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Answer, build_unknown_answer
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.request.relay_codec import (
    HomeStatus,
    build_relay_job,
    decode_relay_answer,
)
from camphorlink.internal.core.request.successions import Successions

MAX_RELAYS = 2000
FULL_RETRY_S = 1.0
#: Delay before the first probe of the home, doubled with each attempt.
FIRST_PROBE_DELAY_S = 0.5
MAX_PROBE_DELAY_S = 4.0
#: A home that sends nothing for this long is reported as unreachable.
HOME_TIMEOUT_S = 5.0
#: Time after the deadline for which the home's answer is awaited.
ANSWER_GRACE_S = 0.2
UNREACHABLE_RETRY_S = 2.0
#: Share of a delay that varies between submissions.
JITTER_SHARE = 0.5
_JITTER_STEPS = 1024


class Relay:
    """A submission that is relayed to its home and awaits its answer.

    Attributes:
        message: The first request for the submission.
        submission_id: Text form of its identifier.
        waiting_by_caller: Requests that wait for the answer.
        attempts: Number of messages sent to the home.
        last_response_s: Core time of the last response of the home, of the
            last change of its owner, or of the creation of the relay.
        needs_job: Whether the next message must contain the job.
        is_cancelled: Whether a caller has cancelled the submission.
        timers: Timers to cancel when the relay is removed.
    """

    def __init__(self, message: Submit, now: float) -> None:
        """Creates a relay that has not been sent yet."""
        self.message = message
        self.submission_id = str(message.submission_id)
        self.waiting_by_caller: dict[int | Home, Submit] = {}
        self.attempts = 0
        self.last_response_s = now
        self.needs_job = True
        self.is_cancelled = False
        self.timers: list[TimerKey] = []

    def next_delay_s(self) -> float:
        """Returns the delay before the next attempt, jittered by identifier."""
        delay_s = min(MAX_PROBE_DELAY_S, FIRST_PROBE_DELAY_S * 2**self.attempts)
        seed = f'{self.submission_id}/{self.attempts}'.encode()
        spread = zlib.crc32(seed) % _JITTER_STEPS / _JITTER_STEPS
        return delay_s * (1 - JITTER_SHARE * spread)


class RelayIndex:
    """Relays by identifier and job digest.

    Different jobs may be submitted under one identifier, and the home answers
    each of them.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self.count = 0
        self._relay_by_digest_by_id: dict[str, dict[str, Relay]] = {}

    def all(self) -> list[Relay]:
        """Returns all relays."""
        return [
            relay
            for by_digest in self._relay_by_digest_by_id.values()
            for relay in by_digest.values()
        ]

    def find_all(self, submission_id: str) -> list[Relay]:
        """Returns the relays of one identifier."""
        relays = self._relay_by_digest_by_id.get(submission_id, {})
        return list(relays.values())

    def find(self, submission_id: str, digest: str) -> Relay | None:
        """Returns the relay of a job under an identifier, or ``None``."""
        return self._relay_by_digest_by_id.get(submission_id, {}).get(digest)

    def add(self, relay: Relay) -> None:
        """Adds a relay."""
        by_digest = self._relay_by_digest_by_id.setdefault(
            relay.submission_id,
            {},
        )
        by_digest[relay.message.job.digest] = relay
        self.count += 1

    def remove(self, relay: Relay) -> bool:
        """Removes a relay; returns whether it was present."""
        by_digest = self._relay_by_digest_by_id.get(relay.submission_id, {})
        if by_digest.pop(relay.message.job.digest, None) is None:
            return False
        if not by_digest:
            self._relay_by_digest_by_id.pop(relay.submission_id)
        self.count -= 1
        return True


class Relays:
    """Relays submissions to their homes, with retries and timeouts."""

    def __init__(
        self,
        peer_sender: PeerSender,
        answer_handler: AnswerHandler,
        timers: Timers,
        successions: Successions,
        wall_offset_s: float,
    ) -> None:
        """Creates an empty set of relays.

        Args:
            peer_sender: Sends messages to peers.
            answer_handler: Answers requests.
            timers: Timer service of the core.
            successions: Known owners of tables that were handed over.
            wall_offset_s: Wall-clock time minus core time, in seconds.
        """
        self._peer_sender = peer_sender
        self._answer_handler = answer_handler
        self._timers = timers
        self._successions = successions
        self._wall_offset_s = wall_offset_s
        self._index = RelayIndex()

    def __len__(self) -> int:
        return self._index.count

    def submit(self, message: Submit, now: float) -> None:
        """Relays a submission to its home, or joins an existing relay."""
        relay = Relay(message, now)
        existing = self._index.find(relay.submission_id, message.job.digest)
        if existing is not None:
            existing.waiting_by_caller[message.caller] = message
            return
        if self._index.count >= MAX_RELAYS:
            refusal = build_unknown_answer(
                Reason.RELAYS_FULL, retry_after_s=FULL_RETRY_S
            )
            self._answer_handler.refuse(message, refusal)
            return
        relay.waiting_by_caller[message.caller] = message
        self._index.add(relay)
        self._call_at(
            relay,
            message.job.deadline_s + ANSWER_GRACE_S,
            lambda _now: self._abandon(relay, Reason.DEADLINE_PASSED),
        )
        self._send_or_abandon(relay, now)

    def leave(self, submission_id: str, caller: int) -> None:
        """Removes a request that no longer waits; the job continues."""
        for relay in self._index.find_all(submission_id):
            relay.waiting_by_caller.pop(caller, None)

    def cancel(self, submission_id: str, home: Home, now: float) -> None:
        """Sends the cancellation of a submission to its home."""
        relays = self._index.find_all(submission_id)
        for relay in relays:
            relay.is_cancelled = True
            self._send(relay, now)
        if not relays:
            owner = self._successions.owner(home)
            self._peer_sender.send(owner, RelayCancel(submission_id))

    def handle_answer(self, message: RelayAnswer) -> None:
        """Returns the home's answer to all waiting requests."""
        relay = self._index.find(message.submission_id, message.digest)
        if relay is not None:
            self._finish(relay, decode_relay_answer(message))

    def handle_status(
        self, peer: Home, message: RelayStatus, now: float
    ) -> None:
        """Handles the status that a process reports for a submission."""
        relay = self._index.find(message.submission_id, message.digest)
        if relay is None:
            return
        status = HomeStatus(message.status)
        if status is HomeStatus.NOT_HOME:
            self._handle_not_home(relay, peer)
            return
        relay.last_response_s = now
        relay.needs_job = status is not HomeStatus.OPEN
        if status is HomeStatus.UNSEEN:
            self._send(relay, now)

    def handle_succession(self, home: Home, now: float) -> None:
        """Resends the relays of a home whose table has a new owner."""
        for relay in self._find_by_home(home):
            relay.needs_job = True
            relay.last_response_s = now
            self._send(relay, now)

    def remove_by_home(self, home: Home) -> list[Submit]:
        """Removes all relays to a home; returns their waiting requests."""
        relays = self._find_by_home(home)
        for relay in relays:
            self._drop(relay)
        return [
            message
            for dropped in relays
            for message in dropped.waiting_by_caller.values()
        ]

    def abandon_all(self) -> None:
        """Answers all waiting requests, because this process stops."""
        for relay in self._index.all():
            self._abandon(relay, Reason.VM_STOPPED)

    def handle_view_change(self, now: float) -> None:
        """Checks all relays against a changed member view.

        Abandons relays to a home that is gone and sends those that had no
        target so far.
        """
        for relay in self._index.all():
            member = self._target(relay)
            if _is_gone(member):
                self._abandon(relay, Reason.HOME_GONE)
            elif member is not None and not relay.attempts:
                self._send(relay, now)

    def _find_by_home(self, home: Home) -> list[Relay]:
        return [
            relay
            for relay in self._index.all()
            if relay.message.submission_id.home == home
        ]

    def _target(self, relay: Relay) -> Member | None:
        owner = self._successions.owner(relay.message.submission_id.home)
        if owner == self._peer_sender.home:
            return None
        # If this incarnation is not in the view, the current process of the
        # same VM is asked: it replies at once that it is not the home.
        return self._peer_sender.find(owner) or self._peer_sender.find_vm(owner)

    def _send_or_abandon(self, relay: Relay, now: float) -> None:
        if _is_gone(self._target(relay)):
            self._abandon(relay, Reason.HOME_GONE)
            return
        if now - relay.last_response_s >= HOME_TIMEOUT_S:
            self._abandon(relay, Reason.HOME_UNREACHABLE)
            return
        self._call_at(
            relay,
            now + relay.next_delay_s(),
            lambda called_s: self._send_or_abandon(relay, called_s),
        )
        self._send(relay, now)

    def _send(self, relay: Relay, now: float) -> None:
        member = self._target(relay)
        if member is None:
            return
        relay.attempts += 1
        job = relay.message.job
        if relay.is_cancelled:
            self._peer_sender.send_to(member, RelayCancel(relay.submission_id))
        elif relay.needs_job:
            relay.needs_job = False
            wall_s = now + self._wall_offset_s
            self._peer_sender.send_to(
                member,
                build_relay_job(relay.submission_id, job, now, wall_s),
            )
            return
        self._peer_sender.send_to(
            member, RelayProbe(relay.submission_id, job.digest)
        )

    def _handle_not_home(self, relay: Relay, peer: Home) -> None:
        home = relay.message.submission_id.home
        same_vm = (peer.zone, peer.vm) == (home.zone, home.vm)
        if same_vm and peer != home:
            self._abandon(relay, Reason.HOME_GONE)

    def _abandon(self, relay: Relay, reason: Reason) -> None:
        self._finish(
            relay,
            build_unknown_answer(reason, retry_after_s=_retry_after(reason)),
        )

    def _finish(self, relay: Relay, answer: Answer) -> None:
        if not self._drop(relay):
            return
        for message in relay.waiting_by_caller.values():
            self._answer_handler.answer_request(message, answer)
        if answer.reason is not None:
            self._answer_handler.count_failure(answer.reason)

    def _drop(self, relay: Relay) -> bool:
        for key in relay.timers:
            self._timers.cancel(key)
        return self._index.remove(relay)

    def _call_at(
        self,
        relay: Relay,
        due_s: float,
        callback: Callable[[float], None],
    ) -> None:
        relay.timers.append(self._timers.call_at(due_s, callback))


def _is_gone(member: Member | None) -> bool:
    return member is not None and member.state is MemberState.GONE


def _retry_after(reason: Reason) -> float | None:
    return UNREACHABLE_RETRY_S if reason is Reason.HOME_UNREACHABLE else None
