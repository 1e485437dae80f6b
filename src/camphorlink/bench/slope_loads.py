"""Loads and states of a known number of units, for the slopes."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from camphorlink.internal.core.connection.peer_messages import Heartbeat
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import (
    mint_submission_id,
    new_home,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import (
    canonical_bytes,
    check_manifest,
)
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)

SEED = 1
ZONE_BACKENDS = 8
ALL_BACKENDS = 1900
ALL_TEAMS = 150
MANY_TEAMS = 1500
JOB_TASKS = 50
JOBS = 200
SMALL_JOBS = 5000
CHANGES = 20
HEARTBEATS = 5000
DEADLINE_S = 1000.0
TASK_S = 0.001

#: Does a known number of units of work and returns that number.
Load = Callable[[], int]


class Built(NamedTuple):
    """State that was built, and how many units it has."""

    state: Any
    units: int


#: Builds state of a known number of units.
Build = Callable[[], Built]


def manifest_document(backends: int, teams: int) -> dict[str, Any]:
    """Writes a manifest of a given size, all in one zone."""
    return {
        'schema': 1,
        'services': {'caster': {}},
        'backends': {
            f'runner-{number:04d}': {
                'address': f'10.0.{number // 250}.{number % 250}:9000',
                'zone': 'larissa',
                'slots': 8,
                'connections': 64,
                'services': ['caster'],
            }
            for number in range(backends)
        },
        'teams': {f'team-{number}': {} for number in range(teams)},
    }


class CoreDriver:
    """Drives one entry core whose tasks all finish at once."""

    def __init__(self) -> None:
        """Starts with a manifest of one zone in force."""
        self.rng = random.Random(SEED)
        self.core = EntryCore(
            home=new_home('larissa', 'entry-0', self.rng),
            wall_offset_s=0.0,
            max_entries=SMALL_JOBS * 2,
        )
        self.now = 1.0
        manifest = check_manifest(manifest_document(ZONE_BACKENDS, 1))
        self.core.handle(messages.VersionInForce(1, manifest), self.now)

    def submit(
        self,
        tasks: int,
        service: str = 'caster',
    ) -> tuple[str, list[messages.Effect]]:
        """Submits one job; returns its identifier and the effects."""
        submission_id = mint_submission_id(self.core.home, self.now, self.rng)
        job = Job(
            service=service,
            team='team-0',
            tasks=tuple(
                TaskSpec(f't{number}', {'work_ms': 50})
                for number in range(tasks)
            ),
            deadline_s=self.now + DEADLINE_S,
            idempotent=False,
            digest='0' * 64,
        )
        message = messages.Submit(submission_id, job, 1)
        return str(submission_id), list(self.core.handle(message, self.now))

    def finish(self, effects: list[messages.Effect]) -> int:
        """Finishes every task that was started; returns their number."""
        starts = [
            effect
            for effect in effects
            if isinstance(effect, messages.StartTask)
        ]
        ended = 0
        while starts:
            start = starts.pop()
            ended += 1
            self.now += TASK_S
            done = messages.TaskFinished(start.ticket, {'done': True})
            starts.extend(
                effect
                for effect in self.core.handle(done, self.now)
                if isinstance(effect, messages.StartTask)
            )
        return ended


def start_tasks() -> int:
    """Runs jobs of 50 tasks through a core."""
    driver = CoreDriver()
    return sum(driver.finish(driver.submit(JOB_TASKS)[1]) for _ in range(JOBS))


def refuse_jobs() -> int:
    """Submits jobs of a service that does not exist."""
    driver = CoreDriver()
    for _ in range(SMALL_JOBS):
        driver.submit(1, service='nobody')
    return SMALL_JOBS


def cancel_jobs() -> int:
    """Cancels a wave of queued jobs."""
    driver = CoreDriver()
    names = [driver.submit(1)[0] for _ in range(SMALL_JOBS)]
    for name in names:
        driver.core.handle(messages.Cancel(name), driver.now)
    return SMALL_JOBS


def remember_submissions() -> Built:
    """Fills a home's table with answered submissions of one task."""
    driver = CoreDriver()
    for _ in range(SMALL_JOBS):
        driver.finish(driver.submit(1)[1])
    return Built(driver, SMALL_JOBS)


def remember_tasks() -> Built:
    """Fills a home's table with answered submissions of 50 tasks."""
    driver = CoreDriver()
    for _ in range(JOBS):
        driver.finish(driver.submit(JOB_TASKS)[1])
    return Built(driver, JOBS * JOB_TASKS)


def build_backends() -> Built:
    """Checks a manifest that is nearly all backend servers."""
    document = manifest_document(ALL_BACKENDS, 1)
    return Built((document, check_manifest(document)), ALL_BACKENDS)


def build_teams() -> Built:
    """Checks a manifest that is nearly all teams."""
    document = manifest_document(1, MANY_TEAMS)
    return Built((document, check_manifest(document)), MANY_TEAMS)


def fold_changes() -> int:
    """Folds changes of one backend server each into a large manifest."""
    state = _full_state()
    for number in range(CHANGES):
        document = _changed(state.document, number)
        patch = patch_record(state, document)
        approval = approval_record(state.version, patch['digest'])
        state = fold_record(state, state.next_offset, patch).state
        state = fold_record(state, state.next_offset, approval).state
    return CHANGES


def change_bytes() -> int:
    """Bytes of the two records that change one backend server."""
    state = _full_state()
    patch = patch_record(state, _changed(state.document, 1))
    approval = approval_record(state.version, patch['digest'])
    return len(canonical_bytes(patch)) + len(canonical_bytes(approval))


def code_heartbeats() -> int:
    """Writes and reads heartbeats."""
    for number in range(HEARTBEATS):
        decode_message(encode_message(Heartbeat(number, 1, 'live')))
    return HEARTBEATS


def heartbeat_bytes() -> int:
    """Bytes of one heartbeat."""
    return len(encode_message(Heartbeat(HEARTBEATS, ALL_BACKENDS, 'live')))


def _full_state() -> ConfigState:
    document = manifest_document(ALL_BACKENDS, ALL_TEAMS)
    proposal = proposal_record(0, document)
    state = fold_record(ConfigState(), 0, proposal).state
    return fold_record(state, 1, approval_record(0, proposal['digest'])).state


def _changed(document: Any, number: int) -> dict[str, Any]:
    name = f'runner-{number:04d}'
    entry = {**document['backends'][name], 'leaving': True}
    return {**document, 'backends': {**document['backends'], name: entry}}
