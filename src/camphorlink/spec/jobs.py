"""Specification of jobs with several tasks, their outcomes and answers.

One home runs two jobs concurrently: the first has two tasks, the second one.
Results may arrive late, repeatedly and in any order.  A task may fail, be lost
or be rejected by the backend server before it starts.  A job may be cancelled
or reach its deadline in any state.
"""

from collections.abc import Iterator
from typing import NamedTuple

# Outcomes of a task, as recorded by the home.
WAITING = 'waiting'
SENT = 'sent'
FINISHED = 'finished'
FAILED = 'failed'
LOST = 'lost'

# Stages of a task at its backend server.
NOT_SENT = 'idle'
IN_FLIGHT = 'flying'
RUNNING = 'running'
DONE = 'done'
BROKEN = 'broken'
REJECTED = 'turned-away'
STARTED = frozenset((RUNNING, DONE, BROKEN))

# Outcomes of a job that are reported to its callers.
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
    """State of a task at its home and at its backend server.

    Attributes:
        recorded_outcome: Outcome of the task, as recorded by the home.
        stage: Stage of the task at the backend server.
        credited_result: Number of the task whose result the home has recorded
            for this task, or -1.
        starts: Number of times that the task was started.
    """

    recorded_outcome: str = WAITING
    stage: str = NOT_SENT
    credited_result: int = -1
    starts: int = 0


class JobsState(NamedTuple):
    """State of two jobs at one home.

    Attributes:
        tasks: Tasks of both jobs, in the order of the jobs.
        reported_outcomes: Pairs of a job and an outcome that was reported to
            its callers.
        reported_results: Pairs of a task and the task whose result was
            reported for it in a complete answer.
    """

    tasks: tuple[Task, ...]
    reported_outcomes: frozenset[tuple[int, str]] = frozenset()
    reported_results: frozenset[tuple[int, int]] = frozenset()


LabelledSteps = Iterator[tuple[str, JobsState]]


def list_steps(state: JobsState, mutation: str) -> LabelledSteps:
    """Lists the labelled next states of a state under a mutation."""
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
        credited_task = _find_credited_task(state, number, mutation)
        finished = state.tasks[credited_task]._replace(
            recorded_outcome=FINISHED,
            credited_result=number,
        )
        next_state = _set_task(state, credited_task, finished)
        label = f'the result of task {number} arrives'
        yield label, _report_if_complete(next_state, credited_task, mutation)
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
    """Reports the job of a task as complete once all its tasks are finished."""
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
    next_state = state._replace(
        reported_outcomes=state.reported_outcomes | {(job, outcome)}
    )
    if mutation == PARTIAL_ANSWER:
        next_state = _report_results(state, job)
    yield f'job {job} is cancelled or its deadline passes', next_state


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
    """Returns the numbers of the tasks of a job."""
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
