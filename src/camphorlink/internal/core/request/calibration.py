"""Compares the predictions of the admission control with what happened.

This addresses overload with estimates that are off by 40%: whether too many or
too few jobs are refused shows only when predictions are compared with the ends
of admitted jobs, and refusals with the free capacity that is reported later.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

from camphorlink.internal.core.request.cell_selector import TaskGroup

#: Maximum number of refusals that are followed at once.  Each is compared with
#: every load report of its service, so that the others are only counted.
MAX_FOLLOWED = 8
#: Outcomes of admitted jobs.
IN_TIME = 'in-time'
LATE = 'late'
FAILED = 'failed'
NOT_ENDED = 'not-ended'
#: Outcomes of refused jobs: all, those whose refusal was checked, and those of
#: them for which free capacity was reported within the objective.
REFUSED = 'refused'
REFUSAL_CHECKED = 'refusal-checked'
REFUSAL_WRONG = 'refusal-wrong'


class Prediction(NamedTuple):
    """Prediction for a job and its inputs.

    Attributes:
        expected_s: Expected time until the job ends, in seconds.
        latest_s: Maximum expected time with which it is accepted, in seconds.
        wait_s: Longest queueing time of the planned cells, in seconds.
        work_s: Expected run time of a task of the first step, in seconds.
        cells: Number of planned cells.
        report_age_s: Age of the oldest load report of these cells, in seconds.
    """

    expected_s: float
    latest_s: float
    wait_s: float
    work_s: float
    cells: int
    report_age_s: float


class _FollowedRefusal(NamedTuple):
    queue: str
    group: TaskGroup
    until_s: float


class Calibration:
    """Counts how jobs ended by their queue.

    Attributes:
        counts: Number of jobs by queue and outcome.
    """

    def __init__(self) -> None:
        """Creates a calibration without jobs."""
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._prediction_by_id: dict[str, Prediction] = {}
        self._followed: list[_FollowedRefusal] = []

    def record_admission(self, job_id: str, prediction: Prediction) -> None:
        """Keeps the prediction for an admitted job until its end."""
        self._prediction_by_id[job_id] = prediction

    def take_prediction(self, job_id: str) -> Prediction | None:
        """Returns the prediction for a job that is not followed any more."""
        return self._prediction_by_id.pop(job_id, None)

    def record_end(self, queue: str, outcome: str) -> None:
        """Counts an admitted job by its outcome."""
        self.counts[queue, outcome] += 1

    def record_refusal(
        self, queue: str, group: TaskGroup, until_s: float
    ) -> None:
        """Counts a refused job and follows it if few others are followed.

        Args:
            queue: Queue of the job.
            group: Tasks of its first step.
            until_s: Time in seconds at which its objective ends.
        """
        self.counts[queue, REFUSED] += 1
        if len(self._followed) < MAX_FOLLOWED:
            self._followed.append(_FollowedRefusal(queue, group, until_s))

    def check_refusals(
        self, service: str, now: float, fits: Callable[[TaskGroup], bool]
    ) -> None:
        """Counts the refused jobs whose tasks fit in a new load report.

        Args:
            service: Service of the report.
            now: Time in seconds.
            fits: Returns whether tasks fit in the reported free capacity.
        """
        remaining: list[_FollowedRefusal] = []
        for refusal in self._followed:
            is_expired = refusal.until_s < now
            is_reported = refusal.group.service == service
            if not is_expired and is_reported and fits(refusal.group):
                self.counts[refusal.queue, REFUSAL_WRONG] += 1
            elif not is_expired:
                remaining.append(refusal)
                continue
            self.counts[refusal.queue, REFUSAL_CHECKED] += 1
        self._followed = remaining
