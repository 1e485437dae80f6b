"""Several entry cores on one virtual clock and a simulated network.

Messages between cores are encoded and decoded by the real codec.  Tasks run
on a simulated backend server that counts the starts of each task.
"""

import collections
import heapq
import itertools

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    build_view,
)
from camphorlink.internal.core.request.claim_records import (
    CallerKey,
    StoredClaim,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    mint_submission_id,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.manifest import check_manifest
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)

WALL_S = 1_800_000_000.0
LINK_DELAY_S = 0.001
TASK_DURATION_S = 0.1
APPEND_DELAY_S = 0.005
MANIFEST = check_manifest(
    {
        'schema': 1,
        'services': {'caster': {}},
        'backends': {
            'runner-0': {
                'address': '127.0.0.1:1',
                'zone': 'larissa',
                'slots': 1000,
                'connections': 64,
                'services': ['caster'],
            },
        },
        'teams': {'surveyors': {}},
    }
)


def build_job(count=1, deadline_s=5.0, digest='d', payload=None):
    tasks = tuple(TaskSpec(f't{number}', payload) for number in range(count))
    return Job('caster', 'surveyors', tasks, deadline_s, False, digest)


class SimulatedLog:
    """Simulates streams of the log service, with faults chosen by the test.

    ``on_append`` is called before each append and returns its outcome:
    ``ok``, ``refused``, ``lost`` (not stored, no answer), ``unanswered``
    (stored, no answer), or ``late`` (no answer, and stored when the test
    calls ``land``).
    """

    def __init__(self):
        self.records_by_stream = collections.defaultdict(list)
        self.earliest_by_stream = collections.defaultdict(int)
        self.appends = 0
        self.reads = 0
        self.is_down = False
        self.on_append = lambda effect: 'ok'
        self.late = []

    def append(self, effect, now):
        self.appends += 1
        append_outcome = 'refused' if self.is_down else self.on_append(effect)
        stream = effect.stream
        if append_outcome == 'late':
            self.late.append((effect, now))
        if append_outcome in ('ok', 'unanswered'):
            offset = self._store(effect, now)
            if append_outcome == 'ok':
                return messages.ClaimsAppended(stream, effect.batch, offset)
        return messages.ClaimsNotAppended(stream, append_outcome != 'refused')

    def land(self):
        for effect, now in self.late:
            self._store(effect, now)
        self.late.clear()

    def read(self, effect):
        self.reads += 1
        stream = effect.stream
        if self.is_down:
            return messages.ClaimsNotRead(stream)
        records = self.records_by_stream[stream]
        earliest = self.earliest_by_stream[stream]
        start = max(earliest, effect.from_offset)
        page = tuple(records[start : start + 3])
        return messages.ClaimsRead(stream, page, earliest, len(records))

    def expire(self):
        for stream, records in self.records_by_stream.items():
            self.earliest_by_stream[stream] = len(records)

    def _store(self, effect, now):
        records = self.records_by_stream[effect.stream]
        first = len(records)
        for number, record in enumerate(effect.records):
            appended_ms = int((WALL_S + now) * 1000)
            records.append(StoredClaim(first + number, appended_ms, record))
        return first


class Cores:
    """Entry cores by VM name, with their answers and task starts."""

    def __init__(self, *vms, rng, **options):
        self.now = 0.0
        self.rng = rng
        self.options = options
        self.core_by_vm = {}
        self.answers = []
        self.sent = []
        self.starts = collections.Counter()
        self.lose = lambda sender, to, message: False
        self.on_effect = lambda vm, effect: None
        self.down = set()
        self.silent_tasks = False
        self.log = SimulatedLog()
        self._events = []
        self._numbers = itertools.count()
        for vm in vms:
            self.start(vm)

    def start(self, vm):
        """Starts a new incarnation of a VM's process."""
        incarnation = f'{next(self._numbers):016x}'
        home = Home('larissa', vm, incarnation)
        core = EntryCore(home, WALL_S, 1000, **self.options)
        self.core_by_vm[vm] = core
        self.post(vm, messages.VersionInForce(1, MANIFEST))
        return home

    def show_members(self, states=None):
        """Sends the same view to all cores, with VM names as addresses."""
        states = states or {}
        view = build_view(
            Member(core.home, vm, states.get(vm, MemberState.LIVE))
            for vm, core in self.core_by_vm.items()
        )
        for vm in self.core_by_vm:
            self.post(vm, messages.MembersChanged(view))

    def mint(self, vm):
        home = self.core_by_vm[vm].home
        return mint_submission_id(home, WALL_S + self.now, self.rng)

    def submit(self, vm, submission_id, job):
        caller = next(self._numbers)
        self.post(vm, messages.Submit(submission_id, job, caller))
        return caller

    def submit_key(self, vm, name, job, issued_s=None):
        """Submits under a caller's key, first used now unless given."""
        caller = next(self._numbers)
        issued_s = self.now if issued_s is None else issued_s
        message = messages.SubmitKey(
            CallerKey('caster', name),
            int((WALL_S + issued_s) * 1000),
            self.mint(vm),
            job,
            caller,
        )
        self.post(vm, message)
        return caller

    def answer_of(self, caller):
        found = [answer for who, answer in self.answers if who == caller]
        assert len(found) <= 1
        return found[0] if found else None

    def post(self, vm, message):
        if vm in self.down:
            return
        core = self.core_by_vm[vm]
        for effect in core.handle(message, self.now):
            self._carry_out(vm, core, effect)

    def run(self, seconds):
        """Advances virtual time and processes the due events."""
        end = self.now + seconds
        while True:
            due = self._next_due()
            if due is None or due > end:
                break
            self.now = max(self.now, due)
            self._step()
        self.now = end

    def _next_due(self):
        times = [
            core.timers.next_due_s()
            for vm, core in self.core_by_vm.items()
            if vm not in self.down
        ]
        times.append(self._events[0][0] if self._events else None)
        return min((due for due in times if due is not None), default=None)

    def _step(self):
        for vm, core in self.core_by_vm.items():
            due = core.timers.next_due_s()
            if vm not in self.down and due is not None and due <= self.now:
                self.post(vm, messages.Tick())
        while self._events and self._events[0][0] <= self.now:
            _due, _number, core, vm, message = heapq.heappop(self._events)
            if self.core_by_vm[vm] is core:
                self.post(vm, message)

    def later(self, vm, delay_s, message):
        core = self.core_by_vm[vm]
        event = (self.now + delay_s, next(self._numbers), core, vm, message)
        heapq.heappush(self._events, event)

    def _carry_out(self, vm, core, effect):
        self.on_effect(vm, effect)
        if isinstance(effect, messages.Deliver):
            self.answers.append((effect.caller, effect.answer))
        elif isinstance(effect, messages.StartTask):
            ticket = effect.ticket
            self.starts[ticket.submission_id, effect.task_id] += 1
            if not self.silent_tasks:
                done = messages.TaskFinished(ticket, {'ran': effect.task_id})
                self.later(vm, TASK_DURATION_S, done)
        elif isinstance(effect, messages.AppendClaims):
            self.later(vm, APPEND_DELAY_S, self.log.append(effect, self.now))
        elif isinstance(effect, messages.ReadClaims):
            self.later(vm, LINK_DELAY_S, self.log.read(effect))
        elif isinstance(effect, messages.SendPeer):
            self._send(core.home, effect)

    def _send(self, sender, effect):
        message = decode_message(encode_message(effect.message))
        assert message == effect.message
        self.sent.append((sender.vm, effect.address, message))
        to = effect.address
        if to in self.core_by_vm and not self.lose(sender.vm, to, message):
            self.later(to, LINK_DELAY_S, messages.PeerSaid(sender, message))
