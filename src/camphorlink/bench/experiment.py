"""Measures placement against the ideal: ``make experiment``.

Real entry cores run on a virtual clock against fake back ends, so the same
seed gives the same figures on every machine.
"""

import random
import statistics
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import click
import orjson

from camphorlink.bench import experiment_cases as cases
from camphorlink.bench.experiment_baselines import (
    CHOOSER_BY_POLICY,
    BaselineRun,
)
from camphorlink.bench.experiment_cases import (
    CASES,
    FAULT_S,
    WARM_UP_S,
    Case,
    JobPlan,
    plan_jobs,
)
from camphorlink.bench.experiment_fleet import (
    Clock,
    EntryVm,
    FakeBackend,
    Network,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.members import Member, build_view
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    mint_submission_id,
)
from camphorlink.internal.core.request.job import Answer, Job, TaskSpec
from camphorlink.internal.core.request.reasons import Reason
from camphorlink.internal.core.version.manifest import check_manifest

MS_PER_S = 1000
DRAIN_S = 20.0
DETECT_S = 2.0
CANCELLED_TASKS = 5000
CANCEL_AFTER_S = 0.1
ON_TIME_STRETCH = 2.5
TABLE_ENTRIES = 100_000
CORE_POLICIES = ('camphorlink', 'central')
POLICIES = (*CORE_POLICIES, 'central-fifo', *CHOOSER_BY_POLICY)


class Record(NamedTuple):
    """What became of one job."""

    plan: JobPlan
    response_s: float | None
    reason: str = ''

    @property
    def stretch(self) -> float:
        """Response time as a multiple of the ideal."""
        if self.response_s is None:
            return float('inf')
        return self.response_s / self.plan.ideal_s


class Fleet:
    """All back ends and entry VMs of one run, and the records of its jobs."""

    def __init__(self, case: Case, policy: str, seed: int) -> None:
        """Builds the fleet; ``policy`` is one of ``POLICIES``."""
        self.case = case
        self.policy = policy
        self.clock = Clock()
        self.counts: Counter[str] = Counter()
        self.records: list[Record] = []
        self.rng = random.Random(seed)
        self.backends_by_zone = {
            zone: [
                FakeBackend(self.clock, f'{zone}-{number}', speed)
                for number, speed in enumerate(cases.SPEEDS)
            ]
            for zone in cases.ZONES
        }
        self.vms_by_zone: dict[str, list[EntryVm]] = {}
        self.network = Network(
            self.clock,
            {backend.name: backend for backend in self.backends()},
            {},
            self.counts,
            set(),
        )
        self._plans: list[JobPlan] = []
        self._version = 0

    def backends(self) -> list[FakeBackend]:
        """Lists the back ends of all zones."""
        return [
            backend
            for zone in cases.ZONES
            for backend in self.backends_by_zone[zone]
        ]

    def add_vms(self) -> None:
        """Starts the entry VMs, one for each zone if the queue is central."""
        for zone, weights in zip(
            cases.ZONES,
            self.case.vm_weights,
            strict=True,
        ):
            sizes = weights if self.policy == 'camphorlink' else (1.0,)
            self.vms_by_zone[zone] = [
                self._build_vm(zone, number, weight)
                for number, weight in enumerate(sizes)
            ]
        self.publish_manifest()
        self.publish_view()

    def publish_manifest(self, leaving: Sequence[str] = ()) -> None:
        """Puts a manifest in force everywhere."""
        self._version += 1
        backends = {
            backend.name: {
                'address': '127.0.0.1:80',
                'zone': zone,
                'slots': cases.SLOTS,
                'connections': 64,
                'services': ['caster'],
                'leaving': backend.name in leaving,
            }
            for zone in cases.ZONES
            for backend in self.backends_by_zone[zone]
        }
        manifest = check_manifest(
            {
                'schema': 1,
                'services': {'caster': {'max_task_ms': 20_000}},
                'backends': backends,
                'teams': {
                    team: {} for team in (*cases.TEAMS, cases.FLOOD_TEAM)
                },
            }
        )
        # The fakes are found by name: they have no addresses.
        named = {
            name: backend._replace(address=name)
            for name, backend in manifest.backends_by_name.items()
        }
        self.broadcast(
            messages.VersionInForce(
                self._version,
                manifest._replace(backends_by_name=named),
            )
        )

    def publish_view(self) -> None:
        """Tells all entry VMs which of them live."""
        self.broadcast(
            messages.MembersChanged(
                build_view(vm.member for vm in self.vms() if vm.is_up),
            )
        )

    def vms(self) -> list[EntryVm]:
        """Lists the entry VMs of all zones."""
        return [vm for vms in self.vms_by_zone.values() for vm in vms]

    def broadcast(self, message: messages.Message) -> None:
        """Hands a message to every entry VM."""
        for vm in self.vms():
            vm.post(message)

    def submit(
        self,
        plan: JobPlan,
        zone: str = '',
    ) -> tuple[EntryVm, SubmissionId]:
        """Submits a job to an entry VM of a zone, as a balancer would."""
        vms = [vm for vm in self.vms_by_zone[zone or plan.zone] if vm.is_up]
        weights = [vm.member.weight for vm in vms]
        vm = self.rng.choices(vms, weights)[0]
        caller = len(self._plans)
        self._plans.append(plan)
        now = self.clock.now
        job = Job(
            'caster',
            plan.team,
            tuple(
                TaskSpec(
                    str(position),
                    task.work_s,
                    task.task_class,
                    task.declared_s * MS_PER_S,
                )
                for position, task in enumerate(plan.tasks)
            ),
            now + 1 + 8 * plan.ideal_s,
            idempotent=False,
            digest=str(caller),
        )
        submission_id = mint_submission_id(vm.member.home, now, self.rng)
        vm.post(messages.Submit(submission_id, job, caller))
        return vm, submission_id

    def _build_vm(self, zone: str, number: int, weight: float) -> EntryVm:
        home = Home(zone, f'entry-{number}', f'{number:016x}')
        return EntryVm(
            EntryCore(home, 0, TABLE_ENTRIES),
            self.network,
            Member(home, str(home), weight=weight),
            self._note_answer,
        )

    def _note_answer(self, caller: int, answer: Answer) -> None:
        plan = self._plans[caller]
        reason = answer.reason.value if answer.reason else ''
        if answer.reason is Reason.NO_BACKEND:
            self.counts['handoffs'] += 1
            self.submit(plan, cases.ZONES[1 + caller % 2])
            return
        self.note_end(plan, reason)

    def note_end(self, plan: JobPlan, reason: str = '') -> None:
        """Records that a job ended now, whole or for a reason."""
        response_s = None if reason else self.clock.now - plan.arrival_s
        self.records.append(Record(plan, response_s, reason))


class Run(NamedTuple):
    """What one case came to under one policy."""

    case: str
    policy: str
    records: list[Record]
    counts: Counter[str]
    max_over_slots: int


def run_case(name: str, policy: str, until_s: float, seed: int) -> Run:
    """Runs one case under one policy, in virtual time.

    Args:
        name: One of ``CASES``.
        policy: One of ``POLICIES``.
        until_s: When the last job arrives, in seconds.
        seed: Draws the jobs and all chances.
    """
    case = CASES[name]
    fleet = Fleet(case, policy, seed)
    submit: Callable[[JobPlan], object] = fleet.submit
    if policy in CORE_POLICIES:
        fleet.add_vms()
    else:
        submit = BaselineRun(fleet, seed).submit
    for plan in plan_jobs(case, until_s, seed):
        fleet.clock.call_at(plan.arrival_s, submit, plan)
    if case.fault:
        fleet.clock.call_at(FAULT_S, inject, fleet, case.fault)
    fleet.clock.run(until_s + DRAIN_S)
    over = max(known.max_running - known.slots for known in fleet.backends())
    return Run(name, policy, fleet.records, fleet.counts, over)


def inject(fleet: Fleet, fault: str) -> None:
    """Makes a fault happen; a fault of one back end, in each zone."""
    if fault == 'rack-lost':
        for backend in fleet.backends_by_zone[cases.ZONES[0]]:
            backend.mode = 'dead'
    elif fault == 'zone-cut':
        fleet.network.cut_zones.add(cases.ZONES[0])
    elif fault == 'leaving':
        names = [f'{zone}-7' for zone in cases.ZONES]
        fleet.clock.call_in(1, fleet.publish_manifest, names)
    else:
        for each_zone in cases.ZONES:
            _inject_in_zone(fleet, fault, each_zone)


def _inject_in_zone(fleet: Fleet, fault: str, zone: str) -> None:
    backend = fleet.backends_by_zone[zone][-2]
    if fault == 'straggler':
        backend.speed /= 10
    elif fault == 'fails-all':
        backend.mode = 'fail'
    elif fault == 'cancel-wave':
        _cancel_wave(fleet, zone)
    elif fault == 'vm-lost':
        _lose_vm(fleet, zone)


def _lose_vm(fleet: Fleet, zone: str) -> None:
    if fleet.policy == 'camphorlink':
        fleet.vms_by_zone[zone][0].is_up = False
        fleet.clock.call_in(DETECT_S, fleet.publish_view)


def _cancel_wave(fleet: Fleet, zone: str) -> None:
    if fleet.policy not in CORE_POLICIES:
        return
    task = cases.TaskPlan(1, 1, 'fix')
    tasks = (task,) * cases.MAX_TASKS
    for _ in range(CANCELLED_TASKS // cases.MAX_TASKS // len(cases.ZONES)):
        plan = JobPlan(fleet.clock.now, zone, cases.FLOOD_TEAM, tasks, 'flood')
        vm, submission_id = fleet.submit(plan)
        message = messages.Cancel(str(submission_id))
        fleet.clock.call_in(CANCEL_AFTER_S, vm.post, message)


def summarize(run: Run) -> dict[str, Any]:
    """Works out the users' measures of one run."""
    seen = [
        record
        for record in run.records
        if record.plan.kind != 'flood' and record.plan.arrival_s > WARM_UP_S
    ]
    stretches = sorted(record.stretch for record in seen)
    shorts = sorted(
        record.response_s
        for record in seen
        if record.plan.kind == 'short'
        and record.response_s is not None
        and record.plan.arrival_s > FAULT_S
    )
    by_team = [_team_median(seen, team) for team in cases.TEAMS]
    per_thousand = 1000 / max(run.counts['starts'], 1)
    on_time = bisect_right(stretches, ON_TIME_STRETCH)
    failed = Counter(
        f'{record.plan.kind}:{record.reason}'
        for record in seen
        if record.reason
    )
    return {
        'case': run.case,
        'policy': run.policy,
        'jobs': len(seen),
        'median': quantile(stretches, 0.5),
        'p99': quantile(stretches, 0.99),
        'on_time': round(on_time / len(seen), 4),
        'short_p99_s': quantile(shorts, 0.99),
        'unfair': round(max(by_team) / min(by_team), 3),
        'over': run.max_over_slots,
        'per_1000': {
            name: round(count * per_thousand, 2)
            for name, count in sorted(run.counts.items())
            if name != 'starts'
        },
        'not_complete': dict(failed),
    }


def _team_median(records: list[Record], team: str) -> float:
    return statistics.median(
        record.stretch for record in records if record.plan.team == team
    )


def quantile(ordered: list[float], share: float) -> float:
    """Returns the value below which ``share`` of the sorted values lie."""
    if not ordered:
        return float('nan')
    return round(ordered[min(int(len(ordered) * share), len(ordered) - 1)], 3)


@click.command()
@click.option('--case', 'names', multiple=True, type=click.Choice(list(CASES)))
@click.option(
    '--policy', 'policies', multiple=True, type=click.Choice(POLICIES)
)
@click.option('--seconds', default=40.0, help='Virtual time of arrivals.')
@click.option('--seed', default=1)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
def main(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    seconds: float,
    seed: int,
    as_json: bool,
) -> None:
    """Prints one line for each case and policy."""
    for name in names or CASES:
        for policy in policies or POLICIES:
            summary = summarize(run_case(name, policy, seconds, seed))
            click.echo(orjson.dumps(summary) if as_json else write(summary))


def write(summary: dict[str, Any]) -> str:
    """Writes a summary as a line for people."""
    return (
        '{case:13} {policy:18} jobs {jobs:5} median {median:6} '
        'p99 {p99:7} on-time {on_time:6} short-p99 {short_p99_s:6} '
        'unfair {unfair:6} over {over} {per_1000} {not_complete}'
    ).format(**summary)


if __name__ == '__main__':
    main()
