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
WINDOW = 8
RESEND_S = 0.3
#: A successor that acknowledges nothing for this long is given up, seconds.
SILENCE_S = 1.5
MAX_SUCCESSORS = 3
#: Sends of the last part, after which its fate stays open.
MAX_COMMITS = 10


class TableGiver:
    """The hand-over of one sealed table."""

    def __init__(
        self,
        home: Home,
        chunks: list[TableChunk],
        post: PeerPost,
        timers: Timers,
        on_handed: Callable[[Home, Home, int], None],
    ) -> None:
        """Plans the hand-over; ``begin`` starts it.

        Args:
            home: The home whose table it is.
            chunks: The whole table.
            post: Sends to peers.
            timers: Timer service of the core.
            on_handed: Called with home, new owner and generation when the
                successor has the whole table.
        """
        self.is_done = False
        self._home = home
        self._chunks = chunks
        self._post = post
        self._timers = timers
        self._on_handed = on_handed
        self._successor: Home | None = None
        self._refused: set[Home] = set()
        self._missing: set[int] = set()
        self._commits = 0
        self._heard_s = 0.0

    def begin(self, now: float) -> None:
        """Names the next successor and sends it the first parts."""
        member = self._choose()
        if member is None or len(self._refused) >= MAX_SUCCESSORS:
            self.is_done = True
            return
        self._successor = member.home
        self._refused.add(member.home)
        self._missing = set(range(len(self._chunks)))
        self._commits = 0
        self._heard_s = now
        self._send()
        self._watch(now, member.home)

    def hear(self, peer: Home, reply: ChunkReply, now: float) -> None:
        """Takes what the successor says of one part."""
        if peer != self._successor or self.is_done:
            return
        if not reply.is_accepted:
            self.begin(now)
            return
        self._heard_s = now
        if reply.number not in self._missing:
            return
        self._missing.discard(reply.number)
        if not self._missing:
            self.is_done = True
            self._on_handed(self._home, peer, reply.generation)
        elif len(self._missing) == 1 or reply.number % WINDOW == WINDOW - 1:
            self._send()

    def _choose(self) -> Member | None:
        candidates = [
            member
            for member in self._post.live()
            if member.home != self._post.home
            and member.home not in self._refused
        ]
        return min(candidates, key=self._preference, default=None)

    def _preference(self, member: Member) -> tuple[bool, int]:
        is_far = member.home.zone != self._post.home.zone
        return is_far, zlib.crc32(f'{self._home}/{member.home}'.encode())

    def _send(self) -> None:
        if self._successor is None:
            return
        last = len(self._chunks) - 1
        for number in sorted(self._missing - {last})[:WINDOW]:
            self._send_part(self._successor, number)
        if self._missing == {last}:
            self._commits += 1
            self._send_part(self._successor, last)

    def _send_part(self, successor: Home, number: int) -> None:
        # The address may have passed to another process by now.
        chunk = self._chunks[number]._replace(successor=str(successor))
        self._post.send(successor, chunk)

    def _watch(self, now: float, successor: Home) -> None:
        self._timers.call_at(
            now + RESEND_S,
            lambda called_s: self._check(called_s, successor),
        )

    def _check(self, now: float, successor: Home) -> None:
        if self.is_done or successor != self._successor:
            return
        if self._commits >= MAX_COMMITS:
            # It may own the table or not; nobody else may be asked now.
            self.is_done = True
        elif not self._commits and now - self._heard_s >= SILENCE_S:
            self.begin(now)
        else:
            self._send()
            self._watch(now, successor)


def notice(home: Home, owner: Home, generation: int) -> SuccessionNotice:
    """Writes who owns a table now."""
    return SuccessionNotice(str(home), str(owner), generation)
