"""Workloads and state of a single entry core for the slopes."""

import random

from camphorlink.bench.slope_config import (
    ALL_BACKENDS,
    BuiltState,
    build_manifest_document,
)
from camphorlink.internal.core.connection.peer_messages import Heartbeat
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.request.identifiers import (
    mint_submission_id,
    new_home,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.manifest import (
    check_manifest,
)
from camphorlink.internal.shell.connection.peer_codec import (
    decode_message,
    encode_message,
)

SEED = 1
ZONE_BACKENDS = 8
TASKS_PER_JOB = 50
JOBS = 200
SINGLE_TASK_JOBS = 5000
HEARTBEATS = 5000
DEADLINE_S = 1000.0
TASK_DURATION_S = 0.001


class CoreDriver:
    """Submits jobs to an entry core and completes their tasks immediately.

    Attributes:
        rng: Source of the random parts of identifiers.
        core: The entry core.
        now: Core time in seconds.
    """

    def __init__(self) -> None:
        """Creates an entry core with a manifest of one zone in force."""
        self.rng = random.Random(SEED)
        self.core = EntryCore(
            home=new_home('larissa', 'entry-0', self.rng),
            wall_offset_s=0.0,
            max_entries=SINGLE_TASK_JOBS * 2,
        )
        self.now = 1.0
        manifest = check_manifest(build_manifest_document(ZONE_BACKENDS, 1))
        self.core.handle(messages.VersionInForce(1, manifest), self.now)

    def submit(
        self,
        tasks: int,
        service: str = 'caster',
    ) -> tuple[str, list[messages.Effect]]:
        """Submits a job and returns its identifier and the effects.

        Args:
            tasks: Number of tasks of the job.
            service: Service of the job.
        """
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

    def finish_tasks(self, effects: list[messages.Effect]) -> int:
        """Completes all started tasks, and the tasks that start as a result.

        Args:
            effects: Effects of a submission.

        Returns:
            Number of completed tasks.
        """
        starts = [
            effect
            for effect in effects
            if isinstance(effect, messages.StartTask)
        ]
        finished_tasks = 0
        while starts:
            start = starts.pop()
            finished_tasks += 1
            self.now += TASK_DURATION_S
            done = messages.TaskFinished(start.ticket, {'done': True})
            starts.extend(
                effect
                for effect in self.core.handle(done, self.now)
                if isinstance(effect, messages.StartTask)
            )
        return finished_tasks


def run_jobs() -> int:
    """Runs jobs of 50 tasks on an entry core."""
    driver = CoreDriver()
    return sum(
        driver.finish_tasks(driver.submit(TASKS_PER_JOB)[1])
        for _ in range(JOBS)
    )


def refuse_jobs() -> int:
    """Submits jobs of an unknown service, which are refused."""
    driver = CoreDriver()
    for _ in range(SINGLE_TASK_JOBS):
        driver.submit(1, service='nobody')
    return SINGLE_TASK_JOBS


def cancel_jobs() -> int:
    """Submits jobs of one task and then cancels all of them."""
    driver = CoreDriver()
    submission_ids = [driver.submit(1)[0] for _ in range(SINGLE_TASK_JOBS)]
    for submission_id in submission_ids:
        driver.core.handle(messages.Cancel(submission_id), driver.now)
    return SINGLE_TASK_JOBS


def build_answered_submissions() -> BuiltState:
    """Builds an entry core that remembers answered submissions of one task."""
    driver = CoreDriver()
    for _ in range(SINGLE_TASK_JOBS):
        driver.finish_tasks(driver.submit(1)[1])
    return BuiltState(driver, SINGLE_TASK_JOBS)


def build_answered_tasks() -> BuiltState:
    """Builds an entry core that remembers answered submissions of 50 tasks."""
    driver = CoreDriver()
    for _ in range(JOBS):
        driver.finish_tasks(driver.submit(TASKS_PER_JOB)[1])
    return BuiltState(driver, JOBS * TASKS_PER_JOB)


def encode_and_decode_heartbeats() -> int:
    """Encodes and decodes heartbeats."""
    for number in range(HEARTBEATS):
        decode_message(encode_message(Heartbeat(number, 1, 'live')))
    return HEARTBEATS


def measure_heartbeat_bytes() -> int:
    """Returns the bytes of one encoded heartbeat."""
    return len(encode_message(Heartbeat(HEARTBEATS, ALL_BACKENDS, 'live')))
