"""Hands sealed tables over to a successor before a planned stop ends.

The order is what keeps a table from having two owners.  It is sealed first
and never opened again.  Its last part is sent only when the successor has
acknowledged all others, and from then on no other successor is named,
unless that one refuses.  So an interrupted hand-over leaves one owner or
none.
"""

import zlib
from collections.abc import Callable

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    SuccessionNotice,
    TableChunk,
)
from camphorlink.internal.core.process.members import Member
from camphorlink.internal.core.process.peer_post import PeerPost
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import Home

#: Parts that may be on their way at once.
MAX_UNACKNOWLEDGED_CHUNKS = 8
RESEND_PERIOD_S = 0.3
#: A successor that acknowledges nothing for this long is given up, seconds.
SUCCESSOR_TIMEOUT_S = 1.5
MAX_SUCCESSORS = 3
#: Sends of the last part, after which its fate stays open.
MAX_COMMIT_ATTEMPTS = 10


class TableSender:
    """The hand-over of one sealed table."""

    def __init__(
        self,
        home: Home,
        chunks: list[TableChunk],
        peer_sender: PeerPost,
        timers: Timers,
        on_handed_over: Callable[[Home, Home, int], None],
    ) -> None:
        """Plans the hand-over; ``begin`` starts it.

        Args:
            home: The home whose table it is.
            chunks: The whole table.
            peer_sender: Sends messages to peers.
            timers: Timer service of the core.
            on_handed_over: Called with home, new owner and generation when the
                successor has the whole table.
        """
        self.is_done = False
        self._home = home
        self._chunks = chunks
        self._peer_sender = peer_sender
        self._timers = timers
        self._on_handed_over = on_handed_over
        self._successor: Home | None = None
        self._tried_successors: set[Home] = set()
        self._unacknowledged: set[int] = set()
        self._commit_attempts = 0
        self._last_reply_s = 0.0

    def try_next_successor(self, now: float) -> None:
        """Names the next successor and sends it the first parts."""
        member = self._choose_successor()
        if member is None or len(self._tried_successors) >= MAX_SUCCESSORS:
            self.is_done = True
            return
        self._successor = member.home
        self._tried_successors.add(member.home)
        self._unacknowledged = set(range(len(self._chunks)))
        self._commit_attempts = 0
        self._last_reply_s = now
        self._send_next_chunks()
        self._schedule_check(now, member.home)

    def handle(self, peer: Home, reply: ChunkReply, now: float) -> None:
        """Takes what the successor says of one part."""
        if peer != self._successor or self.is_done:
            return
        if not reply.is_taken:
            self.try_next_successor(now)
            return
        self._last_reply_s = now
        if reply.number not in self._unacknowledged:
            return
        self._unacknowledged.discard(reply.number)
        if not self._unacknowledged:
            self.is_done = True
            self._on_handed_over(self._home, peer, reply.generation)
        elif (
            len(self._unacknowledged) == 1
            or reply.number % MAX_UNACKNOWLEDGED_CHUNKS
            == MAX_UNACKNOWLEDGED_CHUNKS - 1
        ):
            self._send_next_chunks()

    def _choose_successor(self) -> Member | None:
        candidates = [
            member
            for member in self._peer_sender.live()
            if member.home != self._peer_sender.home
            and member.home not in self._tried_successors
        ]
        return min(candidates, key=self._preference, default=None)

    def _preference(self, member: Member) -> tuple[bool, int]:
        is_other_zone = member.home.zone != self._peer_sender.home.zone
        return is_other_zone, zlib.crc32(f'{self._home}/{member.home}'.encode())

    def _send_next_chunks(self) -> None:
        if self._successor is None:
            return
        last = len(self._chunks) - 1
        for number in sorted(self._unacknowledged - {last})[
            :MAX_UNACKNOWLEDGED_CHUNKS
        ]:
            self._send_chunk(self._successor, number)
        if self._unacknowledged == {last}:
            self._commit_attempts += 1
            self._send_chunk(self._successor, last)

    def _send_chunk(self, successor: Home, number: int) -> None:
        # The address may have passed to another process by now.
        chunk = self._chunks[number]._replace(successor=str(successor))
        self._peer_sender.send(successor, chunk)

    def _schedule_check(self, now: float, successor: Home) -> None:
        self._timers.call_at(
            now + RESEND_PERIOD_S,
            lambda called_s: self._check(called_s, successor),
        )

    def _check(self, now: float, successor: Home) -> None:
        if self.is_done or successor != self._successor:
            return
        if self._commit_attempts >= MAX_COMMIT_ATTEMPTS:
            # It may own the table or not; nobody else may be asked now.
            self.is_done = True
        elif (
            not self._commit_attempts
            and now - self._last_reply_s >= SUCCESSOR_TIMEOUT_S
        ):
            self.try_next_successor(now)
        else:
            self._send_next_chunks()
            self._schedule_check(now, successor)


def build_succession_notice(
    home: Home, owner: Home, generation: int
) -> SuccessionNotice:
    """Writes who owns a table now."""
    return SuccessionNotice(str(home), str(owner), generation)
