"""Tests which VMs each method of spreading a configuration reaches.

The methods run in the simulation of the broadcast measurement.
"""

import pytest

from camphorlink.bench.broadcast import FAULTS, BroadcastFleet, Sizes, simulate

SIZES = Sizes(record=277, state=14_381)
NO_FAULT, INNER_VM_DEAD, LOG_UNREACHABLE, ZONE_PARTITIONED = FAULTS


def spread(size, fault, method):
    return simulate(BroadcastFleet(size, fault, SIZES, seed=3), fault, method)


@pytest.mark.parametrize('size', [2, 8, 24, 144])
def test_the_spanning_tree_reaches_each_vm_with_one_message(size):
    fleet = spread(size, NO_FAULT, 'tree')
    assert set(fleet.received_s_by_vm) == set(fleet.keys)
    log_reads = 1
    assert fleet.messages - log_reads == size - 1


def test_vms_below_a_dead_inner_vm_miss_the_change():
    fleet = spread(144, INNER_VM_DEAD, 'tree')
    assert len(fleet.received_s_by_vm) < 144 - len(fleet.dead)


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('size', [8, 24, 144])
def test_log_tails_with_exchange_reach_every_live_vm(size, fault):
    fleet = spread(size, fault, 'tail+exchange')
    assert set(fleet.received_s_by_vm) == set(fleet.keys) - fleet.dead
