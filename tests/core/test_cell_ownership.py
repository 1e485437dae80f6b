"""Tests when a VM claims a cell, and when it leaves the claim to others."""

import pytest

from camphorlink.internal.core.process.cell_ownership import (
    CLAIM_STAGGER_S,
    FIRST_CLAIM_DELAY_S,
    MAX_STAGGER_S,
    OTHER_ZONE_DELAY_S,
    OUTGROWN_DELAY_S,
    PEER_TIMEOUT_S,
    STORE_TIMEOUT_S,
    TAKE_BACK_DELAY_S,
    CellClaimPolicy,
    ListedMember,
    PeerView,
    claim_rank,
)
from camphorlink.internal.core.process.job_table import NO_OWNER, Owner

OWNER = Owner(3, 'o', 0)


def view(
    member, zone='z', message_age_s=0.0, store_age_s=0.0, is_leaving=False
):
    return PeerView(member, zone, message_age_s, store_age_s, is_leaving)


def seconds_to_claim(me, peers, owner, limit_s=10.0):
    """Returns the time in seconds until a VM claims the cell, or None."""
    policy = CellClaimPolicy('z', 0.0)
    now = 1.0
    while now < 1.0 + limit_s:
        if policy.should_claim(me, peers, owner, now):
            return round(now - 1.0, 2)
        now += 0.05
    return None


def test_a_cell_without_an_owner_is_claimed_by_the_first_of_its_zone():
    assert seconds_to_claim(view('a'), [view('b')], NO_OWNER) == 0
    assert seconds_to_claim(view('b'), [view('a')], NO_OWNER) >= CLAIM_STAGGER_S


def test_a_cell_with_an_eligible_owner_is_not_claimed():
    assert seconds_to_claim(view('a'), [view('o')], OWNER) is None


@pytest.mark.parametrize(
    'fault',
    [
        {'message_age_s': PEER_TIMEOUT_S},
        {'store_age_s': STORE_TIMEOUT_S},
        {'is_leaving': True},
    ],
)
def test_an_owner_that_is_silent_cut_off_or_leaving_is_replaced(fault):
    assert seconds_to_claim(view('a'), [view('o', **fault)], OWNER) == 0


def test_a_vm_that_can_not_reach_the_store_claims_nothing():
    me = view('a', store_age_s=STORE_TIMEOUT_S)
    assert seconds_to_claim(me, [], NO_OWNER) is None


def test_an_owner_does_not_claim_its_own_cell():
    assert seconds_to_claim(view('o'), [], OWNER) is None


def test_vms_of_other_zones_claim_only_for_a_zone_that_sends_messages():
    outside = view('a', zone='y')
    unfit = view('b', store_age_s=STORE_TIMEOUT_S)
    assert seconds_to_claim(outside, [unfit], OWNER) >= OTHER_ZONE_DELAY_S
    assert seconds_to_claim(outside, [], OWNER) is None
    assert seconds_to_claim(outside, [view('b')], OWNER) is None


def test_a_vm_of_the_zone_takes_its_cell_back():
    owner = view('o', zone='y')
    assert seconds_to_claim(view('a'), [owner], OWNER) >= TAKE_BACK_DELAY_S
    assert seconds_to_claim(view('c', zone='y'), [owner], OWNER) is None


def test_a_vm_claims_nothing_during_its_startup_delay():
    policy = CellClaimPolicy('z', 0.0)
    assert not policy.should_claim(view('a'), [], NO_OWNER, 0.1)


def test_the_largest_vm_of_the_zone_claims_first():
    listed = [
        ListedMember('small', 'z', 0.4),
        ListedMember('large', 'z', 2.0),
        ListedMember('elsewhere', 'y', 4.0),
    ]
    own = ListedMember('middle', 'z', 1.0)
    assert claim_rank(own, [], listed, owner='') == 1
    assert claim_rank(own._replace(cores=2.1), [], listed, owner='') == 0


def test_vms_that_are_known_to_be_unfit_do_not_delay_a_claim():
    listed = [ListedMember('large', 'z', 2.0), ListedMember('o', 'z', 3.0)]
    own = ListedMember('small', 'z', 0.4)
    leaving = view('large', is_leaving=True)
    assert claim_rank(own, [], listed, owner='o') == 1
    assert claim_rank(own, [leaving], listed, owner='o') == 0


def test_a_claim_is_made_within_the_bound_in_a_zone_of_hundreds_of_vms():
    """All VMs of a zone restart: the list still names processes that ended."""
    listed = [ListedMember(f'old-{n}', 'z', 2.0) for n in range(300)]
    policy = CellClaimPolicy('z', 0.0)
    policy.should_claim(view('a'), [], OWNER, 1.0, listed, 0.4)
    assert not policy.should_claim(
        view('a'), [], OWNER, 0.9 + MAX_STAGGER_S, listed, 0.4
    )
    assert policy.should_claim(
        view('a'), [], OWNER, 1.0 + MAX_STAGGER_S, listed, 0.4
    )


def test_the_first_claim_of_all_waits_until_the_others_are_registered():
    policy = CellClaimPolicy('z', 0.0)
    before_s = FIRST_CLAIM_DELAY_S - 0.01
    assert not policy.should_claim(view('a'), [], NO_OWNER, before_s)
    assert policy.should_claim(view('a'), [], NO_OWNER, FIRST_CLAIM_DELAY_S)
    restarted = CellClaimPolicy('z', 0.0)
    assert restarted.should_claim(view('a'), [], OWNER, before_s)


def test_a_new_owner_that_is_not_linked_yet_is_not_replaced():
    """Guards against VMs that claim a cell one after the other."""
    policy = CellClaimPolicy('z', 0.0)
    me = view('b')
    assert not policy.should_claim(me, [view('a')], OWNER, 1.0)
    new_owner = Owner(4, 'a', 0)
    for step in range(5):
        now = 1.0 + CLAIM_STAGGER_S + step * 0.04
        assert not policy.should_claim(me, [], new_owner, now)
    assert not policy.should_claim(me, [view('a')], new_owner, 1.5)


def seconds_to_outgrow(own_cores, owner_cores, others=()):
    policy = CellClaimPolicy('z', 0.0)
    listed = [ListedMember('o', 'z', owner_cores), *others]
    for step in range(100):
        now = 1.0 + step * 0.1
        peers = [view('o'), *(view(other.member) for other in others)]
        if policy.should_claim(view('a'), peers, OWNER, now, listed, own_cores):
            return now - 1.0
    return None


def test_the_largest_vm_takes_the_cell_from_a_much_smaller_one():
    """Guards against small VMs that stay owners until they fail."""
    assert seconds_to_outgrow(2.1, 0.5) == pytest.approx(OUTGROWN_DELAY_S)
    assert seconds_to_outgrow(2.1, 1.5) is None
    larger = ListedMember('b', 'z', 3.0)
    assert seconds_to_outgrow(2.1, 0.5, [larger]) is None


def claims_at(owner, own='a-1#2', listed=(), started_s=10.0, now=10.0):
    policy = CellClaimPolicy('z', started_s)
    view = PeerView(own, 'z', 0, 0, False)
    return policy.should_claim(view, [], Owner(1, owner, 0), now, listed)


def test_a_cell_of_a_replaced_process_is_claimed_without_delay():
    """Callers were refused for 0.4 s after all VMs had returned."""
    replaced = [ListedMember('a-2#7', 'y')]
    assert claims_at('a-1#1')
    assert claims_at('a-2#3', listed=replaced)
    assert not claims_at('a-2#7', listed=replaced)
    assert not claims_at('a-2#3')
    assert not claims_at('', listed=replaced)
