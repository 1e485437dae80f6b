"""Tests that each decision on a submission is recorded with its reason."""

from camphorlink.bench.experiment import Fleet
from camphorlink.bench.experiment_cases import CASES, JobPlan, TaskPlan
from camphorlink.internal.core.process import messages


def test_queueing_placement_retry_and_refusal_are_explained():
    fleet = Fleet(CASES['steady-50'], 'camphorlink', 1)
    fleet.add_vms()
    vm = fleet.vms_by_zone['larissa'][0]
    explanations = []
    handle = vm.core.handle

    def record(message, now):
        effects = handle(message, now)
        explanations.extend(
            e for e in effects if isinstance(e, messages.Explain)
        )
        return effects

    vm.core.handle = record
    fleet.vms_by_zone['larissa'] = [vm]
    for backend in fleet.backends_by_zone['larissa'][:7]:
        backend.mode = 'leaving'
    task = TaskPlan(0.1, 0.1, 'fix')
    _vm, submission_id = fleet.submit(
        JobPlan(0, 'larissa', 'north', (task,) * 12, 'short'),
    )
    fleet.clock.run(5)
    assert {explanation.submission_id for explanation in explanations} == {
        str(submission_id)
    }
    events = [explanation.event for explanation in explanations]
    assert events[0] == 'queued'
    assert events.count('retried') == fleet.counts['wasted:backend-leaving'] > 0
    assert events.count('placed') == fleet.counts['starts'] >= 12
    placed = next(
        explanation
        for explanation in explanations
        if explanation.event == 'placed'
    )
    assert {'position', 'backend', 'why', 'expected_s'} <= set(placed.facts)
    for backend in fleet.backends_by_zone['larissa']:
        backend.mode = 'leaving'
    explanations.clear()
    fleet.publish_manifest([b.name for b in fleet.backends()])
    vms = {zone: [vm] for zone in fleet.vms_by_zone}
    fleet.vms_by_zone = vms
    fleet.submit(JobPlan(5, 'larissa', 'nobody', (task,), 'short'))
    assert [explanation.event for explanation in explanations] == ['refused']
    assert explanations[0].facts['reason'] == 'unknown-team'
