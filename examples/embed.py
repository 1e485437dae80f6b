"""Coordination parts of camphorlink in another asyncio program.

A small in-process worker pool uses four parts: submission identifiers with a
table that prevents a resubmission from starting a job again, configuration
that is accepted in the order of a stream, ejection of a worker that fails
all jobs, and timers.  The program prints the decisions of each part.
"""

import asyncio
import random

from camphorlink.parts import (
    BackendLoad,
    ConfigState,
    HealthGuard,
    HomeTable,
    Job,
    Member,
    SlotShares,
    TableLimits,
    TaskSpec,
    Timers,
    approval_record,
    build_view,
    fold_record,
    mint_submission_id,
    new_home,
    proposal_record,
)

WALL_S = 1_800_000_000.0
TICK_S = 0.01
TICKS = 20


def manifest_document() -> dict:
    """Returns a manifest of three workers, of which ``bad`` fails all jobs."""
    return {
        'schema': 1,
        'services': {'resize': {}},
        'backends': {
            name: {
                'address': f'127.0.0.1:{port}',
                'zone': 'here',
                'slots': 4,
                'connections': 8,
                'services': ['resize'],
            }
            for name, port in (('good', 9001), ('bad', 9002), ('spare', 9003))
        },
        'teams': {'me': {}},
    }


class Pool:
    """Worker pool that runs jobs of one task each."""

    def __init__(self) -> None:
        """Creates a pool without a configuration."""
        self.rng = random.Random(7)
        self.home = new_home('here', 'pool', self.rng)
        self.table = HomeTable(TableLimits(1000))
        self.timers = Timers()
        self.guard = HealthGuard()
        self.state = ConfigState()
        self.load_by_worker: dict[str, BackendLoad] = {}
        self.starts = 0
        self.ejected: list[str] = []

    def apply(self, records: list[dict]) -> None:
        """Applies records of the configuration stream."""
        for record in records:
            offset = self.state.next_offset
            step = fold_record(self.state, offset, record)
            self.state = step.state
            print(f'record {offset}: {step.verdict.value}')
        backends = self.state.manifest.backends_by_name
        self.load_by_worker.update(
            (name, BackendLoad(backend, 1.0))
            for name, backend in backends.items()
        )
        shares = SlotShares(self.home, self.timers, self.load_by_worker)
        shares.change_view(build_view([Member(self.home, 'here:1')]), 0.0)
        self.guard.install(self.load_by_worker.values(), 0.0)
        self.timers.call_every(0.0, TICK_S, self.guard.check)

    async def submit(self, submission_id, job: Job, now: float):
        """Runs a job once, even if it is submitted several times."""
        run = self.table.find(str(submission_id))
        if run is not None:
            return run.answer
        refusal = self.table.refusal(submission_id, WALL_S)
        if refusal is not None:
            return refusal
        run = self.table.open_run(submission_id, job, self.state.version)
        worker = min(
            (load for load in self.load_by_worker.values() if load.is_usable),
            key=lambda load: load.backend.name,
        ).backend.name
        run.mark_started(0)
        self.starts += 1
        await asyncio.sleep(0)
        if worker != 'bad':
            self.guard.note_success(worker, run.submission_id)
            return run.finish_task(0, {'worker': worker})
        period_s = self.guard.note_failure(
            worker, run.submission_id, now, is_quick=True
        )
        if period_s is not None:
            self.ejected.append(worker)
        return run.fail_task(0, 'this worker fails all jobs')


async def main() -> Pool:
    """Submits each job twice while one of the workers fails all jobs."""
    pool = Pool()
    proposal = proposal_record(0, manifest_document())
    pool.apply([proposal, approval_record(0, proposal['digest'])])
    outcomes = []
    for number in range(TICKS):
        now = number * TICK_S
        pool.timers.advance(now)
        submission_id = mint_submission_id(pool.home, WALL_S, pool.rng)
        task = TaskSpec('only', {'picture': number})
        job = Job('resize', 'me', (task,), now + 1, False, f'{number:064d}')
        first = await pool.submit(submission_id, job, now)
        again = await pool.submit(submission_id, job, now)
        assert again is first
        outcomes.append(first.outcome.value)
    print(f'starts: {pool.starts} for {2 * TICKS} submissions')
    print(f'ejected: {pool.ejected}; outcomes: {outcomes}')
    return pool


if __name__ == '__main__':
    asyncio.run(main())
