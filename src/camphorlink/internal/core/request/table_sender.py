"""Hands sealed tables over to a successor during a planned stop.

The order of the steps prevents a table from having two owners.  The table is
sealed first and never reopened.  Its last chunk commits the hand-over: it is
sent only after the successor has acknowledged all others, and from then on no
other successor is chosen unless this one refuses.  An interrupted hand-over
therefore leaves one owner or none.
"""

import zlib
from collections.abc import Callable

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    SuccessionNotice,
    TableChunk,
)
from camphorlink.internal.core.process.members import Member
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.identifiers import Home

#: Chunks that may be in flight at once.
MAX_UNACKNOWLEDGED_CHUNKS = 8
RESEND_PERIOD_S = 0.3
#: A successor that acknowledges nothing for this long is replaced, unless the
#: last chunk was sent to it.
SUCCESSOR_TIMEOUT_S = 1.5
MAX_SUCCESSORS = 3
#: Sends of the last chunk, after which its result stays unknown.
MAX_COMMIT_ATTEMPTS = 10


class TableSender:
    """Sends one sealed table to a successor."""

    def __init__(
        self,
        home: Home,
        chunks: list[TableChunk],
        peer_sender: PeerSender,
        timers: Timers,
        on_handed_over: Callable[[Home, Home, int], None],
    ) -> None:
        """Creates the hand-over; ``try_next_successor`` starts it.

        Args:
            home: The home of the table.
            chunks: All chunks of the table.
            peer_sender: Sends messages to peers.
            timers: Timer service of the core.
            on_handed_over: Called with the home, the new owner and the
                generation when the successor has the whole table.
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
        """Chooses the next successor and sends it the first chunks.

        The hand-over ends without an owner if no candidate is left.
        """
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
        """Handles the reply of the successor to one chunk."""
        if peer != self._successor or self.is_done:
            return
        if not reply.is_accepted:
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
        # Another process may use the address now and must ignore the chunk.
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
            # The successor may own the table, so no other may be chosen.
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
    """Builds the message that announces the owner of a table."""
    return SuccessionNotice(str(home), str(owner), generation)
