"""Tests of the order and the rate of requests for a newer configuration."""

import random

from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.version.exchange import (
    LOG_WAIT_S,
    RETRY_INTERVAL_S,
    ConfigExchange,
)

PEERS = [Home('larissa', f'entry-{number}', '') for number in range(3)]


def make_exchange(versions):
    exchange = ConfigExchange(random.Random(1))
    for peer, version in zip(PEERS, versions, strict=True):
        exchange.record_version(peer, version)
    return exchange


def test_no_request_is_due_when_no_peer_is_ahead():
    assert make_exchange([2, 2, 1]).choose(2, 100) is None


def test_the_first_request_waits_for_the_log():
    exchange = make_exchange([3, 2, 2])
    assert exchange.choose(2, 0) is None
    assert exchange.choose(2, LOG_WAIT_S / 2) is None
    assert exchange.choose(2, LOG_WAIT_S) == PEERS[0]


def test_a_vm_without_a_version_requests_at_once():
    assert make_exchange([3, 0, 0]).choose(0, 100) == PEERS[0]


def test_all_peers_that_are_ahead_are_tried_in_turn():
    exchange = make_exchange([3, 3, 3])
    exchange.choose(2, 100)
    requested_peers = [
        exchange.choose(2, 101 + number * RETRY_INTERVAL_S)
        for number in range(6)
    ]
    assert set(requested_peers[:3]) == set(requested_peers[3:]) == set(PEERS)


def test_requests_are_limited_in_rate():
    exchange = make_exchange([3, 3, 3])
    exchange.choose(2, 100)
    requested_peers = [
        exchange.choose(2, 100 + tick / 10) for tick in range(1, 31)
    ]
    assert sum(peer is not None for peer in requested_peers) == 3


def test_a_removed_peer_gets_no_request():
    exchange = make_exchange([3, 3, 3])
    exchange.keep_only({PEERS[1]})
    assert exchange.choose(0, 100) == PEERS[1]
