"""Jobs of several tasks, their fates, and who gets which answer.

One home runs two jobs at once: the first of two tasks, the second of one.
Results arrive late, again, and in any order; tasks fail, get lost or are
proved not started; deadlines and cancellations may come in any state.
"""

from collections.abc import Iterator
from typing import NamedTuple

# What the home holds to be the fate of a task.
WAITING = 'waiting'
SENT = 'sent'
FINISHED = 'finished'
FAILED = 'failed'
LOST = 'lost'

# What a task came to at its backend server.
IDLE = 'idle'
FLYING = 'flying'
RUNNING = 'running'
DONE = 'done'
BROKEN = 'broken'
TURNED_AWAY = 'turned-away'
STARTED = frozenset((RUNNING, DONE, BROKEN))

# Outcomes of a job, as its callers are told.
COMPLETE = 'complete'
JOB_FAILED = 'failed'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'

JOB_OF_TASK = (0, 0, 1)
LARGE_JOB_OF_TASK = (0, 0, 1, 1)

BY_ARRIVAL = 'results-matched-by-arrival'
PARTIAL = 'partial-answer-at-the-deadline'
REWRITE = 'late-result-rewrites-the-answer'
QUEUE_KEPT = 'cancelled-tasks-stay-queued'
BLIND_CANCEL = 'cancelled-job-called-not-run'
BLIND_RETRY = 'retry-after-a-lost-connection'


class Task(NamedTuple):
    """One task, at its home and at its backend server.

    Attributes:
        fate: What the home holds to be so.
        stage: What is so.
        result_of: Number of the task whose result was credited, or -1.
        starts: How often it was started.
    """

    fate: str = WAITING
    stage: str = IDLE
    result_of: int = -1
    starts: int = 0


class JobsState(NamedTuple):
    """Two jobs at one home.

    Attributes:
        tasks: All tasks, in the order of their jobs.
        told: Pairs of a job and an outcome that its callers were told.
        results: Tasks and the results told for them, at complete answers.
    """

    tasks: tuple[Task, ...]
    told: frozenset[tuple[int, str]] = frozenset()
    results: frozenset[tuple[int, int]] = frozenset()


Labelled = Iterator[tuple[str, JobsState]]


def list_steps(state: JobsState, mutation: str) -> Labelled:
    """Lists what may happen next."""
    for number, task in enumerate(state.tasks):
        yield from _step_backend(state, number)
        if task.fate == WAITING and _may_start(state, number, mutation):
            sent = task._replace(fate=SENT, stage=FLYING)
            yield f'task {number} is sent', _put(state, number, sent)
        if task.fate in {SENT, LOST}:
            yield from _hear(state, number, mutation)
    for job in range(max(_list_jobs(state)) + 1):
        if not _outcomes_of(state, job):
            yield from _close(state, job, mutation)


def _step_backend(state: JobsState, number: int) -> Labelled:
    task = state.tasks[number]
    if task.stage == FLYING:
        running = task._replace(stage=RUNNING, starts=task.starts + 1)
        yield f'task {number} starts', _put(state, number, running)
        refused = task._replace(stage=TURNED_AWAY)
        yield f'task {number} is turned away', _put(state, number, refused)
    elif task.stage == RUNNING:
        for stage in (DONE, BROKEN):
            ended = task._replace(stage=stage)
            yield f'task {number} is {stage}', _put(state, number, ended)


def _may_start(state: JobsState, number: int, mutation: str) -> bool:
    job = _list_jobs(state)[number]
    return mutation == QUEUE_KEPT or not _outcomes_of(state, job)


def _hear(state: JobsState, number: int, mutation: str) -> Labelled:
    task = state.tasks[number]
    if task.stage == DONE:
        credited = _find_credited(state, number, mutation)
        finished = state.tasks[credited]._replace(
            fate=FINISHED,
            result_of=number,
        )
        heard = _put(state, credited, finished)
        label = f'the result of task {number} arrives'
        yield label, _complete(heard, credited, mutation)
    elif task.stage == BROKEN:
        failed = _put(state, number, task._replace(fate=FAILED))
        yield f'the failure of task {number} arrives', _fail(failed, number)
    elif task.stage == TURNED_AWAY:
        waiting = task._replace(fate=WAITING, stage=IDLE)
        if task.fate == SENT:
            yield f'task {number} is queued again', _put(state, number, waiting)
    if task.fate == SENT and mutation == BLIND_RETRY:
        waiting = task._replace(fate=WAITING, stage=IDLE)
        yield f'task {number} is queued again', _put(state, number, waiting)
    elif task.fate == SENT:
        lost = _put(state, number, task._replace(fate=LOST))
        yield f'the connection of task {number} is lost', _fail(lost, number)


def _find_credited(state: JobsState, number: int, mutation: str) -> int:
    if mutation != BY_ARRIVAL:
        return number
    fates = [task.fate for task in state.tasks]
    return fates.index(SENT) if SENT in fates else number


def _complete(state: JobsState, number: int, mutation: str) -> JobsState:
    job = _list_jobs(state)[number]
    mine = tasks_of(state, job)
    if any(state.tasks[one].fate != FINISHED for one in mine):
        return state
    if _outcomes_of(state, job) and mutation != REWRITE:
        return state
    return _tell_results(state, job)


def _tell_results(state: JobsState, job: int) -> JobsState:
    told = frozenset(
        (one, state.tasks[one].result_of)
        for one in tasks_of(state, job)
        if state.tasks[one].fate == FINISHED
    )
    return state._replace(
        told=state.told | {(job, COMPLETE)},
        results=state.results | told,
    )


def _fail(state: JobsState, number: int) -> JobsState:
    job = _list_jobs(state)[number]
    if _outcomes_of(state, job):
        return state
    return state._replace(told=state.told | {(job, _judge(state, job))})


def _close(state: JobsState, job: int, mutation: str) -> Labelled:
    outcome = _judge(state, job)
    if mutation == BLIND_CANCEL:
        outcome = NOT_RUN
    closed = state._replace(told=state.told | {(job, outcome)})
    if mutation == PARTIAL:
        closed = _tell_results(state, job)
    yield f'job {job} is cancelled or its deadline passes', closed


def _judge(state: JobsState, job: int) -> str:
    fates = {state.tasks[one].fate for one in tasks_of(state, job)}
    if fates == {WAITING}:
        return NOT_RUN
    return JOB_FAILED if fates & {WAITING, FAILED} else UNKNOWN


def _put(state: JobsState, number: int, task: Task) -> JobsState:
    before, after = state.tasks[:number], state.tasks[number + 1 :]
    return state._replace(tasks=(*before, task, *after))


def _list_jobs(state: JobsState) -> tuple[int, ...]:
    is_small = len(state.tasks) == len(JOB_OF_TASK)
    return JOB_OF_TASK if is_small else LARGE_JOB_OF_TASK


def tasks_of(state: JobsState, job: int) -> list[int]:
    """Lists the numbers of a job's tasks."""
    jobs = _list_jobs(state)
    return [number for number, owner in enumerate(jobs) if owner == job]


def _outcomes_of(state: JobsState, job: int) -> list[str]:
    return [outcome for owner, outcome in state.told if owner == job]
