"""Tests that many coordinators with the same stale reports share all cells."""

import collections
from random import Random

from camphorlink.internal.core.request.cell_sampling import (
    CellCapacity,
    draw_cells,
)
from camphorlink.internal.core.request.cell_selector import (
    MANY_COORDINATORS,
    CellLoad,
    CellSelector,
    FreeCapacity,
    TaskGroup,
)
from camphorlink.internal.core.request.durable_job import Resources, Step

STEP = Step(8, Resources(8_000), 60)
GROUP = TaskGroup('s', STEP, 8, 0.06)
#: The first cell has the fastest back ends.
SPEED_BY_CELL = {'a': 1.3, 'b': 1.2, 'c': 1.1, 'd': 1.0, 'e': 0.9}


def report(cell, speed, free=24, wait_s=0.0):
    """Returns the load of 54 back ends of 16 cores."""
    cpu = 54 * 16_000
    return CellLoad(
        cell,
        's',
        1,
        tuple(FreeCapacity(speed, 8_000) for _ in range(free)),
        wait_s,
        0.0,
        round(cpu * speed),
        cpu,
    )


def tasks_of_one_period(coordinators, reports):
    """Lets each of 97 VMs place two jobs before the next load reports.

    Returns:
        The number of tasks by cell.
    """
    tasks_by_cell = collections.Counter()
    for number in range(97):
        selector = CellSelector('e', f'vm-{number}')
        selector.coordinators = coordinators
        for load in reports:
            selector.record_load(load)
        for _ in range(2):
            plan = selector.plan(GROUP, list(SPEED_BY_CELL))
            selector.reserve(plan, GROUP)
            tasks_by_cell.update(plan.cells)
    return tasks_by_cell


def test_coordinators_with_the_same_reports_do_not_flood_the_fastest_cell():
    reports = [report(*entry) for entry in SPEED_BY_CELL.items()]
    flooded = tasks_of_one_period(2, reports)
    assert flooded == {'a': 97 * 16}
    shared = tasks_of_one_period(MANY_COORDINATORS, reports)
    fair = 97 * 16 / 5
    for cell, speed in SPEED_BY_CELL.items():
        assert abs(shared[cell] - fair * speed / 1.1) < 0.1 * fair


def test_a_cell_with_a_queue_gets_less_and_one_with_free_capacity_more():
    reports = [
        report('a', 1.0, free=24),
        report('b', 1.0, free=0),
        report('c', 1.0, free=0, wait_s=0.08),
        report('d', 1.0, free=0, wait_s=2.0),
    ]
    tasks = tasks_of_one_period(MANY_COORDINATORS, reports)
    assert tasks['a'] > 1.3 * tasks['b']
    assert tasks['b'] > 2 * tasks['c']
    assert tasks['d'] < 0.1 * tasks['b']


def test_a_draw_gives_each_cell_its_share_up_to_one_task():
    capacities = [
        CellCapacity(name, 1000 * weight, 1000 * weight, 0, 0.0)
        for name, weight in (('a', 1), ('b', 3))
    ]
    for seed in range(50):
        drawn = draw_cells(capacities, 8, Random(seed))
        assert sum(entry.cell == 'a' for entry in drawn) == 2


def test_the_expected_end_includes_the_queue_only_without_free_capacity():
    free = CellCapacity('a', 2000, 1000, 1000, 0.3)
    full = CellCapacity('a', 2000, 1000, 0, 0.3)
    assert free.expected_end_s(0.2) == 0.1
    assert full.expected_end_s(0.2) == 0.4
