"""Hands over sealed submission tables and announces their new owners."""

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
from camphorlink.internal.core.request.table_chunks import split_table
from camphorlink.internal.core.request.table_receiver import (
    OnOwned,
    TableReceiver,
)
from camphorlink.internal.core.request.table_sender import (
    TableSender,
    build_succession_notice,
)

#: An owner announces its adopted tables again at this period.
NOTICE_PERIOD_S = 10.0


class HandOvers:
    """Sends, receives and announces hand-overs of submission tables.

    A planned stop seals the tables of this process and sends them to a
    successor.  Tables that other processes seal are received here.
    """

    def __init__(
        self,
        peer_sender: PeerSender,
        tables: HomeTables,
        timers: Timers,
        successions: Successions,
        on_owned: OnOwned,
    ) -> None:
        """Creates the state without any hand-over in progress.

        Args:
            peer_sender: Sends messages to peers.
            tables: The tables that this process owns.
            timers: Timer service of the core.
            successions: Known owners of tables that were handed over.
            on_owned: Called with the home and the generation of a table that
                this process now owns.
        """
        self._peer_sender = peer_sender
        self._tables = tables
        self._timers = timers
        self._successions = successions
        self._table_receiver = TableReceiver(
            peer_sender, tables, timers, self._record_own_table
        )
        self._on_owned = on_owned
        self._table_sender_by_home: dict[Home, TableSender] = {}
        self._repeats_notices = False

    @property
    def is_sealed(self) -> bool:
        """Whether the tables are sealed and accept no new submissions."""
        return bool(self._table_sender_by_home)

    @property
    def is_done(self) -> bool:
        """Whether all hand-overs of sealed tables have finished."""
        table_senders = self._table_sender_by_home.values()
        return all(table_sender.is_done for table_sender in table_senders)

    def seal(self, now: float, wall_s: float) -> None:
        """Seals all tables and starts their hand-over; no run may be open.

        Identifiers that are outside the issue window now stay refused, even if
        the clock of the successor is behind.

        Args:
            now: Core time, in seconds.
            wall_s: Wall-clock time, in seconds since the epoch.
        """
        if self.is_sealed:
            return
        self._table_receiver.accepts_tables = False
        for home, table in tuple(self._tables.table_by_home.items()):
            self._tables.seal(home)
            if self._tables.is_expired(home):
                continue
            table.endings.raise_floor(oldest_issue_ms(wall_s))
            generation = self._successions.generation(home) + 1
            table_sender = TableSender(
                home,
                split_table(home, generation, table),
                self._peer_sender,
                self._timers,
                self._record_hand_over,
            )
            self._table_sender_by_home[home] = table_sender
            table_sender.try_next_successor(now)

    def handle_chunk(self, peer: Home, chunk: TableChunk, now: float) -> None:
        """Handles a chunk of a table that ``peer`` sealed."""
        self._table_receiver.handle(peer, chunk, now)
        if self._successions and not self._repeats_notices:
            self._repeats_notices = True
            self._timers.call_every(
                now, NOTICE_PERIOD_S, lambda _now: self._repeat_notices()
            )

    def handle_reply(self, peer: Home, reply: ChunkReply, now: float) -> None:
        """Handles the reply of ``peer`` to a chunk that was sent to it."""
        table_sender = self._table_sender_by_home.get(parse_home(reply.table))
        if table_sender is not None:
            table_sender.handle(peer, reply, now)

    def record_succession(self, notice: SuccessionNotice) -> Home | None:
        """Records the owner of a table; returns its home if this is newer."""
        home = parse_home(notice.table)
        owner = parse_home(notice.owner)
        is_newer = self._successions.record_succession(
            Succession(home, owner, notice.generation),
        )
        return home if is_newer else None

    def _record_own_table(self, home: Home, generation: int) -> None:
        self._record_hand_over(home, self._peer_sender.home, generation)
        self._on_owned(home, generation)

    def _record_hand_over(
        self, home: Home, owner: Home, generation: int
    ) -> None:
        self._successions.record_succession(Succession(home, owner, generation))
        self._broadcast(build_succession_notice(home, owner, generation))

    def _repeat_notices(self) -> None:
        for succession in self._successions:
            is_own = succession.owner == self._peer_sender.home
            if is_own and not self._tables.is_expired(succession.home):
                self._broadcast(build_succession_notice(*succession))

    def _broadcast(self, notice: SuccessionNotice) -> None:
        for member in self._peer_sender.view.members:
            if member.home != self._peer_sender.home:
                self._peer_sender.send(member.home, notice)
