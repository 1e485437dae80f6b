"""When a VM claims a cell, and when it leaves that to others."""

import pytest

from camphorlink.internal.core.process.cell_ownership import (
    OUTSIDE_S,
    PEER_SILENCE_S,
    RETURN_S,
    STORE_SILENCE_S,
    TURN_S,
    CellClaims,
    PeerView,
)
from camphorlink.internal.core.process.job_table import NO_OWNER, Owner

OWNER = Owner(3, 'o', 0)


def view(member, zone='z', heard_s=0.0, store_age_s=0.0, is_leaving=False):
    return PeerView(member, zone, heard_s, store_age_s, is_leaving)


def claims_after(me, peers, owner, limit_s=10.0):
    """Returns after how long a VM claims, or None."""
    claims = CellClaims('z', 0.0)
    now = 1.0
    while now < 1.0 + limit_s:
        if claims.should_claim(me, peers, owner, now):
            return round(now - 1.0, 2)
        now += 0.05
    return None


def test_a_cell_without_an_owner_is_claimed_by_the_first_of_its_zone():
    assert claims_after(view('a'), [view('b')], NO_OWNER) == 0
    assert claims_after(view('b'), [view('a')], NO_OWNER) >= TURN_S


def test_a_fit_owner_is_left_alone():
    assert claims_after(view('a'), [view('o')], OWNER) is None


@pytest.mark.parametrize(
    'fault',
    [
        {'heard_s': PEER_SILENCE_S},
        {'store_age_s': STORE_SILENCE_S},
        {'is_leaving': True},
    ],
)
def test_an_owner_that_is_silent_cut_off_or_leaving_is_replaced(fault):
    assert claims_after(view('a'), [view('o', **fault)], OWNER) == 0


def test_a_vm_that_can_not_reach_the_store_claims_nothing():
    me = view('a', store_age_s=STORE_SILENCE_S)
    assert claims_after(me, [], NO_OWNER) is None


def test_an_owner_does_not_claim_its_own_cell():
    assert claims_after(view('o'), [], OWNER) is None


def test_vms_of_other_zones_help_only_a_zone_that_they_hear():
    outside = view('a', zone='y')
    unfit = view('b', store_age_s=STORE_SILENCE_S)
    assert claims_after(outside, [unfit], OWNER) >= OUTSIDE_S
    assert claims_after(outside, [], OWNER) is None
    assert claims_after(outside, [view('b')], OWNER) is None


def test_a_vm_of_the_zone_takes_its_cell_back():
    owner = view('o', zone='y')
    assert claims_after(view('a'), [owner], OWNER) >= RETURN_S
    assert claims_after(view('c', zone='y'), [owner], OWNER) is None


def test_nobody_claims_before_it_had_time_to_hear_of_others():
    claims = CellClaims('z', 0.0)
    assert not claims.should_claim(view('a'), [], NO_OWNER, 0.1)
