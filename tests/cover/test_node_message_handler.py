"""Tests that a VM without the store learns of new owners from its peers."""

from camphorlink.internal.core.connection.node_messages import (
    Beat,
    RecordsAppended,
    Stamp,
)
from camphorlink.internal.core.process.coordinator_leases import (
    CoordinatorLeases,
)
from camphorlink.internal.shell.process.node_message_handler import (
    STORELESS_AGE_S,
    NodeMessageHandler,
)


class Log:
    records = (b'first', b'second')

    def recent_records(self, offset):
        return self.records[offset:]


class Peers:
    def __init__(self, sent):
        self.leases = CoordinatorLeases('m#1')
        self.restarted = []
        self._sent = sent

    def send(self, member, message):
        self._sent.append((member, message))

    def restart_channel(self, member):
        self.restarted.append(member)


def messages_after(store_age_s, next_offset):
    """Returns what a peer with this heartbeat is sent."""
    sent = []
    handler = NodeMessageHandler(
        cells=None,
        job_log=Log(),
        coordinator=None,
        waiting_by_cell={},
        on_count=None,
        peers=Peers(sent),
    )
    beat = Beat('m', '10.0.0.1', 1, 'z', store_age_s, False, {}, next_offset)
    handler.handle(beat, Stamp(0.0))
    return sent


def test_a_peer_without_the_store_gets_the_records_that_it_lacks():
    assert messages_after(STORELESS_AGE_S + 0.1, 1) == [
        ('m', RecordsAppended(1, (b'second',)))
    ]


def test_a_peer_that_lacks_nothing_or_reads_the_store_gets_no_records():
    assert not messages_after(STORELESS_AGE_S + 0.1, 2)
    assert not messages_after(0.5, 0)
