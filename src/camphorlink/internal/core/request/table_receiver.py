"""Receives sealed tables of entry VMs that make a planned stop."""

from collections.abc import Callable

from camphorlink.internal.core.connection.submission_messages import (
    ChunkReply,
    TableChunk,
)
from camphorlink.internal.core.process.peer_sender import PeerSender
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.home_table import (
    ISSUE_WINDOW_S,
    MAX_CLOCK_SKEW_S,
)
from camphorlink.internal.core.request.home_tables import HomeTables
from camphorlink.internal.core.request.identifiers import Home, parse_home
from camphorlink.internal.core.request.table_chunks import restore_table

#: Tables that may be received at once.
MAX_PARTIAL_TABLES = 4
#: An incomplete table is dropped this long after its first chunk.
PARTIAL_TABLE_TIMEOUT_S = 60.0

OnOwned = Callable[[Home, int], None]


class TableReceiver:
    """Collects the chunks of tables and adopts each complete table."""

    def __init__(
        self,
        peer_sender: PeerSender,
        tables: HomeTables,
        timers: Timers,
        on_owned: OnOwned,
    ) -> None:
        """Creates a receiver that accepts tables.

        Args:
            peer_sender: Sends messages to peers.
            tables: Receives the complete tables.
            timers: Timer service of the core.
            on_owned: Called with the home and the generation of a table
                that this process now owns.
        """
        self.accepts_tables = True
        self._peer_sender = peer_sender
        self._tables = tables
        self._timers = timers
        self._on_owned = on_owned
        self._chunks_by_table: dict[tuple[str, int], dict[int, TableChunk]] = {}
        self._owned: set[tuple[str, int]] = set()
        self._refused: set[tuple[str, int]] = set()

    def handle(self, peer: Home, chunk: TableChunk, now: float) -> None:
        """Stores one chunk, or refuses it and with it the whole table.

        A refusal is final: the sender then chooses another successor, so a
        duplicate of a chunk that arrives later must be refused as well.
        """
        if chunk.successor != str(self._peer_sender.home):
            return
        key = (chunk.table, chunk.generation)
        is_refused = key in self._refused
        is_accepted = key in self._owned or (
            not is_refused and self._store_chunk(chunk, now)
        )
        if not is_accepted:
            self._refused.add(key)
        reply = ChunkReply(
            chunk.table,
            chunk.generation,
            chunk.number,
            is_accepted,
        )
        self._peer_sender.send(peer, reply)

    def _store_chunk(self, chunk: TableChunk, now: float) -> bool:
        key = (chunk.table, chunk.generation)
        home = parse_home(chunk.table)
        if not self.accepts_tables or self._tables.find(home) is not None:
            self._chunks_by_table.pop(key, None)
            return False
        if key not in self._chunks_by_table:
            if len(self._chunks_by_table) >= MAX_PARTIAL_TABLES:
                return False
            self._chunks_by_table[key] = {}
            self._timers.call_at(
                now + PARTIAL_TABLE_TIMEOUT_S,
                lambda _now: self._drop_table(key),
            )
        chunks = self._chunks_by_table[key]
        chunks[chunk.number] = chunk
        if len(chunks) == chunk.total:
            self._adopt_table(home, key, now)
        return True

    def _drop_table(self, key: tuple[str, int]) -> None:
        self._chunks_by_table.pop(key, None)

    def _adopt_table(
        self, home: Home, key: tuple[str, int], now: float
    ) -> None:
        chunks = self._chunks_by_table.pop(key)
        table = restore_table(chunks.values(), self._tables.limits)
        self._owned.add(key)
        self._tables.adopt(home, table)
        self._timers.call_at(
            now + ISSUE_WINDOW_S + MAX_CLOCK_SKEW_S,
            lambda _now: self._tables.expire(home),
        )
        self._on_owned(home, key[1])
