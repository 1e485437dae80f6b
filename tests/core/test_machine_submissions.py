"""Checks the guarantees of entry cores after every step of random faults."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from cores import build_job
from faulty_cores import BEHAVIOURS, FaultyCores, Net, check_guarantees

VMS = ('a', 'b', 'c')
SKEWS_S = (0.0, 100.0, -80.0)
MAX_WAIT_S = 20.0
MAX_ENTRIES = 2
#: Number of crashes, stops, pauses and wrong views in one example.
MAX_FAULTS = 4
vms = st.sampled_from(VMS)


class SubmissionsMachine(RuleBasedStateMachine):
    """Several entry VMs and their callers, with faults between the steps."""

    named = Bundle('named')

    @initialize(
        seed=st.integers(0, 2**16), skewed=st.sampled_from((False, False, True))
    )
    def start(self, seed, skewed):
        skews = SKEWS_S if skewed else ()
        self.cores = FaultyCores(
            *VMS,
            seed=seed,
            skews=skews,
            max_entries=MAX_ENTRIES,
            answer_bytes=2000,
        )
        self.cores.show_members()
        self.faults_left = MAX_FAULTS
        self.issued = []

    def may_inject_fault(self):
        return self.faults_left > 0

    @rule(
        target=named,
        home=vms,
        via=vms,
        count=st.integers(1, 3),
        behaviour=st.sampled_from(('runs',) * 5 + BEHAVIOURS),
        wait_s=st.sampled_from((0.05, 5.0, 10.0)),
        age_s=st.sampled_from((0.0,) * 6 + (590.0, -65.0)),
    )
    def submit(self, home, via, count, behaviour, wait_s, age_s):
        submission_id = self.cores.mint(home)
        issued_ms = submission_id.issued_ms - int(age_s * 1000)
        submission_id = submission_id._replace(issued_ms=issued_ms)
        self.cores.behaviour = behaviour
        job = self.make_job(count, wait_s, 'first')
        self.cores.submit(via, submission_id, job)
        self.issued.append((submission_id, count))
        return submission_id, count

    @rule(one=named, via=vms, digest=st.sampled_from(('first', 'other')))
    def resubmit(self, one, via, digest):
        submission_id, count = one
        job = self.make_job(count, 3.0, digest)
        self.cores.submit(via, submission_id, job)

    @rule(one=named)
    def resubmit_everywhere(self, one):
        """Resubmits a job at every entry VM, as after a lost answer."""
        for via in VMS:
            self.resubmit(one, via, 'first')
            self.cores.run(0.2)

    @rule(via=vms, seconds=st.sampled_from((0.1, 2.0)))
    def resubmit_all(self, via, seconds):
        """Resubmits all earlier jobs at one VM."""
        for one in self.issued:
            self.resubmit(one, via, 'first')
        self.cores.run(seconds)

    @rule(home=vms, seconds=st.sampled_from((0.0, 2.0)))
    def overload(self, home, seconds):
        """Submits more slow jobs than the home's table can store."""
        behaviour, self.cores.behaviour = self.cores.behaviour, 'slow'
        named = [self.cores.mint(home) for _job in range(MAX_ENTRIES + 1)]
        for one in named:
            self.cores.submit(home, one, self.make_job(1, 5.0, 'first'))
        self.cores.run(seconds)
        self.cores.behaviour = behaviour
        self.issued.extend((one, 1) for one in named)
        for one in named:
            self.resubmit((one, 1), home, 'first')

    def make_job(self, count, wait_s, digest):
        deadline_s = self.cores.now + wait_s
        return build_job(count, deadline_s, digest=digest, payload=digest)

    @rule(one=named, via=vms)
    def cancel(self, one, via):
        self.cores.post(via, messages.Cancel(str(one[0])))

    @rule(behaviour=st.sampled_from(BEHAVIOURS))
    def change_backends(self, behaviour):
        self.cores.behaviour = behaviour

    @rule(
        loss=st.sampled_from((0.0, 0.3)),
        copies=st.sampled_from((0.0, 0.5)),
        delay_s=st.sampled_from((0.001, 0.8)),
    )
    def change_net(self, loss, copies, delay_s):
        self.cores.net = Net(loss, copies, delay_s)

    @rule(one=vms, other=vms)
    def cut(self, one, other):
        self.cores.cut.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.cores.cut.clear()

    @rule(seconds=st.sampled_from((0.01, 0.1, 0.5, 2.0, 30.0)))
    def wait(self, seconds):
        self.cores.run(seconds)

    @precondition(may_inject_fault)
    @rule(vm=vms)
    def crash(self, vm):
        self.faults_left -= 1
        self.cores.down.add(vm)

    @rule(vm=vms, updates_views=st.booleans())
    def start_again(self, vm, updates_views):
        self.cores.start(vm)
        if updates_views:
            self.cores.show_members()

    @precondition(may_inject_fault)
    @rule(vm=vms, state=st.sampled_from(MemberState))
    def suspect(self, vm, state):
        self.faults_left -= 1
        self.cores.show_members({vm: state})

    @precondition(may_inject_fault)
    @rule(vm=vms)
    def pause(self, vm):
        self.faults_left -= 1
        self.cores.pause(vm)

    @rule(vm=vms)
    def resume(self, vm):
        self.cores.resume(vm)

    @precondition(may_inject_fault)
    @rule(vm=vms)
    def drain(self, vm):
        self.faults_left -= 1
        self.cores.post(vm, messages.Drain())

    @precondition(may_inject_fault)
    @rule(vm=vms, seconds=st.sampled_from((0.01, 0.5, 2.0)))
    def stop(self, vm, seconds):
        self.faults_left -= 1
        self.cores.post(vm, messages.Drain())
        self.cores.run(seconds)
        self.cores.post(vm, messages.Seal())

    @precondition(lambda self: hasattr(self, 'cores'))
    @invariant()
    def guarantees_hold(self):
        check_guarantees(self.cores)

    def teardown(self):
        if not hasattr(self, 'cores'):
            return
        cores = self.cores
        for vm in tuple(cores.paused):
            cores.resume(vm)
        cores.run(MAX_WAIT_S)
        check_guarantees(cores)


SubmissionsMachine.TestCase.settings = settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
TestSubmissions = SubmissionsMachine.TestCase
