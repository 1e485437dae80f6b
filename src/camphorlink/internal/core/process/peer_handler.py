"""Processes messages of other entry VMs about submissions and replies."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import NamedTuple

from camphorlink.errors import IdentifierError
from camphorlink.internal.core.connection import submission_messages as peers
from camphorlink.internal.core.connection.peer_messages import PeerMessage
from camphorlink.internal.core.process.messages import Submit
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.request.caller_keys import CallerKeys
from camphorlink.internal.core.request.hand_overs import HandOvers
from camphorlink.internal.core.request.home_tables import HomeTables
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import Answer
from camphorlink.internal.core.request.relay_codec import (
    HomeStatus,
    build_relay_answer,
    decode_relay_job,
    limit_answer_size,
)
from camphorlink.internal.core.request.relays import Relays


class HomeCallbacks(NamedTuple):
    """Callbacks that act on submissions whose home is this process.

    Attributes:
        submit: Processes a submission whose home is this process.
        cancel: Cancels a submission by the text form of its identifier.
    """

    submit: Callable[[Submit], None]
    cancel: Callable[[str], None]


class PeerHandler:
    """Dispatches messages of other entry VMs and sends the replies."""

    def __init__(
        self,
        peer_sender: PeerSender,
        tables: HomeTables,
        relays: Relays,
        hand_overs: HandOvers,
        keys: CallerKeys,
        calls: HomeCallbacks,
        wall_offset_s: float,
    ) -> None:
        """Creates a handler that forwards messages to the given parts.

        Args:
            peer_sender: Sends the replies.
            tables: Tables of all homes that this process owns.
            relays: Submissions that this process relayed to other homes.
            hand_overs: Hand-overs of tables to and from other processes.
            keys: Submissions under callers' keys.
            calls: Callbacks for submissions whose home is this process.
            wall_offset_s: Wall-clock time less core time, in seconds.
        """
        self._peer_sender = peer_sender
        self._tables = tables
        self._relays = relays
        self._hand_overs = hand_overs
        self._keys = keys
        self._calls = calls
        self._wall_offset_s = wall_offset_s
        self._peer = peer_sender.home
        self._now = 0.0

    def handle(self, peer: Home, message: PeerMessage, now: float) -> None:
        """Processes one message of ``peer`` at core time ``now``.

        An invalid message, such as one of a later release, is ignored; the
        sender retries.
        """
        self._peer = peer
        self._now = now
        try:
            self._apply(message)
        except (IdentifierError, ValueError):
            return

    @singledispatchmethod
    def _apply(self, message: PeerMessage) -> None:
        """Ignores message types that other parts handle."""

    @_apply.register
    def _relay_job(self, message: peers.RelayJob) -> None:
        submission_id = parse_submission_id(message.submission_id)
        if not self._can_answer(submission_id):
            self._send_status(
                message, self._other_home_status(submission_id.home)
            )
            return
        wall_s = self._now + self._wall_offset_s
        job = decode_relay_job(message, self._now, wall_s)
        self._calls.submit(Submit(submission_id, job, self._peer))

    @_apply.register
    def _relay_probe(self, message: peers.RelayProbe) -> None:
        submission_id = parse_submission_id(message.submission_id)
        if not self._can_answer(submission_id):
            self._send_status(
                message, self._other_home_status(submission_id.home)
            )
            return
        answer = self._known_answer(submission_id, message.digest)
        if answer is None:
            self._send_status(message, self._await_open_run(message))
            return
        limited_answer = limit_answer_size(answer)
        reply = build_relay_answer(
            message.submission_id, message.digest, limited_answer
        )
        self._peer_sender.send(self._peer, reply)

    @_apply.register
    def _relay_answer(self, message: peers.RelayAnswer) -> None:
        self._relays.handle_answer(message)

    @_apply.register
    def _relay_status(self, message: peers.RelayStatus) -> None:
        self._relays.handle_status(self._peer, message, self._now)

    @_apply.register
    def _relay_cancel(self, message: peers.RelayCancel) -> None:
        submission_id = parse_submission_id(message.submission_id)
        if self._can_answer(submission_id):
            self._calls.cancel(message.submission_id)

    @_apply.register
    def _table_chunk(self, message: peers.TableChunk) -> None:
        self._hand_overs.handle_chunk(self._peer, message, self._now)

    @_apply.register
    def _chunk_reply(self, message: peers.ChunkReply) -> None:
        self._hand_overs.handle_reply(self._peer, message, self._now)

    @_apply.register
    def _succession(self, message: peers.SuccessionNotice) -> None:
        home = self._hand_overs.record_succession(message)
        if home is not None:
            self._relays.handle_succession(home, self._now)

    @_apply.register
    def _key_claim(self, message: peers.KeyClaim) -> None:
        self._keys.handle_claim(self._peer, message, self._now)

    @_apply.register
    def _key_winner(self, message: peers.KeyWinner) -> None:
        self._keys.handle_winner(message)

    def _can_answer(self, submission_id: SubmissionId) -> bool:
        table = self._tables.find(submission_id.home)
        if table is None:
            return False
        if not self._tables.is_sealed(submission_id.home):
            return True
        return table.find(str(submission_id)) is not None

    def _other_home_status(self, home: Home) -> HomeStatus:
        if self._tables.is_sealed(home):
            return HomeStatus.SEALED
        return HomeStatus.NOT_HOME

    def _known_answer(
        self,
        submission_id: SubmissionId,
        digest: str,
    ) -> Answer | None:
        run = self._tables.find_run(str(submission_id))
        if run is not None:
            return run.answer if run.job.digest == digest else None
        table = self._tables.table_by_home[submission_id.home]
        return table.refusal(submission_id, self._now + self._wall_offset_s)

    def _await_open_run(self, message: peers.RelayProbe) -> HomeStatus:
        run = self._tables.find_run(message.submission_id)
        if run is None or run.job.digest != message.digest:
            # The relaying VM must send the job, to be started or refused.
            return HomeStatus.UNSEEN
        run.waiters[self._peer] = None
        return HomeStatus.OPEN

    def _send_status(
        self,
        message: peers.RelayJob | peers.RelayProbe,
        status: HomeStatus,
    ) -> None:
        reply = peers.RelayStatus(
            message.submission_id,
            message.digest,
            status.value,
        )
        self._peer_sender.send(self._peer, reply)
