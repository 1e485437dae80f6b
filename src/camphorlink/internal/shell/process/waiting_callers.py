"""Callers that wait for the end of a transient job on this VM."""

import asyncio

from camphorlink.internal.core.process.job_table import JobState
from camphorlink.internal.core.request.transient_jobs import (
    JobRefused,
    TransientJobEnded,
)

#: Resolved with the end of a job, or with its refusal.
Completion = asyncio.Future[TransientJobEnded | JobRefused]


class WaitingCallers:
    """The last caller of each open job, as a future."""

    def __init__(self) -> None:
        """Creates an empty set of callers."""
        self._completion_by_id: dict[str, Completion] = {}

    def __len__(self) -> int:
        """Returns the number of jobs that have a waiting caller."""
        return len(self._completion_by_id)

    def add(self, job_id: str) -> Completion:
        """Adds the caller of a job; the former one is no longer answered."""
        completion: Completion = asyncio.get_running_loop().create_future()
        self._completion_by_id[job_id] = completion
        return completion

    def remove(self, job_id: str, completion: Completion) -> bool:
        """Removes a caller; returns whether it was the last one of its job."""
        is_last = self._completion_by_id.get(job_id) is completion
        if is_last:
            self._completion_by_id.pop(job_id)
        return is_last

    def answer(self, end: TransientJobEnded | JobRefused) -> None:
        """Answers the caller of a job, if it has none yet."""
        completion = self._completion_by_id.get(end.job_id)
        if completion is not None and not completion.done():
            completion.set_result(end)

    def cancel(self, job_id: str) -> None:
        """Ends a job that another caller has cancelled."""
        self.answer(TransientJobEnded(job_id, JobState.CANCELLED))
