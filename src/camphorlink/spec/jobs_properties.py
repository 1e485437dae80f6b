"""Invariants, witnesses and mutations of jobs."""

from collections.abc import Iterator

from camphorlink.spec import jobs
from camphorlink.spec.checking import (
    Mutation,
    Predicate,
    Specification,
)


def _no_task_starts_twice(state: jobs.JobsState) -> bool:
    return all(task.starts <= 1 for task in state.tasks)


def _answer_complete_or_failed(state: jobs.JobsState) -> bool:
    answered_tasks = {task for task, _result in state.reported_results}
    return all(
        number in answered_tasks and state.tasks[number].stage == jobs.DONE
        for number in _list_reported_tasks(state, jobs.COMPLETE)
    )


def _every_caller_its_own_answer(state: jobs.JobsState) -> bool:
    return all(
        task == credited_result
        for task, credited_result in state.reported_results
    )


def _answer_is_final(state: jobs.JobsState) -> bool:
    answered_jobs = [job for job, _outcome in state.reported_outcomes]
    return len(answered_jobs) == len(set(answered_jobs))


def _not_run_is_true(state: jobs.JobsState) -> bool:
    return not any(
        state.tasks[number].starts
        for number in _list_reported_tasks(state, jobs.NOT_RUN)
    )


def _failed_is_true(state: jobs.JobsState) -> bool:
    return not any(
        all(
            state.tasks[number].stage == jobs.DONE
            for number in jobs.list_tasks(state, job)
        )
        for job, outcome in state.reported_outcomes
        if outcome == jobs.JOB_FAILED
    )


def _list_reported_tasks(state: jobs.JobsState, outcome: str) -> Iterator[int]:
    for job, reported in state.reported_outcomes:
        if reported == outcome:
            yield from jobs.list_tasks(state, job)


def _has_reported(outcome: str, job: int = 0) -> Predicate:
    return lambda state: (job, outcome) in state.reported_outcomes


def _has_late_result(state: jobs.JobsState) -> bool:
    return any(
        task.recorded_outcome == jobs.FINISHED
        and (0, jobs.JOB_FAILED) in state.reported_outcomes
        for task in state.tasks[:2]
    )


SPECIFICATION = Specification(
    name='jobs',
    initial=jobs.JobsState((jobs.Task(),) * len(jobs.JOB_BY_TASK)),
    large_initial=jobs.JobsState((jobs.Task(),) * len(jobs.LARGE_JOB_BY_TASK)),
    steps=jobs.list_steps,
    invariants={
        'no_task_starts_twice': _no_task_starts_twice,
        'answer_complete_or_failed': _answer_complete_or_failed,
        'every_caller_its_own_answer': _every_caller_its_own_answer,
        'answer_is_final': _answer_is_final,
        'not_run_is_true': _not_run_is_true,
        'failed_is_true': _failed_is_true,
    },
    witnesses={
        'a job completes': _has_reported(jobs.COMPLETE),
        'a job fails': _has_reported(jobs.JOB_FAILED),
        'a job is not run': _has_reported(jobs.NOT_RUN),
        'a job is unknown': _has_reported(jobs.UNKNOWN),
        'a result comes after the failure': _has_late_result,
    },
    mutations=(
        Mutation(jobs.BY_ARRIVAL, 'every_caller_its_own_answer'),
        Mutation(jobs.PARTIAL_ANSWER, 'answer_complete_or_failed'),
        Mutation(jobs.LATE_REWRITE, 'answer_is_final'),
        Mutation(jobs.QUEUE_KEPT, 'not_run_is_true'),
        Mutation(jobs.CANCELLED_AS_NOT_RUN, 'not_run_is_true'),
        Mutation(jobs.RETRY_AFTER_LOST_CONNECTION, 'no_task_starts_twice'),
    ),
)
