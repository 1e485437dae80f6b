"""Every decision about a submission is recorded with its reason."""

from camphorlink.bench.experiment import Fleet
from camphorlink.bench.experiment_cases import CASES, JobPlan, TaskPlan
from camphorlink.internal.core.process import messages


def test_queued_placed_retried_and_refused_are_explained():
    fleet = Fleet(CASES['steady-50'], 'camphorlink', 1)
    fleet.add_vms()
    vm = fleet.vms_by_zone['larissa'][0]
    seen = []
    handle = vm.core.handle

    def record(message, now):
        effects = handle(message, now)
        seen.extend(e for e in effects if isinstance(e, messages.Explain))
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
    assert {note.submission_id for note in seen} == {str(submission_id)}
    events = [note.event for note in seen]
    assert events[0] == 'queued'
    assert events.count('retried') == fleet.counts['wasted:backend-leaving'] > 0
    assert events.count('placed') == fleet.counts['starts'] >= 12
    placed = next(note for note in seen if note.event == 'placed')
    assert {'position', 'backend', 'why', 'expected_s'} <= set(placed.facts)
    for backend in fleet.backends_by_zone['larissa']:
        backend.mode = 'leaving'
    seen.clear()
    fleet.publish_manifest([b.name for b in fleet.backends()])
    vms = {zone: [vm] for zone in fleet.vms_by_zone}
    fleet.vms_by_zone = vms
    fleet.submit(JobPlan(5, 'larissa', 'nobody', (task,), 'short'))
    assert [note.event for note in seen] == ['refused']
    assert seen[0].facts['reason'] == 'unknown-team'
