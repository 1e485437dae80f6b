"""Tests of the ejection and re-admission of back ends.

A back end that fails more than the others is ejected; one that fails together
with most of the others is not.
"""

from camphorlink.bench.experiment import Fleet, inject_fault
from camphorlink.bench.experiment_cases import CASES, plan_jobs
from camphorlink.internal.core.connection.backend_health import HealthGuard
from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import Backend


def make_loads(count):
    return [
        BackendLoad(
            Backend(f'b{n}', '', 'z', 8, 64, frozenset(('s',)), leaving=False),
            1.0,
        )
        for n in range(count)
    ]


def make_guard(loads):
    guard = HealthGuard()
    guard.install(loads, 0)
    for load in loads:
        for number in range(10):
            guard.note_success(load.backend.name, f'ok{number}')
    return guard


def ejected_names(loads):
    return [load.backend.name for load in loads if load.limit == 0]


def fail_all(guard, loads):
    for number in range(20):
        for load in loads:
            name = load.backend.name
            guard.note_failure(name, f'{name}-{number}', 1)


def test_a_back_end_that_fails_everything_is_ejected_and_probed():
    loads = make_loads(8)
    guard = make_guard(loads)
    for number in range(5):
        guard.note_failure('b0', f'job{number}', 1)
    assert ejected_names(loads) == ['b0']
    assert guard.check(2.9) == []
    assert guard.check(3.1) == ['b0']
    assert loads[0].limit == 1
    guard.note_failure('b0', 'probe', 3.2)
    assert guard.check(6) == []
    assert guard.check(7.3) == ['b0']


def test_a_job_that_fails_everywhere_ejects_no_back_end():
    loads = make_loads(8)
    guard = make_guard(loads)
    for turn in range(10):
        for load in loads:
            guard.note_failure(load.backend.name, 'poison', turn)
    assert ejected_names(loads) == []


def test_ejected_back_ends_stay_within_the_maximum_share():
    loads = make_loads(8)
    guard = make_guard(loads)
    fail_all(guard, loads[:3])
    assert len(ejected_names(loads)) == 2


def test_no_back_end_is_ejected_when_most_fail():
    loads = make_loads(8)
    guard = make_guard(loads)
    fail_all(guard, loads[:5])
    assert ejected_names(loads) == []


def test_a_leaving_back_end_gets_no_tasks():
    loads = make_loads(2)
    make_guard(loads).note_refusal('b1', Reason.BACKEND_LEAVING, 1)
    assert ejected_names(loads) == ['b1']


def test_the_limit_of_a_readmitted_back_end_doubles():
    loads = make_loads(4)
    guard = make_guard(loads)
    guard.note_refusal('b1', Reason.CONNECT_FAILED, 1)
    guard.check(2)
    limits = []
    for number in range(7):
        limits.append(loads[1].limit)
        guard.note_success('b1', f'job{number}')
    assert limits == [1, 2, 2, 4, 4, 4, 4]
    assert loads[1].limit == 8


def run_with_fault(case, seconds):
    fleet = Fleet(CASES[case], 'camphorlink', 1)
    fleet.add_vms()
    for plan in plan_jobs(fleet.case, seconds, 1):
        fleet.clock.call_at(plan.arrival_s, fleet.submit, plan)
    fleet.clock.call_at(10, inject_fault, fleet, case)
    fleet.clock.run(seconds + 5)
    return fleet


def test_a_failing_back_end_gets_under_one_percent_after_two_seconds():
    fleet = run_with_fault('fails-all', 22)
    late = [
        backend.mode
        for backend in fleet.backends()
        for start_s in backend.start_times
        if start_s > 12
    ]
    assert len(late) > 1000
    assert late.count('fail') < 0.01 * len(late)


def test_a_leaving_back_end_gets_no_start_after_three_seconds():
    fleet = run_with_fault('leaving', 16)
    leaving = [known for known in fleet.backends() if known.name.endswith('-7')]
    assert all(known.start_times for known in leaving)
    assert max(max(known.start_times) for known in leaving) < 13
