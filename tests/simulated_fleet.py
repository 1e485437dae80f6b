"""A whole fleet of entry VMs in one process, in virtual time.

The VMs are real ``JobNode`` objects; the network, the store and the back ends
are simulated.  A scenario runs deterministically: see ``run_in_fleet``.
"""

import asyncio
import collections
import contextvars
import itertools
from typing import NamedTuple
from unittest import mock

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.shell.process import peers
from camphorlink.internal.shell.process.steady_clock import wall_ms
from camphorlink.internal.shell.request.job_handler import (
    JobAnswer,
    JobHandler,
    Verdict,
)
from recording_backends import CallFaults, RecordingBackend
from run_overlaps import Decisions
from simulated_backends import listed, make_job
from simulated_network import Rule, SimulatedNetwork
from simulated_store import (
    BACKENDS_TOPIC,
    CONFIG_TOPIC,
    DRAIN_PREFIX,
    SimulatedStore,
    StoreAccess,
)
from simulated_vm import CURRENT_VM, SimulatedVm
from virtual_loop import run_in_virtual_time

BACKEND_CPU_MILLI = 64_000
#: Time after a broken connection, or an answer without an outcome, after which
#: a caller sends its job again, in seconds: a bound of the platform.
RESEND_S = 1.3
MAX_SUBMISSIONS = 4
JOB_TIMEOUT_S = 8.0
#: Time for which callers wait until a job, or its cancellation, is stored, in
#: seconds.
STORE_TIMEOUT_S = 1.5
READY_TIMEOUT_S = 10.0
POLL_S = 0.02


class Answered(NamedTuple):
    """Answer to a submission, and the times of both in seconds."""

    start_s: float
    end_s: float
    job_id: str
    answer: JobAnswer


class SimulatedFleet:
    """Entry VMs, back ends, a store and callers.

    Attributes:
        spans: All runs on back ends.
        decisions: What coordinators decided and owners received.
        submissions: Time, job and VM of each submission.
        answers: Answers of all submissions whose connection did not break.
    """

    def __init__(self, zone_by_vm, backends_per_zone=2):
        self.zone_by_vm = dict(zone_by_vm)
        self.zones = sorted(set(zone_by_vm.values()))
        self.network = SimulatedNetwork()
        self.store = SimulatedStore()
        self.spans = []
        self.decisions = Decisions()
        self.submissions = []
        self.answers = []
        self.vm_by_name = {}
        self.backend_by_id = {}
        self.listed_by_id = {}
        self.crashing_jobs = set()
        self._attempts_by_vm = collections.defaultdict(dict)
        self._handler_by_vm = {}
        self._job_numbers = itertools.count(1)
        numbers = itertools.count(1)
        for zone in self.zones:
            for _ in range(backends_per_zone):
                self._add_backend(f'{zone}-i-{next(numbers)}', zone)

    def _add_backend(self, backend_id, zone):
        entry = listed(
            backend_id, zone, BACKEND_CPU_MILLI, labels=('a', f'rack-{zone}')
        )
        self.listed_by_id[backend_id] = entry
        backend = RecordingBackend(entry, self.spans, self._relist)
        backend.crashing_jobs = self.crashing_jobs
        self.backend_by_id[backend_id] = backend

    def _relist(self, backend, former_id):
        """Lists a back end that has started again under another identifier."""
        backend_id = backend.listed.backend_id
        self.backend_by_id[backend_id] = backend
        self.listed_by_id[backend_id] = backend.listed
        topic = self.store.topics[BACKENDS_TOPIC]
        encode_keyed = StoreAccess(self.store).encode_keyed
        topic.append([encode_keyed(backend_id, b'listed')], None)
        if former_id != backend_id:
            self.listed_by_id.pop(former_id)
            topic.append([encode_keyed(former_id, b'')], None)

    def cores_of(self, vm):
        """Returns the size of a VM: the first of a zone claims its cell."""
        return 100.0 - list(self.zone_by_vm).index(vm)

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    async def start(self):
        """Starts all VMs and waits until each of them can run jobs."""
        asyncio.get_running_loop().set_task_factory(self._create_task)
        publish = StoreAccess(self.store)
        await publish.append(CONFIG_TOPIC, [publish.encode_keyed('c', b'c')], 1)
        for backend_id in self.backend_by_id:
            record = publish.encode_keyed(backend_id, b'listed')
            await publish.append(BACKENDS_TOPIC, [record], 1)
        for vm in self.zone_by_vm:
            await self.start_vm(vm)
        await self.wait_until(self._is_ready)

    async def start_vm(self, name):
        vm = SimulatedVm(self, name, self.zone_by_vm[name])
        self.vm_by_name[name] = vm
        await vm.create_task(vm.node.__aenter__())

    def kill(self, name, is_silent=False):
        """Ends a process abruptly, or with ``is_silent`` the whole VM."""
        self.vm_by_name[name].kill(is_silent)

    def _is_ready(self):
        (step,) = make_job().steps
        return all(
            vm.node.is_ready
            and len(vm.node.coordinator._cells_with_recent_load('s', step))
            == len(self.zones)
            for vm in self.live_vms()
        )

    def live_vms(self):
        return [vm for vm in self.vm_by_name.values() if vm.is_live]

    async def wait_until(self, condition, timeout_s=READY_TIMEOUT_S):
        end_s = self.now_s + timeout_s
        while not condition():
            assert self.now_s < end_s, condition
            await asyncio.sleep(POLL_S)

    def _create_task(self, loop, coroutine, context=None):
        task = asyncio.Task(coroutine, loop=loop, context=context)
        reader = contextvars.copy_context() if context is None else context
        vm = self.vm_by_name.get(reader.get(CURRENT_VM, ''))
        if vm is not None:
            vm.add_task(task)
        return task

    def owner_of(self, cell):
        """Returns the name of the VM that owns a cell, by the live VMs."""
        owners = collections.Counter(
            vm.node.table.owner_of(cell).member.partition('#')[0]
            for vm in self.live_vms()
        )
        return owners.most_common(1)[0][0]

    # Faults.

    def cut(self, sender, receiver, rule=Rule.DROP):
        """Stops the packets from one VM to another."""
        self.network.set_rule(sender, receiver, rule)

    def partition(self, vms, rule=Rule.DROP):
        """Cuts VMs off from all others, in both directions."""
        for inner in vms:
            for outer in self.zone_by_vm.keys() - set(vms):
                self.cut(inner, outer, rule)
                self.cut(outer, inner, rule)

    def set_call_faults(self, vm, backend_id, **faults):
        entry = self.vm_by_name[vm].backends.faults_by_backend[backend_id]
        for name, setting in faults.items():
            setattr(entry, name, setting)

    def set_drain(self, zone, content=b'{}'):
        """Writes a request to drain a zone; empty content cancels it."""
        key = f'{DRAIN_PREFIX}{zone}'
        record = StoreAccess(self.store).encode_keyed(key, content)
        self.store.topics[CONFIG_TOPIC].append([record], None)

    def backends_in(self, zone):
        return [
            backend_id
            for backend_id, entry in self.listed_by_id.items()
            if entry.zone == zone
        ]

    def heal(self):
        """Ends all faults but kills."""
        for sender, receiver in itertools.permutations(self.zone_by_vm, 2):
            self.network.set_rule(sender, receiver, Rule.DELIVER)
        for vm in self.live_vms():
            vm.store.is_cut = False
            vm.store.loses_answers = False
            vm.store.unanswered_topics = set()
            vm.store.delay_s = 0.0
            for entry in vm.backends.faults_by_backend.values():
                vars(entry).update(vars(CallFaults()))

    # Jobs.

    def build_crashing_job(self, rack=''):
        """Returns a job that crashes the back ends that start it."""
        job = self.build_job(1.0, rack)
        self.crashing_jobs.add(job.job_id)
        return job

    def build_job(self, run_s, rack=''):
        """Returns a job of one task that runs for a duration in seconds."""
        job = make_job(
            f'{next(self._job_numbers):016x}',
            estimate_ms=int(run_s * 1000),
            spec=str(run_s),
        )
        (step,) = job.steps
        return job._replace(steps=(step._replace(rack=rack),))

    async def submit(self, job, vm_name):
        """Submits a job to a VM.

        Returns:
            Its answer, or ``None`` if the connection broke.
        """
        vm = self.vm_by_name[vm_name]
        start_s = self.now_s
        self.submissions.append((start_s, job.job_id, vm_name))
        if not vm.is_live:
            return None
        attempt = vm.create_task(
            JobHandler(vm.node).run(job, JOB_TIMEOUT_S),
        )
        self._attempts_by_vm[vm_name][attempt] = job
        try:
            await asyncio.wait({attempt})
        finally:
            self._attempts_by_vm[vm_name].pop(attempt)
        if attempt.cancelled():
            return None
        answer = attempt.result()
        self.answers.append(Answered(start_s, self.now_s, job.job_id, answer))
        return answer

    async def store_job(self, job, vm_name):
        """Submits a durable job to a VM; returns the answer."""
        job = job._replace(accepted_ms=wall_ms())
        return await self._request(vm_name, 'submit', job, STORE_TIMEOUT_S)

    async def cancel(self, job_id, vm_name):
        """Cancels a job at a VM; returns the answer."""
        return await self._request(vm_name, 'cancel', job_id, STORE_TIMEOUT_S)

    async def _request(self, vm_name, method, *args):
        vm = self.vm_by_name[vm_name]
        handler = self._handler_by_vm.setdefault(vm, JobHandler(vm.node))
        return await vm.create_task(getattr(handler, method)(*args))

    def states_of(self, job_id):
        """Returns the states that the live VMs know of a durable job."""
        return {
            getattr(vm.node.table.ended_by_id.get(job_id), 'state', None)
            for vm in self.live_vms()
        }

    def break_connections(self, vm_name):
        """Breaks the connections of a VM's callers, which the VM notices."""
        for attempt in self._attempts_by_vm[vm_name].copy():
            attempt.cancel()

    async def run_for_caller(self, job, vm_names):
        """Submits a job, and again to the next VM while its end is unknown.

        Returns:
            Whether the job was completed.
        """
        for vm_name in itertools.islice(vm_names, MAX_SUBMISSIONS):
            answer = await self.submit(job, vm_name)
            if answer is not None and answer.verdict is not Verdict.UNKNOWN:
                return answer.state is JobState.COMPLETED
            await asyncio.sleep(RESEND_S)
        return False

    # Checks.

    def crash_times(self, job_id):
        """Returns the times in seconds at which a job crashed a back end."""
        return sorted(
            crash_s
            for backend in set(self.backend_by_id.values())
            for crash_s, tasks in backend.crashes
            if any(task.job_id == job_id for task in tasks)
        )

    def started_jobs(self):
        """Returns the identifiers of the jobs that have had a run."""
        return {span.task.job_id for span in self.spans}

    def has_started(self, job_id, since_s):
        """Returns whether a run of a job started since a time in seconds."""
        return any(
            span.task.job_id == job_id and span.start_s >= since_s
            for span in self.spans
        )


async def _run_scenario(scenario, zone_by_vm, backends_per_zone):
    fleet = SimulatedFleet(zone_by_vm, backends_per_zone)
    with (
        fleet.decisions.record(),
        mock.patch.object(peers, 'Mesh', fleet.network.build_mesh),
    ):
        await fleet.start()
        await scenario(fleet)
        for vm in fleet.live_vms():
            vm.kill(is_silent=False)
    return fleet


def run_in_fleet(scenario, zone_by_vm, backends_per_zone=2):
    """Runs a scenario, a coroutine function of a fleet that was started.

    Returns:
        The fleet, whose processes have ended.
    """
    return run_in_virtual_time(
        _run_scenario(scenario, zone_by_vm, backends_per_zone)
    )
