"""What the ways to spread a configuration promise, in the experiment."""

import pytest

from camphorlink.bench.broadcast import FAULTS, Fleet, Sizes, play

SIZES = Sizes(record=277, state=14_381)
NO_FAULT, INNER_DEAD, WITHOUT_LOG, CUT_OFF = FAULTS


def spread(size, fault, way):
    return play(Fleet(size, fault, SIZES, seed=3), fault, way)


@pytest.mark.parametrize('size', [2, 8, 24, 144])
def test_the_tree_reaches_everyone_with_one_message_each(size):
    fleet = spread(size, NO_FAULT, 'tree')
    assert set(fleet.learned_s) == set(fleet.keys)
    read_of_the_log = 1
    assert fleet.messages - read_of_the_log == size - 1


def test_one_dead_inner_vm_costs_the_tree_its_interval():
    fleet = spread(144, INNER_DEAD, 'tree')
    assert len(fleet.learned_s) < 144 - len(fleet.dead)


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('size', [8, 24, 144])
def test_tails_with_exchange_reach_everyone_who_lives(size, fault):
    fleet = spread(size, fault, 'tail+exchange')
    assert set(fleet.learned_s) == set(fleet.keys) - fleet.dead
