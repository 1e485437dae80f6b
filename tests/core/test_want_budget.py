"""Wants have a rate that falls with the number of peers, and go in turn."""

import pytest

from camphorlink.internal.core.connection.want_budget import (
    ASKED_PEERS,
    BURST,
    WANTS_PER_S,
    WantBudget,
)

SECONDS = 100


@pytest.mark.parametrize('peers', [1, 2, 7])
def test_the_rate_is_kept_whatever_is_asked_for(peers):
    budget = WantBudget()
    addresses = [f'10.0.0.{number}:1' for number in range(peers)]
    drawn = [
        budget.draw(addresses, step / 100) for step in range(SECONDS * 100)
    ]
    allowed = BURST + SECONDS * WANTS_PER_S / peers**2
    assert sum(map(bool, drawn)) <= allowed
    assert sum(map(bool, drawn)) >= allowed - 2


def test_every_peer_gets_its_turn():
    budget = WantBudget()
    addresses = ['a', 'b', 'c']
    asked = [budget.draw(addresses, 100.0 * turn) for turn in range(1, 4)]
    assert all(len(each) == ASKED_PEERS for each in asked)
    assert [list(each) for each in asked] == [
        ['a', 'b'],
        ['c', 'a'],
        ['b', 'c'],
    ]


def test_nobody_is_asked_without_peers():
    assert WantBudget().draw([], 1.0) == ()
