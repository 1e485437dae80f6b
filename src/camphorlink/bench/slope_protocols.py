"""Workloads of relays, claims, slot lending and audit for the slopes."""

import random
from collections.abc import Iterable

from camphorlink.bench.claim_trial import ClaimTrial
from camphorlink.bench.slope_config import BuiltState, build_manifest_document
from camphorlink.bench.slope_loads import DEADLINE_S, SEED, CoreDriver
from camphorlink.internal.core.connection.slot_messages import (
    DemandReport,
    LimitDemand,
    SlotLoan,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.audit_buffer import AuditBuffer
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.members import Member, build_view
from camphorlink.internal.core.request.identifiers import (
    mint_submission_id,
    new_home,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.manifest import (
    canonical_bytes,
    check_manifest,
)
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)

RELAYED_JOBS = 1000
CLAIM_VMS = 8
CLAIMS_PER_S = 500
CLAIM_DURATION_S = 5.0
AUDIT_RECORDS = 2000
LIMITED_TEAMS = 150
SUBMISSION_INTERVAL_S = 0.001
PER_THOUSAND = 1000


class RelayPair:
    """Two entry cores, one of which relays submissions to the other.

    Attributes:
        wire_bytes: Bytes of all messages between the two.
        now: Core time in seconds.
        home: Core that owns the submissions.
        relay: Core that receives the submissions from callers.
    """

    def __init__(self) -> None:
        """Creates both cores with a manifest and a view of each other."""
        self.wire_bytes = 0
        self.now = 1.0
        self._rng = random.Random(SEED)
        self.home = self._build('entry-0')
        self.relay = self._build('entry-1')
        view = build_view(
            [
                Member(self.home.home, 'home'),
                Member(self.relay.home, 'relay'),
            ]
        )
        manifest = check_manifest(build_manifest_document(8, 1))
        for core in (self.home, self.relay):
            core.handle(messages.MembersChanged(view), self.now)
            core.handle(messages.VersionInForce(1, manifest), self.now)

    def submit(self) -> int:
        """Relays a job of one task and returns the number of answers."""
        self.now += SUBMISSION_INTERVAL_S
        submission_id = mint_submission_id(
            self.home.home,
            self.now,
            self._rng,
        )
        job = Job(
            service='caster',
            team='team-0',
            tasks=(TaskSpec('t0', {'work_ms': 50}),),
            deadline_s=self.now + DEADLINE_S,
            idempotent=False,
            digest='0' * 64,
        )
        message = messages.Submit(submission_id, job, 1)
        return self._execute_effects(self.relay.handle(message, self.now))

    def _execute_effects(self, effects: Iterable[messages.Effect]) -> int:
        answers = 0
        pending_effects = list(effects)
        while pending_effects:
            effect = pending_effects.pop()
            answers += isinstance(effect, messages.Deliver)
            pending_effects.extend(self._execute_effect(effect))
        return answers

    def _execute_effect(
        self, effect: messages.Effect
    ) -> Iterable[messages.Effect]:
        if isinstance(effect, messages.StartTask):
            done = messages.TaskFinished(effect.ticket, {'done': True})
            return self.home.handle(done, self.now)
        if not isinstance(effect, messages.SendPeer):
            return ()
        frame = encode_message(effect.message)
        self.wire_bytes += len(frame)
        is_home = effect.address == 'home'
        source = self.relay if is_home else self.home
        target = self.home if is_home else self.relay
        peer_message = messages.PeerSaid(source.home, decode_message(frame))
        return target.handle(peer_message, self.now)

    def _build(self, vm: str) -> EntryCore:
        home = new_home('larissa', vm, self._rng)
        return EntryCore(home, wall_offset_s=0.0, max_entries=RELAYED_JOBS * 2)


def relay_jobs() -> int:
    """Relays jobs of one task from one entry VM to another."""
    pair = RelayPair()
    return sum(pair.submit() for _ in range(RELAYED_JOBS))


def measure_relay_bytes() -> float:
    """Returns the message bytes per relayed job of one small task."""
    pair = RelayPair()
    answered = sum(pair.submit() for _ in range(RELAYED_JOBS))
    return pair.wire_bytes / answered


def run_single_task_jobs() -> int:
    """Runs the jobs of ``relay_jobs`` without a relay."""
    driver = CoreDriver()
    return sum(
        driver.finish_tasks(driver.submit(1)[1]) for _ in range(RELAYED_JOBS)
    )


def measure_claim_appends() -> float:
    """Returns the appends per 1,000 claims of 8 VMs at 500 keys per second."""
    trial = ClaimTrial(CLAIM_VMS)
    trial.run(CLAIMS_PER_S, CLAIM_DURATION_S)
    return trial.appends * PER_THOUSAND / len(trial.waits_s)


def build_audit_buffer() -> BuiltState:
    """Builds an audit buffer with records that wait for an append."""
    audit_buffer = AuditBuffer('larissa.entry-0.0000000000000000')
    for number in range(AUDIT_RECORDS):
        audit_buffer.record('outcome', number, _audit_facts(number))
    return BuiltState(audit_buffer, AUDIT_RECORDS)


def measure_audit_record_bytes() -> float:
    """Returns the bytes of one audit record in the stream."""
    audit_buffer = AuditBuffer('larissa.entry-0.0000000000000000')
    audit_buffer.record('outcome', 0, _audit_facts(0))
    return float(len(canonical_bytes(audit_buffer.take_batch(0)[0])))


def measure_loan_bytes() -> float:
    """Returns the bytes of a message that lends slots of three back ends."""
    slots_by_backend = {f'runner-{number:04d}': 2 for number in range(3)}
    return float(len(encode_message(SlotLoan(slots_by_backend, 0.05))))


def measure_demand_report_bytes() -> float:
    """Returns the bytes of a demand report for 150 teams."""
    rows = tuple(
        LimitDemand('team', f'team-{number}', 100)
        for number in range(LIMITED_TEAMS)
    )
    return float(len(encode_message(DemandReport(rows))))


def _audit_facts(number: int) -> dict[str, object]:
    return {
        'submission_id': f'larissa.entry-0.0000000000000000.{number:032x}',
        'outcome': 'failed',
        'reason': 'task-failed',
        'fates': {'t0': 'failed'},
    }
