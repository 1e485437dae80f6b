"""Checks that a key's tasks start once despite faults of the claims log."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import Member, build_view
from camphorlink.internal.core.request.claim_index import RETENTION_S
from cores import WALL_S, build_job
from faulty_cores import BEHAVIOURS, FaultyCores, Net, check_key_guarantees

VMS = ('a', 'b', 'c')
KEYS = ('booking-1', 'booking-2')
APPENDS = ('ok', 'ok', 'refused', 'lost', 'unanswered', 'late')
vms = st.sampled_from(VMS)


class CallerKeysMachine(RuleBasedStateMachine):
    """Uses two keys at three entry VMs with a faulty log service."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.cores = FaultyCores(*VMS, seed=seed)
        self.cores.show_members()
        self.issued_s_by_key = {}

    @rule(via=vms, key=st.sampled_from(KEYS), wait_s=st.sampled_from((0.05, 4)))
    def submit(self, via, key, wait_s):
        now = self.cores.now
        issued_s = self.issued_s_by_key.setdefault(key, now)
        job = build_job(2, now + wait_s, digest=key, payload=key)
        self.cores.submit_key(via, key, job, issued_s)

    @rule(key=st.sampled_from(KEYS), seconds=st.sampled_from((0, 0.003, 1)))
    def submit_everywhere(self, key, seconds):
        for via in VMS:
            self.submit(via, key, 4)
            self.cores.run(seconds)

    @rule(append_result=st.sampled_from(APPENDS))
    def change_appends(self, append_result):
        self.cores.log.on_append = lambda _effect: append_result

    @rule()
    def apply_late_appends(self):
        self.cores.log.land()

    @rule(is_down=st.booleans())
    def change_log(self, is_down):
        self.cores.log.is_down = is_down

    @rule(seconds=st.sampled_from((0, 1800, RETENTION_S)))
    def expire(self, seconds):
        """Advances the time and trims records older than the retention."""
        self.cores.now += seconds
        self.cores.run(0.01)
        log = self.cores.log
        oldest_ms = int((WALL_S + self.cores.now - RETENTION_S) * 1000)
        for stream, records in log.records_by_stream.items():
            trimmed = sum(record.appended_ms <= oldest_ms for record in records)
            log.earliest_by_stream[stream] = trimmed

    @rule(behaviour=st.sampled_from(BEHAVIOURS))
    def change_backends(self, behaviour):
        self.cores.behaviour = behaviour

    @rule(loss=st.sampled_from((0.0, 0.3)), delay_s=st.sampled_from((0.001, 1)))
    def change_net(self, loss, delay_s):
        self.cores.net = Net(loss, 0.2, delay_s)

    @rule(one=vms, other=vms)
    def cut(self, one, other):
        self.cores.cut.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.cores.cut.clear()

    @rule(vm=vms)
    def show_only_itself(self, vm):
        """Shows a VM only itself, so that it claims every key itself."""
        home = self.cores.core_by_vm[vm].home
        view = build_view([Member(home, vm)])
        self.cores.post(vm, messages.MembersChanged(view))

    @rule(key=st.sampled_from(KEYS))
    def race(self, key):
        """Makes all VMs claim the key themselves at the same time."""
        for vm in VMS:
            self.show_only_itself(vm)
        self.submit_everywhere(key, 0)
        self.cores.run(0.1)

    @rule()
    def show_all_members(self):
        self.cores.show_members()

    @rule(vm=vms)
    def restart_vm(self, vm):
        self.cores.start(vm)
        self.cores.show_members()

    @rule(seconds=st.sampled_from((0.004, 0.1, 2.0, 10.0)))
    def wait(self, seconds):
        self.cores.run(seconds)

    @invariant()
    def satisfies_the_invariants(self):
        if hasattr(self, 'cores'):
            check_key_guarantees(self.cores)


CallerKeysMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
TestCallerKeys = CallerKeysMachine.TestCase
