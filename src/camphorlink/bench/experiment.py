"""Compares the response times of placement policies with the ideal.

Run it with ``make experiment``.  Real entry cores run on a virtual clock with
simulated back ends, so the same seed gives the same figures on every machine.
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
    FAULT_AT_S,
    WARM_UP_DURATION_S,
    Case,
    JobPlan,
    plan_jobs,
)
from camphorlink.bench.experiment_fleet import (
    EntryVm,
    FakeBackend,
    Network,
    VirtualClock,
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
DRAIN_DURATION_S = 20.0
VM_LOSS_DETECTION_S = 2.0
CANCELLED_TASKS = 5000
CANCEL_AFTER_S = 0.1
MAX_ON_TIME_STRETCH = 2.5
TABLE_ENTRIES = 100_000
CORE_POLICIES = ('camphorlink', 'central')
POLICIES = (*CORE_POLICIES, 'central-fifo', *CHOOSER_BY_POLICY)


class JobRecord(NamedTuple):
    """Result of one job.

    Attributes:
        plan: The submitted job.
        response_s: Response time in seconds, or ``None`` if the job was not
            completed.
        reason: Why the job was not completed, or empty.
    """

    plan: JobPlan
    response_s: float | None
    reason: str = ''

    @property
    def stretch(self) -> float:
        """Response time divided by the ideal one; infinite if not completed."""
        if self.response_s is None:
            return float('inf')
        return self.response_s / self.plan.ideal_s


class Fleet:
    """Simulated back ends and entry VMs of one run, with the job results.

    Attributes:
        case: Case that is run.
        policy: One of ``POLICIES``.
        clock: Virtual clock of the run.
        counts: Counters of events, by name.
        records: Results of the jobs that have ended.
        rng: Source of randomness of the run.
        backends_by_zone: Simulated back ends, slowest first.
        vms_by_zone: Simulated entry VMs.
        network: Connects the entry VMs to back ends and peers.
    """

    def __init__(self, case: Case, policy: str, seed: int) -> None:
        """Creates the back ends, but no entry VMs.

        Args:
            case: Case to run.
            policy: One of ``POLICIES``.
            seed: Seed of the source of randomness.
        """
        self.case = case
        self.policy = policy
        self.clock = VirtualClock()
        self.counts: Counter[str] = Counter()
        self.records: list[JobRecord] = []
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
        """Returns the back ends of all zones."""
        return [
            backend
            for zone in cases.ZONES
            for backend in self.backends_by_zone[zone]
        ]

    def add_vms(self) -> None:
        """Creates the entry VMs and sends them the manifest and the members.

        With the policy ``central``, each zone has one VM and thus one queue.
        """
        for zone, weights in zip(
            cases.ZONES,
            self.case.vm_weights,
            strict=True,
        ):
            used_weights = weights if self.policy == 'camphorlink' else (1.0,)
            self.vms_by_zone[zone] = [
                self._build_vm(zone, number, weight)
                for number, weight in enumerate(used_weights)
            ]
        self.publish_manifest()
        self.publish_view()

    def publish_manifest(self, leaving: Sequence[str] = ()) -> None:
        """Sends a new version of the manifest to all entry VMs.

        Args:
            leaving: Names of the back ends that are marked as leaving.
        """
        self._version += 1
        backends = {
            backend.name: {
                'address': '127.0.0.1:80',
                'zone': zone,
                'slots': cases.SLOTS_PER_BACKEND,
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
        # Simulated back ends have no address and are looked up by name.
        backends_by_name = {
            name: backend._replace(address=name)
            for name, backend in manifest.backends_by_name.items()
        }
        self.broadcast(
            messages.VersionInForce(
                self._version,
                manifest._replace(backends_by_name=backends_by_name),
            )
        )

    def publish_view(self) -> None:
        """Sends the membership view of the running VMs to all entry VMs."""
        self.broadcast(
            messages.MembersChanged(
                build_view(vm.member for vm in self.vms() if vm.is_up),
            )
        )

    def vms(self) -> list[EntryVm]:
        """Returns the entry VMs of all zones."""
        return [vm for vms in self.vms_by_zone.values() for vm in vms]

    def broadcast(self, message: messages.Message) -> None:
        """Delivers a message to every entry VM."""
        for vm in self.vms():
            vm.post(message)

    def submit(
        self,
        plan: JobPlan,
        zone: str = '',
    ) -> tuple[EntryVm, SubmissionId]:
        """Submits a job to a random entry VM, as a load balancer would.

        Args:
            plan: Job to submit.
            zone: Zone of the entry VM; the zone of the job if empty.

        Returns:
            The entry VM, drawn by weight, and the submission identifier.
        """
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
            self._handle_answer,
        )

    def _handle_answer(self, caller: int, answer: Answer) -> None:
        plan = self._plans[caller]
        reason = answer.reason.value if answer.reason else ''
        if answer.reason is Reason.NO_BACKEND:
            self.counts['handoffs'] += 1
            self.submit(plan, cases.ZONES[1 + caller % 2])
            return
        self.record_completion(plan, reason)

    def record_completion(self, plan: JobPlan, reason: str = '') -> None:
        """Records the completion or failure of a job at the current time.

        Args:
            plan: Job that has ended.
            reason: Why the job was not completed, or empty.
        """
        response_s = None if reason else self.clock.now - plan.arrival_s
        self.records.append(JobRecord(plan, response_s, reason))


class CaseRun(NamedTuple):
    """Results of one case under one policy.

    Attributes:
        case: Name of the case.
        policy: Name of the policy.
        records: Results of the jobs that have ended.
        counts: Counters of events, by name.
        max_over_slots: Largest number of tasks above the slots of a back end.
    """

    case: str
    policy: str
    records: list[JobRecord]
    counts: Counter[str]
    max_over_slots: int


def run_case(name: str, policy: str, until_s: float, seed: int) -> CaseRun:
    """Simulates one case under one policy.

    Args:
        name: One of ``CASES``.
        policy: One of ``POLICIES``.
        until_s: End of the arrivals, in seconds of virtual time.
        seed: Seed of the jobs and of all random choices.
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
        fleet.clock.call_at(FAULT_AT_S, inject_fault, fleet, case.fault)
    fleet.clock.run(until_s + DRAIN_DURATION_S)
    max_over_slots = max(
        known.max_running - known.slots for known in fleet.backends()
    )
    return CaseRun(name, policy, fleet.records, fleet.counts, max_over_slots)


def inject_fault(fleet: Fleet, fault: str) -> None:
    """Injects a fault into a running fleet.

    A fault of a single back end or entry VM is injected in each zone.

    Args:
        fleet: Fleet in which the fault occurs.
        fault: Name of the fault, as in the cases.
    """
    if fault == 'rack-lost':
        for backend in fleet.backends_by_zone[cases.ZONES[0]]:
            backend.mode = 'dead'
    elif fault == 'zone-cut':
        fleet.network.partitioned_zones.add(cases.ZONES[0])
    elif fault == 'leaving':
        names = [f'{zone}-7' for zone in cases.ZONES]
        fleet.clock.call_in(1, fleet.publish_manifest, names)
    else:
        for each_zone in cases.ZONES:
            _inject_fault_in_zone(fleet, fault, each_zone)


def _inject_fault_in_zone(fleet: Fleet, fault: str, zone: str) -> None:
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
        fleet.clock.call_in(VM_LOSS_DETECTION_S, fleet.publish_view)


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


def summarize(run: CaseRun) -> dict[str, Any]:
    """Computes the measures of one run that are reported to the users."""
    measured = [
        record
        for record in run.records
        if record.plan.kind != 'flood'
        and record.plan.arrival_s > WARM_UP_DURATION_S
    ]
    stretches = sorted(record.stretch for record in measured)
    short_responses_s = sorted(
        record.response_s
        for record in measured
        if record.plan.kind == 'short'
        and record.response_s is not None
        and record.plan.arrival_s > FAULT_AT_S
    )
    team_medians = [_team_median(measured, team) for team in cases.TEAMS]
    per_thousand = 1000 / max(run.counts['starts'], 1)
    on_time_count = bisect_right(stretches, MAX_ON_TIME_STRETCH)
    failed = Counter(
        f'{record.plan.kind}:{record.reason}'
        for record in measured
        if record.reason
    )
    return {
        'case': run.case,
        'policy': run.policy,
        'jobs': len(measured),
        'median': quantile(stretches, 0.5),
        'p99': quantile(stretches, 0.99),
        'on_time': round(on_time_count / len(measured), 4),
        'short_p99_s': quantile(short_responses_s, 0.99),
        'unfair': round(max(team_medians) / min(team_medians), 3),
        'over': run.max_over_slots,
        'per_1000': {
            name: round(count * per_thousand, 2)
            for name, count in sorted(run.counts.items())
            if name != 'starts'
        },
        'not_complete': dict(failed),
    }


def _team_median(records: list[JobRecord], team: str) -> float:
    return statistics.median(
        record.stretch for record in records if record.plan.team == team
    )


def quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile, rounded to three digits.

    Args:
        ordered: Values in ascending order.
        share: Share of the values that lie below the quantile.

    Returns:
        The quantile, or NaN if there are no values.
    """
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
    """Print one line for each case and policy."""
    for name in names or CASES:
        for policy in policies or POLICIES:
            summary = summarize(run_case(name, policy, seconds, seed))
            click.echo(
                orjson.dumps(summary) if as_json else format_summary(summary)
            )


def format_summary(summary: dict[str, Any]) -> str:
    """Formats a summary as one human-readable line."""
    return (
        '{case:13} {policy:18} jobs {jobs:5} median {median:6} '
        'p99 {p99:7} on-time {on_time:6} short-p99 {short_p99_s:6} '
        'unfair {unfair:6} over {over} {per_1000} {not_complete}'
    ).format(**summary)


if __name__ == '__main__':
    main()
