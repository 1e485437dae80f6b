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
NOT_SENT = 'idle'
IN_FLIGHT = 'flying'
RUNNING = 'running'
DONE = 'done'
BROKEN = 'broken'
REJECTED = 'turned-away'
STARTED = frozenset((RUNNING, DONE, BROKEN))

# Outcomes of a job, as its callers are told.
COMPLETE = 'complete'
JOB_FAILED = 'failed'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'

JOB_BY_TASK = (0, 0, 1)
LARGE_JOB_BY_TASK = (0, 0, 1, 1)

BY_ARRIVAL = 'results-matched-by-arrival'
PARTIAL_ANSWER = 'partial-answer-at-the-deadline'
LATE_REWRITE = 'late-result-rewrites-the-answer'
QUEUE_KEPT = 'cancelled-tasks-stay-queued'
CANCELLED_AS_NOT_RUN = 'cancelled-job-called-not-run'
RETRY_AFTER_LOST_CONNECTION = 'retry-after-a-lost-connection'


class Task(NamedTuple):
    """One task, at its home and at its backend server.

    Attributes:
        fate: What the home holds to be so.
        stage: What is so.
        credited_result: Number of the task whose result was credited, or -1.
        starts: How often it was started.
    """

    recorded_outcome: str = WAITING
    stage: str = NOT_SENT
    credited_result: int = -1
    starts: int = 0


class JobsState(NamedTuple):
    """Two jobs at one home.

    Attributes:
        tasks: All tasks, in the order of their jobs.
        told: Pairs of a job and an outcome that its callers were told.
        results: Tasks and the results told for them, at complete answers.
    """

    tasks: tuple[Task, ...]
    reported_outcomes: frozenset[tuple[int, str]] = frozenset()
    reported_results: frozenset[tuple[int, int]] = frozenset()


LabelledSteps = Iterator[tuple[str, JobsState]]


def list_steps(state: JobsState, mutation: str) -> LabelledSteps:
    """Lists what may happen next."""
    for number, task in enumerate(state.tasks):
        yield from _step_backend(state, number)
        if task.recorded_outcome == WAITING and _may_start(
            state, number, mutation
        ):
            sent = task._replace(recorded_outcome=SENT, stage=IN_FLIGHT)
            yield f'task {number} is sent', _set_task(state, number, sent)
        if task.recorded_outcome in {SENT, LOST}:
            yield from _receive_answer(state, number, mutation)
    for job in range(max(_get_job_by_task(state)) + 1):
        if not _list_outcomes(state, job):
            yield from _end_job(state, job, mutation)


def _step_backend(state: JobsState, number: int) -> LabelledSteps:
    task = state.tasks[number]
    if task.stage == IN_FLIGHT:
        running = task._replace(stage=RUNNING, starts=task.starts + 1)
        yield f'task {number} starts', _set_task(state, number, running)
        refused = task._replace(stage=REJECTED)
        yield f'task {number} is turned away', _set_task(state, number, refused)
    elif task.stage == RUNNING:
        for stage in (DONE, BROKEN):
            ended = task._replace(stage=stage)
            yield f'task {number} is {stage}', _set_task(state, number, ended)


def _may_start(state: JobsState, number: int, mutation: str) -> bool:
    job = _get_job_by_task(state)[number]
    return mutation == QUEUE_KEPT or not _list_outcomes(state, job)


def _receive_answer(
    state: JobsState, number: int, mutation: str
) -> LabelledSteps:
    task = state.tasks[number]
    if task.stage == DONE:
        credited = _find_credited_task(state, number, mutation)
        finished = state.tasks[credited]._replace(
            recorded_outcome=FINISHED,
            credited_result=number,
        )
        next_state = _set_task(state, credited, finished)
        label = f'the result of task {number} arrives'
        yield label, _report_if_complete(next_state, credited, mutation)
    elif task.stage == BROKEN:
        failed = _set_task(
            state, number, task._replace(recorded_outcome=FAILED)
        )
        yield (
            f'the failure of task {number} arrives',
            _report_failure(failed, number),
        )
    elif task.stage == REJECTED:
        waiting = task._replace(recorded_outcome=WAITING, stage=NOT_SENT)
        if task.recorded_outcome == SENT:
            yield (
                f'task {number} is queued again',
                _set_task(state, number, waiting),
            )
    if (
        task.recorded_outcome == SENT
        and mutation == RETRY_AFTER_LOST_CONNECTION
    ):
        waiting = task._replace(recorded_outcome=WAITING, stage=NOT_SENT)
        yield (
            f'task {number} is queued again',
            _set_task(state, number, waiting),
        )
    elif task.recorded_outcome == SENT:
        lost = _set_task(state, number, task._replace(recorded_outcome=LOST))
        yield (
            f'the connection of task {number} is lost',
            _report_failure(lost, number),
        )


def _find_credited_task(state: JobsState, number: int, mutation: str) -> int:
    if mutation != BY_ARRIVAL:
        return number
    task_outcomes = [task.recorded_outcome for task in state.tasks]
    return task_outcomes.index(SENT) if SENT in task_outcomes else number


def _report_if_complete(
    state: JobsState, number: int, mutation: str
) -> JobsState:
    job = _get_job_by_task(state)[number]
    tasks = list_tasks(state, job)
    if any(state.tasks[task].recorded_outcome != FINISHED for task in tasks):
        return state
    if _list_outcomes(state, job) and mutation != LATE_REWRITE:
        return state
    return _report_results(state, job)


def _report_results(state: JobsState, job: int) -> JobsState:
    results = frozenset(
        (task, state.tasks[task].credited_result)
        for task in list_tasks(state, job)
        if state.tasks[task].recorded_outcome == FINISHED
    )
    return state._replace(
        reported_outcomes=state.reported_outcomes | {(job, COMPLETE)},
        reported_results=state.reported_results | results,
    )


def _report_failure(state: JobsState, number: int) -> JobsState:
    job = _get_job_by_task(state)[number]
    if _list_outcomes(state, job):
        return state
    return state._replace(
        reported_outcomes=state.reported_outcomes
        | {(job, _compute_job_outcome(state, job))}
    )


def _end_job(state: JobsState, job: int, mutation: str) -> LabelledSteps:
    outcome = _compute_job_outcome(state, job)
    if mutation == CANCELLED_AS_NOT_RUN:
        outcome = NOT_RUN
    closed = state._replace(
        reported_outcomes=state.reported_outcomes | {(job, outcome)}
    )
    if mutation == PARTIAL_ANSWER:
        closed = _report_results(state, job)
    yield f'job {job} is cancelled or its deadline passes', closed


def _compute_job_outcome(state: JobsState, job: int) -> str:
    task_outcomes = {
        state.tasks[task].recorded_outcome for task in list_tasks(state, job)
    }
    if task_outcomes == {WAITING}:
        return NOT_RUN
    return JOB_FAILED if task_outcomes & {WAITING, FAILED} else UNKNOWN


def _set_task(state: JobsState, number: int, task: Task) -> JobsState:
    before, after = state.tasks[:number], state.tasks[number + 1 :]
    return state._replace(tasks=(*before, task, *after))


def _get_job_by_task(state: JobsState) -> tuple[int, ...]:
    is_small = len(state.tasks) == len(JOB_BY_TASK)
    return JOB_BY_TASK if is_small else LARGE_JOB_BY_TASK


def list_tasks(state: JobsState, job: int) -> list[int]:
    """Lists the numbers of a job's tasks."""
    jobs = _get_job_by_task(state)
    return [
        number for number, owning_job in enumerate(jobs) if owning_job == job
    ]


def _list_outcomes(state: JobsState, job: int) -> list[str]:
    return [
        outcome
        for owning_job, outcome in state.reported_outcomes
        if owning_job == job
    ]
