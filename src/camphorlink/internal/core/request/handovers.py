"""Hand-overs of tables, given and taken, and who learns of them."""

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    SuccessionNotice,
    TableChunk,
)
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.home_table import oldest_issue_ms
from camphorlink.internal.core.request.home_tables import HomeTables
from camphorlink.internal.core.request.identifiers import Home, parse_home
from camphorlink.internal.core.request.successions import (
    Succession,
    Successions,
)
from camphorlink.internal.core.request.table_chunks import write_chunks
from camphorlink.internal.core.request.table_giver import TableGiver, notice
from camphorlink.internal.core.request.table_taker import OnOwned, TableTaker

#: Period at which an owner says again which tables it has, in seconds.
NOTICE_S = 10.0


class HandOvers:
    """Seals and gives tables, takes those of others, and tells everybody."""

    def __init__(
        self,
        post: PeerSender,
        tables: HomeTables,
        timers: Timers,
        successions: Successions,
        on_owned: OnOwned,
    ) -> None:
        """Starts with nothing given or taken."""
        self._post = post
        self._tables = tables
        self._timers = timers
        self._successions = successions
        self._taker = TableTaker(post, tables, timers, self._own)
        self._on_owned = on_owned
        self._giver_by_home: dict[Home, TableGiver] = {}
        self._has_notices = False

    @property
    def is_sealed(self) -> bool:
        """Whether the tables take nothing new any more."""
        return bool(self._giver_by_home)

    @property
    def is_done(self) -> bool:
        """Whether there is nothing left to hand over."""
        givers = self._giver_by_home.values()
        return all(giver.is_done for giver in givers)

    def seal(self, now: float, wall_s: float) -> None:
        """Seals all tables, which have no open run, and hands them over.

        What the window refused so far is refused for good: the clock of the
        successor may be behind.
        """
        if self.is_sealed:
            return
        self._taker.is_open = False
        for home, table in tuple(self._tables.by_home.items()):
            self._tables.seal(home)
            if self._tables.is_expired(home):
                continue
            table.endings.raise_floor(oldest_issue_ms(wall_s))
            generation = self._successions.generation(home) + 1
            giver = TableGiver(
                home,
                write_chunks(home, generation, table),
                self._post,
                self._timers,
                self._note_handed,
            )
            self._giver_by_home[home] = giver
            giver.begin(now)

    def hear_chunk(self, peer: Home, chunk: TableChunk, now: float) -> None:
        """Takes a part of a table that ``peer`` has sealed."""
        self._taker.hear(peer, chunk, now)
        if self._successions and not self._has_notices:
            self._has_notices = True
            self._timers.call_every(now, NOTICE_S, lambda _now: self._repeat())

    def hear_reply(self, peer: Home, reply: ChunkReply, now: float) -> None:
        """Takes what ``peer`` says of a part that was sent to it."""
        giver = self._giver_by_home.get(parse_home(reply.table))
        if giver is not None:
            giver.hear(peer, reply, now)

    def learn(self, said: SuccessionNotice) -> Home | None:
        """Takes in who owns a table; returns its home if that is news."""
        home = parse_home(said.table)
        owner = parse_home(said.owner)
        is_news = self._successions.learn(
            Succession(home, owner, said.generation),
        )
        return home if is_news else None

    def _own(self, home: Home, generation: int) -> None:
        self._note_handed(home, self._post.home, generation)
        self._on_owned(home, generation)

    def _note_handed(self, home: Home, owner: Home, generation: int) -> None:
        self._successions.learn(Succession(home, owner, generation))
        self._tell_all(notice(home, owner, generation))

    def _repeat(self) -> None:
        for succession in self._successions:
            is_own = succession.owner == self._post.home
            if is_own and not self._tables.is_expired(succession.home):
                self._tell_all(notice(*succession))

    def _tell_all(self, said: SuccessionNotice) -> None:
        for member in self._post.view.members:
            if member.home != self._post.home:
                self._post.send(member.home, said)
