"""What must hold for jobs, and the faults that must be caught."""

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
    told = {task for task, _result in state.results}
    return all(
        number in told and state.tasks[number].stage == jobs.DONE
        for number in _tasks_told(state, jobs.COMPLETE)
    )


def _every_caller_its_own_answer(state: jobs.JobsState) -> bool:
    return all(task == result_of for task, result_of in state.results)


def _answer_is_final(state: jobs.JobsState) -> bool:
    owners = [job for job, _outcome in state.told]
    return len(owners) == len(set(owners))


def _not_run_is_true(state: jobs.JobsState) -> bool:
    return not any(
        state.tasks[number].starts
        for number in _tasks_told(state, jobs.NOT_RUN)
    )


def _failed_is_true(state: jobs.JobsState) -> bool:
    return not any(
        all(
            state.tasks[number].stage == jobs.DONE
            for number in jobs.tasks_of(state, job)
        )
        for job, outcome in state.told
        if outcome == jobs.JOB_FAILED
    )


def _tasks_told(state: jobs.JobsState, outcome: str) -> Iterator[int]:
    for job, told in state.told:
        if told == outcome:
            yield from jobs.tasks_of(state, job)


def _has_told(outcome: str, job: int = 0) -> Predicate:
    return lambda state: (job, outcome) in state.told


def _has_late_result(state: jobs.JobsState) -> bool:
    return any(
        task.fate == jobs.FINISHED and (0, jobs.JOB_FAILED) in state.told
        for task in state.tasks[:2]
    )


SPECIFICATION = Specification(
    name='jobs',
    initial=jobs.JobsState((jobs.Task(),) * len(jobs.JOB_OF_TASK)),
    large_initial=jobs.JobsState((jobs.Task(),) * len(jobs.LARGE_JOB_OF_TASK)),
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
        'a job completes': _has_told(jobs.COMPLETE),
        'a job fails': _has_told(jobs.JOB_FAILED),
        'a job is not run': _has_told(jobs.NOT_RUN),
        'a job is unknown': _has_told(jobs.UNKNOWN),
        'a result comes after the failure': _has_late_result,
    },
    mutations=(
        Mutation(jobs.BY_ARRIVAL, 'every_caller_its_own_answer'),
        Mutation(jobs.PARTIAL, 'answer_complete_or_failed'),
        Mutation(jobs.REWRITE, 'answer_is_final'),
        Mutation(jobs.QUEUE_KEPT, 'not_run_is_true'),
        Mutation(jobs.BLIND_CANCEL, 'not_run_is_true'),
        Mutation(jobs.BLIND_RETRY, 'no_task_starts_twice'),
    ),
)
