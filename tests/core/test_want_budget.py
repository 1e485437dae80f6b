"""Rate limit of wants and the rotation among the peers."""

import pytest

from camphorlink.internal.core.connection.want_budget import (
    BURST_WANTS,
    PEERS_PER_WANT,
    WANTS_PER_S,
    WantBudget,
)

SECONDS = 100


@pytest.mark.parametrize('peers', [1, 2, 7])
def test_wants_stay_within_the_rate_limit(peers):
    budget = WantBudget()
    addresses = [f'10.0.0.{number}:1' for number in range(peers)]
    choices = [
        budget.choose_peers(addresses, step / 100)
        for step in range(SECONDS * 100)
    ]
    allowed = BURST_WANTS + SECONDS * WANTS_PER_S / peers**2
    assert sum(map(bool, choices)) <= allowed
    assert sum(map(bool, choices)) >= allowed - 2


def test_peers_are_chosen_in_rotation():
    budget = WantBudget()
    addresses = ['a', 'b', 'c']
    chosen = [
        budget.choose_peers(addresses, 100.0 * turn) for turn in range(1, 4)
    ]
    assert all(len(each) == PEERS_PER_WANT for each in chosen)
    assert [list(each) for each in chosen] == [
        ['a', 'b'],
        ['c', 'a'],
        ['b', 'c'],
    ]


def test_no_address_is_chosen_without_peers():
    assert WantBudget().choose_peers([], 1.0) == ()
